"""Streams that are cut after their start, and what follows them."""

import asyncio
import contextlib

import pytest
from tornado import httputil

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.platform import _headers
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _forwarder
from balsamwind import traffic

CUT = 'cut'
"""Step that closes the connection."""

SILENCE = 'silence'
"""Step that sends nothing and keeps the connection open."""

STAMP = 'X-Balsamwind-Response-Stamp: s1\r\n'


def _make_head(status=200, media_type='text/event-stream', framing=''):
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: {media_type}\r\n{STAMP}'
        f'{framing}\r\n'
    ).encode()


def _make_event(number):
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def _make_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


CHUNKED = 'Transfer-Encoding: chunked\r\n'
LAST_CHUNK = b'0\r\n\r\n'

CUT_CHUNKED = [
    _make_head(framing=CHUNKED),
    _make_chunk(_make_event(0)),
    _make_chunk(_make_event(1) + b'id: 2\nda'),
    CUT,
]

CUT_WITH_LENGTH = [
    _make_head(framing='Content-Length: 500\r\n'),
    _make_event(0) + _make_event(1) + b'id: 2\nda',
    CUT,
]

REST = [
    _make_head(framing=CHUNKED),
    _make_chunk(_make_event(2)),
    _make_chunk(_make_event(3)),
    LAST_CHUNK,
]

REPEATED = [
    _make_head(framing=CHUNKED),
    _make_chunk(_make_event(0)),
    _make_chunk(_make_event(1)),
    LAST_CHUNK,
]

ERROR_WITH_LENGTH = [
    _make_head(500, 'text/plain', 'Content-Length: 4\r\n'),
    b'oops',
]

ERROR_WITHOUT_LENGTH = [_make_head(500, 'text/plain'), b'oops', CUT]

ERROR_AS_EVENTS = [
    _make_head(500, framing=CHUNKED),
    _make_chunk(_make_event(2)),
    LAST_CHUNK,
]

OTHER_TYPE = [
    _make_head(200, 'application/json', 'Content-Length: 2\r\n'),
    b'{}',
]


