"""The newest version wins, whatever the order of arrival."""

import pytest

from balsamwind import catalogue
from balsamwind import objects
from balsamwind import ports


def make_stored(revision, holder='a'):
    value = None if holder is None else objects.Lease('s', holder, 1, 1.0)
    return objects.Stored('lease', 's', revision, value)


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
    known = catalogue.Catalogue()
    for version in versions:
        known.apply(make_stored(*version), 0.0)
    assert known.expected('lease', 's') == revision
    value = known.value('lease', 's')
    assert (value.holder if value else None) == holder


def test_stale_list_is_not_followed():
    known = catalogue.Catalogue()
    known.apply_changes(ports.Snapshot(5, (make_stored(5, 'b'),)), 0.0)
    known.apply_list(ports.Snapshot(3, ()), ('lease',), 1.0)
    assert known.value('lease', 's').holder == 'b'
    assert known.restored


def test_list_deletes_what_it_lacks():
    known = catalogue.Catalogue()
    known.apply(make_stored(2, 'a'), 0.0)
    known.apply_list(ports.Snapshot(4, ()), ('lease',), 1.0)
    assert known.value('lease', 's') is None
    assert known.revision == 4


def test_list_at_the_known_revision_is_followed():
    known = catalogue.Catalogue()
    known.apply_from_peer(0, 4, (make_stored(2, 'a'),), 0.0)
    assert known.apply_list(ports.Snapshot(4, ()), ('lease',), 1.0)
    assert known.value('lease', 's') is None
