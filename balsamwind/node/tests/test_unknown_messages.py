"""Messages and values of newer builds."""

import asyncio
import types

import cbor2
import prometheus_client
import pytest

from balsamwind import exceptions
from balsamwind.node import _attempt_client
from balsamwind.node import _attempt_frames
from balsamwind.node import _attempt_server
from balsamwind.node import _frame_codec
from balsamwind.node import _publisher_link
from balsamwind.node import _subscriber_session
from balsamwind.node import _unknown_messages
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests import test_attempt_client
from balsamwind.node.tests import test_updates
from balsamwind import relay

NEW_TAG = 99
NEW_FRAME = cbor2.dumps([NEW_TAG, {'number': 3}])


def _make_update(state):
    record = {
        'server_id': 'e1',
        'service': 'llm',
        'address': 'a',
        'data_centre': 'z',
    }
    return cbor2.dumps([1, {'records': [{**record, 'state': state}]}])


@pytest.mark.parametrize(
    ('decode', 'data', 'tag'),
    [
        pytest.param(
            _updates.decode_frame, NEW_FRAME, NEW_TAG, id='update of a new tag'
        ),
        pytest.param(
            _attempt_frames.CODEC.decode, NEW_FRAME, NEW_TAG, id='attempt'
        ),
        pytest.param(
            _updates.decode_frame,
            _make_update('hibernating'),
            1,
            id='server in a new state',
        ),
        pytest.param(
            _attempt_frames.CODEC.decode,
            cbor2.dumps([6, {'cause': 'too large'}]),
            6,
            id='attempt that failed for a new cause',
        ),
        pytest.param(
            _attempt_frames.CODEC.decode,
            cbor2.dumps([8, {'reach': 'slowly'}]),
            8,
            id='a new opinion of a server',
        ),
    ],
)
def test_message_of_a_newer_build_is_decoded(decode, data, tag):
    """Guards against a link that breaks at each message of a newer build."""
    assert decode(data) == _frame_codec.UnknownMessage(tag)


@pytest.mark.parametrize(
    'data',
    [
        pytest.param(cbor2.dumps([NEW_TAG, 5]), id='no map of fields'),
        pytest.param(cbor2.dumps([NEW_TAG]), id='no body'),
        pytest.param(cbor2.dumps(['new', {}]), id='tag that is no number'),
        pytest.param(cbor2.dumps([[1], {}]), id='tag that is a list'),
        pytest.param(_make_update(5), id='value of a wrong type'),
        pytest.param(_make_update(['up']), id='list for a value'),
        pytest.param(
            cbor2.dumps([6, {'cause': 'full', 'message': 5}]), id='wrong field'
        ),
    ],
)
def test_bytes_that_are_no_frame_end_the_connection(data):
    """Guards against malformed bytes that are taken for a newer build's."""
    for decode in (_updates.decode_frame, _attempt_frames.CODEC.decode):
        with pytest.raises(exceptions.TransportError):
            decode(data)


class _Counted:
    """A counter of unknown messages, and the log lines that it writes."""

    def __init__(self):
        self.lines = []
        self.registry = prometheus_client.CollectorRegistry()
        self.messages = _unknown_messages.UnknownMessages(self, self.registry)

    def bind(self, **fields):
        return self

    def warning(self, event, tag):
        self.lines.append((event, tag))

    def count(self, receiver):
        return self.registry.get_sample_value(
            'balsamwind_unknown_messages_total', {'receiver': receiver}
        )


def test_unknown_tag_is_logged_once_for_each_connection():
    """Guards against a log line for each message of a newer build."""
    counted = _Counted()
    for tags in ((16, 16, 17, 16), (16,)):
        record = counted.messages.open_connection('publisher')
        for tag in tags:
            record.add(_frame_codec.UnknownMessage(tag))
    assert counted.count('publisher') == 5
    assert [tag for _, tag in counted.lines] == [16, 17, 16]


class _PlacementSession:
    """Records how the attempts of a subscriber ended."""

    def __init__(self):
        self.ended = []

    def end(self, number, outcome, load, now):
        self.ended.append((number, outcome))


def _open_session(counted, placement_session=None, notice=None, send=None):
    publisher = types.SimpleNamespace(
        clock=doubles.Clock(),
        answer_clock_request=lambda request: b'',
        make_leaving_notice=lambda: notice,
    )
    return _subscriber_session.SubscriberSession(
        publisher,
        placement_session,
        None,
        None,
        None,
        None,
        counted.messages.open_connection('publisher'),
        send,
    )


def test_publisher_ignores_unknown_messages():
    counted = _Counted()
    assert _open_session(counted).handle(NEW_FRAME) is None
    assert counted.count('publisher') == 1


def test_new_outcome_ends_a_placement():
    """Guards against a slot that stays occupied until the link is lost."""
    placement_session = _PlacementSession()
    _open_session(_Counted(), placement_session).handle(
        cbor2.dumps([11, {'number': 3, 'outcome': 'moved'}])
    )
    assert placement_session.ended == [(3, relay.Outcome.REFUSED)]


@pytest.mark.parametrize(
    ('body', 'features'),
    [
        ({'number': 1}, frozenset()),
        ({'number': 1, 'features': ['waiting', 'x']}, {'waiting', 'x'}),
    ],
)
def test_session_keeps_what_its_subscriber_announced(body, features):
    """Guards against new messages to nodes that do not understand them."""
    session = _open_session(_Counted())
    assert session.features == frozenset()
    session.handle(cbor2.dumps([4, body]))
    assert session.features == features


