"""Run the soak.

At the end every request must have had its answer, nothing may have run that
must not, and each node must serve each kind of request again.
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import sys
import tempfile
import time

from build_tools.pool_soak import _callers
from build_tools.pool_soak import _checks
from build_tools.pool_soak import _faults
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _traffic

REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.json'
"""Seeds that have failed, with their causes."""

START = 20.0
"""Longest time until every node serves at first (seconds)."""

RECOVERY = 15.0
"""Longest time until every node serves after the last fault (seconds)."""

LOOK_INTERVAL = 1.0
"""Time between two looks at what ran (seconds)."""

IN_A_ROW = 3
"""Answers of each kind that show that a node serves (count)."""

TAIL = 6.5
"""Time in which orders and requests that are late still arrive (seconds)."""


async def _serves(fleet, checks, node, number, end):
    """Whether a node serves each kind of request before `end`."""
    caller = _callers.Caller(fleet, checks.note, number, 0)
    for kind in _traffic.KINDS:
        good = 0
        while good < IN_A_ROW:
            if time.monotonic() > end:
                return False
            call = await caller.ask(node, kind)
            fine = call.outcome in ('whole', 'left')
            good = good + 1 if fine else 0
            if not fine:
                await asyncio.sleep(0.2)
    return True


async def _wait_until_serving(fleet, checks, timeout, number):
    """Wait until all nodes serve; how long that took, or None (seconds)."""
    began = time.monotonic()
    found = await asyncio.gather(
        *(
            _serves(fleet, checks, node, number + index, began + timeout)
            for index, node in enumerate(fleet.nodes)
        )
    )
    return time.monotonic() - began if all(found) else None


async def _look_for_ever(checks):
    while True:
        await asyncio.sleep(LOOK_INTERVAL)
        await checks.look()


async def _soak(fleet, checks, arguments):
    took = await _wait_until_serving(fleet, checks, START, 900)
    if took is None:
        checks.violate('START', f'not serving within {START} s')
        return
    print(f'all nodes served after {took:.1f} s', flush=True)
    stopping = asyncio.Event()
    looking = asyncio.ensure_future(_look_for_ever(checks))
    callers = [
        asyncio.ensure_future(
            _callers.Caller(fleet, checks.note, number, arguments.seed).run(
                stopping
            )
        )
        for number in range(arguments.callers)
    ]
    faults = [
        _faults.Faults(fleet, checks, number, arguments.seed)
        for number in range(arguments.at_once)
    ]
    await asyncio.gather(*(each.run(arguments.seconds) for each in faults))
    took = await _wait_until_serving(fleet, checks, RECOVERY, 950)
    if took is None:
        checks.violate('RECOVER', f'not serving within {RECOVERY} s')
    else:
        print(f'recovered {took:.1f} s after the last fault', flush=True)
    stopping.set()
    await asyncio.gather(*callers)
    await asyncio.sleep(TAIL if arguments.seconds > TAIL else 0.0)
    looking.cancel()
    await checks.finish()


async def _main(arguments, folder):
    async with _fleet.open_fleet(
        folder, arguments.nodes_per_zone, arguments.seed
    ) as fleet:
        checks = _checks.Checks(fleet)
        await _soak(fleet, checks, arguments)
        checks.print()
        if checks.violations and arguments.keep:
            checks.dump(folder / 'seen.json')
            kept = pathlib.Path(arguments.keep) / f'seed-{arguments.seed}'
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            print(f'logs are kept in {kept}')
    count = len(checks.violations)
    print(f'seed {arguments.seed}: {count} violations')
    return 1 if count else 0


def main():
    """Run the soak; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--at-once', type=int, default=2)
    parser.add_argument('--nodes-per-zone', type=int, default=2)
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument('--keep', default=None, help='folder for logs')
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run each seed that has failed, instead of --seed',
    )
    arguments = parser.parse_args()
    if not arguments.regressions:
        return _run(arguments)
    failed = 0
    for row in json.loads(REGRESSIONS.read_text(encoding='utf-8')):
        print(f'seed {row["seed"]}: {row.pop("cause")}', flush=True)
        for name, value in row.items():
            setattr(arguments, name, value)
        failed += _run(arguments)
    return 1 if failed else 0


def _run(arguments):
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_main(arguments, pathlib.Path(folder)))


if __name__ == '__main__':
    sys.exit(main())
