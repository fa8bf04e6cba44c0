"""Streams that end with their connection, and streams that look complete."""

import asyncio

import pytest

from balsamwind.relay.tests import forwarding

EVENTS = [forwarding.make_event(number) for number in range(4)]
UNFINISHED = b'id: 2\ndata: t'
HEAD = forwarding.make_head()
CHUNKED_HEAD = forwarding.make_head(framing=forwarding.CHUNKED)


def _make_script(*parts, last=forwarding.CUT):
    return [HEAD, *parts, last]


def _make_script_with_length(body):
    return [
        forwarding.make_head(framing=f'Content-Length: {len(body)}\r\n'),
        body,
    ]


CUT_INSIDE_EVENT = _make_script(EVENTS[0], EVENTS[1] + UNFINISHED)
REST = _make_script(EVENTS[2], EVENTS[3])

BROKEN_OFF = [
    pytest.param(CUT_INSIDE_EVENT, id='closed inside an event'),
    pytest.param(
        _make_script(EVENTS[0] + EVENTS[1], b'\nid: 2'),
        id='closed inside the first line of an event',
    ),
    pytest.param(
        _make_script(b''.join([EVENTS[0], EVENTS[1], UNFINISHED])),
        id='closed inside an event, all bytes at once',
    ),
    pytest.param(
        _make_script(*EVENTS[:2], UNFINISHED, last=forwarding.RESET),
        id='reset inside an event',
    ),
    pytest.param(
        _make_script(*EVENTS[:2], last=forwarding.RESET),
        id='reset between two events',
    ),
    pytest.param(
        [
            CHUNKED_HEAD,
            forwarding.make_chunk(EVENTS[0] + EVENTS[1]),
            forwarding.make_chunk(UNFINISHED),
            forwarding.LAST_CHUNK,
        ],
        id='last chunk inside an event',
    ),
    pytest.param(
        _make_script_with_length(EVENTS[0] + EVENTS[1] + UNFINISHED),
        id='length reached inside an event',
    ),
]


@pytest.mark.parametrize('script', BROKEN_OFF)
@pytest.mark.parametrize('max_attempts', [1, 3])
def test_broken_off_stream_is_not_passed_on_as_complete(script, max_attempts):
    responder, engine, error = asyncio.run(
        forwarding.forward([script, REST], max_attempts)
    )
    assert responder.starts == 1
    if max_attempts == 1:
        assert not responder.complete
        assert responder.body == EVENTS[0] + EVENTS[1]
        assert error is not None
    else:
        assert responder.complete
        assert responder.body == b''.join(EVENTS)
        assert engine.last_event_ids == [b'1']


@pytest.mark.parametrize(
    'script',
    [
        pytest.param(_make_script(UNFINISHED), id='no whole event'),
        pytest.param(_make_script(), id='no event at all'),
        pytest.param([HEAD, forwarding.RESET], id='reset after the head'),
    ],
)
def test_stream_that_brought_no_event_is_sent_again(script):
    whole = _make_script(*EVENTS)
    responder, engine, error = asyncio.run(forwarding.forward([script, whole]))
    assert error is None
    assert responder.complete
    assert responder.body == b''.join(EVENTS)
    assert engine.requests == 2


@pytest.mark.parametrize(
    'script',
    [
        pytest.param(_make_script(*EVENTS), id='closed after an event'),
        pytest.param(
            _make_script(*EVENTS, b'\n'), id='closed after an empty line'
        ),
        pytest.param(_make_script(b''.join(EVENTS)), id='all bytes at once'),
        pytest.param(
            _make_script_with_length(b''.join(EVENTS)), id='with a length'
        ),
    ],
)
def test_whole_stream_is_passed_on_as_it_is(script):
    responder, engine, error = asyncio.run(forwarding.forward([script]))
    assert error is None
    assert responder.complete
    assert responder.body.startswith(b''.join(EVENTS))
    assert engine.requests == 1


def test_answer_of_another_media_type_needs_no_events():
    script = [
        forwarding.make_head(200, 'application/json', 'Content-Length: 2\r\n'),
        b'{}',
    ]
    responder, engine, error = asyncio.run(forwarding.forward([script]))
    assert error is None
    assert responder.complete
    assert responder.body == b'{}'
    assert engine.requests == 1
