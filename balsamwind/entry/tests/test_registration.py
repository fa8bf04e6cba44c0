"""Registration of nodes, and which node follows the platform."""

import asyncio
import dataclasses
import random

import pytest

from balsamwind import catalogue
from balsamwind.entry import _platform_follower
from balsamwind.entry import _registration
from balsamwind.entry.tests import parts
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

OWN = objects.Node('a', 'dc', 'h:1', 'second')
BEFORE = dataclasses.replace(OWN, incarnation='first')
LONG = _registration.GONE_AFTER + 1.0


def make_node(name, revision=4):
    value = objects.Node(name, 'dc', 'h:2', 'i')
    return objects.Stored('node', name, revision, value)


@pytest.mark.parametrize(
    'known, decisions',
    [
        (None, [_registration.Register(OWN, 0)]),
        (BEFORE, [_registration.Register(OWN, 7)]),
        (OWN, []),
    ],
)
def test_own_object(known, decisions):
    objects_known = catalogue.Catalogue()
    registry = peers.PeerRegistry('a', 'dc', 3.0)
    if known is not None:
        objects_known.apply(objects.Stored('node', 'a', 7, known), 0.0)
    assert decisions == _registration.plan_registrations(
        objects_known, registry, OWN, 1.0
    )


@pytest.mark.parametrize(
    'heard_at, seen_at, removed',
    [
        (None, 0.0, True),
        (None, LONG - 10.0, False),
        (LONG - 1.0, 0.0, False),
        (LONG - 100.0, 0.0, False),
        (0.0, 0.0, True),
    ],
)
def test_silent_node_is_removed_after_long(heard_at, seen_at, removed):
    known = catalogue.Catalogue()
    known.apply(objects.Stored('node', 'a', 2, OWN), 0.0)
    known.apply(make_node('b'), seen_at)
    registry = peers.PeerRegistry('a', 'dc', 3.0)
    if heard_at is not None:
        registry.hear('b', 'dc', heard_at)
    decisions = _registration.plan_registrations(known, registry, OWN, LONG)
    wanted = [_registration.Remove('b', 4)] if removed else []
    assert decisions == wanted


def test_one_living_node_removes():
    removers = []
    names = ('a', 'b', 'c', 'd')
    for name in names:
        own = objects.Node(name, 'dc', 'h:1', 'i')
        known = catalogue.Catalogue()
        known.apply(objects.Stored('node', name, 2, own), 0.0)
        known.apply(make_node('gone'), 0.0)
        registry = peers.PeerRegistry(name, 'dc', 3.0)
        for other in names:
            if other != name:
                registry.hear(other, 'dc', LONG)
        planned = _registration.plan_registrations(known, registry, own, LONG)
        removers += [name] * len(planned)
    assert len(removers) == 1


@pytest.mark.parametrize('cut', [False, True])
def test_one_node_of_a_data_centre_follows_the_platform(cut):
    fleet = parts.Fleet(a='dc1', b='dc1', c='dc1', d='dc2')
    fleet.connect()
    first = [n for n, node in fleet.nodes.items() if is_reader(node)]
    assert sorted(first) == ['a', 'b', 'c', 'd']
    chosen = [n for n in 'abc' if fleet[n].entry.is_platform_reader()]
    assert len(chosen) == 1
    fleet[chosen[0]].store.reading = True
    fleet.beat()
    readers = [n for n, node in fleet.nodes.items() if is_reader(node)]
    assert sorted(readers) == sorted([*chosen, 'd'])
    if cut:
        fleet.isolate(chosen[0])
        fleet.beat(4.0)
        assert 'd' in [n for n in 'abcd' if is_reader(fleet[n])]
        others = [n for n in 'abc' if n != chosen[0]]
        assert any(is_reader(fleet[n]) for n in others)


def test_renewed_leases_wait_for_the_heartbeat():
    fleet = parts.Fleet(a='dc1', b='dc1', c='dc2')
    for node in fleet.nodes.values():
        node.list_store(5)
    fleet.connect()
    reader = fleet['a'].store
    lease = objects.Stored('lease', 's', 6, objects.Lease('s', 'a', 1, 1.0))
    for stored, told in ((lease, 5), (make_node('x', 7), 7)):
        reader._store = FakeStore(ports.Snapshot(stored.revision, (stored,)))
        assert asyncio.run(reader._watch())
        assert fleet['b'].entry.catalogue.revision == told
    assert fleet['b'].entry.catalogue.value('lease', 's') == lease.value
    assert fleet['c'].entry.catalogue.revision == 5
    lease = objects.Stored('lease', 's', 8, objects.Lease('s', 'b', 2, 1.0))
    reader._store = FakeStore(ports.Snapshot(8, (lease,)))
    assert asyncio.run(reader._watch())
    fleet.beat()
    assert fleet['b'].entry.catalogue.value('lease', 's') == lease.value


def is_reader(node):
    return node.entry.registry.is_store_reader(node.entry.clock.now)


class FakeStore:
    """Answers from a list; an exception is raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def list(self, kinds):
        self.asked.append('list')
        return self._take()

    async def watch(self, kinds, since):
        self.asked.append(since)
        return self._take()

    def _take(self):
        if not self.answers:
            raise asyncio.CancelledError
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.mark.parametrize(
    'answers, asked, revision, state',
    [
        ([(5,), (6,), (7,)], ['list', 5, 6, 7], 7, 'current'),
        ([(5,), 'gone', (9,)], ['list', 5, 'list', 9], 9, 'current'),
        (
            [(5,), 'down', 'down', (9,)],
            ['list', 5] + ['list'] * 2 + [9],
            9,
            '',
        ),
        ([(5,), 'gone', (3,), (4,)], ['list', 5] + ['list'] * 3, 5, 'behind'),
        ([(5,), (4,), (6,)], ['list', 5, 'list', 6], 6, 'current'),
    ],
)
def test_store_is_followed(monkeypatch, answers, asked, revision, state):
    waits = []

    async def wait(backoff, chosen):
        waits.append(chosen)

    monkeypatch.setattr(_platform_follower._Backoff, 'wait', wait)
    faults = {
        'gone': exceptions.HistoryGone('gone'),
        'down': exceptions.StoreError('down'),
    }
    store = FakeStore(
        *(
            faults[a] if isinstance(a, str) else ports.Snapshot(a[0], ())
            for a in answers
        )
    )
    node = parts.Fleet(a='dc')['a']
    follower = _platform_follower.StoreFollower(
        node.entry, store, random.Random(1)
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(follower.run())
    assert store.asked == asked
    assert node.entry.catalogue.revision == revision
    if state:
        assert node.entry.catalogue.store_state.value == state
    assert len(waits) == sum(a == 'list' for a in asked) - 1
