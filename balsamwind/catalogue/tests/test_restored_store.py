"""A store restored from an older state is detected and not followed."""

import pytest

from balsamwind import catalogue
from balsamwind import objects
from balsamwind import ports

KINDS = ('contract', 'epoch', 'lease')
BEYOND_REPLICA_LAG = catalogue.MAX_REPLICA_LAG + 1.0


def make_contract(name, revision):
    contract = objects.Contract(
        name, ('0' * 64,), '2020-01-01T00:00:00Z', '2099-01-01T00:00:00Z'
    )
    return objects.ObjectVersion('contract', name, revision, contract)


def make_lease(name, revision, holder='a'):
    value = None if holder is None else objects.Lease(name, holder, 1, 1.0)
    return objects.ObjectVersion('lease', name, revision, value)


def make_epoch(number, revision):
    return objects.ObjectVersion(
        'epoch', objects.EPOCH_NAME, revision, objects.Epoch(number)
    )


def make_cache():
    """Cache at revision 10 with lease s at 3 and lease t at 8."""
    cache = catalogue.ObjectCache()
    items = (make_lease('s', 3), make_lease('t', 8))
    cache.apply_list(ports.Snapshot(10, items), KINDS, 0.0)
    return cache


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
def test_list_is_compared_with_the_cache(revision, items, state):
    cache = make_cache()
    snapshot = ports.Snapshot(revision, tuple(make_lease(*i) for i in items))
    applied = cache.apply_list(snapshot, KINDS, 1.0)
    assert cache.store_state.value == state
    assert applied == (state == 'current')
    assert cache.possibly_restored == (state != 'current')
    if state != 'current':
        assert cache.get_expected_revision('lease', 's') == 3
        assert cache.get_expected_revision('lease', 't') == 8
        assert cache.revision == 10


@pytest.mark.parametrize(
    'time_behind, contracts, leases, state',
    [
        (1.0, [('c', 11)], [('s', 3, 'a')], 'current'),
        (1.0, [], [('s', 3, 'a')], 'current'),
        (
            BEYOND_REPLICA_LAG,
            [('c', 11)],
            [('s', 3, 'a'), ('t', 8, 'a')],
            'current',
        ),
        (BEYOND_REPLICA_LAG, [('c', 11)], [('s', 3, 'a')], 'current'),
        (
            BEYOND_REPLICA_LAG,
            [('c', 12)],
            [('s', 3, 'a'), ('t', 11, 'b')],
            'current',
        ),
        (BEYOND_REPLICA_LAG, [], [('s', 3, 'a'), ('t', 8, 'a')], 'diverged'),
        (
            BEYOND_REPLICA_LAG,
            [('c', 11)],
            [('s', 2, 'a'), ('t', 8, 'a')],
            'diverged',
        ),
    ],
)
def test_store_that_was_behind(time_behind, contracts, leases, state):
    cache = make_cache()
    cache.apply(make_contract('c', 11), 0.0)
    cache.apply_list(ports.Snapshot(4, ()), KINDS, 1.0)
    items = [make_contract(*c) for c in contracts]
    items += [make_lease(*i) for i in leases]
    snapshot = ports.Snapshot(12, tuple(items))
    cache.apply_list(snapshot, KINDS, 1.0 + time_behind)
    assert cache.store_state.value == state


def test_only_a_new_epoch_ends_a_divergence():
    cache = make_cache()
    seen = []
    cache.add_listener(seen.append)
    other = ports.Snapshot(12, (make_lease('s', 3, 'b'),))
    same = ports.Snapshot(13, (make_lease('s', 3), make_lease('t', 8)))
    for snapshot in (other, same):
        assert not cache.apply_list(snapshot, KINDS, 1.0)
    assert cache.store_state is catalogue.StoreState.DIVERGED
    new_history = (make_lease('s', 3, 'b'), make_epoch(1, 5))
    assert cache.apply_list(ports.Snapshot(5, new_history), KINDS, 2.0)
    assert cache.store_state is catalogue.StoreState.CURRENT
    assert cache.get_value('lease', 's').holder == 'b'
    assert cache.get('lease', 't') is None
    assert (cache.revision, cache.epoch) == (5, 1)
    assert ('lease', 't') in [stored.key for stored in seen]


def test_older_epoch_is_rejected():
    cache = catalogue.ObjectCache()
    snapshot = ports.Snapshot(5, (make_epoch(2, 4), make_lease('s', 5)))
    cache.apply_list(snapshot, KINDS, 0.0)
    for items in ((), (make_epoch(1, 7),)):
        assert not cache.apply_list(ports.Snapshot(9, items), KINDS, 1.0)
    assert cache.get_expected_revision('lease', 's') == 5
    assert cache.store_state is catalogue.StoreState.BEHIND


def test_new_epoch_is_received_from_a_peer():
    cache = make_cache()
    new_history = (make_epoch(1, 5), make_lease('s', 4, 'b'))
    assert not cache.apply_from_peer(3, 5, new_history, 1.0)
    assert cache.apply_from_peer(0, 5, new_history, 1.0)
    assert (cache.revision, cache.epoch) == (5, 1)
    assert cache.get('lease', 't') is None
    old_items = (make_lease('t', 8),)
    assert not cache.apply_from_peer(0, 10, old_items, 2.0)
    assert cache.get('lease', 't') is None


def test_watch_response_with_new_epoch_requires_a_list():
    cache = make_cache()
    answer = ports.Snapshot(11, (make_epoch(1, 11),))
    assert not cache.apply_changes(answer, 1.0, 10)
    assert cache.epoch == 0


@pytest.mark.parametrize(
    'revision, since, applied',
    [(11, 10, True), (10, 10, True), (9, 10, False)],
)
def test_watch_response_older_than_requested(revision, since, applied):
    cache = make_cache()
    answer = ports.Snapshot(revision, (make_lease('s', 2, 'b'),))
    assert cache.apply_changes(answer, 1.0, since) == applied
    assert cache.get_expected_revision('lease', 's') == 3


def test_unreadable_object_does_not_delete_the_known_version():
    cache = make_cache()
    snapshot = ports.Snapshot(12, (make_lease('t', 8),), (('lease', 's'),))
    assert cache.apply_list(snapshot, KINDS, 1.0)
    assert cache.get_expected_revision('lease', 's') == 3
    assert cache.unreadable == [('lease', 's')]
    cache.apply(make_lease('s', 13, 'c'), 2.0)
    assert cache.unreadable == []


def test_store_restores_fields_that_an_older_peer_dropped():
    cache = catalogue.ObjectCache()
    cache.apply_from_peer(0, 5, (make_lease('s', 5, 'less'),), 0.0)
    snapshot = ports.Snapshot(5, (make_lease('s', 5, 'more'),))
    assert cache.apply_list(snapshot, KINDS, 1.0)
    assert cache.get_value('lease', 's').holder == 'more'
