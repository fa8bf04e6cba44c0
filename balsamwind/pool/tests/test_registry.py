"""Registry of backend servers: lists, watches and reports."""

import dataclasses

import pytest

from balsamwind import pool


def _make_record(revision, state, server_id='e1'):
    membership = pool.Membership('m.dc.1', 1, 0, state)
    return pool.ServerRecord(
        server_id,
        'svc',
        '10.0.0.1:80',
        'dc',
        membership=membership,
        revision=revision,
    )


OPEN = pool.MemberState.OPEN
READY = pool.MemberState.READY


@pytest.mark.parametrize(
    ('changes', 'state', 'listed'),
    [
        # A watch starts at the revision of the first page of a list. It
        # therefore repeats changes that the second page already contains.
        ([_make_record(7, OPEN), _make_record(5, READY)], OPEN, True),
        ([_make_record(5, READY), _make_record(7, OPEN)], OPEN, True),
        ([_make_record(7, OPEN), pool.RemovedServer('e1', 6)], OPEN, True),
        ([_make_record(7, OPEN), pool.RemovedServer('e1', 7)], OPEN, False),
        ([_make_record(7, OPEN), pool.RemovedServer('e1', 9)], OPEN, False),
    ],
)
def test_newest_revision_wins(changes, state, listed):
    registry = pool.ServerRegistry()
    for change in changes:
        if isinstance(change, pool.RemovedServer):
            registry.apply_removal(change, 0.0)
        else:
            registry.apply_entry(change, 0.0)
    record = registry.get('e1')
    assert record.membership.state is state
    assert record.listed is listed


def test_unlisted_entries_are_kept_after_an_outage():
    registry = pool.ServerRegistry()
    registry.apply_entry(_make_record(7, OPEN), 0.0)
    registry.start_relisting_grace(10.0)
    registry.apply_full_list([], 11.0)
    assert registry.get('e1').listed
    registry.apply_full_list([], 13.0)
    assert not registry.get('e1').listed
    assert registry.unlisted_for('e1', 14.0) == 1.0


def test_unlisted_entries_expire():
    registry = pool.ServerRegistry()
    registry.apply_entry(_make_record(7, OPEN), 0.0)
    registry.mark_unlisted('e1', 10.0)
    registry.evict_expired(20.0)
    assert registry.get('e1') is not None
    registry.evict_expired(100.0)
    assert registry.get('e1') is None


@pytest.mark.parametrize(
    ('born', 'listed', 'kept', 'state'),
    [
        pytest.param(
            5, False, True, READY, id='the same start of an unlisted server'
        ),
        pytest.param(
            5, True, True, OPEN, id='a listed server keeps its entry'
        ),
        pytest.param(
            6, False, False, None, id='an unlisted server has restarted'
        ),
        pytest.param(6, True, False, OPEN, id='a listed server has restarted'),
    ],
)
def test_reports_update_unlisted_entries(born, listed, kept, state):
    registry = pool.ServerRegistry()
    registry.apply_entry(
        dataclasses.replace(_make_record(7, OPEN), born=5), 0.0
    )
    if not listed:
        registry.mark_unlisted('e1', 1.0)
    report = pool.ServerReport(
        born, 3, membership=pool.Membership('m.dc.1', 1, 0, READY)
    )
    assert registry.apply_report('e1', report) is kept
    record = registry.get('e1')
    assert (record and record.membership.state) is state


def _make_started(born, revision=5):
    return dataclasses.replace(_make_record(revision, OPEN), born=born)


@pytest.mark.parametrize(
    ('steps', 'usable'),
    [
        pytest.param([_make_started(7)], True, id='nothing said'),
        pytest.param([_make_started(7), 7], False, id='said so'),
        pytest.param([7, _make_started(7)], False, id='before its entry'),
        pytest.param(
            [_make_started(7), 7, _make_started(7, 9)],
            False,
            id='entry that still says ready',
        ),
        pytest.param(
            [_make_started(7), 7, _make_started(8, 9)], True, id='new start'
        ),
        pytest.param(
            [_make_started(8), 7], True, id='said by an earlier start'
        ),
        pytest.param(
            [_make_started(8), 8, 7], False, id='older notice afterwards'
        ),
    ],
)
def test_server_that_says_it_leaves_is_not_usable(steps, usable):
    for apply_list in (False, True):
        registry = pool.ServerRegistry()
        for step in steps:
            if isinstance(step, int):
                registry.mark_leaving('e1', step)
            elif apply_list:
                registry.apply_full_list([step], 0.0)
            else:
                registry.apply_entry(step, 0.0)
        assert registry.get('e1').usable is usable


def test_list_reports_no_change_of_a_leaving_server():
    """Subscribers must not hear that it is ready."""
    registry = pool.ServerRegistry()
    registry.apply_full_list([_make_started(7)], 0.0)
    assert registry.mark_leaving('e1', 7)
    assert not registry.mark_leaving('e1', 7)
    assert registry.apply_full_list([_make_started(7)], 1.0) == ([], [])
