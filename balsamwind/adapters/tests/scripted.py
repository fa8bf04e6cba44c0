"""Engine that sends scripted bytes, events and faults."""

import asyncio
import contextlib
import json

OWN_ATTEMPT = '<own attempt>'
"""Placeholder for the attempt id of the request that is answered."""

RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)

CUT = 'cut'
"""Step that closes the connection."""

PAUSE = 'pause'
"""Step that waits, so that earlier data is read separately."""

RESET = 'reset'
"""Step that resets the connection."""

STALL = 'stall'
"""Step that sends nothing more and keeps the connection open."""

END = 'end'
"""Step that ends the body with the last chunk."""

ANSWER = ['a ', 'b ', 'c ', 'd ']
"""Tokens of the complete answer."""


def make_token(index, attempt=OWN_ATTEMPT, text=None):
    """Return the event of one token."""
    text = ANSWER[index] if text is None else text
    return {'attempt': attempt, 'index': index, 'text': text}


def make_finish(count, attempt=OWN_ATTEMPT):
    """Return the finish event, which says how many tokens were sent."""
    return {'attempt': attempt, 'finish': 'stop', 'tokens': count}


def make_refusal(status, code, not_run=True):
    """Return the bytes of a response that refuses a request."""
    body = json.dumps({'code': code, 'not_run': not_run}).encode()
    head = f'HTTP/1.1 {status} No\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def make_complete_script(request):
    """Return the script of a healthy engine.

    It sends only the tokens that the request does not resume from.
    """
    resumed_count = len(request['resume'])
    tokens = [make_token(index) for index in range(resumed_count, len(ANSWER))]
    return [RESPONSE_HEAD, *tokens, make_finish(len(ANSWER)), END]


class ScriptedEngine:
    """Engine that answers each request by the next script.

    Requests after the last script get `make_complete_script`.

    Parameters
    ----------
    scripts : list of list
        Steps of each script: bytes to send as they are, events (dict) to
        send as chunks, or `CUT`, `PAUSE`, `RESET`, `STALL` or `END`.

    Attributes
    ----------
    requests : list of dict
        Bodies of the requests received.
    connections : int
        Connections accepted so far (count).
    running : int
        Requests that are being answered (count).
    address : str
        ``host:port`` of the engine, set by `listen`.
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
            while await self._answer_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_request(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:-2]
        )
        length = int(fields.get(b'content-length', 0))
        request = json.loads(await reader.readexactly(length))
        self.requests.append(request)
        script = (
            self.scripts.pop(0)
            if self.scripts
            else make_complete_script(request)
        )
        self.running += 1
        try:
            for step in script:
                if not await self._run_step(step, request, reader, writer):
                    return False
        finally:
            self.running -= 1
        return True

    async def _run_step(self, step, request, reader, writer):
        match step:
            case bytes():
                writer.write(step)
            case dict():
                attempt = step['attempt']
                attempt_id = (
                    request['attempt_id']
                    if attempt == OWN_ATTEMPT
                    else attempt
                )
                data = json.dumps({**step, 'attempt': attempt_id}).encode()
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
        """Listen on the loopback interface until the block ends."""
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
    """Encode bytes as one chunk of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'
