"""What a node reads from one that carries its attempt."""

import asyncio
import contextlib
import types

import cbor2
import pytest
import websockets
from websockets.asyncio import server as ws_server

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _attempt_client
from balsamwind.node import _attempt_frames
from balsamwind.node import _drain
from balsamwind.node.tests import doubles
from balsamwind import relay
from standins import ports

ATTEMPT = relay.OutgoingAttempt(
    'r1', relay.BackendKey('llm', 'g', 1), 'GET', '/', 'a', (), b'', 0.5
)


class _Connection:
    """Websocket to a node that sends frames of a test."""

    def __init__(self, messages, repeats=False, delay=0.0):
        self._frames = [
            message
            if isinstance(message, bytes)
            else _attempt_frames.CODEC.encode(message)
            for message in messages
        ]
        self._repeats = repeats
        self._delay = delay
        self.state = websockets.State.OPEN
        self.aborted = False
        self.sent = []
        self.transport = types.SimpleNamespace(abort=self._abort)

    def _abort(self):
        self.aborted = True

    async def send(self, data):
        self.sent.append(data)

    async def recv(self):
        await asyncio.sleep(self._delay)
        if self._repeats and len(self._frames) == 1:
            return self._frames[0]
        if not self._frames:
            await asyncio.sleep(60.0)
        return self._frames.pop(0)


HEAD = (relay.AttemptAccepted(), relay.AnswerHead(200, (('A', 'b'),), True))


def _make_head(status, headers=()):
    """Make the head of an answer as a node of an earlier build passes it on.

    It has read it from a server.
    """
    body = {
        'status': status,
        'headers': [['A', 'b'], *headers],
        'has_marked_end': True,
    }
    return cbor2.dumps([3, body])


def _open(connection, before_send=lambda: None):
    client = _attempt_client.AttemptClient(doubles.make_unknown_messages())
    client.put_back('peer:1', connection)
    return client, client.open('peer:1', ATTEMPT, before_send)


def test_answer_is_read_whole_and_its_connection_kept():
    connection = _Connection(
        [*HEAD, relay.AnswerData(b'x'), relay.AnswerData(b'y')]
        + [relay.AnswerEnd()]
    )

    async def scenario():
        client, opening = _open(connection)
        response = await opening
        body = await response.read_all(1.0)
        return response, body, client._is_idle('peer:1', connection)

    response, body, is_kept = asyncio.run(scenario())
    assert (response.status, dict(response.headers)) == (200, {'A': 'b'})
    assert response.has_marked_end
    assert body == b'xy'
    assert is_kept
    assert not connection.aborted


def test_body_that_trickles_without_end_is_given_up():
    connection = _Connection(
        [*HEAD, relay.AnswerData(b'x')], repeats=True, delay=0.005
    )

    async def scenario():
        _, opening = _open(connection)
        response = await opening
        with pytest.raises(exceptions.AnswerTimeout):
            await response.read_all(0.02)

    asyncio.run(asyncio.wait_for(scenario(), 2.0))
    assert connection.aborted


@pytest.mark.parametrize(
    ('cause', 'error', 'sent', 'is_kept'),
    [
        ('no path', exceptions.PeerUnavailable, False, True),
        ('draining', exceptions.PeerUnavailable, False, True),
        ('full', exceptions.PeerUnavailable, False, True),
        ('not usable', exceptions.PeerUnavailable, False, True),
        ('unreachable', exceptions.TransportError, False, True),
        ('broken', exceptions.TransportError, True, True),
        ('timed out', exceptions.AnswerTimeout, True, True),
        ('malformed', exceptions.BadAnswer, True, True),
    ],
)
def test_failure_says_whether_the_request_may_have_run(
    cause, error, sent, is_kept
):
    connection = _Connection([relay.AttemptFailed(relay.CarryFailure(cause))])

    async def scenario():
        client, opening = _open(connection)
        with pytest.raises(exceptions.TransportError) as caught:
            await opening
        return caught.value, client._is_idle('peer:1', connection)

    caught, kept = asyncio.run(scenario())
    assert type(caught) is error
    assert caught.sent is sent
    assert kept is is_kept


