"""Members of a replica group that fall silent for a second and go on."""

import asyncio

import pytest

from balsamwind import exceptions
from balsamwind.node import _prober
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind import relay

SILENCE = 1.3
"""Silence of a sound engine (seconds)."""

EVENT_INTERVAL = 0.3
"""Time between two of the six events of a stream (seconds)."""


def _make_configuration():
    """Let requests of all routes last for longer than a silence."""
    routes = [
        {**route, 'TimeoutMs': 4000}
        for route in helpers.CONFIGURATION['Routes']
    ]
    return {**helpers.CONFIGURATION, 'Routes': routes}


def _find_members(fake_platform, group):
    return [
        engine
        for engine in fake_platform.engines.values()
        if engine.group and engine.group['Name'] == group['Name']
    ]


@pytest.mark.parametrize(
    'ranks',
    [
        pytest.param((1,), id='a member'),
        pytest.param((0,), id='the head'),
        pytest.param((0, 1), id='the whole group'),
    ],
)
@pytest.mark.parametrize('path', ['/ask/x', '/once/x'])
def test_stream_of_a_sound_group_was_cut_by_its_leader(path, ranks):
    # LOST: the group was closed, as a member did not answer for 0.6 s.
    async def body():
        async with (
            helpers.open_platform(4) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            fake_platform.store.put('config', 'main', _make_configuration())
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(process) == 2
            )
            for engine in fake_platform.engines.values():
                engine.event_interval = EVENT_INTERVAL
            asking = asyncio.ensure_future(
                helpers.send_request(process, helpers.make_request(path=path))
            )
            await helpers.wait_until(lambda: fake_platform.trace.runs)
            server_id = fake_platform.trace.runs[0].server_id
            group = fake_platform.engines[server_id].group
            silent = [
                engine
                for engine in _find_members(fake_platform, group)
                if engine.group['rank'] in ranks
            ]
            for engine in silent:
                engine.dark = True
            await asyncio.sleep(SILENCE)
            for engine in silent:
                engine.dark = False
            answer = await asking
            kept = fake_platform.engines[server_id].group
            return answer, kept['epoch'] == group['epoch']

    answer, is_kept = asyncio.run(body())
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.endswith(b'0\r\n\r\n')
    assert answer.count(b'data: token') == 6
    assert is_kept


class _Platform:
    """Engines of which one fails, each time for the next of the reasons."""

    def __init__(self, reasons):
        self._reasons = list(reasons)

    async def fetch_engine_report(self, record, timeout):
        if record.server_id != 'failing':
            return pool.ServerReport(record.born, 1)
        reason = self._reasons.pop(0)
        if reason is None:
            return pool.ServerReport(record.born, 1)
        raise reason


SILENT = exceptions.AnswerTimeout('silent')
REFUSED = exceptions.ConnectionRefused('refused', sent=False)
UNOPENED = exceptions.TransportError('could not be opened', sent=False)
OTHER = exceptions.BadAnswer('another server')


@pytest.mark.parametrize(
    ('reasons', 'lost_at'),
    [
        pytest.param([SILENT] * 8, 2.0, id='silent for long'),
        pytest.param([SILENT] * 4 + [None] * 4, None, id='goes on'),
        pytest.param([REFUSED] * 8, 0.5, id='ended'),
        pytest.param([UNOPENED] * 8, 0.5, id='its host is gone'),
        pytest.param(
            [SILENT] + [UNOPENED] * 7, 1.0, id='its host is gone now'
        ),
        pytest.param(
            [UNOPENED, SILENT] * 4, 2.0, id='its host opens some connections'
        ),
        pytest.param([OTHER] * 8, 0.0, id='its address has another'),
        pytest.param([REFUSED] + [SILENT] * 7, 2.0, id='silent again'),
    ],
)
def test_engine_is_lost_once_it_has_ended_or_is_silent_for_long(
    reasons, lost_at
):
    found = asyncio.run(_find_when_lost(reasons))
    assert found == (lost_at and pytest.approx(lost_at))


@pytest.mark.parametrize('reason', [SILENT, REFUSED, UNOPENED])
def test_engine_that_answers_other_nodes_was_lost_for_the_leader(reason):
    # The path of the leader to this engine is what is broken.
    assert asyncio.run(_find_when_lost([reason] * 8, _Opinions())) is None


class _Opinions:
    """Other nodes, which reach every engine."""

    async def ask(self, record):
        return relay.Reach.ANSWERS

    def are_enough(self, record):
        return True

    def keep_only(self, ids):
        pass


async def _find_when_lost(reasons, opinions=None):
    """Play probes half a second apart; when the failing engine is lost."""
    clock = doubles.Clock()
    registry = pool.ServerRegistry()
    records = [
        pool.ServerRecord(name, 'llm', 'x:1', 'z1')
        for name in ('failing', 'other')
    ]
    for record in records:
        registry.apply_entry(record, clock.now)
    prober = _prober.Prober(
        _Platform(reasons), registry, clock, doubles.Log(), opinions
    )
    started_at, found = clock.now, None
    for _ in reasons:
        prober.probe_due(records)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if found is None and 'failing' in prober.down:
            if prober.is_lost('failing', 2.0, clock.now):
                found = clock.now - started_at
        clock.now += 0.5
    return found
