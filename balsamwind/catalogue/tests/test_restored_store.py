"""A restored store raises an alarm and is not followed."""

import pytest

from balsamwind import catalogue
from balsamwind import objects
from balsamwind import ports

KINDS = ('contract', 'epoch', 'lease')
LONG = catalogue.BEHIND_LIMIT + 1.0


def make_contract(name, revision):
    contract = objects.Contract(
        name, ('0' * 64,), '2020-01-01T00:00:00Z', '2099-01-01T00:00:00Z'
    )
    return objects.Stored('contract', name, revision, contract)


def make_lease(name, revision, holder='a'):
    value = None if holder is None else objects.Lease(name, holder, 1, 1.0)
    return objects.Stored('lease', name, revision, value)


def make_epoch(number, revision):
    return objects.Stored(
        'epoch', objects.EPOCH_NAME, revision, objects.Epoch(number)
    )


def make_known():
    """Knows lease s at 3 and lease t at 8; the store is at 10."""
    known = catalogue.Catalogue()
    items = (make_lease('s', 3), make_lease('t', 8))
    known.apply_list(ports.Snapshot(10, items), KINDS, 0.0)
    return known


@pytest.mark.parametrize(
    'revision, items, state',
    [
        (10, [('s', 3, 'a'), ('t', 8, 'a')], 'current'),
        (12, [('s', 3, 'a'), ('t', 11, 'b')], 'current'),
        (12, [('s', 3, 'a')], 'current'),
        (9, [('s', 3, 'a'), ('t', 8, 'a')], 'behind'),
        (5, [('s', 3, 'a')], 'behind'),
        (12, [('s', 3, 'b'), ('t', 8, 'a')], 'diverged'),
        (12, [('s', 3, 'a'), ('t', 7, 'a')], 'diverged'),
        (10, [('s', 2, 'a'), ('t', 8, 'a')], 'diverged'),
    ],
)
def test_list_against_what_is_known(revision, items, state):
    known = make_known()
    snapshot = ports.Snapshot(revision, tuple(make_lease(*i) for i in items))
    followed = known.apply_list(snapshot, KINDS, 1.0)
    assert known.store_state.value == state
    assert followed == (state == 'current')
    assert known.restored == (state != 'current')
    if state != 'current':
        assert known.expected('lease', 's') == 3
        assert known.expected('lease', 't') == 8
        assert known.revision == 10


@pytest.mark.parametrize(
    'behind_for, contracts, leases, state',
    [
        (1.0, [('c', 11)], [('s', 3, 'a')], 'current'),
        (1.0, [], [('s', 3, 'a')], 'current'),
        (LONG, [('c', 11)], [('s', 3, 'a'), ('t', 8, 'a')], 'current'),
        (LONG, [('c', 11)], [('s', 3, 'a')], 'current'),
        (LONG, [('c', 12)], [('s', 3, 'a'), ('t', 11, 'b')], 'current'),
        (LONG, [], [('s', 3, 'a'), ('t', 8, 'a')], 'diverged'),
        (LONG, [('c', 11)], [('s', 2, 'a'), ('t', 8, 'a')], 'diverged'),
    ],
)
def test_store_that_was_behind(behind_for, contracts, leases, state):
    known = make_known()
    known.apply(make_contract('c', 11), 0.0)
    known.apply_list(ports.Snapshot(4, ()), KINDS, 1.0)
    items = [make_contract(*c) for c in contracts]
    items += [make_lease(*i) for i in leases]
    snapshot = ports.Snapshot(12, tuple(items))
    known.apply_list(snapshot, KINDS, 1.0 + behind_for)
    assert known.store_state.value == state


def test_only_a_new_epoch_ends_a_divergence():
    known = make_known()
    seen = []
    known.listen(seen.append)
    other = ports.Snapshot(12, (make_lease('s', 3, 'b'),))
    same = ports.Snapshot(13, (make_lease('s', 3), make_lease('t', 8)))
    for snapshot in (other, same):
        assert not known.apply_list(snapshot, KINDS, 1.0)
    assert known.store_state is catalogue.StoreState.DIVERGED
    accepted = (make_lease('s', 3, 'b'), make_epoch(1, 5))
    assert known.apply_list(ports.Snapshot(5, accepted), KINDS, 2.0)
    assert known.store_state is catalogue.StoreState.CURRENT
    assert known.value('lease', 's').holder == 'b'
    assert known.get('lease', 't') is None
    assert (known.revision, known.epoch) == (5, 1)
    assert ('lease', 't') in [stored.key for stored in seen]


def test_older_epoch_is_not_followed():
    known = catalogue.Catalogue()
    snapshot = ports.Snapshot(5, (make_epoch(2, 4), make_lease('s', 5)))
    known.apply_list(snapshot, KINDS, 0.0)
    for items in ((), (make_epoch(1, 7),)):
        assert not known.apply_list(ports.Snapshot(9, items), KINDS, 1.0)
    assert known.expected('lease', 's') == 5
    assert known.store_state is catalogue.StoreState.BEHIND


def test_epoch_reaches_a_node_through_its_peers():
    known = make_known()
    accepted = (make_epoch(1, 5), make_lease('s', 4, 'b'))
    assert not known.apply_from_peer(3, 5, accepted, 1.0)
    assert known.apply_from_peer(0, 5, accepted, 1.0)
    assert (known.revision, known.epoch) == (5, 1)
    assert known.get('lease', 't') is None
    old = (make_lease('t', 8),)
    assert not known.apply_from_peer(0, 10, old, 2.0)
    assert known.get('lease', 't') is None


def test_watch_answer_with_a_new_epoch_asks_for_a_list():
    known = make_known()
    answer = ports.Snapshot(11, (make_epoch(1, 11),))
    assert not known.apply_changes(answer, 1.0, 10)
    assert known.epoch == 0


@pytest.mark.parametrize(
    'revision, since, goes_on',
    [(11, 10, True), (10, 10, True), (9, 10, False)],
)
def test_watch_answer_older_than_asked_for(revision, since, goes_on):
    known = make_known()
    answer = ports.Snapshot(revision, (make_lease('s', 2, 'b'),))
    assert known.apply_changes(answer, 1.0, since) == goes_on
    assert known.expected('lease', 's') == 3


def test_unreadable_object_does_not_delete_the_known_version():
    known = make_known()
    snapshot = ports.Snapshot(12, (make_lease('t', 8),), (('lease', 's'),))
    assert known.apply_list(snapshot, KINDS, 1.0)
    assert known.expected('lease', 's') == 3
    assert known.unreadable == [('lease', 's')]
    known.apply(make_lease('s', 13, 'c'), 2.0)
    assert known.unreadable == []


def test_store_corrects_what_an_older_peer_left_out():
    known = catalogue.Catalogue()
    known.apply_from_peer(0, 5, (make_lease('s', 5, 'less'),), 0.0)
    snapshot = ports.Snapshot(5, (make_lease('s', 5, 'more'),))
    assert known.apply_list(snapshot, KINDS, 1.0)
    assert known.value('lease', 's').holder == 'more'
