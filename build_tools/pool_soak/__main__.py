"""Run the soak test of nodes that serve from an engine pool.

It passes if every request was answered as guaranteed, no backend server
executed a request that it must not execute, and each node serves each kind of
request again after the last fault.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time

from build_tools.pool_soak import _builds
from build_tools.pool_soak import _callers
from build_tools.pool_soak import _checks
from build_tools.pool_soak import _faults
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _planned
from build_tools.pool_soak import _traffic

REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.json'
"""File of seeds that have failed, each with the cause of the failure."""

START_TIMEOUT = 20.0
"""Time within which every node must serve after the start (seconds)."""

RECOVERY_TIMEOUT = 15.0
"""Time within which every node must serve after the last fault (seconds)."""

REPLACEMENT_TIMEOUT = 10.0
"""Longest wait until a replaced node serves before the next one is replaced
(seconds)."""

OBSERVATION_INTERVAL = 0.3
"""Time between two looks at the roles of the nodes (seconds)."""

FETCH_INTERVAL = 1.0
"""Time between two fetches of the stand-in's records (seconds)."""

REQUIRED_ANSWERS = 3
"""Number of consecutive answers of each kind that show that a node serves."""

SETTLING_TIME = 6.5
"""Time within which delayed orders and requests still arrive (seconds)."""


async def _wait_until_node_serves(fleet, checker, node, number, deadline):
    """Send requests until a node serves each kind; False after `deadline`."""
    caller = _callers.Caller(fleet, checker.record_call, number, 0)
    with contextlib.closing(caller):
        return await _send_until_served(caller, node, deadline)


async def _send_until_served(caller, node, deadline):
    for kind in _traffic.REQUEST_KINDS:
        consecutive = 0
        while consecutive < REQUIRED_ANSWERS:
            if time.monotonic() > deadline:
                return False
            call = await caller.send_request(node, kind)
            is_answered = call.outcome in ('whole', 'left')
            consecutive = consecutive + 1 if is_answered else 0
            if not is_answered:
                await asyncio.sleep(0.2)
    return True


async def _wait_until_serving(fleet, checker, timeout, number):
    """Wait until all nodes serve.

    Returns the duration in seconds, or None after `timeout`.
    """
    started_at = time.monotonic()
    stream_kinds = sum(kind.stream for kind in _traffic.REQUEST_KINDS)
    # Each node is sent its streams one after the other.
    timeout += REQUIRED_ANSWERS * stream_kinds * fleet.extra_stream_time
    results = await asyncio.gather(
        *(
            _wait_until_node_serves(
                fleet, checker, node, number + index, started_at + timeout
            )
            for index, node in enumerate(fleet.nodes)
        )
    )
    return time.monotonic() - started_at if all(results) else None


async def _fetch_records_forever(checker):
    while True:
        await asyncio.sleep(FETCH_INTERVAL)
        await checker.fetch_records()


async def _observe_roles_forever(observer):
    while True:
        observer.observe()
        await asyncio.sleep(OBSERVATION_INTERVAL)


async def _replace_all(fleet, checker, injector, build, rng, number):
    """Replace all nodes by those of another build, one after the other."""
    nodes = rng.sample(fleet.nodes, len(fleet.nodes))
    for index, node in enumerate(nodes):
        await injector.replace_node(node, build)
        serves = await _wait_until_node_serves(
            fleet,
            checker,
            node,
            number + index,
            time.monotonic() + REPLACEMENT_TIMEOUT,
        )
        print(
            f'{node.name} was replaced by the {build} build, serves: {serves}',
            flush=True,
        )


async def _replace_nodes(fleet, checker, observer, seed):
    """Move the fleet to the other build and back; check that roles occur."""
    rng = random.Random(f'builds/{seed}')
    injector = _faults.FaultInjector(fleet, checker, 'builds', seed)
    observing = asyncio.ensure_future(_observe_roles_forever(observer))
    first = fleet.nodes[0].build
    second = _builds.OLD if first == _builds.NEW else _builds.NEW
    for number, build in ((600, second), (700, first)):
        await _replace_all(fleet, checker, injector, build, rng, number)
    observing.cancel()
    for fault in observer.find_faults():
        checker.violate('BUILDS', fault)
    print(
        'builds of subscribers and their publishers:',
        ', '.join('-'.join(link) for link in sorted(observer.links)),
    )


def _make_injectors(fleet, checker, arguments):
    if arguments.planned:
        return [_planned.PlannedWork(fleet, checker, 0, arguments.seed)]
    return [
        _faults.FaultInjector(fleet, checker, number, arguments.seed)
        for number in range(arguments.at_once)
    ]


