"""Requests that are quarantined after they were admitted."""

import asyncio
import dataclasses

from balsamwind import exceptions
from balsamwind.node.tests import carrying
from balsamwind import relay
from balsamwind.relay import _fingerprint
from balsamwind.relay.tests import forwarding
from standins import ports

WHOLE = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(1)),
    forwarding.LAST_CHUNK,
]


def _quarantine(fake_relay):
    """Put the request that `forwarding` sends into quarantine."""
    request = relay.IncomingRequest('POST', '/x', 'a', {}, b'hi', 0.0)
    fingerprint = _fingerprint.make_fingerprint(request, None)
    now = fake_relay.clock.monotonic()
    for number in range(2):
        fake_relay.crash_quarantine.record_crash(
            f'c{number}', 'llm', (fingerprint,), 0.1, now + number - 1.0
        )


class _Placement:
    """Places an attempt after a wait, in which it is quarantined."""

    def __init__(self, fake_relay, wait):
        self._relay = fake_relay
        self._wait = wait
        self.ends = 0

    async def place(self, service, requirements, tried, quiet, **values):
        _quarantine(self._relay)
        await asyncio.sleep(self._wait)
        return relay.Placement(1, relay.BackendKey('llm', 'e0', 1))

    def report_progress(self, number, time_to_first_event, load):
        pass

    def end(self, number, outcome, load):
        self.ends += 1


def test_quarantined_request_that_had_been_admitted_was_sent():
    def set_up(fake_relay):
        fake_relay.placement = _Placement(fake_relay, 0.0)

    _, engine, error = asyncio.run(
        forwarding.forward([WHOLE], on_relay=set_up)
    )
    assert engine.requests == 0
    assert isinstance(error, exceptions.RequestQuarantined)
    assert error.retry_after > 0.0


def test_waiting_request_was_not_told_that_it_is_quarantined():
    def set_up(fake_relay):
        fake_relay.placement = _Placement(fake_relay, 3.0)

    async def scenario():
        async with asyncio.timeout(1.5):
            return await forwarding.forward([WHOLE], on_relay=set_up)

    _, engine, error = asyncio.run(scenario())
    assert engine.requests == 0
    assert isinstance(error, exceptions.RequestQuarantined)


def test_quarantined_attempt_was_carried():
    """The node that carries an attempt may have heard of crashes first."""

    async def scenario():
        engine = forwarding.ScriptedEngine([WHOLE])
        server = await asyncio.start_server(engine.handle, '127.0.0.1', 0)
        address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        async with server, carrying.open_relay([address], True) as own:
            _lose_path(own)
            _quarantine(own.carrying_relay)
            await forwarding.send_one(own, max_attempts=1)
        return engine.requests

    assert asyncio.run(scenario()) == 0


def _lose_path(own):
    (backend,) = own.get_by_service('llm')
    backend.record = dataclasses.replace(
        backend.record, address=f'127.0.0.1:{ports.find_free_port()}'
    )
