"""Planned work on the fleet of a soak test, and the requests that it cut."""

import asyncio
import collections
import signal
import time

from build_tools.pool_soak import _faults
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _traffic

HEARTBEAT = 1.0
"""Time between two heartbeats, so that a server that is silent for a moment
keeps its entry (seconds)."""

SILENT_SHARE = 0.6
"""Share of the engines of a model that fall silent if not all of them do."""

LATE_AFTER_STOP = 3.0
"""Time after a SIGTERM from which on a request counts as sent late
(seconds)."""

LAST_PART_OF_GRACE = 1 / 6
"""Part of the time to stop in which a running request may be cut."""

LOSS_SLACK = 0.2
"""Time after which a request may no longer be closed without an answer
(seconds)."""

DEADLINE_MARGIN = 0.1
"""Time before its deadline in which a request may end without an answer
(seconds)."""


class PlannedWork(_faults.FaultInjector):
    """Work of operators, in series that overlap, beside silent engines."""

    async def run(self, seconds):
        """Carry out planned work for some time and print each step.

        Parameters
        ----------
        seconds : float
            Time after which no new step begins (seconds).
        """
        started_at = time.monotonic()
        await asyncio.gather(
            self._repeat(self._silence_model, 0.4, 2.5, started_at, seconds),
            self._repeat(
                self._change_configuration, 0.5, 3.5, started_at, seconds
            ),
            self._repeat(self._stop_next_node, 0.0, 1.0, started_at, seconds),
            self._repeat(self._reload_node, 2.0, 5.0, started_at, seconds),
        )

    async def _repeat(self, step, low, high, started_at, seconds):
        while (elapsed := time.monotonic() - started_at) < seconds:
            print(f'{elapsed:6.1f} s  {await step()}', flush=True)
            await self._sleep_random(low, high)

    async def _silence_model(self):
        records = await self._fleet.fetch_records(10**9, 10**9)
        model = self._rng.choice(_traffic.MODELS)['Name']
        names = [
            name
            for name, group in records['groups'].items()
            if group and group['Name'].startswith(f'{model}.')
        ]
        if self._rng.random() < 0.5:
            names = self._rng.sample(names, round(SILENT_SHARE * len(names)))
        seconds = self._rng.uniform(1.0, 1.4)
        await self._silence(names, True)
        await asyncio.sleep(seconds)
        await self._silence(names, False)
        return f'{len(names)} engines of {model} were silent ({seconds:.1f} s)'

    async def _silence(self, names, is_silent):
        await self._fleet.send_command(servers=names, set={'dark': is_silent})

    async def _change_configuration(self):
        match self._rng.choice(('idle', 'timeout', 'route')):
            case 'idle':
                self._fleet.idle_timeout = self._rng.uniform(4.0, 10.0)
            case 'timeout':
                self._fleet.route_timeout = self._rng.uniform(
                    _traffic.ROUTE_TIMEOUT, 2 * _traffic.ROUTE_TIMEOUT
                )
            case 'route':
                return await self._move_route()
        await self._fleet.write_configuration()
        return f'version {self._fleet.version} changed a timeout'

    async def _stop_next_node(self):
        node = min(
            self._fleet.nodes, key=lambda n: n.stops[-1][0] if n.stops else 0.0
        )
        await self._restart(node, signal.SIGTERM, self._rng.uniform(0.1, 0.5))
        return f'{node.name} was stopped and started again'


def find_cut_requests(calls, arrivals, runs):
    """Find requests that ended without a complete answer.

    Parameters
    ----------
    calls : iterable of Call
        All requests.
    arrivals : list of tuple
        Arrivals at backend servers, as the stand-in records them.
    runs : list of dict
        Executions, as the stand-in records them.

    Returns
    -------
    dict of str to list of Call
        Requests by where and how they were cut.
    """
    arrived = {request_id for _, _, request_id, _ in arrivals}
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run['request_id']].append(run)
    cut = collections.defaultdict(list)
    for call in calls:
        if not _is_cut(call, arrived):
            continue
        own_runs = runs_by_id[call.request_id]
        place = _find_place(call, own_runs)
        if place is None:
            continue
        if any(run['ending'] == 'cut' for run in own_runs):
            place = f'{place}, engine broke off'
        cut[f'{place}: {call.kind.name} {call.outcome}'].append(call)
    return cut


def _is_cut(call, arrived):
    duration = call.ended_at - call.sent_at
    limit = min(call.limit, _traffic.ROUTE_TIMEOUT) - DEADLINE_MARGIN
    if call.left_at is not None or duration > limit:
        return False
    match call.outcome:
        case 'cut' | '502' | '504':
            return True
        case 'closed':
            return call.request_id in arrived or duration > LOSS_SLACK
    return False


def _find_place(call, runs):
    """Name the state of the node; None if it was allowed to cut the call."""
    for stopped_at, exited_at in call.node.stops:
        if call.sent_at > exited_at or call.ended_at < stopped_at:
            continue
        if call.sent_at > stopped_at + LATE_AFTER_STOP:
            return 'sent late to a stopped node'
        grace = _fleet.NODE_BOUNDS['GraceS']
        last_part_at = stopped_at + grace * (1 - LAST_PART_OF_GRACE)
        if call.ended_at > last_part_at and any(
            run['ended_at'] is None or run['ended_at'] > last_part_at
            for run in runs
        ):
            return None
        return 'stopped node'
    return 'other node'
