"""Attempts that are sent through other nodes, and those that are not."""

import asyncio
import random
import types

import pytest

from balsamwind import exceptions
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _peer_service

PEERS = tuple(relay.Peer(f'p{number}:1', 'z1') for number in range(6))
RECORD = pool.ServerRecord('e1', 'llm', 'x:1', 'z1', born=3)


class _Client:
    """Connections to nodes that answer by a table of the test."""

    def __init__(self, answers):
        self._answers = answers
        self.asked = []

    async def open(self, address, attempt, before_send):
        self.asked.append(address)
        answer = self._answers(len(self.asked))
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def ask(self, address, query):
        self.asked.append(address)
        answer = self._answers(len(self.asked))
        if isinstance(answer, Exception):
            raise answer
        return answer


def _make_service(answers):
    client = _Client(answers)
    selector = relay.PeerSelector('z1', random.Random(2))
    selector.set_peers(PEERS)
    clock = types.SimpleNamespace(monotonic=lambda: 1.0)
    return client, relay.PeerService(selector, client, clock)


def _make_attempt(body=b''):
    key = relay.BackendKey('llm', 'g', 1)
    return relay.OutgoingAttempt('r', key, 'POST', '/', 'a', (), body, 1.0)


def _refuse(cause, sent=False):
    return exceptions.PeerUnavailable('x', sent, relay.CarryFailure(cause))


def test_nodes_that_carry_nothing_are_passed_over():
    response = types.SimpleNamespace(on_close=None)
    client, service = _make_service(
        lambda count: response if count == 3 else _refuse('no path')
    )
    found = asyncio.run(service.open(_make_attempt(), lambda: None))
    assert found is response
    assert len(set(client.asked)) == 3


def test_few_nodes_are_tried():
    client, service = _make_service(lambda count: _refuse('no path'))
    assert asyncio.run(service.open(_make_attempt(), lambda: None)) is None
    assert len(client.asked) == _peer_service.MAX_PEERS_TRIED


@pytest.mark.parametrize(
    'error',
    [
        pytest.param(exceptions.PeerUnavailable('lost'), id='node was lost'),
        pytest.param(exceptions.TransportError('x'), id='answer broken off'),
        pytest.param(
            exceptions.TransportError('x', sent=False), id='server is gone'
        ),
    ],
)
def test_attempt_that_reached_a_node_is_not_sent_through_another(error):
    client, service = _make_service(lambda count: error)
    with pytest.raises(exceptions.TransportError):
        asyncio.run(service.open(_make_attempt(), lambda: None))
    assert len(client.asked) == 1


def test_body_that_fits_in_no_frame_is_not_sent_to_a_node():
    """The node would cut the connection, and the outcome be unknown."""
    client, service = _make_service(lambda count: None)
    attempt = _make_attempt(b'x' * (4 << 20))
    assert asyncio.run(service.open(attempt, lambda: None)) is None
    assert client.asked == []


@pytest.mark.parametrize(
    ('answers', 'reach'),
    [
        pytest.param(
            (relay.Reach.SILENT, relay.Reach.ANSWERS), relay.Reach.ANSWERS
        ),
        pytest.param(
            (exceptions.PeerUnavailable('x'), relay.Reach.REFUSES),
            relay.Reach.REFUSES,
        ),
        pytest.param((exceptions.PeerUnavailable('x'),), relay.Reach.UNKNOWN),
    ],
)
def test_several_nodes_say_whether_they_reach_a_server(answers, reach):
    client, service = _make_service(
        lambda count: answers[min(count, len(answers)) - 1]
    )
    assert asyncio.run(service.ask(RECORD, wants_report=True)) is reach
    assert len(set(client.asked)) == _peer_service.WITNESS_COUNT
