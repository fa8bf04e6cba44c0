"""Run the test suite without the tests that KNOWN-RED.txt lists."""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent


def load_known_red(path):
    """Read the ids of the tests that are known to fail.

    Parameters
    ----------
    path : pathlib.Path
        File with one entry per line, ``test | command | seen | issue``.

    Returns
    -------
    list of str
        Test ids, in the order of the file.
    """
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return [entry.split('|')[0].strip() for entry in entries]


def main(argv):
    """Run pytest without the tests that are known to fail.

    Parameters
    ----------
    argv : list of str
        Further arguments of pytest.

    Returns
    -------
    int
        Exit code of pytest.
    """
    known_red = load_known_red(ROOT / 'KNOWN-RED.txt')
    for test in known_red:
        print(f'known to fail, deselected: {test}')
    deselections = [f'--deselect={test}' for test in known_red]
    return pytest.main([*deselections, *argv])


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
