"""Placement of requests by one node of a data centre."""

import random

import pytest

from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic
from benchmarks import group_load

PROFILE = traffic.EngineProfile(
    (traffic.ModelProfile('m', 2),),
    slots=4,
    step_time=0.0078,
    step_time_per_request=0.00018,
    prefill_rate=45900.0,
    steps_per_pass=5,
)

SERVICE = traffic.Service('llm', engine=PROFILE)


@pytest.mark.parametrize(
    'pattern', group_load.PATTERNS, ids=lambda pattern: pattern.name
)
def test_one_node_places_nearly_as_well_as_exact_counts(pattern):
    late = {
        chooser: group_load.replay(pattern, chooser, duration=12.0)
        for chooser in group_load.Chooser
    }
    best = late[group_load.Chooser.ALL_KNOWING].late
    placed = late[group_load.Chooser.ONE_NODE]
    scattered = late[group_load.Chooser.EACH_NODE].late
    assert placed.late - best <= 0.25 * (scattered - best)
    assert placed.refused < 0.01


class _Table:
    """Two groups, in place of a `BackendTable`."""

    def __init__(self):
        self.backends = [
            relay.Backend(
                ('llm', name, 1),
                pool.ServerRecord(name, 'llm', 'x', 'z1'),
                PROFILE.slots,
                'm',
            )
            for name in ('a', 'b')
        ]

    def get_by_service(self, service):
        return self.backends


def _open_sessions(count):
    table = _Table()
    sessions = [
        relay.PlacementSession(table, 'z1', random.Random(3))
        for _ in range(count)
    ]
    return table, sessions


REQUIREMENTS = relay.RequestRequirements('m', 700, 150, 4.0)


def _place(session, number, now=10.0, tried=()):
    return session.place(number, SERVICE, REQUIREMENTS, tried, now)


def test_sessions_share_the_counts():
    table, sessions = _open_sessions(4)
    for number, session in enumerate(sessions):
        _place(session, number)
    assert [backend.in_flight for backend in table.backends] == [2, 2]


def test_attempt_counts_until_its_end():
    table, (session,) = _open_sessions(1)
    placement = _place(session, 7)
    session.end(7, relay.Outcome.ANSWERED, None, 11.0)
    session.end(7, relay.Outcome.ANSWERED, None, 11.0)
    assert placement.number == 7
    assert [backend.in_flight for backend in table.backends] == [0, 0]


def test_prompt_counts_until_it_is_read():
    table, (session,) = _open_sessions(1)
    _place(session, 1)
    pending = [backend.pending_prompt_tokens for backend in table.backends]
    assert sorted(pending) == [0, 700]
    _place(session, 2, 20.0)
    pending = [backend.pending_prompt_tokens for backend in table.backends]
    assert sum(pending) == 700


def test_lost_connection_ends_all_attempts():
    table, (session, other) = _open_sessions(2)
    _place(session, 1)
    _place(session, 2)
    _place(other, 1)
    session.close()
    counts = [backend.in_flight for backend in table.backends]
    assert sum(counts) == 1
    assert sum(b.pending_prompt_tokens for b in table.backends) == 700


@pytest.mark.parametrize(
    ('outcomes', 'ejected'),
    [
        ([relay.Outcome.STALLED], True),
        ([relay.Outcome.FAILED], False),
        ([relay.Outcome.FAILED, relay.Outcome.FAILED], True),
        ([relay.Outcome.REFUSED, relay.Outcome.REFUSED], False),
        ([relay.Outcome.STALLED, relay.Outcome.ANSWERED], False),
    ],
)
def test_outcomes_of_all_nodes_decide_about_an_ejection(outcomes, ejected):
    table, sessions = _open_sessions(2)
    table.backends = table.backends[:1]
    for number, outcome in enumerate(outcomes):
        session = sessions[number % 2]
        _place(session, number)
        session.end(number, outcome, None, 10.0)
    assert table.backends[0].is_ejected(10.1) is ejected


def test_stall_is_known_before_the_attempt_ends():
    table, (session,) = _open_sessions(1)
    placement = _place(session, 1)
    session.report_stall(1, 10.0)
    session.report_stall(99, 10.0)
    other = _place(session, 2, 10.1)
    assert other.key != placement.key


def test_load_of_a_refusal_counts_the_requests_of_others():
    table, (session,) = _open_sessions(1)
    table.backends = table.backends[:1]
    _place(session, 1)
    load = relay.ReportedLoad(4, 3, 4)
    session.end(1, relay.Outcome.REFUSED, load, 10.0)
    assert table.backends[0].occupancy(10.0) == 7


def test_request_that_no_group_can_serve_is_not_counted():
    table, (session,) = _open_sessions(1)
    result = _place(session, 1, tried={b.key for b in table.backends})
    assert isinstance(result, relay.NoBackendAvailable)
    assert [backend.in_flight for backend in table.backends] == [0, 0]


def test_group_that_goes_on_stayed_ejected_for_all_nodes():
    # The end of a silence was known to the sending node only.
    table, (session, other) = _open_sessions(2)
    key = _place(session, 1).key
    backend = table.backends[key.name == 'b']
    session.report_stall(1, 10.5)
    assert backend.is_ejected(10.6)
    session.report_progress(1, 0.6, None, 10.6)
    assert not backend.is_ejected(10.6)
