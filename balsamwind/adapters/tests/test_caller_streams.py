"""What callers get, and what they leave behind, over real sockets."""

import asyncio
import contextlib
import json

import pytest

from balsamwind import adapters
from balsamwind.adapters.tests import parts
from balsamwind.adapters.tests import scripted
from balsamwind.requests import _resume

HEADERS = scripted.HEADERS
TOKEN = scripted.token
LAST_CHUNK = b'0\r\n\r\n'


@contextlib.asynccontextmanager
async def open_caller(engine):
    """A caller server before one engine; yields it and its port."""
    async with engine.listen():
        caller = parts.Caller([engine.address])
        server = adapters.make_caller_server(caller)
        server.listen(0, '127.0.0.1')
        (listener,) = server._sockets.values()
        try:
            yield caller, listener.getsockname()[1]
        finally:
            server.stop()
            await server.close_all_connections()
            caller.client.close()


async def send(port, limit=65536, **fields):
    """Send a completion; its reader and writer."""
    body = parts.make_body(**fields)
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
    """Wait until `check()` is true."""
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(0.01)


def load_events(data):
    """Events of a body, without its chunk framing."""
    lines = [line for line in data.split(b'\r\n') if line]
    text = b''.join(line for line in lines if b'data: ' in line)
    return [
        json.loads(block)
        for block in text.split(b'\n\n')
        for block in [block.removeprefix(b'data: ')]
        if block and block != b'[DONE]'
    ]


BROKEN = [
    [HEADERS, TOKEN(0), scripted.PAUSE, scripted.CUT],
    [HEADERS, TOKEN(0), scripted.PAUSE, b'zz\r\n'],
]


@pytest.mark.parametrize('script', BROKEN, ids=['cut', 'broken chunk'])
def test_truncated_answer_has_an_error_and_no_clean_end(monkeypatch, script):
    monkeypatch.setattr(_resume, 'RESUME_WAIT', 0.0)

    async def run():
        engine = scripted.ScriptedEngine([script])
        async with open_caller(engine) as (caller, port):
            reader, writer = await send(port)
            async with asyncio.timeout(5.0):
                data = await reader.read()
            writer.close()
            return caller.outcomes, data

    outcomes, data = asyncio.run(run())
    last = load_events(data)[-1]
    assert last['error']['code'] == 'stream_broken'
    assert last['error']['run'] == 'run'
    assert not data.endswith(LAST_CHUNK)
    assert b'[DONE]' not in data
    assert outcomes == ['stream_broken']


@pytest.mark.parametrize('stream', [True, False])
def test_crash_of_the_entry_is_no_clean_end(stream):
    async def run():
        script = [HEADERS, TOKEN(0), scripted.PAUSE, TOKEN(1), scripted.STALL]
        engine = scripted.ScriptedEngine([script])
        async with open_caller(engine) as (caller, port):
            caller.log = _Log()
            caller.complete = _crash
            reader, writer = await send(port, stream=stream)
            async with asyncio.timeout(5.0):
                data = await reader.read(65536)
                if stream:
                    data += await reader.read()
            writer.close()
            return caller, data

    caller, data = asyncio.run(run())
    assert b'"internal_error"' in data
    assert caller.outcomes == ['internal_error']
    if stream:
        assert not data.endswith(LAST_CHUNK)
    else:
        assert data.startswith(b'HTTP/1.1 500')


async def _crash(request):
    yield ['a ']
    raise RuntimeError('a fault of our own')


class _Log:
    def exception(self, event):
        del event


@pytest.mark.parametrize('stream', [True, False])
def test_caller_that_goes_away_frees_the_slot(stream):
    async def run():
        script = [HEADERS, TOKEN(0), scripted.STALL]
        engine = scripted.ScriptedEngine([script])
        async with open_caller(engine) as (caller, port):
            _, writer = await send(port, stream=stream)
            await wait_for(lambda: engine.running == 1)
            writer.close()
            await wait_for(lambda: engine.running == 0)
            await wait_for(lambda: caller.outcomes)
            return caller.outcomes, caller.router.in_flight

    outcomes, in_flight = asyncio.run(run())
    assert outcomes == ['caller_gone']
    assert in_flight == 0


def test_slow_caller_holds_the_engine_back():
    text = 'x' * 32768
    count = 4000

    class Source(scripted.ScriptedEngine):
        written = 0

        async def _take(self, step, request, reader, writer):
            self.written += isinstance(step, dict)
            return await super()._take(step, request, reader, writer)

    async def run():
        tokens = [TOKEN(index, text=text) for index in range(count)]
        engine = Source([[HEADERS, *tokens, scripted.STALL]])
        async with open_caller(engine) as (_, port):
            _, writer = await send(port, limit=1024, max_tokens=count)
            seen = -1
            while seen < 1 or seen != engine.written:
                seen = engine.written
                await asyncio.sleep(0.1)
            writer.transport.abort()
            await wait_for(lambda: engine.running == 0)
            return seen

    assert 0 < asyncio.run(run()) < count // 2
