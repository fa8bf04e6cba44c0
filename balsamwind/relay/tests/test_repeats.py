"""Sends of one request beyond the first are counted by who paid."""

import asyncio

import pytest

from balsamwind.relay.tests import forwarding

ERROR = [b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n']
WHOLE = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(1)),
    forwarding.LAST_CHUNK,
]


@pytest.mark.parametrize(
    ('scripts', 'has_budget', 'sent', 'paid', 'refused'),
    [
        pytest.param([WHOLE], True, 1, 0, 0, id='first answer'),
        pytest.param([ERROR, WHOLE], True, 2, 1, 0, id='one repeat'),
        pytest.param([ERROR, ERROR, WHOLE], True, 3, 2, 0, id='two repeats'),
        pytest.param([ERROR], False, 1, 0, 1, id='budget spent'),
    ],
)
def test_repeats_of_a_request(scripts, has_budget, sent, paid, refused):
    seen = []

    def set_up(fake_relay):
        fake_relay.request_log.record_repeats = lambda *row: seen.append(row)
        fake_relay.try_consume = lambda now: has_budget

    asyncio.run(forwarding.forward(scripts, on_relay=set_up))
    ((service, repeats),) = seen
    assert service == 'llm'
    assert (repeats.sent, repeats.paid) == (sent, paid)
    assert repeats.refused == refused
    assert repeats.runs == sent
    assert not repeats.is_excess
