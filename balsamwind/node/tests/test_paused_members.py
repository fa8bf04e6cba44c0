"""Members of open groups that the leader of their shard does not reach."""

import asyncio
import types

import pytest

from balsamwind import exceptions
from balsamwind.node import _leader
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind.relay import _attempt_sender
from balsamwind import replay
from balsamwind import traffic

PROFILE = traffic.EngineProfile((traffic.ModelProfile('m', 2),))

SILENT_FROM = 2.0
"""When the members fall silent (seconds)."""

SILENT = exceptions.AnswerTimeout('silent')
REFUSED = exceptions.ConnectionRefused('refused', sent=False)


def _make_engine(name, number, rank):
    state = pool.MemberState.READY if rank else pool.MemberState.OPEN
    return pool.ServerRecord(
        name,
        'llm',
        f'{name}:1',
        'z1',
        domain='d1',
        model='m',
        membership=pool.Membership(f'm.z1.{number}', number, rank, state),
        revision=1,
    )


class _Platform:
    """Engines that answer the leader, but for some, for a while."""

    store = None

    def __init__(self, clock, names, error, until):
        self._clock = clock
        self._names = names
        self._error = error
        self._until = until

    async def fetch_engine_report(self, record, timeout):
        asked_at = self._clock.monotonic()
        if record.server_id in self._names and asked_at >= SILENT_FROM:
            if asked_at < self._until:
                if self._error is SILENT:
                    await asyncio.sleep(timeout)
                raise self._error
        await asyncio.sleep(0.001)
        return pool.ServerReport(record.born, 1, membership=record.membership)


def _play(names, error, duration, offset=0.0):
    """Play a shard of three pairs; when groups were closed, and how."""
    with replay.open_virtual_loop() as loop:
        clock = replay.VirtualClock(loop, 0.0)
        until = SILENT_FROM + duration
        registry = pool.ServerRegistry()
        for number in (1, 2, 3):
            for rank in (0, 1):
                name = f'e{number}{rank}'
                registry.apply_entry(_make_engine(name, number, rank), 0.0)
        cache = traffic.ConfigurationCache(4.6)
        service = traffic.Service('llm', engine=PROFILE)
        cache.accept(traffic.Configuration(3, (), (service,)), 0.0)
        leader = _leader.ShardLeader(
            'z1',
            helpers.make_settings('n1', 1),
            _Platform(clock, names, error, until),
            cache,
            registry,
            types.SimpleNamespace(
                peers=_attempt_sender.NoPeerService(),
                waiting_room=types.SimpleNamespace(
                    count_by_model=lambda service: {'m': 0}
                ),
                demand_meter=types.SimpleNamespace(shares=lambda now: {}),
                requests_received=1,
            ),
            clock,
            doubles.Log(),
            lambda: None,
        )
        closings = []

        def start(action, engine_profile):
            if isinstance(action, pool.CloseGroup):
                since = clock.monotonic() - SILENT_FROM
                closings.append((round(since, 2), action.cut))

        leader.executor.start = start

        async def run():
            await asyncio.sleep(offset)
            while clock.monotonic() < SILENT_FROM + 6.0:
                leader._run_round()
                await asyncio.sleep(_leader.ROUND_INTERVAL)

        loop.run_until_complete(run())
        return closings


@pytest.mark.parametrize('offset', [0.0, 0.13, 0.27, 0.37])
@pytest.mark.parametrize('duration', [1.0, 1.2, 1.4])
@pytest.mark.parametrize(
    'names',
    [
        pytest.param({'e11'}, id='one member'),
        pytest.param({'e11', 'e20', 'e21'}, id='a group and a member'),
        pytest.param({'e10', 'e11', 'e20', 'e21'}, id='two groups'),
    ],
)
def test_group_was_cut_as_a_sound_member_was_silent(names, duration, offset):
    # LOST: the streams of a group ended for a second's silence of a member.
    assert _play(names, SILENT, duration, offset) == []


@pytest.mark.parametrize(
    ('error', 'longest'),
    [
        pytest.param(SILENT, 2.7, id='silent'),
        pytest.param(REFUSED, 0.6, id='refuses connections'),
    ],
)
def test_group_that_lost_a_member_is_closed_in_time(error, longest):
    closed_at, cut = _play({'e11'}, error, 60.0)[0]
    assert closed_at <= longest
    assert cut
