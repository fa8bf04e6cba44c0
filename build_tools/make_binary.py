"""Build the single-file executable ``build/balsamwind``.

PyInstaller collects the program in a directory. This script appends that
directory as an archive to a small launcher (``launcher.c``), which extracts it
on the first run and then replaces itself with the program by ``execv``, so
that the program runs as one process.
"""

import hashlib
import pathlib
import shutil
import struct
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / 'build'
CHECKSUM_DIGITS = 16


def collect_program():
    """Collect the program and its libraries with PyInstaller.

    Returns
    -------
    pathlib.Path
        Directory with the program and its libraries.
    """
    subprocess.run(
        [
            sys.executable,
            '-m',
            'PyInstaller',
            '--noconfirm',
            '--log-level=ERROR',
            '--onedir',
            '--strip',
            '--contents-directory=lib',
            '--name=balsamwind',
            f'--distpath={BUILD / "folder"}',
            f'--workpath={BUILD / "work"}',
            f'--specpath={BUILD}',
            f'--paths={ROOT}',
            *_list_hidden_imports(),
            str(ROOT / 'balsamwind' / '__main__.py'),
        ],
        check=True,
        cwd=ROOT,
    )
    return BUILD / 'folder' / 'balsamwind'


def _list_hidden_imports():
    """List options for the modules that are imported by name.

    PyInstaller does not find those that packages import on first use.
    """
    options = []
    for path in sorted((ROOT / 'balsamwind').rglob('_*.py')):
        parts = path.relative_to(ROOT).with_suffix('').parts
        if 'tests' not in parts and not parts[-1].startswith('__'):
            options.append(f'--hidden-import={".".join(parts)}')
    return options


def make_archive(folder):
    """Pack all files of a directory, following symbolic links.

    Parameters
    ----------
    folder : pathlib.Path
        Directory to pack.

    Returns
    -------
    bytes
        The archive, in the format that ``launcher.c`` describes.
    """
    parts = []
    for path in sorted(folder.rglob('*')):
        if not path.is_file():
            continue
        name = str(path.relative_to(folder)).encode('utf-8')
        content = path.read_bytes()
        mode = 0o700 if path.stat().st_mode & 0o100 else 0o600
        parts.append(struct.pack('<3Q', len(name), mode, len(content)))
        parts.append(name)
        parts.append(content)
    return b''.join(parts)


def compile_launcher():
    """Compile the launcher.

    Returns
    -------
    pathlib.Path
        The executable.
    """
    BUILD.mkdir(exist_ok=True)
    target = BUILD / 'launcher'
    source = ROOT / 'build_tools' / 'launcher.c'
    subprocess.run(
        ['cc', '-O2', '-Wall', '-Wextra', '-o', str(target), str(source)],
        check=True,
    )
    return target


def write_executable(target, archive):
    """Write the launcher with an archive.

    Parameters
    ----------
    target : pathlib.Path
        File to write.
    archive : bytes
        Result of `make_archive`.
    """
    checksum = hashlib.sha256(archive).hexdigest()[:CHECKSUM_DIGITS]
    with target.open('wb') as file:
        file.write(compile_launcher().read_bytes())
        file.write(archive)
        file.write(struct.pack('<Q', len(archive)))
        file.write(checksum.encode('ascii'))
    target.chmod(0o755)


def main():
    """Build the executable and print its size."""
    BUILD.mkdir(exist_ok=True)
    target = BUILD / 'balsamwind'
    write_executable(target, make_archive(collect_program()))
    shutil.rmtree(BUILD / 'work')
    print(f'{target.name}: {target.stat().st_size / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
