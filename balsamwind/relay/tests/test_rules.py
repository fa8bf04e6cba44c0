"""Rules that forbid a server after it has been chosen."""

import asyncio
import random

import pytest

from balsamwind import exceptions
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _attempts
from balsamwind.relay.tests import forwarding
from balsamwind import servers
from balsamwind import traffic

EVENTS = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(0)),
]

WHOLE = [*EVENTS, forwarding.LAST_CHUNK]

BROKEN = [*EVENTS, forwarding.CUT]


class _LateRule:
    """Forbids some servers once it has been asked about them."""

    def __init__(self, allowed, forbidden_ids):
        self._left = allowed
        self._forbidden_ids = forbidden_ids

    def __bool__(self):
        return True

    def find_end(self, record, now):
        if record.server_id not in self._forbidden_ids:
            return None
        self._left -= 1
        return None if self._left >= 0 else float('inf')


def _forward(scripts, rule):
    def add_rule(fake_relay):
        fake_relay.server_statements.rules.append(rule)

    return asyncio.run(forwarding.forward(scripts, on_relay=add_rule))


def test_server_that_was_chosen_before_the_change_gets_nothing():
    # The choice asks about each server once; the check follows it.
    rule = _LateRule(1, {'e0'})
    responder, engine, error = _forward([WHOLE], rule)
    assert error is None and responder.complete
    assert engine.requests == 1


def test_request_is_rejected_at_once_if_all_servers_are_evacuated():
    evacuations = servers.Evacuations(5.0)
    evacuations.accept(servers.EvacuationState(('a',), 3), float('inf'))
    responder, engine, error = _forward([], evacuations)
    assert isinstance(error, exceptions.NoCapacity)
    assert error.run == exceptions.NOT_RUN
    assert engine.requests == 0


def test_state_that_is_outdated_stops_requests_right_before_they_are_sent():
    # A node that was paused has chosen by the state before the pause.
    evacuations = servers.Evacuations(5.0)
    evacuations.accept(servers.EvacuationState((), 3), float('-inf'))
    _, engine, error = _forward([], evacuations)
    assert isinstance(error, exceptions.NoCapacity)
    assert engine.requests == 0


def test_stream_is_not_resumed_in_an_evacuated_data_centre():
    class _AfterFirst(servers.Evacuations):
        """Evacuates the data centre once a request has been sent there."""

        __slots__ = ('checks',)

        def find_end(self, record, now):
            self.checks = getattr(self, 'checks', 0) + 1
            if self.checks > 1:
                state = servers.EvacuationState(('a',), 4)
                self.accept(state, float('inf'))
            return super().find_end(record, now)

    evacuations = _AfterFirst(5.0)
    evacuations.accept(servers.EvacuationState((), 3), float('inf'))
    responder, engine, error = _forward([BROKEN], evacuations)
    assert engine.requests == 1
    assert error is not None and not responder.complete


def test_forbidden_server_is_not_blamed():
    # It would be ejected, and probed as if it had crashed.
    error = exceptions.SendForbidden('evacuated')
    fault = _attempts.find_fault(error, False, True)
    failure = _attempts.Failure(error, sent=error.sent, fault=fault)
    assert fault is _attempts.Fault.RULE
    assert _attempts.find_outcome(failure) is relay.Outcome.REFUSED


@pytest.mark.parametrize(
    ('data_centres', 'allowed'),
    [((), {'a', 'b'}), (('z1',), {'b'}), (('z1', 'z2'), set())],
)
def test_placing_node_chooses_no_evacuated_backend(data_centres, allowed):
    evacuations = servers.Evacuations(5.0)
    state = servers.EvacuationState(data_centres, 3)
    evacuations.accept(state, 10.0)
    backends = [
        relay.Backend(
            ('llm', name, 1),
            pool.ServerRecord(name, 'llm', 'x', data_centre),
            4,
            '',
        )
        for name, data_centre in (('a', 'z1'), ('b', 'z2'))
    ]

    class _Table:
        def get_by_service(self, service):
            return backends

    session = relay.PlacementSession(
        _Table(), 'z1', random.Random(3), rules=[evacuations]
    )
    requirements = relay.RequestRequirements('', 700, 150, 4.0)
    service = traffic.Service('llm', engine=forwarding.ENGINE)
    placed = [
        session.place(number, service, requirements, (), 10.0)
        for number in range(8)
    ]
    names = {
        item.key.name for item in placed if isinstance(item, relay.Placement)
    }
    assert names == allowed


class _Carrier:
    """Relay of a node that is asked to carry an attempt."""

    def __init__(self, evacuations):
        self.clock = self
        self.configuration = self
        self.backends = self
        self.paths = relay.PathTable()
        fake_relay = forwarding.FakeRelay([], None, None)
        self.crash_quarantine = fake_relay.crash_quarantine
        self.held_bytes = fake_relay.held_bytes
        self.server_statements = fake_relay.server_statements
        self.server_statements.rules.append(evacuations)
        self.backend = relay.Backend(
            ('llm', 'g', 1), pool.ServerRecord('e1', 'llm', 'x:1', 'z1'), 4
        )
        self.client = self
        self.header_codec = fake_relay.header_codec
        self.on_connect = lambda: None
        self.sent = False

    def monotonic(self):
        return 10.0

    def find_service(self, name):
        return traffic.Service(name)

    def find(self, service, key):
        return self.backend

    async def open(self, method, url, *, before_send, **values):
        self.on_connect()
        before_send()
        self.sent = True


@pytest.mark.parametrize('is_late', [False, True])
def test_attempt_of_another_node_is_not_carried(is_late):
    # The other node may not know of the evacuation yet.
    evacuated = servers.EvacuationState(('z1',), 4)
    evacuations = servers.Evacuations(5.0)
    evacuations.accept(servers.EvacuationState((), 3), 10.0)
    fake_relay = _Carrier(evacuations)
    accepted = []
    sent = []
    if is_late:
        fake_relay.on_connect = lambda: evacuations.accept(evacuated, 10.0)
    else:
        evacuations.accept(evacuated, 10.0)

    async def send(message):
        sent.append(message)

    attempt = relay.OutgoingAttempt(
        'r', relay.BackendKey('llm', 'g', 1), 'POST', '/', 'a', (), b'', 1.0
    )
    asyncio.run(
        relay.AttemptCarrier(fake_relay, 1.0).carry(
            attempt, send, lambda: accepted.append(True)
        )
    )
    assert not fake_relay.sent and not accepted
    (message,) = sent
    assert message.cause is relay.CarryFailure.NOT_USABLE
