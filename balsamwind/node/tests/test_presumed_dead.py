"""When a leader takes the head of an open group for dead."""

import asyncio
import dataclasses
import random
import types

import pytest

from balsamwind import exceptions
from balsamwind.node import _entry_contact
from balsamwind.node import _leader
from balsamwind.node import _settings
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic

PROFILE = traffic.EngineProfile((traffic.ModelProfile('m', 2),))

ROUND_TIME = 0.1
"""Time between two rounds of the leader (seconds)."""

ANSWERS = relay.Reach.ANSWERS
SILENT = relay.Reach.SILENT
UNKNOWN = relay.Reach.UNKNOWN
GONE = exceptions.PeerUnavailable('gone')


def _make_engine(name, rank, state=pool.MemberState.READY, number=1):
    membership = pool.Membership(f'm.z1.{number}', number, rank, state)
    return pool.ServerRecord(
        name,
        'llm',
        '127.0.0.1:1',
        'z1',
        domain='d1',
        membership=membership,
        revision=1,
    )


class _Platform:
    """Engines that answer the leader, but for the head."""

    store = None

    async def fetch_engine_report(self, record, timeout):
        if record.server_id == 'head':
            raise exceptions.AnswerTimeout('silent')
        return pool.ServerReport(record.born, 1, membership=record.membership)


@dataclasses.dataclass(slots=True, frozen=True)
class _Late:
    """Opinion of a node that gives no reply for a while (seconds)."""

    opinion: relay.Reach
    silent_for: float


class _Peers:
    """Other nodes, of which some reach the head."""

    def __init__(self, opinions, clock):
        self.opinions = opinions
        self.clock = clock
        self._began_at = clock.now

    async def ask(self, address, query):
        opinion = self.opinions[address]
        if isinstance(opinion, _Late):
            if self.clock.now < self._began_at + opinion.silent_for:
                raise GONE
            return opinion.opinion
        if isinstance(opinion, Exception):
            raise opinion
        return opinion


class _Shard:
    """Leader of a shard whose head it does not reach."""

    def __init__(self, opinions, monkeypatch):
        self.clock = doubles.Clock()
        self.registry = pool.ServerRegistry()
        self.contact = _entry_contact.EntryContact(self.registry, self.clock)
        cache = traffic.ConfigurationCache(4.6)
        service = traffic.Service('llm', engine=PROFILE)
        cache.accept(traffic.Configuration(3, (), (service,)), 0.0)
        for engine in (
            _make_engine('head', 0, pool.MemberState.OPEN),
            _make_engine('member', 1),
            _make_engine('other', 0, pool.MemberState.OPEN, 2),
        ):
            self.registry.apply_entry(engine, self.clock.now)
        selector = relay.PeerSelector('z1', random.Random(1))
        selector.set_peers(relay.Peer(address, 'z1') for address in opinions)
        request_relay = types.SimpleNamespace(
            peers=relay.PeerService(
                selector, _Peers(opinions, self.clock), self.clock
            )
        )
        self.selector = selector
        bounds = _settings.Bounds(stall=4.0, heartbeat=1.2)
        self.leader = _leader.ShardLeader(
            'z1',
            dataclasses.replace(helpers.make_settings('n1', 1), bounds=bounds),
            _Platform(),
            cache,
            self.registry,
            request_relay,
            self.clock,
            doubles.Log(),
            lambda: None,
        )
        self.leader.heads.heard_of_entries_for = self.contact.find_time_heard
        monkeypatch.setattr(
            self.leader, '_plan_service', lambda *arguments: None
        )

    def is_presumed_dead(self):
        """Whether the members of the head's group may join another one."""
        record = self.registry.get('head')
        silent, doubtful = self.leader.heads.find_silent_heads(
            [record], self.leader._break_time
        )
        self.is_doubtful = 'head' in doubtful
        return 'head' in silent

    async def run(self, seconds):
        """Play rounds; the times after which the head was taken for dead."""
        found = []
        for number in range(round(seconds / ROUND_TIME)):
            self.contact.record_answer()
            self.leader._run_round()
            for _ in range(20):
                await asyncio.sleep(0)
            self.clock.now += ROUND_TIME
            if self.is_presumed_dead():
                found.append(number * ROUND_TIME)
        return found


def _make_opinions(*opinions):
    return {f'n{number}:1': item for number, item in enumerate(opinions)}