async def _run_soak(fleet, checker, arguments):
    duration = await _wait_until_serving(fleet, checker, START_TIMEOUT, 900)
    if duration is None:
        checker.violate(
            'START',
            f'not all nodes served within {START_TIMEOUT} s of the start',
        )
        return
    print(f'all nodes served after {duration:.1f} s', flush=True)
    stopping = asyncio.Event()
    observer = _builds.RoleObserver(fleet.nodes)

    def record_call(call):
        checker.record_call(call)
        observer.record_call(call)

    fetching = asyncio.ensure_future(_fetch_records_forever(checker))
    callers = [
        asyncio.ensure_future(
            _callers.Caller(fleet, record_call, number, arguments.seed).run(
                stopping
            )
        )
        for number in range(arguments.callers)
    ]
    injectors = _make_injectors(fleet, checker, arguments)
    faults = [injector.run(arguments.seconds) for injector in injectors]
    if arguments.restores:
        injector = _faults.FaultInjector(
            fleet, checker, 'restores', arguments.seed
        )
        faults.append(injector.run_store_restores(arguments.seconds))
    if arguments.broken_heads:
        injector = _faults.FaultInjector(
            fleet, checker, 'broken heads', arguments.seed
        )
        faults.append(injector.run_broken_heads(arguments.seconds))
    if arguments.old:
        faults.append(_replace_nodes(fleet, checker, observer, arguments.seed))
    await asyncio.gather(*faults)
    duration = await _wait_until_serving(fleet, checker, RECOVERY_TIMEOUT, 950)
    if duration is None:
        checker.violate(
            'RECOVER',
            f'not all nodes served within {RECOVERY_TIMEOUT} s'
            ' of the last fault',
        )
    else:
        print(f'recovered {duration:.1f} s after the last fault', flush=True)
    stopping.set()
    await asyncio.gather(*callers)
    await asyncio.sleep(
        SETTLING_TIME if arguments.seconds > SETTLING_TIME else 0.0
    )
    fetching.cancel()
    await checker.check_all()


@contextlib.contextmanager
def _open_builds(arguments):
    """Provide the builds of the nodes, first the one they start with.

    Fleets of even seeds are upgraded and rolled back, others the reverse.
    """
    builds = {_builds.NEW: _fleet.ROOT}
    if not arguments.old:
        yield builds
        return
    with _builds.extract_build(_fleet.ROOT, arguments.old) as folder:
        old = {_builds.OLD: folder}
        yield {**builds, **old} if arguments.seed % 2 else {**old, **builds}


async def _run_fleet(arguments, folder, builds):
    options = {
        'engines_per_zone': arguments.engines_per_zone,
        'event_interval': arguments.event_interval,
    }
    if arguments.planned:
        options['heartbeat'] = _planned.HEARTBEAT
    async with _fleet.open_fleet(
        folder, arguments.nodes_per_zone, arguments.seed, builds, **options
    ) as fleet:
        checker = _checks.Checker(fleet, arguments.planned)
        await _run_soak(fleet, checker, arguments)
        checker.print_results()
        if checker.violations and arguments.keep:
            checker.dump(folder / 'seen.json')
            log_folder = (
                pathlib.Path(arguments.keep) / f'seed-{arguments.seed}'
            )
            shutil.copytree(folder, log_folder, dirs_exist_ok=True)
            print(f'logs were copied to {log_folder}')
    violation_count = len(checker.violations)
    print(f'seed {arguments.seed}: {violation_count} violations')
    return 1 if violation_count else 0


def main():
    """Run the soak test.

    Returns
    -------
    int
        Exit code; 1 if a guarantee was violated.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--at-once', type=int, default=2)
    parser.add_argument('--nodes-per-zone', type=int, default=2)
    parser.add_argument(
        '--engines-per-zone', type=int, default=_fleet.ENGINES_PER_ZONE
    )
    parser.add_argument(
        '--event-interval', type=float, default=_fleet.EVENT_INTERVAL
    )
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument(
        '--planned',
        action='store_true',
        help='no faults but planned work and engines that are silent',
    )
    parser.add_argument(
        '--restores',
        action='store_true',
        help='restore the store from older copies as well',
    )
    parser.add_argument(
        '--broken-heads',
        action='store_true',
        help='let servers send answers that have no status as well',
    )
    parser.add_argument(
        '--old',
        metavar='COMMIT',
        default=None,
        help='replace the nodes by those of an earlier commit and back',
    )
    parser.add_argument(
        '--keep',
        default=None,
        help='directory to which the logs of a failed run are copied',
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run each seed that has failed before, instead of --seed',
    )
    arguments = parser.parse_args()
    if not arguments.regressions:
        return _run_in_temporary_folder(arguments)
    failure_count = 0
    for regression in json.loads(REGRESSIONS.read_text(encoding='utf-8')):
        print(
            f'seed {regression["seed"]}: {regression.pop("cause")}', flush=True
        )
        values = {**vars(arguments), **regression}
        failure_count += _run_in_temporary_folder(argparse.Namespace(**values))
    return 1 if failure_count else 0


def _run_in_temporary_folder(arguments):
    with (
        tempfile.TemporaryDirectory() as folder,
        _open_builds(arguments) as builds,
    ):
        return asyncio.run(_run_fleet(arguments, pathlib.Path(folder), builds))


if __name__ == '__main__':
    sys.exit(main())
