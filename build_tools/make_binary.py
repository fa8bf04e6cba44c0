"""Build one file that runs as one process: ``build/balsamwind``.

PyInstaller makes a folder; this script appends the folder as an archive to a
small launcher (``launcher.c``), which unpacks it once and replaces itself by
the program in it.
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


def make_folder():
    """Let PyInstaller collect the program and its libraries."""
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
            str(ROOT / 'balsamwind' / '__main__.py'),
        ],
        check=True,
        cwd=ROOT,
    )
    return BUILD / 'folder' / 'balsamwind'


def make_archive(folder):
    """Bytes of all files of a folder; links are followed."""
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


def make_launcher():
    """Compile the launcher."""
    target = BUILD / 'launcher'
    source = ROOT / 'build_tools' / 'launcher.c'
    subprocess.run(
        ['cc', '-O2', '-Wall', '-Wextra', '-o', str(target), str(source)],
        check=True,
    )
    return target


def main():
    """Build the file and say its size."""
    BUILD.mkdir(exist_ok=True)
    archive = make_archive(make_folder())
    checksum = hashlib.sha256(archive).hexdigest()[:CHECKSUM_DIGITS]
    target = BUILD / 'balsamwind'
    with target.open('wb') as file:
        file.write(make_launcher().read_bytes())
        file.write(archive)
        file.write(struct.pack('<Q', len(archive)))
        file.write(checksum.encode('ascii'))
    target.chmod(0o755)
    shutil.rmtree(BUILD / 'work')
    print(f'{target.name}: {target.stat().st_size / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