@pytest.mark.parametrize(
    'messages',
    [
        pytest.param([], id='silence'),
        pytest.param([b'\xff'], id='bytes that are no frame'),
        pytest.param([HEAD[1]], id='head before it was accepted'),
        pytest.param([HEAD[0], relay.AnswerData(b'x')], id='no head'),
        pytest.param([HEAD[0], HEAD[0]], id='accepted twice'),
        *(
            pytest.param([HEAD[0], _make_head(status)], id=f'status {status}')
            for status in (-1, 0, 99, 100, 101, 199, 600, 999, 2**40, '200')
        ),
        *(
            pytest.param([HEAD[0], _make_head(200, [field])], id=str(field))
            for field in (
                ['X Name', 'a'],
                ['X-Name ', 'a'],
                ['X\x01Name', 'a'],
                ['', 'a'],
                ['X-Name', 'a\r\nSet-Cookie: b'],
                ['X-Name', 'a', 'b'],
                ['X-Name'],
                ['Content-Length', '+5'],
                ['Content-Length', '5, 6'],
                ['Transfer-Encoding', 'gzip'],
            )
        ),
    ],
)
def test_node_that_does_not_answer_properly_leaves_the_outcome_unknown(
    monkeypatch, messages
):
    monkeypatch.setattr(_attempt_client, 'ACCEPT_TIMEOUT', 0.05)
    connection = _Connection(messages)

    async def scenario():
        client, opening = _open(connection)
        with pytest.raises(exceptions.PeerUnavailable) as caught:
            await opening
        return caught.value.sent, client._is_idle('peer:1', connection)

    assert asyncio.run(scenario()) == (True, False)
    assert connection.aborted


def test_attempt_whose_caller_has_left_is_not_sent():
    connection = _Connection(HEAD)

    def check():
        raise asyncio.CancelledError

    async def scenario():
        _, opening = _open(connection, check)
        with pytest.raises(asyncio.CancelledError):
            await opening

    asyncio.run(scenario())
    assert connection.sent == []


async def _close_at_once(connection):
    return


async def _close_in_place_of_a_reply(connection):
    await connection.recv()


async def _fail(connection):
    await connection.recv()
    raise ValueError('x')


async def _reset(connection):
    await connection.recv()
    connection.transport.abort()


async def _be_silent(connection):
    await connection.recv()
    await connection.wait_closed()


async def _accept_and_close(connection):
    await connection.recv()
    await connection.send(
        _attempt_frames.CODEC.encode(relay.AttemptAccepted())
    )


async def _accept_and_reset(connection):
    await _accept_and_close(connection)
    connection.transport.abort()


@pytest.mark.parametrize(
    ('handle', 'is_idle', 'sent'),
    [
        pytest.param(_close_at_once, False, False, id='closed at once'),
        pytest.param(_close_at_once, True, False, id='closed while idle'),
        pytest.param(
            _close_in_place_of_a_reply, False, False, id='closed unaccepted'
        ),
        pytest.param(_fail, False, False, id='failed unaccepted'),
        pytest.param(_reset, False, True, id='reset'),
        pytest.param(_be_silent, False, True, id='silent'),
        pytest.param(_accept_and_close, False, True, id='closed accepted'),
        pytest.param(_accept_and_reset, False, True, id='reset accepted'),
    ],
)
def test_connection_that_ends_is_blamed_on_the_node(
    monkeypatch, handle, is_idle, sent
):
    # The end of a link was taken for that of the server, and an attempt that
    # no server got counted as one that may have run.
    monkeypatch.setattr(_attempt_client, 'ACCEPT_TIMEOUT', 0.3)

    async def scenario():
        client = _attempt_client.AttemptClient(doubles.make_unknown_messages())
        async with ws_server.serve(handle, '127.0.0.1', 0) as server:
            port = server.sockets[0].getsockname()[1]
            address = f'127.0.0.1:{port}'
            if is_idle:
                connection = await client._connect(address)
                client.put_back(address, connection)
                # It is found closed only once the attempt is to be sent.
                await connection.wait_closed()
                monkeypatch.setattr(
                    _attempt_client.AttemptClient,
                    '_take',
                    lambda *_: connection,
                )
            try:
                await client.open(address, ATTEMPT, lambda: None)
            except exceptions.TransportError as error:
                return error
            finally:
                client.close()

    error = asyncio.run(scenario())
    assert type(error) is exceptions.PeerUnavailable
    assert error.sent is sent
    assert error.message.startswith('through 127.0.0.1:')


