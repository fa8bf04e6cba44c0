"""Attempts that certainly did not run, and their own bound."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.relay import _forwarder
from balsamwind.relay.tests import forwarding


def _make_short_answer(status, extra=''):
    framing = f'Content-Length: 2\r\n{extra}'
    return [forwarding.make_head(status, 'text/plain', framing) + b'no']


OTHER_SERVER = _make_short_answer(421)
NOT_EXECUTED = _make_short_answer(503, 'X-Balsamwind-Not-Executed: 1\r\n')
STREAM = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(0)),
    forwarding.LAST_CHUNK,
]
BROKEN = [forwarding.CUT]


@pytest.mark.parametrize('unrun', [OTHER_SERVER, NOT_EXECUTED])
def test_refusals_leave_the_attempts_that_may_run(unrun):
    """Two refusals used up `max_attempts` although other groups were free."""
    responder, engine, error = asyncio.run(
        forwarding.forward([unrun, unrun, STREAM], max_attempts=2)
    )
    assert error is None
    assert responder.complete
    assert engine.requests == 3


def test_refusals_are_bounded():
    responder, engine, error = asyncio.run(
        forwarding.forward([NOT_EXECUTED] * 9, max_attempts=9)
    )
    assert engine.requests == _forwarder.MAX_UNRUN_ATTEMPTS
    assert error.run == exceptions.NOT_RUN


def test_refusals_do_not_allow_a_further_run():
    """Only `max_attempts` attempts may run, whatever is refused between."""
    scripts = [NOT_EXECUTED, BROKEN, NOT_EXECUTED, BROKEN, STREAM]
    responder, engine, error = asyncio.run(
        forwarding.forward(scripts, max_attempts=2)
    )
    assert engine.requests == 4
    assert error.run == exceptions.OUTCOME_UNKNOWN
    assert not responder.complete


def test_request_that_may_have_run_is_not_repeated_after_a_refusal(
    monkeypatch,
):
    """A non-idempotent request runs at most once."""
    make_route = forwarding.make_route
    monkeypatch.setattr(
        forwarding,
        'make_route',
        lambda max_attempts: make_route(max_attempts, resumable=False),
    )
    scripts = [OTHER_SERVER, BROKEN, STREAM]
    responder, engine, error = asyncio.run(
        forwarding.forward(scripts, max_attempts=4)
    )
    assert engine.requests == 2
    assert error.run == exceptions.OUTCOME_UNKNOWN


def test_retry_budget_counts_each_refusal():
    spent = []

    def limit_budget(fake_relay):
        def try_consume(now):
            spent.append(now)
            return len(spent) <= 1

        fake_relay.try_consume = try_consume

    responder, engine, error = asyncio.run(
        forwarding.forward(
            [OTHER_SERVER] * 3, max_attempts=3, on_relay=limit_budget
        )
    )
    assert engine.requests == 2
    assert len(spent) == 2
    assert error.run == exceptions.NOT_RUN


def test_server_that_left_during_the_connect_gets_nothing():
    # A node that waits for a connection, or is paused, must not send to a
    # server that it knows by then to be gone (DRAIN).
    relays, endpoints = [], []

    class SlowClient(adapters.HttpClient):
        async def _connect(self, parts, endpoint, timeout):
            stream = await super()._connect(parts, endpoint, timeout)
            endpoints.append(endpoint)
            if len(endpoints) == 1:
                relays[0].backends._backends[:] = [
                    backend
                    for backend in relays[0].backends._backends
                    if backend.record.address != endpoint
                ]
            return stream

    responder, engine, error = asyncio.run(
        forwarding.forward(
            [STREAM], client=SlowClient(), on_relay=relays.append
        )
    )
    assert error is None
    assert responder.complete
    assert engine.requests == 1
    assert len(set(endpoints)) == 2
