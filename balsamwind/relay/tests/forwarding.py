"""Scripted engines, and a forwarder that sends one request to them."""

import asyncio
import contextlib
import socket
import struct

from tornado import httputil

from balsamwind import adapters
from balsamwind import admission
from balsamwind import exceptions
from balsamwind.platform import _headers
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _attempt_sender
from balsamwind.relay import _forwarded_request
from balsamwind.relay import _forwarder
from balsamwind.relay import _server_statements
from balsamwind import traffic

CUT = 'cut'
"""Step that closes the connection."""

RESET = 'reset'
"""Step that resets the connection."""

SILENCE = 'silence'
"""Step that sends nothing and keeps the connection open."""

STAMP = 'X-Balsamwind-Response-Stamp: s1\r\n'


def make_head(status=200, media_type='text/event-stream', framing=''):
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: {media_type}\r\n{STAMP}'
        f'{framing}\r\n'
    ).encode()


def make_event(number):
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def make_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


CHUNKED = 'Transfer-Encoding: chunked\r\n'
LAST_CHUNK = b'0\r\n\r\n'


def _reset(writer):
    sock = writer.get_extra_info('socket')
    linger_off = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_off)
    writer.transport.abort()


class ScriptedEngine:
    """Answers each request by the next script, on any connection.

    A step of a script is what is sent, a pause (seconds), or one of the names
    above.
    """

    def __init__(self, scripts):
        self._scripts = list(scripts)
        self.requests = 0
        self.last_event_ids = []
        self.asked_at = []

    async def handle(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                self.asked_at.append(asyncio.get_running_loop().time())
                for line in head.split(b'\r\n'):
                    if line.lower().startswith(b'last-event-id:'):
                        self.last_event_ids.append(line.split(b': ')[1])
                for step in self._scripts.pop(0):
                    if step == CUT:
                        writer.close()
                        return
                    if step == RESET:
                        _reset(writer)
                        return
                    if step == SILENCE:
                        await asyncio.sleep(60.0)
                    if isinstance(step, float):
                        await asyncio.sleep(step)
                        continue
                    writer.write(step)
                    await writer.drain()
                    await asyncio.sleep(0.01)


class Responder:
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
    def record_server_end(self, record, verdict, parts):
        pass

    def record_repeats(self, service, repeats):
        pass

    def record_failed_attempt(
        self, metadata, backend, failure, progress, fingerprint
    ):
        pass

    def record_silence(self, metadata, backend, obstacle):
        pass

    def record_stream_end(
        self, request_id, backend, framing, unfinished_bytes
    ):
        pass

    def record_requested_pause(self, backend, pause):
        pass

    def record_wait(self, request_id, rank, account, wait, outcome):
        pass

    def record_unreadable_headers(self, backend, names):
        pass


class Clock:
    def monotonic(self):
        return asyncio.get_running_loop().time()


def make_route(max_attempts, resumable=True):
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


class _CrashReporter:
    def watch_abandoned(self, backend, service, parts, fingerprint, progress):
        pass

    def report_broken_answer(
        self, backend, service, parts, fingerprint, progress
    ):
        pass

    def record_answer(self, service, parts, fingerprint, progress):
        pass


class FakeRelay:
    """Parts of the relay that a forwarder uses."""

    def __init__(self, addresses, client, clock):
        self.clock = clock
        self.client = client
        self.header_codec = _headers.HeaderCodec()
        self.request_log = _Log()
        self.data_centre = 'a'
        self.placement = None
        self.crash_quarantine = relay.CrashQuarantine('a')
        self.crash_reporter = _CrashReporter()
        self.held_bytes = admission.HeldBytes(1 << 30)
        self.paths = relay.PathTable()
        self.peers = _attempt_sender.NoPeerService()
        self.server_statements = _server_statements.ServerStatements(
            self.request_log
        )
        self.server_statements.on_leaving = self._record_leaving
        self.leaving = []
        self.waiting_room = relay.WaitingRoom(
            self,
            'a',
            self,
            self.server_statements.limits,
            self.server_statements.rules,
            clock,
        )
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

    async def settle_path(self, service):
        return self.paths.is_open(service)

    def _record_leaving(self, server_id, born):
        self.leaving.append(server_id)

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


async def send_one(
    fake_relay,
    responder=None,
    max_attempts=3,
    route=None,
    request_id=None,
    time_limit=2.0,
):
    """Forward one request; return the error of its response, or None."""
    request = relay.IncomingRequest(
        'POST',
        '/x',
        'a',
        httputil.HTTPHeaders(
            {'X-Balsamwind-Request-Id': request_id} if request_id else {}
        ),
        b'hi',
        fake_relay.clock.monotonic(),
    )
    forwarded = _forwarded_request.ForwardedRequest(
        fake_relay,
        request,
        relay.RequestMetadata('r1' if request_id is None else request_id),
        responder or Responder(),
        route or make_route(max_attempts),
        traffic.Service('llm', engine=fake_relay.placement and ENGINE),
        None,
        1.5,
    )
    forwarder = _forwarder.RequestForwarder(forwarded)
    try:
        async with asyncio.timeout(time_limit):
            await forwarder.run()
    except TimeoutError:
        return forwarder.make_timeout_error()
    except exceptions.BalsamwindError as error:
        return error
    return None


async def forward(
    scripts,
    max_attempts=3,
    responder=None,
    client=None,
    clock=None,
    placement=None,
    on_relay=None,
):
    engine = ScriptedEngine(scripts)
    responder = responder or Responder()
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
        fake_relay = FakeRelay(addresses, client, clock or Clock())
        fake_relay.placement = placement
        if on_relay is not None:
            on_relay(fake_relay)
        error = await send_one(fake_relay, responder, max_attempts)
    return responder, engine, error


ENGINE = traffic.EngineProfile((traffic.ModelProfile('', 1),), slots=4)