@pytest.mark.parametrize(
    ('features', 'sent'),
    [([], []), (['waiting'], []), (['waiting', 'notices'], [b'n'])],
)
def test_earlier_build_gets_no_notice_in_an_outage(features, sent):
    """Guards against a notice that is taken for news of the store."""
    frames = []
    session = _open_session(_Counted(), notice=b'n', send=frames.append)
    session.handle(cbor2.dumps([4, {'number': 1, 'features': features}]))
    assert frames == sent


def test_each_connection_starts_without_features():
    """Guards against features of the publisher before."""
    link = _publisher_link.PublisherLink()
    link.attach('first')
    link.set_features(('waiting',))
    link.attach('second')
    assert link.features == frozenset()
    link.set_features(('progress',))
    link.detach('first')
    assert link.features == {'progress'}
    link.detach('second')
    assert link.features == frozenset()


def _make_subscriber(counted):
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    subscriber._unknown_from_publisher = counted.messages.open_connection(
        'subscriber'
    )
    return clock, subscriber


def _receive(subscriber, data):
    subscriber._handle(_updates.decode_frame(data))


def test_subscriber_ignores_unknown_messages():
    """Guards against a node that turns to the store for each of them."""
    counted = _Counted()
    clock, subscriber = _make_subscriber(counted)
    _receive(subscriber, _updates.encode_frame(_updates.ServerUpdate()))
    _receive(subscriber, NEW_FRAME)
    assert counted.count('subscriber') == 1
    assert subscriber.has_fresh_servers()


def test_publisher_announces_its_features():
    _, subscriber = _make_subscriber(_Counted())
    reading = _updates.ClockReading(2, 1.0, features=('waiting', 'x'))
    _receive(subscriber, _updates.encode_frame(reading))
    assert subscriber._link.features == {'waiting', 'x'}


def test_update_that_can_not_be_read_ends_the_reliance_on_updates():
    """Guards against entries without a change that later signs of life hide.

    The whole list that follows makes the entries complete again.
    """
    clock, subscriber = _make_subscriber(_Counted())
    forwarded = []
    subscriber._forward = forwarded.append
    sign_of_life = _updates.encode_frame(_updates.ServerUpdate())
    _receive(subscriber, _make_update('hibernating'))
    for _ in range(10):
        clock.now += 0.5
        _receive(subscriber, sign_of_life)
    assert not subscriber.has_fresh_servers()
    assert not forwarded
    whole = _updates.ServerUpdate(True, (test_updates.RECORD,))
    _receive(subscriber, _updates.encode_frame(whole))
    _receive(subscriber, sign_of_life)
    assert subscriber.has_fresh_servers()
    assert len(forwarded) == 2


HEAD = test_attempt_client.HEAD


@pytest.mark.parametrize(
    'messages',
    [
        pytest.param([NEW_FRAME, *HEAD], id='before it was accepted'),
        pytest.param([HEAD[0], NEW_FRAME, HEAD[1]], id='before the head'),
        pytest.param(
            [cbor2.dumps([6, {'cause': 'too large'}])], id='new cause'
        ),
        pytest.param(
            [
                *HEAD,
                relay.AnswerData(b'x'),
                NEW_FRAME,
                relay.AnswerData(b'y'),
                relay.AnswerEnd(),
            ],
            id='in the body',
        ),
    ],
)
def test_unknown_message_in_an_answer_ends_the_exchange(messages):
    """Guards against an answer that lacks what the message contained.

    The request may have run, as after the loss of the connection.
    """
    counted = _Counted()
    connection = test_attempt_client._Connection(messages)

    async def scenario():
        client = _attempt_client.AttemptClient(counted.messages)
        client.put_back('peer:1', connection)
        with pytest.raises(exceptions.PeerUnavailable) as caught:
            response = await client.open(
                'peer:1', test_attempt_client.ATTEMPT, lambda: None
            )
            await response.read_all(1.0)
        return caught.value.sent, client._is_idle('peer:1', connection)

    assert asyncio.run(asyncio.wait_for(scenario(), 2.0)) == (True, False)
    assert connection.aborted
    assert counted.count('attempt client') == 1


@pytest.mark.parametrize(
    'message', [NEW_FRAME, cbor2.dumps([8, {'reach': 'slowly'}]), HEAD[0]]
)
def test_question_without_a_known_reply_ends_the_connection(message):
    """Guards against the late reply that the next exchange would get."""
    connection = test_attempt_client._Connection([message])

    async def scenario():
        client = _attempt_client.AttemptClient(_Counted().messages)
        client.put_back('peer:1', connection)
        query = relay.ReachQuery('llm', 'e1', 1)
        with pytest.raises(exceptions.PeerUnavailable) as caught:
            await client.ask('peer:1', query)
        return caught.value.sent, client._is_idle('peer:1', connection)

    assert asyncio.run(scenario()) == (False, False)
    assert connection.aborted


class _NodeConnection:
    """Connection of another node that sends some frames and closes."""

    remote_address = ('10.0.0.1', 5)

    def __init__(self, frames):
        self._frames = frames
        self.sent = []

    async def __aiter__(self):
        for frame in self._frames:
            yield frame

    async def send(self, data):
        self.sent.append(_attempt_frames.CODEC.decode(data))


class _Witness:
    async def find(self, query):
        return relay.Reach.ANSWERS


def test_attempt_server_ignores_unknown_messages():
    """Guards against a reply that would be taken for that to a request."""
    counted = _Counted()
    query = _attempt_frames.CODEC.encode(relay.ReachQuery('llm', 'e1', 1))
    connection = _NodeConnection([NEW_FRAME, query, NEW_FRAME])
    server = _attempt_server.AttemptServer(
        None, _Witness(), counted.messages, doubles.Log()
    )
    asyncio.run(server._handle_frames(connection))
    assert connection.sent == [relay.ReachReply(relay.Reach.ANSWERS)]
    assert counted.count('attempt server') == 2
