"""What a node checks and learns as it sends an attempt itself."""

import asyncio
import types

import pytest

from balsamwind import exceptions
from balsamwind.platform import _headers
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _direct_path

BACKEND = relay.Backend(
    ('llm', 'g', 1), pool.ServerRecord('e1', 'llm', 'x:1', 'z1'), 4
)
ATTEMPT = relay.OutgoingAttempt(
    'r', relay.BackendKey('llm', 'g', 1), 'POST', '/', 'a', (), b'', 1.0
)


class _Relay:
    """Request path whose client takes some time, then succeeds or fails."""

    def __init__(self, wait=0.0, error=None):
        self.clock = self
        self.client = self
        self.header_codec = _headers.HeaderCodec()
        self.paths = relay.PathTable()
        self.doubts = []
        self.paths.on_doubt = self.doubts.append
        self.sent = False
        self._now = 10.0
        self._wait = wait
        self._error = error

    def monotonic(self):
        return self._now

    async def open(self, method, url, *, before_send, **values):
        self._now += self._wait
        if self._error is not None:
            raise self._error
        before_send()
        self.sent = True
        return types.SimpleNamespace(status=200)


def _send(fake_relay):
    return asyncio.run(
        _direct_path.open_directly(fake_relay, BACKEND, ATTEMPT, lambda: None)
    )


def test_attempt_is_sent_in_time():
    fake_relay = _Relay(wait=0.5)
    assert _send(fake_relay).status == 200
    assert fake_relay.sent


def test_attempt_is_not_sent_after_a_pause_beyond_its_deadline():
    fake_relay = _Relay(wait=1.5)
    with pytest.raises(exceptions.DeadlinePassed):
        _send(fake_relay)
    assert not fake_relay.sent
    assert fake_relay.doubts == []


@pytest.mark.parametrize(
    ('error', 'is_doubted'),
    [
        (exceptions.ConnectionRefused('x', sent=False), True),
        (exceptions.TransportError('silent', sent=False), True),
        (exceptions.TransportError('reset'), True),
        (exceptions.AnswerTimeout('x'), False),
        (exceptions.BadAnswer('x'), False),
    ],
)
def test_failure_of_a_connection_puts_the_path_in_doubt(error, is_doubted):
    fake_relay = _Relay(error=error)
    with pytest.raises(exceptions.TransportError):
        _send(fake_relay)
    assert bool(fake_relay.doubts) is is_doubted
