"""What a node takes a failed attempt for: a lost path, or a lost server."""

import random

import pytest

from balsamwind import exceptions
from balsamwind import relay
from balsamwind.relay import _attempts
from balsamwind.relay import _paths

SERVICE = 'llm'
SERVERS = ['e1', 'e2', 'e3', 'e4']


class _Table(relay.PathTable):
    __slots__ = ('doubts',)

    def __init__(self):
        super().__init__()
        self.doubts = []
        self.on_doubt = self.doubts.append


def test_failed_connection_raises_a_doubt_that_probes_settle():
    table = _Table()
    table.record_unreachable(SERVICE, 'e1', 1.0)
    assert table.doubts == [SERVICE]
    assert table.find_state(SERVICE) is relay.PathState.DOUBTED
    assert not table.is_open(SERVICE)
    assert 'e1' not in table.plan_probes(SERVICE, SERVERS, random.Random(1))
    assert table.record_probes(SERVICE, True, 1.1)
    assert table.is_open(SERVICE)
    assert not table.needs_peer(SERVICE, 'e1', 1.2)


def test_path_is_lost_while_no_probe_connects():
    table = _Table()
    table.record_unreachable(SERVICE, 'e1', 1.0)
    assert table.record_probes(SERVICE, False, 1.1)
    assert not table.record_probes(SERVICE, False, 1.4)
    assert table.lost_services == [SERVICE]
    assert table.needs_peer(SERVICE, 'e2', 1.5)
    table.record_heard(SERVICE, 1.5)
    assert table.lost_services == [SERVICE]
    assert table.record_probes(SERVICE, True, 1.7)
    assert not table.needs_peer(SERVICE, 'e2', 1.8)


def test_other_services_keep_their_paths():
    table = _Table()
    table.record_unreachable(SERVICE, 'e1', 1.0)
    table.record_probes(SERVICE, False, 1.1)
    assert table.is_open('ledger')
    assert not table.needs_peer('ledger', 's1', 1.2)


@pytest.mark.parametrize(
    ('waits_since', 'heard_at', 'is_doubted'),
    [
        pytest.param(1.0, 0.0, True, id='no server says anything'),
        pytest.param(1.0, 1.25, False, id='another server answers'),
        pytest.param(1.2, 0.0, False, id='not for long'),
    ],
)
def test_silence_of_all_servers_raises_a_doubt(
    waits_since, heard_at, is_doubted
):
    table = _Table()
    table.record_heard(SERVICE, heard_at)
    timeout = _paths.SILENCE_TIMEOUT
    table.record_silence(SERVICE, 'e1', waits_since, timeout, 1.3)
    assert bool(table.doubts) is is_doubted


def test_sound_server_that_falls_silent_is_probed_for_once():
    """Its silence is its own, and costs no further probes for a while."""
    table = _Table()
    for step in range(10):
        now = 1.3 + 0.1 * step
        table.record_silence(SERVICE, 'e1', 1.0, _paths.SILENCE_TIMEOUT, now)
        if not table.is_open(SERVICE):
            table.record_probes(SERVICE, True, now)
    assert table.doubts == [SERVICE]


def test_reset_right_after_a_settled_doubt_raises_another():
    table = _Table()
    table.record_broken(SERVICE, 'e1', 1.0)
    table.record_probes(SERVICE, True, 1.01)
    table.record_broken(SERVICE, 'e1', 1.02)
    assert table.is_open(SERVICE)
    table.record_broken(SERVICE, 'e1', 1.2)
    assert not table.is_open(SERVICE)


def test_server_that_only_others_reach_is_sent_to_through_them():
    table = _Table()
    table.record_only_peer_reaches(SERVICE, 'e1', 1.0)
    assert table.needs_peer(SERVICE, 'e1', 1.5)
    assert not table.needs_peer(SERVICE, 'e2', 1.5)
    assert not table.needs_peer(SERVICE, 'e1', 2.1)


@pytest.mark.parametrize('count', [0, 1, 2, 4])
def test_probes_are_few_and_begin_with_servers_not_doubted(count):
    table = _Table()
    table.record_unreachable(SERVICE, 'e1', 1.0)
    servers = SERVERS[:count]
    chosen = table.plan_probes(SERVICE, servers, random.Random(3))
    assert len(chosen) == min(count, _paths.PROBED_SERVERS)
    assert ('e1' in chosen) is (0 < count <= _paths.PROBED_SERVERS)


def test_paths_that_nobody_probes_count_as_open():
    table = relay.PathTable()
    table.record_unreachable(SERVICE, 'e1', 1.0)
    assert table.is_open(SERVICE)


@pytest.mark.parametrize(
    ('error', 'through_peer', 'is_path_open', 'fault'),
    [
        (exceptions.TransportError('x'), False, True, 'server'),
        (exceptions.TransportError('x'), False, False, 'path'),
        (exceptions.TransportError('x'), True, False, 'server'),
        (exceptions.PeerUnavailable('x'), True, False, 'peer'),
        (exceptions.PeerUnavailable('x'), True, True, 'peer'),
    ],
)
def test_failure_is_blamed_on_one_of_three(
    error, through_peer, is_path_open, fault
):
    found = _attempts.find_fault(error, through_peer, is_path_open)
    assert found.value == fault


@pytest.mark.parametrize('fault', ['path', 'peer'])
@pytest.mark.parametrize('is_stalled', [True, False])
def test_placing_node_ejects_no_group_for_a_lost_path(fault, is_stalled):
    failure = _attempts.Failure(
        exceptions.TransportError('x'),
        stalled=is_stalled,
        fault=_attempts.Fault(fault),
    )
    assert _attempts.find_outcome(failure) is relay.Outcome.REFUSED


@pytest.mark.parametrize(
    ('values', 'refusal'),
    [
        ({}, None),
        ({'is_draining': True}, 'draining'),
        ({'is_open': False}, 'no path'),
        ({'open_attempts': 4}, 'full'),
        ({'is_usable': False}, 'not usable'),
        ({'is_draining': True, 'is_open': False}, 'draining'),
    ],
)
def test_node_says_why_it_does_not_carry_an_attempt(values, refusal):
    arguments = {
        'is_draining': False,
        'open_attempts': 0,
        'max_attempts': 4,
        'is_open': True,
        'is_usable': True,
    }
    found = relay.plan_refusal(**{**arguments, **values})
    assert (found and found.value) == refusal
