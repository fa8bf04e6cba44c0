"""Start time, memory and process count of an entry, by form of distribution.

Run ``make binary`` first. Measures the sources in a virtual environment, and
the one-file build on its first start, which unpacks it into an empty folder,
and on later starts.
"""

import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import time

import psutil

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions

ROOT = pathlib.Path(__file__).resolve().parent.parent

RUNS = 7
BINARY = ROOT / 'build' / 'balsamwind'


def measure_start(command, environment, unpack_dir=None):
    """Measure how long the ``version`` command takes.

    Parameters
    ----------
    command : list
        Command that runs balsamwind.
    environment : dict of str to str
        Environment variables of the command.
    unpack_dir : pathlib.Path or None
        Folder that is emptied before each run, so that the one-file build
        unpacks again.

    Returns
    -------
    float
        Median over `RUNS` runs (seconds).
    """
    times = []
    for _ in range(RUNS):
        if unpack_dir is not None:
            shutil.rmtree(unpack_dir, ignore_errors=True)
            unpack_dir.mkdir()
        start = time.perf_counter()
        subprocess.run(
            [*command, 'version'],
            check=True,
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
        )
        times.append(time.perf_counter() - start)
    return statistics.median(times)


def measure_entries(binary):
    """Measure six idle entries.

    Parameters
    ----------
    binary : pathlib.Path or None
        One-file build to run the entries from, instead of the sources.

    Returns
    -------
    tuple
        Median resident memory of an entry (megabytes); largest number of
        processes of an entry (count).
    """
    with cluster_module.open_cluster(binary=binary) as cluster:
        conditions.wait_for(
            lambda: all(cluster.get_status(name) for name in cluster.entries),
            'all entries answer',
        )
        cluster.apply_contract(callers.make_contract())
        cluster.wait_until_serving(3)
        memory = []
        processes = []
        for name in cluster.entries:
            process = psutil.Process(cluster.processes[name].pid)
            memory.append(process.memory_info().rss / 1e6)
            processes.append(1 + len(process.children(recursive=True)))
        return statistics.median(memory), max(processes)


def main():
    """Measure each form of distribution and print the results."""
    with tempfile.TemporaryDirectory() as folder:
        unpacked = pathlib.Path(folder) / 'unpacked'
        unpacked.mkdir()
        environment = {**os.environ, 'TMPDIR': str(unpacked)}
        source = [sys.executable, '-m', 'balsamwind']
        rows = [
            ('sources', measure_start(source, environment)),
            (
                'one file, first start',
                measure_start([BINARY], environment, unpack_dir=unpacked),
            ),
            ('one file, later starts', measure_start([BINARY], environment)),
        ]
        files = [path for path in unpacked.rglob('*') if path.is_file()]
        size = sum(path.stat().st_size for path in files)
    for name, seconds in rows:
        print(f'{name}: start {seconds:.2f} s (median of {RUNS})')
    print(f'one file: {BINARY.stat().st_size / 1e6:.1f} MB')
    print(f'one file: {size / 1e6:.1f} MB unpacked')
    for name, binary in (('sources', None), ('one file', BINARY)):
        memory, processes = measure_entries(binary)
        print(
            f'{name}: {memory:.1f} MB resident an entry (median of 6),'
            f' {processes} process'
        )


if __name__ == '__main__':
    main()
