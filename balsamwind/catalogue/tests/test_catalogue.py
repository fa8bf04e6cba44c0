"""The newest version wins, regardless of the order of arrival."""

import pytest

from balsamwind import catalogue
from balsamwind import objects
from balsamwind import ports


def make_stored(revision, holder='a'):
    value = None if holder is None else objects.Lease('s', holder, 1, 1.0)
    return objects.ObjectVersion('lease', 's', revision, value)


@pytest.mark.parametrize(
    'versions, revision, holder',
    [
        ([(1, 'a'), (2, 'b')], 2, 'b'),
        ([(2, 'b'), (1, 'a')], 2, 'b'),
        ([(2, None), (1, 'a')], 0, None),
        ([(1, 'a'), (2, None), (3, 'c')], 3, 'c'),
    ],
)
def test_newest_version_wins(versions, revision, holder):
    cache = catalogue.ObjectCache()
    for version in versions:
        cache.apply(make_stored(*version), 0.0)
    assert cache.get_expected_revision('lease', 's') == revision
    value = cache.get_value('lease', 's')
    assert (value.holder if value else None) == holder


def test_stale_list_is_rejected():
    cache = catalogue.ObjectCache()
    cache.apply_changes(ports.Snapshot(5, (make_stored(5, 'b'),)), 0.0)
    cache.apply_list(ports.Snapshot(3, ()), ('lease',), 1.0)
    assert cache.get_value('lease', 's').holder == 'b'
    assert cache.possibly_restored


def test_object_missing_from_list_is_deleted():
    cache = catalogue.ObjectCache()
    cache.apply(make_stored(2, 'a'), 0.0)
    cache.apply_list(ports.Snapshot(4, ()), ('lease',), 1.0)
    assert cache.get_value('lease', 's') is None
    assert cache.revision == 4


def test_list_at_the_current_revision_is_applied():
    cache = catalogue.ObjectCache()
    cache.apply_from_peer(0, 4, (make_stored(2, 'a'),), 0.0)
    assert cache.apply_list(ports.Snapshot(4, ()), ('lease',), 1.0)
    assert cache.get_value('lease', 's') is None
