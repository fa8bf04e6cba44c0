"""Clients, and a plain HTTP server, over raw sockets."""

import asyncio


class Answer:
    """Answer to one request.

    Attributes
    ----------
    status : int
        Status; 0 if there is none.
    headers : dict of str to str
        Headers, names in lower case.
    body : bytes
        What came of the body.
    whole : bool
        Whether the body came to its marked end.
    error : str
        Why it is not whole.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''

    def __str__(self):
        end = 'whole' if self.whole else f'not whole ({self.error})'
        return f'{self.status} {end} {self.body[-60:]!r}'


def encode_request(method, path, host, request_id, key, budget, **more):
    """Encode a request of a client, with a length.

    Parameters
    ----------
    method, path, host, request_id, key : str
        As on the wire.
    budget : float
        How long the client waits (seconds).
    **more
        `body` (bytes), and `headers` (pairs).

    Returns
    -------
    bytes
    """
    body = more.get('body', b'')
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'X-Balsamwind-Request-Id: {request_id}',
        f'X-Balsamwind-Time-Budget-Ms: {int(budget * 1000)}',
        f'Authorization: Token {key}',
        *(f'{name}: {value}' for name, value in more.get('headers', ())),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_head(reader):
    """Read a head; the first line, and the headers by lower-case name."""
    block = await reader.readuntil(b'\r\n\r\n')
    lines = block.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, answer):
    """Read a body into an answer, to its marked end."""
    if 'content-length' in headers:
        left = int(headers['content-length'])
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b'', left)
            answer.body += data
            left -= len(data)
        return
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        raise ValueError('no end marked')
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line[:-2], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        answer.body += data[:-2]


class Client:
    """One connection of a client, opened again when it is closed.

    Parameters
    ----------
    address : (str, int)
        Address of the node.
    """

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def send(self, data, timeout):
        """Send a request, and read its `Answer`; never raises."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                await self._exchange(data, answer)
                answer.whole = True
        except TimeoutError:
            answer.error = 'no end'
        except (OSError, EOFError) as error:
            answer.error = f'closed: {type(error).__name__}'
        except ValueError as error:
            answer.error = f'malformed: {error}'
        if not answer.whole or answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def _exchange(self, data, answer):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self.address)
        reader, writer = self._streams
        writer.write(data)
        await writer.drain()
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(' ')[1])
        await read_body(reader, answer.headers, answer)

    def close(self):
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class PlainEngine:
    """Engine of a plain service: slots, a queue, and kept connections.

    Parameters
    ----------
    server_id : str
        Its id.
    service, zone : str
        Names.
    work : float
        Time that a request takes (seconds).
    slots, queue : int
        Requests that run, and that wait (count).
    on_run : callable
        Called with the id of the engine and of each request that runs.
    """

    def __init__(
        self,
        server_id,
        service,
        zone,
        work=0.02,
        slots=6,
        queue=24,
        on_run=lambda server_id, request_id: None,
        host='127.0.0.1',
    ):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.work = work
        self.slots = slots
        self.queue = queue
        self.on_run = on_run
        self.host = host
        self.port = 0
        self.held = 0
        self.born = 0
        self._running = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()

    @property
    def connections(self):
        """Connections that are open (count)."""
        return len(self._writers)

    async def start(self, born):
        """Listen on a free port."""
        self.born = born
        self._server = await asyncio.start_server(
            self._serve, self.host, 0, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def make_entry(self):
        """Make the entry in the store."""
        return {
            'Service': self.service,
            'Address': f'{self.host}:{self.port}',
            'Zone': self.zone,
            'Version': 1,
            'SlotCount': self.slots,
            'State': self.state,
            'ColdLeftMs': 0,
            'Seq': 1,
            'born': self.born,
        }

    def end(self):
        """End as a process that exits: all its connections are closed."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                continue
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        line, headers = await read_head(reader)
        request = Answer()
        if 'content-length' in headers or 'transfer-encoding' in headers:
            await read_body(reader, headers, request)
        request_id = headers.get('x-balsamwind-request-id', '')
        named = headers.get('x-balsamwind-expect-instance')
        if named not in (None, self.server_id):
            self._answer(writer, 421, request_id, b'', refused=True)
        elif self.held >= self.slots + self.queue:
            self._answer(writer, 503, request_id, b'', refused=True)
        else:
            self.held += 1
            try:
                async with self._running:
                    self.on_run(self.server_id, request_id)
                    await asyncio.sleep(self.work)
            finally:
                self.held -= 1
            body = f'{self.service} ran {request_id}'.encode()
            self._answer(writer, 200, request_id, body)
        await writer.drain()
        return True

    def _answer(self, writer, status, request_id, body, refused=False):
        lines = [
            f'HTTP/1.1 {status} X',
            f'Content-Length: {len(body)}',
            f'X-Balsamwind-Request-Id: {request_id}',
        ]
        if refused:
            lines += [
                'X-Balsamwind-Not-Executed: 1',
                f'At-Server: {self.server_id}',
            ]
        else:
            lines.append(f'X-Balsamwind-Response-Stamp: {self.server_id}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        writer.write(head.encode('ascii') + body)
