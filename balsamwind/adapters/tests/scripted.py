"""An engine that answers byte by byte as a script says."""

import asyncio
import contextlib
import json

OWN = '<own attempt>'

HEADERS = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)

CUT = 'cut'
"""Close the connection."""

PAUSE = 'pause'
"""Let what was sent be read by itself."""

RESET = 'reset'
"""Close the connection with a reset."""

STALL = 'stall'
"""Say nothing more and keep the connection."""

END = 'end'
"""End the body properly."""

WORDS = ['a ', 'b ', 'c ', 'd ']
"""The whole answer."""


def token(index, attempt=OWN, text=None):
    """Event of one token."""
    text = WORDS[index] if text is None else text
    return {'attempt': attempt, 'index': index, 'text': text}


def finish(count, attempt=OWN):
    """Event of the finish mark."""
    return {'attempt': attempt, 'finish': 'stop', 'tokens': count}


def refuse(status, code, not_run=True):
    """Whole answer that refuses a request."""
    body = json.dumps({'code': code, 'not_run': not_run}).encode()
    head = f'HTTP/1.1 {status} No\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def whole(request):
    """Script of a good engine, which honours tokens so far."""
    begin = len(request['resume'])
    tokens = [token(index) for index in range(begin, len(WORDS))]
    return [HEADERS, *tokens, finish(len(WORDS)), END]


class ScriptedEngine:
    """Serves one script a request; `whole` after the last of them.

    Parameters
    ----------
    scripts : list
        Each is a list of steps: bytes to send as they are, events to send
        as chunks, or one of the words above.
    """

    def __init__(self, scripts=()):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.running = 0
        self.address = ''
        self._server = None
        self._tasks = set()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.connections += 1
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:-2]
        )
        length = int(fields.get(b'content-length', 0))
        request = json.loads(await reader.readexactly(length))
        self.requests.append(request)
        script = self.scripts.pop(0) if self.scripts else whole(request)
        self.running += 1
        try:
            for step in script:
                if not await self._take(step, request, reader, writer):
                    return False
        finally:
            self.running -= 1
        return True

    async def _take(self, step, request, reader, writer):
        match step:
            case bytes():
                writer.write(step)
            case dict():
                attempt = step['attempt']
                own = request['attempt_id'] if attempt == OWN else attempt
                data = json.dumps({**step, 'attempt': own}).encode()
                writer.write(make_chunk(b'data: ' + data + b'\n\n'))
            case 'end':
                writer.write(b'0\r\n\r\n')
            case 'cut':
                return False
            case 'pause':
                await asyncio.sleep(0.05)
            case 'reset':
                writer.transport.abort()
                return False
            case 'stall':
                await reader.read()
                return False
        await writer.drain()
        return True

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listen on loopback until the block ends."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        try:
            yield self
        finally:
            self._server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)


def make_chunk(data):
    """Bytes as one chunk of a body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'