def test_node_with_several_addresses_was_not_recognised():
    # Others refused its attempts, as they came from an address that is not
    # registered.
    hosts = []

    async def accept(connection):
        hosts.append(connection.remote_address[0])
        await connection.recv()
        await connection.send(
            _attempt_frames.CODEC.encode(relay.ReachReply(relay.Reach.ANSWERS))
        )

    async def scenario():
        client = _attempt_client.AttemptClient(
            doubles.make_unknown_messages(), '127.0.0.5'
        )
        async with ws_server.serve(accept, '127.0.0.1', 0) as server:
            port = server.sockets[0].getsockname()[1]
            query = relay.ReachQuery('llm', 's1', 1, False)
            await client.ask(f'127.0.0.1:{port}', query)
            client.close()

    asyncio.run(scenario())
    assert hosts == ['127.0.0.5']


@pytest.mark.parametrize('turns', range(6))
def test_attempt_sent_as_the_node_exits_was_certainly_not_run(turns):
    # The links of a node that stopped were cut without a word, so that a call
    # that may run once was given up, although no server had got it.
    async def ignore(connection):
        async for _ in connection:
            continue

    async def scenario():
        client = _attempt_client.AttemptClient(doubles.make_unknown_messages())
        server = adapters.UpdateServer(lambda: None, None, doubles.Log())
        server.handlers[_attempt_frames.PATH] = ignore
        address = f'127.0.0.1:{ports.find_free_port()}'
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(server.listen(address))
            client.put_back(address, await client._connect(address))
            closing = asyncio.ensure_future(stack.aclose())
            for _ in range(turns):
                await asyncio.sleep(0)
            with pytest.raises(exceptions.PeerUnavailable) as caught:
                await client.open(address, ATTEMPT, lambda: None)
            await closing
            return caught.value

    assert not asyncio.run(scenario()).sent


def test_node_exits_in_time_although_a_link_is_silent():
    # The close of a link waits for the other end, which may be gone.
    async def be_busy(connection):
        await connection.wait_closed()

    async def scenario():
        server = adapters.UpdateServer(lambda: None, None, doubles.Log())
        server.handlers[_attempt_frames.PATH] = be_busy
        address = f'127.0.0.1:{ports.find_free_port()}'
        loop = asyncio.get_running_loop()
        async with server.listen(address):
            connection = await adapters.open_websocket(
                address, _attempt_frames.PATH, 1.0
            )
            connection.transport.pause_reading()
            started_at = loop.time()
        lasted = loop.time() - started_at
        connection.transport.abort()
        return lasted

    assert (
        asyncio.run(scenario()) < _drain.EXIT_MARGIN - _drain.LAST_ANSWERS_TIME
    )


@pytest.mark.parametrize('cause', list(relay.CarryFailure))
@pytest.mark.parametrize('is_accepted', [False, True])
def test_failure_of_an_accepted_attempt_promised_that_it_did_not_run(
    cause, is_accepted
):
    # REFUSED: what a node has accepted may have been sent.
    async def carry(connection):
        await connection.recv()
        messages = [relay.AttemptFailed(cause)]
        if is_accepted:
            messages.insert(0, relay.AttemptAccepted())
        for message in messages:
            await connection.send(_attempt_frames.CODEC.encode(message))

    async def scenario():
        client = _attempt_client.AttemptClient(doubles.make_unknown_messages())
        async with ws_server.serve(carry, '127.0.0.1', 0) as server:
            port = server.sockets[0].getsockname()[1]
            with pytest.raises(exceptions.TransportError) as caught:
                await client.open(f'127.0.0.1:{port}', ATTEMPT, lambda: None)
            client.close()
            return caught.value.sent

    is_not_carried = cause in relay.NOT_CARRIED
    is_unreachable = cause is relay.CarryFailure.UNREACHABLE
    expected = is_accepted or not (is_not_carried or is_unreachable)
    assert asyncio.run(scenario()) is expected
