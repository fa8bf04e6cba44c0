"""What the prober of a shard remembers."""

import asyncio
import types

from balsamwind import exceptions
from balsamwind.node import _engine_health
from balsamwind.node import _leader
from balsamwind.node import _prober
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind.relay import _attempt_sender
from balsamwind import traffic


WITNESS = 'vlm-2'
"""Engine that answers, so that the silence of others counts."""


class _SilentPlatform:
    """Platform whose engines do not answer, but for one."""

    store = None

    def __init__(self):
        self.probes = []

    async def fetch_engine_report(self, record, timeout):
        self.probes.append(record.server_id)
        if record.server_id == WITNESS:
            return pool.ServerReport(record.born, 1)
        raise exceptions.AnswerTimeout('silent')


def _make_engine(name, service):
    membership = pool.Membership('m.z1.1', 1, 1, pool.MemberState.READY)
    return pool.ServerRecord(
        name, service, 'x:1', 'z1', membership=membership, revision=1
    )


def test_failures_of_engines_of_two_services_are_remembered(monkeypatch):
    """A round probes the engines of all services, not of one at a time."""
    clock = doubles.Clock()
    platform = _SilentPlatform()
    registry = pool.ServerRegistry()
    profile = traffic.EngineProfile((traffic.ModelProfile('m', 2),))
    cache = traffic.ConfigurationCache(4.6)
    services = tuple(
        traffic.Service(name, engine=profile) for name in ('llm', 'vlm')
    )
    cache.accept(traffic.Configuration(3, (), services), clock.now)
    engines = [_make_engine(f'{name}-1', name) for name in ('llm', 'vlm')]
    for engine in [*engines, _make_engine(WITNESS, 'vlm')]:
        registry.apply_entry(engine, clock.now)
    leader = _leader.ShardLeader(
        'z1',
        helpers.make_settings('n1', 1),
        platform,
        cache,
        registry,
        types.SimpleNamespace(peers=_attempt_sender.NoPeerService()),
        clock,
        doubles.Log(),
        lambda: None,
    )
    monkeypatch.setattr(leader, '_plan_service', lambda *arguments: None)

    async def run_rounds():
        for _ in range(_engine_health.FAILURE_THRESHOLD):
            leader._run_round()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            clock.now += _prober.PROBE_INTERVAL

    asyncio.run(run_rounds())
    assert leader._prober.down == {'llm-1', 'vlm-1'}


class _ListingPlatform:
    """Platform that lists one engine."""

    store = None

    async def list_servers(self, timeout):
        return 5, [_make_engine('llm-1', 'llm')]


def test_list_of_a_new_leader_is_published():
    """No later list would show its changes to the subscribers."""
    clock = doubles.Clock()
    registry = pool.ServerRegistry()
    registry.apply_entry(_make_engine('llm-2', 'llm'), clock.now)
    published = []
    leader = _leader.ShardLeader(
        'z1',
        helpers.make_settings('n1', 1),
        _ListingPlatform(),
        traffic.ConfigurationCache(4.6),
        registry,
        None,
        clock,
        doubles.Log(),
        lambda: published.append(
            (registry.listing.changed, registry.listing.removed)
        ),
    )
    asyncio.run(leader._has_listed_since_takeover())
    [(changed, removed)] = published
    assert changed == (_make_engine('llm-1', 'llm'),)
    assert [item.server_id for item in removed] == ['llm-2']


def test_counts_of_an_earlier_lease_are_forgotten():
    prober = _prober.Prober(
        None, pool.ServerRegistry(), doubles.Clock(), doubles.Log()
    )
    prober.requests['e1'] = 7
    prober.reset()
    assert prober.requests == {}
