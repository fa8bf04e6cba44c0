"""Registration of nodes and choice of the node that reads the platform."""

import asyncio
import dataclasses
import random

import pytest

from balsamwind import catalogue
from balsamwind.entry import _platform_sync
from balsamwind.entry import _registration
from balsamwind.entry.tests import in_memory_fleet
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

OWN_NODE = objects.Node('a', 'dc', 'h:1', 'second')
PREVIOUS_INCARNATION = dataclasses.replace(OWN_NODE, incarnation='first')
AFTER_REMOVAL_TIMEOUT = _registration.REMOVAL_TIMEOUT + 1.0


def make_node(name, revision=4):
    value = objects.Node(name, 'dc', 'h:2', 'i')
    return objects.ObjectVersion('node', name, revision, value)


@pytest.mark.parametrize(
    'known, decisions',
    [
        (None, [_registration.RegisterNode(OWN_NODE, 0)]),
        (PREVIOUS_INCARNATION, [_registration.RegisterNode(OWN_NODE, 7)]),
        (OWN_NODE, []),
    ],
)
def test_own_node_is_registered_if_missing_or_changed(known, decisions):
    known_objects = catalogue.ObjectCache()
    registry = peers.PeerRegistry('a', 'dc', 3.0)
    if known is not None:
        known_objects.apply(objects.ObjectVersion('node', 'a', 7, known), 0.0)
    assert decisions == _registration.plan_registrations(
        known_objects, registry, OWN_NODE, 1.0
    )


@pytest.mark.parametrize(
    'last_contact_at, seen_at, removed',
    [
        (None, 0.0, True),
        (None, AFTER_REMOVAL_TIMEOUT - 10.0, False),
        (AFTER_REMOVAL_TIMEOUT - 1.0, 0.0, False),
        (AFTER_REMOVAL_TIMEOUT - 100.0, 0.0, False),
        (0.0, 0.0, True),
    ],
)
def test_silent_node_is_removed_after_timeout(
    last_contact_at, seen_at, removed
):
    known = catalogue.ObjectCache()
    known.apply(objects.ObjectVersion('node', 'a', 2, OWN_NODE), 0.0)
    known.apply(make_node('b'), seen_at)
    registry = peers.PeerRegistry('a', 'dc', 3.0)
    if last_contact_at is not None:
        registry.record_contact('b', 'dc', last_contact_at)
    decisions = _registration.plan_registrations(
        known, registry, OWN_NODE, AFTER_REMOVAL_TIMEOUT
    )
    expected = [_registration.RemoveNode('b', 4)] if removed else []
    assert decisions == expected


def test_only_one_live_node_removes_a_dead_node():
    removers = []
    names = ('a', 'b', 'c', 'd')
    for name in names:
        own_node = objects.Node(name, 'dc', 'h:1', 'i')
        known = catalogue.ObjectCache()
        known.apply(objects.ObjectVersion('node', name, 2, own_node), 0.0)
        known.apply(make_node('gone'), 0.0)
        registry = peers.PeerRegistry(name, 'dc', 3.0)
        for other in names:
            if other != name:
                registry.record_contact(other, 'dc', AFTER_REMOVAL_TIMEOUT)
        planned = _registration.plan_registrations(
            known, registry, own_node, AFTER_REMOVAL_TIMEOUT
        )
        removers += [name] * len(planned)
    assert len(removers) == 1


@pytest.mark.parametrize('cut', [False, True])
def test_one_node_of_a_data_centre_reads_the_platform(cut):
    fleet = in_memory_fleet.Fleet(a='dc1', b='dc1', c='dc1', d='dc2')
    fleet.connect()
    initial_readers = [
        n for n, node in fleet.nodes.items() if should_read_store(node)
    ]
    assert sorted(initial_readers) == ['a', 'b', 'c', 'd']
    chosen = [n for n in 'abc' if fleet[n].entry.is_platform_reader()]
    assert len(chosen) == 1
    fleet[chosen[0]].store_watcher.is_watching = True
    fleet.send_heartbeats()
    readers = [n for n, node in fleet.nodes.items() if should_read_store(node)]
    assert sorted(readers) == sorted([*chosen, 'd'])
    if cut:
        fleet.isolate(chosen[0])
        fleet.send_heartbeats(4.0)
        assert 'd' in [n for n in 'abcd' if should_read_store(fleet[n])]
        others = [n for n in 'abc' if n != chosen[0]]
        assert any(should_read_store(fleet[n]) for n in others)


def test_renewed_leases_are_sent_with_the_heartbeat():
    fleet = in_memory_fleet.Fleet(a='dc1', b='dc1', c='dc2')
    for node in fleet.nodes.values():
        node.list_store(5)
    fleet.connect()
    watcher = fleet['a'].store_watcher
    lease = objects.ObjectVersion(
        'lease', 's', 6, objects.Lease('s', 'a', 1, 1.0)
    )
    for stored, known_revision in ((lease, 5), (make_node('x', 7), 7)):
        watcher._store = FakeStore(ports.Snapshot(stored.revision, (stored,)))
        assert asyncio.run(watcher._watch())
        assert fleet['b'].entry.catalogue.revision == known_revision
    assert fleet['b'].entry.catalogue.get_value('lease', 's') == lease.value
    assert fleet['c'].entry.catalogue.revision == 5
    lease = objects.ObjectVersion(
        'lease', 's', 8, objects.Lease('s', 'b', 2, 1.0)
    )
    watcher._store = FakeStore(ports.Snapshot(8, (lease,)))
    assert asyncio.run(watcher._watch())
    fleet.send_heartbeats()
    assert fleet['b'].entry.catalogue.get_value('lease', 's') == lease.value


def should_read_store(node):
    """Whether a node of the fleet should read the store itself."""
    return node.entry.registry.should_read_store(node.entry.clock.now)


class FakeStore:
    """Returns or raises scripted answers and records the calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def list(self, kinds):
        self.calls.append('list')
        return self._take()

    async def watch(self, kinds, since):
        self.calls.append(since)
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
def test_store_is_listed_again_after_failed_watch(
    monkeypatch, answers, asked, revision, state
):
    waits = []

    async def wait(backoff, is_reader):
        waits.append(is_reader)

    monkeypatch.setattr(_platform_sync._Backoff, 'wait', wait)
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
    node = in_memory_fleet.Fleet(a='dc')['a']
    watcher = _platform_sync.StoreWatcher(node.entry, store, random.Random(1))
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(watcher.run())
    assert store.calls == asked
    assert node.entry.catalogue.revision == revision
    if state:
        assert node.entry.catalogue.store_state.value == state
    assert len(waits) == sum(a == 'list' for a in asked) - 1