class _ScriptedEngine:
    """Answers each request by the next script, on any connection."""

    def __init__(self, scripts):
        self._scripts = list(scripts)
        self.requests = 0
        self.last_event_ids = []

    async def handle(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                for line in head.split(b'\r\n'):
                    if line.lower().startswith(b'last-event-id:'):
                        self.last_event_ids.append(line.split(b': ')[1])
                for step in self._scripts.pop(0):
                    if step == CUT:
                        writer.close()
                        return
                    if step == SILENCE:
                        await asyncio.sleep(60.0)
                    writer.write(step)
                    await writer.drain()
                    await asyncio.sleep(0.01)


class _Responder:
    """Records what the caller receives."""

    def __init__(self):
        self.status = 0
        self.body = b''
        self.complete = False
        self.starts = 0
        self.gone = False

    def is_caller_gone(self):
        return self.gone

    def start(self, status, headers):
        self.status = status
        self.starts += 1

    async def write(self, chunk):
        self.body += chunk

    def finish(self):
        self.complete = True


class _Log:
    def record_failed_attempt(self, request_id, backend, failure):
        pass

    def record_stream_end(
        self, request_id, backend, framing, unfinished_bytes
    ):
        pass


class _Clock:
    def monotonic(self):
        return asyncio.get_running_loop().time()


def _make_route(max_attempts, resumable=True):
    return traffic.Route(
        name='ask',
        host='a',
        prefix='/',
        kind=traffic.RequestKind.STREAM,
        timeout=5.0,
        latency_objective=0.3,
        priority=0,
        targets=(traffic.Target('llm'),),
        max_attempts=max_attempts,
        resumable=resumable,
    )


class _Relay:
    """Parts of the relay that a forwarder uses."""

    def __init__(self, addresses, client, clock):
        self.clock = clock
        self.client = client
        self.header_codec = _headers.HeaderCodec()
        self.request_log = _Log()
        self.data_centre = 'a'
        self.backends = self
        self._backends = [
            relay.Backend(
                ('llm', f'e{number}', 1),
                pool.ServerRecord(f'e{number}', 'llm', address, 'a'),
                4,
            )
            for number, address in enumerate(addresses)
        ]

    @property
    def rng(self):
        return self

    def random(self):
        return 0.0

    def get_retry_budget(self, service):
        return self

    def try_consume(self, now):
        return True

    def get_by_service(self, service):
        return self._backends

    def find(self, service, key):
        for backend in self._backends:
            if backend.key == key:
                return backend
        return None


async def _forward(
    scripts,
    max_attempts=3,
    responder=None,
    client=None,
    clock=None,
    placement=None,
):
    engine = _ScriptedEngine(scripts)
    responder = responder or _Responder()
    async with contextlib.AsyncExitStack() as stack:
        servers = [
            await asyncio.start_server(engine.handle, '127.0.0.1', 0)
            for _ in range(4)
        ]
        for server in servers:
            stack.callback(server.close)
        addresses = [
            f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
            for server in servers
        ]
        client = client or adapters.HttpClient()
        stack.callback(client.close)
        fake_relay = _Relay(addresses, client, clock or _Clock())
        fake_relay.placement = placement
        request = relay.IncomingRequest(
            'POST',
            '/x',
            'a',
            httputil.HTTPHeaders(),
            b'hi',
            fake_relay.clock.monotonic(),
        )
        forwarder = _forwarder.RequestForwarder(
            fake_relay,
            request,
            relay.RequestMetadata('r1'),
            responder,
            _make_route(max_attempts),
            traffic.Service('llm', engine=placement and ENGINE),
            None,
            1.5,
        )
        error = None
        try:
            async with asyncio.timeout(2.0):
                await forwarder.run()
        except TimeoutError:
            error = forwarder.make_timeout_error()
        except exceptions.BalsamwindError as raised:
            error = raised
    return responder, engine, error


ENGINE = traffic.EngineProfile((traffic.ModelProfile('', 1),), slots=4)

FIRST_TWO = _make_event(0) + _make_event(1)
ALL_FOUR = FIRST_TWO + _make_event(2) + _make_event(3)


@pytest.mark.parametrize(
    'first',
    [
        pytest.param(CUT_CHUNKED, id='chunked'),
        pytest.param(CUT_WITH_LENGTH, id='with a length'),
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
        pytest.param([SILENCE], id='silence'),
    ],
)
@pytest.mark.parametrize('max_attempts', [2, 3])
def test_only_its_continuation_follows_a_started_stream(
    first, second, max_attempts
):
    scripts = [first, second, REST, REST]
    responder, engine, error = asyncio.run(_forward(scripts, max_attempts))
    assert responder.starts == 1
    assert responder.status == 200
    if responder.complete:
        assert max_attempts == 3
        assert responder.body == ALL_FOUR
    else:
        assert responder.body == FIRST_TWO
        assert error is not None


def test_stream_is_resumed_after_an_error_answer():
    scripts = [CUT_CHUNKED, ERROR_WITH_LENGTH, REST]
    responder, engine, error = asyncio.run(_forward(scripts))
    assert responder.complete
    assert error is None
    assert responder.body == ALL_FOUR
    assert engine.last_event_ids == [b'1', b'1']


def test_long_error_body_that_was_cut_is_not_followed_by_a_stream():
    size = 2 * _forwarder.MAX_BUFFERED_BYTES
    long_error = [
        _make_head(404, 'text/plain', f'Content-Length: {size}\r\n'),
        b'x' * (size // 2 + 100000),
        CUT,
    ]
    responder, engine, error = asyncio.run(_forward([long_error, REST]))
    assert responder.status == 404
    assert not responder.complete
    assert set(responder.body) <= {ord('x')}
    assert engine.requests == 1
    assert error is not None


def test_request_whose_caller_has_left_is_not_sent():
    responder = _Responder()
    responder.gone = True

    async def run():
        with pytest.raises(asyncio.CancelledError):
            await _forward([REST], responder=responder)

    asyncio.run(run())
    assert not responder.starts


class _LateClock(_Clock):
    """Clock of a node on which time passes while it connects."""

    def __init__(self):
        self.late_by = 0.0

    def monotonic(self):
        return super().monotonic() + self.late_by


def _forward_on_slow_node(make_late):
    """Forward a request while `make_late` acts during the connect."""
    responder = _Responder()
    clock = _LateClock()

    class SlowClient(adapters.HttpClient):
        async def _connect(self, *arguments):
            stream = await super()._connect(*arguments)
            make_late(responder, clock)
            return stream

    return asyncio.run(
        _forward([REST], responder=responder, client=SlowClient(), clock=clock)
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

    _, engine, error = asyncio.run(_forward([REST], client=SilentClient()))
    assert engine.requests == 0
    assert error.run == exceptions.NOT_RUN
    assert error.status == 503


class _FakePlacement:
    """Places each attempt at the backends of a list, by their names."""

    def __init__(self, names):
        self._names = list(names)
        self.ends = []
        self.stalls = []

    async def place(self, service, requirements, tried):
        number = len(self.ends) + 1
        name = self._names.pop(0)
        return relay.Placement(number, relay.BackendKey('llm', name, 1))

    def report_stall(self, number):
        self.stalls.append(number)

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
        _forward([CUT_CHUNKED, REST], placement=placement)
    )
    assert error is None
    assert responder.complete
    assert placement.ends == expected
    assert placement.stalls == []
