"""Small HTTP/1.1 server and client for the stand-ins of the review."""

import asyncio
import contextlib
import dataclasses

MAX_HEAD = 1 << 16


@dataclasses.dataclass
class Request:
    """Request as it was read from a connection."""

    method: str
    target: str
    headers: dict
    body: bytes
    peer: str

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """Parameters of the query, as a dict."""
        pairs = self.target.partition('?')[2].split('&')
        return dict(pair.partition('=')[::2] for pair in pairs if pair)


async def _read_head(reader):
    block = await reader.readuntil(b'\r\n\r\n')
    first, *lines = block.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_chunks(reader, on_data=None):
    parts = []
    while True:
        size = int((await reader.readline()).strip() or b'x', 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(data[:-2])
        if on_data is not None:
            on_data(data[:-2])


async def _read_body(reader, headers):
    if headers.get('transfer-encoding') == 'chunked':
        return await _read_chunks(reader)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def make_head(status, headers):
    """Make the head of a response (bytes)."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def make_response(status, body=b'', headers=()):
    """Make a whole response with a length (bytes)."""
    fields = [*headers, ('Content-Length', str(len(body)))]
    return make_head(status, fields) + body


class Server:
    """Listens at an address; each connection carries request by request.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes the request and the writer, and writes
        the response itself. The connection is closed if it returns False.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.port = 0

    async def listen(self, host, port=0):
        """Start to listen; port 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer):
        while True:
            first, headers = await _read_head(reader)
            method, target, _ = first.split(' ')
            body = await _read_body(reader, headers)
            peer = writer.get_extra_info('peername')[0]
            request = Request(method, target, headers, body, peer)
            if await self._handle(request, writer) is False:
                return
            await writer.drain()

    def stop(self):
        """End as a process does: no new connections, open ones are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()


@dataclasses.dataclass
class Answer:
    """What a client has got; `status` 0 stands for no answer."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    error: str = ''


class Connection:
    """Connection of a client, which it keeps for several requests.

    Parameters
    ----------
    host : str
        Address of the node.
    port : int
        Port of the node.
    source : str or None
        Own address.
    """

    def __init__(self, host, port, source=None):
        self._address = (host, port)
        self._source = (source, 0) if source else None
        self._reader = None
        self._writer = None

    @property
    def is_open(self):
        """Whether the next request goes over the kept connection."""
        return self._writer is not None and not self._reader.at_eof()

    async def open(self):
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            *self._address, limit=MAX_HEAD, local_addr=self._source
        )

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def send(self, method, target, headers, body=b'', timeout=10.0):
        """Send a request and read the answer.

        Returns
        -------
        Answer
        """
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                if not self.is_open:
                    self.close()
                    await self.open()
                lines = [f'{method} {target} HTTP/1.1']
                fields = dict(headers)
                if body or method == 'POST':
                    fields['Content-Length'] = str(len(body))
                lines += [f'{key}: {value}' for key, value in fields.items()]
                head = '\r\n'.join(lines) + '\r\n\r\n'
                self._writer.write(head.encode('latin-1') + body)
                await self._receive(answer)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            answer.error = repr(error)
            self.close()
        return answer

    async def _receive(self, answer):
        first, answer.headers = await _read_head(self._reader)
        answer.status = int(first.split(' ')[1])
        if answer.headers.get('transfer-encoding') == 'chunked':
            parts = []
            with contextlib.ExitStack() as stack:
                stack.callback(self._keep_parts, answer, parts)
                await _read_chunks(self._reader, parts.append)
        else:
            answer.body = await _read_body(self._reader, answer.headers)
        answer.whole = True
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()

    def _keep_parts(self, answer, parts):
        answer.body = b''.join(parts)


class Proxy:
    """Forwards connections, and holds up all bytes while it is cut."""

    def __init__(self, host, port):
        self._target = (host, port)
        self._server = None
        self._writers = set()
        self._is_open = asyncio.Event()
        self._is_open.set()

    async def listen(self, host, port):
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def cut(self):
        """Hold up all bytes from now on."""
        self._is_open.clear()

    def heal(self):
        """Let all bytes pass again, also those that were held up."""
        self._is_open.set()

    async def _serve(self, reader, writer):
        pumps = []
        other_writer = None
        self._writers.add(writer)
        try:
            await self._is_open.wait()
            other_reader, other_writer = await asyncio.open_connection(
                *self._target
            )
            self._writers.add(other_writer)
            pumps = [
                asyncio.ensure_future(self._pump(reader, other_writer)),
                asyncio.ensure_future(self._pump(other_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            for item in (writer, other_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.close()

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()

    def stop(self):
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
