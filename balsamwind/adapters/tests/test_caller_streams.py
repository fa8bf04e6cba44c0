"""Responses to callers, and release of resources, over real sockets."""

import asyncio
import contextlib
import json

import pytest

from balsamwind import adapters
from balsamwind.adapters.tests import completion_helpers
from balsamwind.adapters.tests import scripted
from balsamwind.requests import _resume

RESPONSE_HEAD = scripted.RESPONSE_HEAD
token_event = scripted.make_token
LAST_CHUNK = b'0\r\n\r\n'


@contextlib.asynccontextmanager
async def open_caller_server(engine):
    """Yield a fake entry of one engine and the port of its caller server."""
    async with engine.listen():
        entry = completion_helpers.FakeEntry([engine.address])
        server = adapters.make_caller_server(entry)
        server.listen(0, '127.0.0.1')
        (listener,) = server._sockets.values()
        try:
            yield entry, listener.getsockname()[1]
        finally:
            server.stop()
            await server.close_all_connections()
            entry.client.close()


async def send_completion(port, limit=65536, **fields):
    """Send a completion request; return the reader and the writer."""
    body = completion_helpers.make_body(**fields)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, limit=limit
    )
    writer.write(
        b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer key\r\nContent-Length: %d\r\n\r\n' % len(body)
    )
    writer.write(body)
    return reader, writer


async def wait_for(check):
    """Wait until ``check()`` is true."""
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(0.01)


def parse_events(data):
    """Parse the events of a chunked body."""
    lines = [line for line in data.split(b'\r\n') if line]
    text = b''.join(line for line in lines if b'data: ' in line)
    return [
        json.loads(block)
        for block in text.split(b'\n\n')
        for block in [block.removeprefix(b'data: ')]
        if block and block != b'[DONE]'
    ]


TRUNCATED_SCRIPTS = [
    [RESPONSE_HEAD, token_event(0), scripted.PAUSE, scripted.CUT],
    [RESPONSE_HEAD, token_event(0), scripted.PAUSE, b'zz\r\n'],
]


@pytest.mark.parametrize(
    'script', TRUNCATED_SCRIPTS, ids=['cut', 'broken chunk']
)
def test_truncated_answer_ends_in_an_error(monkeypatch, script):
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)

    async def run():
        engine = scripted.ScriptedEngine([script])
        async with open_caller_server(engine) as (entry, port):
            reader, writer = await send_completion(port)
            async with asyncio.timeout(5.0):
                data = await reader.read()
            writer.close()
            return entry.outcomes, data

    outcomes, data = asyncio.run(run())
    last = parse_events(data)[-1]
    assert last['error']['code'] == 'stream_broken'
    assert last['error']['run'] == 'run'
    assert not data.endswith(LAST_CHUNK)
    assert b'[DONE]' not in data
    assert outcomes == ['stream_broken']


@pytest.mark.parametrize('stream', [True, False])
def test_crash_of_the_entry_ends_in_an_error(stream):
    async def run():
        script = [
            RESPONSE_HEAD,
            token_event(0),
            scripted.PAUSE,
            token_event(1),
            scripted.STALL,
        ]
        engine = scripted.ScriptedEngine([script])
        async with open_caller_server(engine) as (entry, port):
            entry.log = _FakeLog()
            entry.complete = _fail_after_one_token
            reader, writer = await send_completion(port, stream=stream)
            async with asyncio.timeout(5.0):
                data = await reader.read(65536)
                if stream:
                    data += await reader.read()
            writer.close()
            return entry, data

    entry, data = asyncio.run(run())
    assert b'"internal_error"' in data
    assert entry.outcomes == ['internal_error']
    if stream:
        assert not data.endswith(LAST_CHUNK)
    else:
        assert data.startswith(b'HTTP/1.1 500')


async def _fail_after_one_token(request):
    yield ['a ']
    raise RuntimeError('injected fault')


class _FakeLog:
    def exception(self, event):
        del event


@pytest.mark.parametrize('stream', [True, False])
def test_disconnect_of_the_caller_frees_the_slot(stream):
    async def run():
        script = [RESPONSE_HEAD, token_event(0), scripted.STALL]
        engine = scripted.ScriptedEngine([script])
        async with open_caller_server(engine) as (entry, port):
            _, writer = await send_completion(port, stream=stream)
            await wait_for(lambda: engine.running == 1)
            writer.close()
            await wait_for(lambda: engine.running == 0)
            await wait_for(lambda: entry.outcomes)
            return entry.outcomes, entry.router.in_flight

    outcomes, in_flight = asyncio.run(run())
    assert outcomes == ['caller_gone']
    assert in_flight == 0


def test_slow_caller_exerts_back_pressure_on_the_engine():
    text = 'x' * 32768
    count = 4000

    class CountingEngine(scripted.ScriptedEngine):
        written = 0

        async def _run_step(self, step, request, reader, writer):
            self.written += isinstance(step, dict)
            return await super()._run_step(step, request, reader, writer)

    async def run():
        tokens = [token_event(index, text=text) for index in range(count)]
        engine = CountingEngine([[RESPONSE_HEAD, *tokens, scripted.STALL]])
        async with open_caller_server(engine) as (_, port):
            _, writer = await send_completion(
                port, limit=1024, max_tokens=count
            )
            events_written = -1
            while events_written < 1 or events_written != engine.written:
                events_written = engine.written
                await asyncio.sleep(0.1)
            writer.transport.abort()
            await wait_for(lambda: engine.running == 0)
            return events_written

    assert 0 < asyncio.run(run()) < count // 2
