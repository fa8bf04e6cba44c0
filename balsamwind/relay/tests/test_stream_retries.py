"""Streams that are cut after their start, and what follows them."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import relay
from balsamwind.relay import _response_relay
from balsamwind.relay.tests import forwarding

CUT_CHUNKED = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(0)),
    forwarding.make_chunk(forwarding.make_event(1) + b'id: 2\nda'),
    forwarding.CUT,
]

CUT_WITH_LENGTH = [
    forwarding.make_head(framing='Content-Length: 500\r\n'),
    forwarding.make_event(0) + forwarding.make_event(1) + b'id: 2\nda',
    forwarding.CUT,
]

REST = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(2)),
    forwarding.make_chunk(forwarding.make_event(3)),
    forwarding.LAST_CHUNK,
]

REPEATED = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(0)),
    forwarding.make_chunk(forwarding.make_event(1)),
    forwarding.LAST_CHUNK,
]

ERROR_WITH_LENGTH = [
    forwarding.make_head(500, 'text/plain', 'Content-Length: 4\r\n'),
    b'oops',
]

ERROR_WITHOUT_LENGTH = [
    forwarding.make_head(500, 'text/plain'),
    b'oops',
    forwarding.CUT,
]

ERROR_AS_EVENTS = [
    forwarding.make_head(500, framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(2)),
    forwarding.LAST_CHUNK,
]

OTHER_TYPE = [
    forwarding.make_head(200, 'application/json', 'Content-Length: 2\r\n'),
    b'{}',
]


CUT_BETWEEN_EVENTS = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(forwarding.make_event(0) + forwarding.make_event(1)),
    forwarding.CUT,
]

ERROR_EVENT = b'event: error\ndata: overloaded\n\n'

EVENT_WITHOUT_ID = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(ERROR_EVENT),
    forwarding.LAST_CHUNK,
]

EVENT_WITH_A_LONG_ID = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(b'id: %s\ndata: x\n\n' % (b'9' * 5000)),
    forwarding.LAST_CHUNK,
]

SECOND_HEAD = [
    forwarding.make_head(),
    b'HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\noops\r\n\r\n',
    forwarding.CUT,
]

EMPTY_CHUNKED = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.LAST_CHUNK,
]

EMPTY_WITH_LENGTH = [forwarding.make_head(framing='Content-Length: 0\r\n')]

FIRST_TWO = forwarding.make_event(0) + forwarding.make_event(1)
ALL_FOUR = FIRST_TWO + forwarding.make_event(2) + forwarding.make_event(3)


@pytest.mark.parametrize(
    'first',
    [
        pytest.param(CUT_CHUNKED, id='chunked'),
        pytest.param(CUT_WITH_LENGTH, id='with a length'),
        pytest.param(CUT_BETWEEN_EVENTS, id='between two events'),
    ],
)
@pytest.mark.parametrize(
    'second',
    [
        pytest.param(ERROR_WITH_LENGTH, id='error with a length'),
        pytest.param(ERROR_WITHOUT_LENGTH, id='error without a length'),
        pytest.param(ERROR_AS_EVENTS, id='error in the form of events'),
        pytest.param(OTHER_TYPE, id='success of another media type'),
        pytest.param(REPEATED, id='events that were sent before'),
        pytest.param([forwarding.SILENCE], id='silence'),
        pytest.param(EVENT_WITHOUT_ID, id='event without an id'),
        pytest.param(EVENT_WITH_A_LONG_ID, id='event with a long id'),
        pytest.param(SECOND_HEAD, id='second head and a text'),
        pytest.param(EMPTY_CHUNKED, id='nothing, chunked'),
        pytest.param(EMPTY_WITH_LENGTH, id='nothing, with a length'),
    ],
)
@pytest.mark.parametrize('max_attempts', [2, 3])
def test_only_its_continuation_follows_a_started_stream(
    first, second, max_attempts
):
    scripts = [first, second, REST, REST]
    responder, engine, error = asyncio.run(
        forwarding.forward(scripts, max_attempts)
    )
    assert responder.starts == 1
    assert responder.status == 200
    if responder.complete:
        assert max_attempts == 3
        assert responder.body == ALL_FOUR
    else:
        assert responder.body == FIRST_TWO
        assert error is not None


@pytest.mark.parametrize(
    'second',
    [
        pytest.param(
            [forwarding.make_event(2) + ERROR_EVENT], id='error at once'
        ),
        pytest.param(
            [forwarding.make_event(2), ERROR_EVENT], id='error afterwards'
        ),
        pytest.param(
            [forwarding.make_event(2) + forwarding.make_event(1)],
            id='earlier event at once',
        ),
        pytest.param(
            [forwarding.make_event(2), forwarding.make_event(2)],
            id='same event afterwards',
        ),
    ],
)
def test_events_that_do_not_continue_a_stream_are_held_back(second):
    # Clients found the text of an error, and no event was to be lost or
    # doubled where a part of the answer was sound (MIXED, ORDER).
    answer = [
        forwarding.make_head(framing=forwarding.CHUNKED),
        *map(forwarding.make_chunk, second),
        forwarding.LAST_CHUNK,
    ]
    last = [
        forwarding.make_head(framing=forwarding.CHUNKED),
        forwarding.make_chunk(forwarding.make_event(3)),
        forwarding.LAST_CHUNK,
    ]
    whole_second = second[0] == forwarding.make_event(2)
    responder, engine, error = asyncio.run(
        forwarding.forward(
            [CUT_BETWEEN_EVENTS, answer, last if whole_second else REST]
        )
    )
    assert error is None
    assert responder.complete
    assert responder.body == ALL_FOUR


ALL_CUT = [
    forwarding.make_head(framing=forwarding.CHUNKED),
    forwarding.make_chunk(ALL_FOUR),
    forwarding.CUT,
]


@pytest.mark.parametrize(
    ('scripts', 'is_complete'),
    [
        pytest.param([ALL_CUT, EMPTY_CHUNKED], False, id='one says so'),
        pytest.param(
            [ALL_CUT, EMPTY_CHUNKED, EMPTY_WITH_LENGTH], True, id='two do'
        ),
        pytest.param(
            [CUT_CHUNKED, EMPTY_CHUNKED, EMPTY_CHUNKED],
            False,
            id='an event had begun',
        ),
    ],
)
def test_stream_ends_where_two_servers_have_nothing_to_add(
    scripts, is_complete
):
    # An empty answer to the resumption ended any stream as complete (ORDER).
    responder, engine, error = asyncio.run(
        forwarding.forward(scripts, max_attempts=len(scripts))
    )
    assert responder.complete is is_complete
    assert (error is None) is is_complete


def test_stream_without_ids_is_not_continued():
    # It would begin anew, and its events come twice (ORDER).
    first = [
        forwarding.make_head(framing=forwarding.CHUNKED),
        forwarding.make_chunk(b'data: a\n\n'),
        forwarding.CUT,
    ]
    responder, engine, error = asyncio.run(forwarding.forward([first, REST]))
    assert responder.body == b'data: a\n\n'
    assert not responder.complete
    assert error is not None


def test_comments_do_not_end_a_resumed_stream():
    second = [
        forwarding.make_head(framing=forwarding.CHUNKED),
        forwarding.make_chunk(b': ping\n\n' + forwarding.make_event(2)),
        forwarding.make_chunk(b':\n\n' + forwarding.make_event(3)),
        forwarding.LAST_CHUNK,
    ]
    responder, engine, error = asyncio.run(
        forwarding.forward([CUT_CHUNKED, second])
    )
    assert error is None
    assert responder.complete
    assert (
        responder.body.replace(b': ping\n\n', b'').replace(b':\n\n', b'')
        == ALL_FOUR
    )


def test_stream_is_resumed_after_an_error_answer():
    scripts = [CUT_CHUNKED, ERROR_WITH_LENGTH, REST]
    responder, engine, error = asyncio.run(forwarding.forward(scripts))
    assert responder.complete
    assert error is None
    assert responder.body == ALL_FOUR
    assert engine.last_event_ids == [b'1', b'1']


def test_long_error_body_that_was_cut_is_not_followed_by_a_stream():
    size = 2 * _response_relay.MAX_BUFFERED_BYTES
    long_error = [
        forwarding.make_head(404, 'text/plain', f'Content-Length: {size}\r\n'),
        b'x' * (size // 2 + 100000),
        forwarding.CUT,
    ]
    responder, engine, error = asyncio.run(
        forwarding.forward([long_error, REST])
    )
    assert responder.status == 404
    assert not responder.complete
    assert set(responder.body) <= {ord('x')}
    assert engine.requests == 1
    assert error is not None


def test_request_whose_caller_has_left_is_not_sent():
    responder = forwarding.Responder()
    responder.gone = True

    async def run():
        with pytest.raises(asyncio.CancelledError):
            await forwarding.forward([REST], responder=responder)

    asyncio.run(run())
    assert not responder.starts


class _LateClock(forwarding.Clock):
    """Clock of a node on which time passes while it connects."""

    def __init__(self):
        self.late_by = 0.0

    def monotonic(self):
        return super().monotonic() + self.late_by


def _forward_on_slow_node(make_late):
    """Forward a request while `make_late` acts during the connect."""
    responder = forwarding.Responder()
    clock = _LateClock()

    class SlowClient(adapters.HttpClient):
        async def _connect(self, *arguments):
            stream = await super()._connect(*arguments)
            make_late(responder, clock)
            return stream

    return asyncio.run(
        forwarding.forward(
            [REST], responder=responder, client=SlowClient(), clock=clock
        )
    )


def test_request_whose_deadline_passed_while_connecting_is_not_sent():
    def make_late(responder, clock):
        clock.late_by = 10.0

    responder, engine, error = _forward_on_slow_node(make_late)
    assert engine.requests == 0
    assert not responder.starts
    assert error.run == exceptions.NOT_RUN
    assert error.status == 503


def test_request_whose_caller_left_while_connecting_is_not_sent():
    def make_late(responder, clock):
        responder.gone = True

    with pytest.raises(asyncio.CancelledError):
        _forward_on_slow_node(make_late)


def test_deadline_while_connecting_leaves_no_doubt():
    """A request that was never sent is refused as not run."""

    class SilentClient(adapters.HttpClient):
        async def _connect(self, *arguments):
            await asyncio.sleep(60.0)

    _, engine, error = asyncio.run(
        forwarding.forward([REST], client=SilentClient())
    )
    assert engine.requests == 0
    assert error.run == exceptions.NOT_RUN
    assert error.status == 503


class _FakePlacement:
    """Places each attempt at the backends of a list, by their names."""

    def __init__(self, names):
        self._names = list(names)
        self.ends = []
        self.stalls = []
        self.progress = []

    async def place(self, service, requirements, tried, quiet, **values):
        number = len(self.ends) + 1
        name = self._names.pop(0)
        return relay.Placement(number, relay.BackendKey('llm', name, 1))

    def report_stall(self, number):
        self.stalls.append(number)

    def report_progress(self, number, time_to_first_event, load):
        self.progress.append(number)

    def end(self, number, outcome, load):
        self.ends.append((number, outcome))


@pytest.mark.parametrize(
    ('names', 'expected'),
    [
        pytest.param(
            ['e2', 'e3'],
            [(1, relay.Outcome.FAILED), (2, relay.Outcome.ANSWERED)],
            id='each attempt ends its own placement',
        ),
        pytest.param(
            ['unknown', 'e3'],
            [(1, relay.Outcome.REFUSED), (2, relay.Outcome.ANSWERED)],
            id='unknown here: given back, without the outcome of another',
        ),
    ],
)
def test_placement_gets_the_outcome_of_its_own_backend(names, expected):
    placement = _FakePlacement(names)
    responder, _, error = asyncio.run(
        forwarding.forward([CUT_CHUNKED, REST], placement=placement)
    )
    assert error is None
    assert responder.complete
    assert placement.ends == expected
    assert placement.stalls == []
    assert placement.progress[-1] == 2


LEAVING = 'Server-Leaving: 1\r\n'


def _make_short_answer(status, extra=''):
    head = forwarding.make_head(
        status, 'text/plain', f'{LEAVING}Content-Length: 2\r\n{extra}'
    )
    return [head + b'no']


@pytest.mark.parametrize(
    ('script', 'expected'),
    [
        pytest.param(
            [
                forwarding.make_head(framing=LEAVING + forwarding.CHUNKED),
                forwarding.make_chunk(forwarding.make_event(0)),
                forwarding.LAST_CHUNK,
            ],
            ['e0'],
            id='stream',
        ),
        pytest.param(_make_short_answer(500), ['e0'], id='failure'),
        pytest.param(
            _make_short_answer(503, 'X-Balsamwind-Not-Executed: 1\r\n'),
            ['e0'],
            id='rejection',
        ),
        pytest.param(
            _make_short_answer(421), [], id='another server at its address'
        ),
    ],
)
def test_server_that_says_it_leaves_is_reported(script, expected):
    async def run():
        fake_relay = None

        def keep(created):
            nonlocal fake_relay
            fake_relay = created

        await forwarding.forward([script, REST], on_relay=keep)
        return fake_relay.leaving

    assert asyncio.run(run()) == expected