@pytest.mark.parametrize(
    'opinions',
    [
        pytest.param([ANSWERS, SILENT, SILENT, SILENT, SILENT], id='one'),
        pytest.param(
            [ANSWERS, GONE, SILENT, SILENT, SILENT], id='one, a lost'
        ),
        pytest.param([ANSWERS, ANSWERS, SILENT, SILENT, SILENT], id='two'),
    ],
)
@pytest.mark.parametrize('missing_for', [0.0, 10.0])
def test_head_that_some_node_reaches_is_not_taken_for_dead(
    monkeypatch, opinions, missing_for
):
    # Its entry had expired, three nodes drawn at random had lost their path
    # as well, and its members were ordered to join another group (TWO).
    async def scenario():
        shard = _Shard(_make_opinions(*opinions), monkeypatch)
        await shard.run(1.0)
        shard.registry.mark_unlisted('head', shard.clock.now - missing_for)
        return await shard.run(12.0)

    assert asyncio.run(scenario()) == []


@pytest.mark.parametrize(
    'opinions',
    [
        pytest.param([_Late(ANSWERS, 5.0), *[SILENT] * 4], id='paused'),
        pytest.param([_Late(ANSWERS, 2.0), *[SILENT] * 4], id='restarted'),
        pytest.param(
            [_Late(ANSWERS, 5.0), _Late(ANSWERS, 5.0), *[SILENT] * 3],
            id='two are paused',
        ),
        pytest.param([_Late(ANSWERS, 5.0)], id='the only other node'),
    ],
)
def test_node_that_gave_no_reply_was_taken_for_one_that_reaches_nothing(
    monkeypatch, opinions
):
    # The head served it again a moment later, while its members were ordered
    # to join another group (TWO).
    async def scenario():
        shard = _Shard(_make_opinions(*opinions), monkeypatch)
        shard.registry.mark_unlisted('head', shard.clock.now - 10.0)
        return await shard.run(12.0)

    assert asyncio.run(scenario()) == []


@pytest.mark.parametrize('others', [[], [SILENT] * 4, [UNKNOWN] * 4])
def test_node_that_knows_nothing_was_taken_for_one_that_reaches_nothing(
    monkeypatch, others
):
    # It had just started, or its own path was lost. The head was sound, and
    # its members were ordered to join another group (TWO).
    async def scenario():
        shard = _Shard(_make_opinions(UNKNOWN, *others), monkeypatch)
        shard.registry.mark_unlisted('head', shard.clock.now - 10.0)
        return await shard.run(12.0), shard.is_doubtful

    times, is_doubtful = asyncio.run(scenario())
    assert times == []
    # Its members are not held for good: they leave, and wait.
    assert is_doubtful


def test_nodes_that_carried_nothing_were_not_asked(monkeypatch):
    # All were passed over, so that none was left who had to be asked (TWO).
    async def scenario():
        shard = _Shard(_make_opinions(*[ANSWERS] * 5), monkeypatch)
        for address in _make_opinions(*[ANSWERS] * 5):
            for _ in range(4):
                shard.selector.record_not_carried(
                    'llm', address, False, shard.clock.now
                )
        shard.registry.mark_unlisted('head', shard.clock.now - 10.0)
        return await shard.run(6.0)

    assert asyncio.run(scenario()) == []


@pytest.mark.parametrize('silent', [1, 2, 5])
def test_dead_head_waited_for_nodes_that_are_gone_for_good(
    monkeypatch, silent
):
    # Its members would serve nothing for as long as a lost node is listed.
    async def scenario():
        opinions = _make_opinions(*[GONE] * silent, *[SILENT] * (5 - silent))
        shard = _Shard(opinions, monkeypatch)
        shard.registry.mark_unlisted('head', shard.clock.now)
        return await shard.run(12.0)

    times = asyncio.run(scenario())
    assert 4.0 <= times[0] <= 9.0
    assert times[-1] > 11.8


@pytest.mark.parametrize('count', [0, 1, 5, 20])
def test_head_that_no_node_reaches_is_taken_for_dead_in_time(
    monkeypatch, count
):
    async def scenario():
        shard = _Shard(_make_opinions(*[SILENT] * count), monkeypatch)
        shard.registry.mark_unlisted('head', shard.clock.now)
        return await shard.run(8.0)

    times = asyncio.run(scenario())
    # The stall bound, from the first probe that failed: its entry is removed
    # when it leaves, too, while it serves on.
    assert 4.0 <= times[0] <= 4.5
    assert times[-1] > 7.8


def test_missing_entry_shows_nothing_after_an_outage_of_the_store(monkeypatch):
    # A head that had gone dark a moment before the store came back was taken
    # for one that had been silent for two heartbeats (TWO).
    async def scenario():
        shard = _Shard(_make_opinions(SILENT, SILENT), monkeypatch)
        shard.clock.now += 5.0
        shard.registry.mark_unlisted('head', shard.clock.now)
        return await shard.run(6.0)

    times = asyncio.run(scenario())
    # The stall bound, from the first probe that failed.
    assert times[0] >= 4.0
