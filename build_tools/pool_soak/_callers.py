"""Callers with persistent connections, and the answers that they get."""

import asyncio
import dataclasses
import random
import time

from build_tools.pool_soak import _traffic

CONNECT_TIMEOUT = 1.0
"""Timeout for opening a connection (seconds)."""

ANSWER_WAIT = 1.5
"""Time after the deadline of a request until which a caller waits for the
answer (seconds)."""

DISCONNECT_SHARE = 0.05
"""Share of requests whose caller disconnects before the answer."""

REVOKED_KEY_SHARE = 0.05
"""Share of requests with a revoked API key, once there is one."""

REUSE_SHARE = 0.85
"""Share of requests that reuse the connection of the previous one."""


@dataclasses.dataclass(slots=True)
class Call:
    """One request with its answer.

    Parameters
    ----------
    request_id : str
        Id of the request.
    kind : RequestKind
        Kind of the request.
    node : Node
        Node to which the request is sent.
    key : str
        API key.
    account : str
        Client account to which the key belongs.
    limit : float
        Time budget of the request (seconds).
    sent_at : float, default=0.0
        Monotonic time at which the request was sent (seconds).
    ended_at : float or None, default=None
        Monotonic time at which the answer or the wait ended (seconds).
    left_at : float or None, default=None
        Monotonic time at which the caller disconnected early (seconds).
    status : int, default=0
        Status of the answer; 0 if there is none.
    headers : dict of str to str
        Headers of the answer, names in lower case.
    body : bytes, default=b''
        Body received so far.
    whole : bool, default=False
        Whether the answer was received completely.
    error : str, default=''
        Reason for a missing or incomplete answer.
    """

    request_id: str
    kind: _traffic.RequestKind
    node: object
    key: str
    account: str
    limit: float
    sent_at: float = 0.0
    ended_at: float | None = None
    left_at: float | None = None
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    error: str = ''

    @property
    def outcome(self):
        """Result of the request, as a short string."""
        if self.left_at is not None:
            return 'left'
        if self.status == 200:
            return 'whole' if self.whole else 'cut'
        return str(self.status) if self.status else self.error

    @property
    def is_chunked(self):
        """Whether the body is sent in chunks; half of the bodies are."""
        return random.Random(f'chunks/{self.request_id}').random() < 0.5

    def encode(self):
        """Encode the request as HTTP/1.1.

        Returns
        -------
        list of bytes
            Parts to be sent one after the other: the request line and the
            headers with the first piece of the body, then its other pieces.
        """
        body = f'body {self.request_id}'
        model = random.Random(self.request_id).choice(_traffic.MODELS)
        lines = [
            f'POST {self.kind.path} HTTP/1.1',
            f'Host: {_traffic.HOST}',
            f'X-Balsamwind-Request-Id: {self.request_id}',
            f'X-Balsamwind-Time-Budget-Ms: {int(self.limit * 1000)}',
            f'Authorization: Token {self.key}',
        ]
        if self.is_chunked:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {len(body)}')
        if self.kind.stream:
            lines.append(f'X-Balsamwind-Model: {model["Name"]}')
            lines.append('X-Balsamwind-Token-Usage: 500,80')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        if not self.is_chunked:
            return [(head + body).encode('ascii')]
        pieces = [
            f'{len(text):x}\r\n{text}\r\n' for text in (body[:5], body[5:])
        ]
        return [
            (head + pieces[0]).encode('ascii'),
            (pieces[1] + '0\r\n\r\n').encode('ascii'),
        ]


class Caller:
    """Sender of one request after another.

    Parameters
    ----------
    fleet : Fleet
        Source of the nodes and API keys.
    on_ended : callable
        Called with each `Call` that has ended.
    number : int
        Index of the caller; prefix of its request ids.
    seed : int
        Seed of the soak test.

    Attributes
    ----------
    may_disconnect : bool
        Whether the caller disconnects early from some requests.
    """

    def __init__(self, fleet, on_ended, number, seed):
        self._fleet = fleet
        self._on_ended = on_ended
        self._number = number
        self._rng = random.Random(f'caller/{seed}/{number}')
        self._count = 0
        self._node = None
        self._connection = None
        self.may_disconnect = True

    async def run(self, stopping):
        """Send requests until told to stop.

        Parameters
        ----------
        stopping : asyncio.Event
            Ends the loop after the current request when set.
        """
        while not stopping.is_set():
            call = self._make_call()
            await self._send_call(call)
            self._on_ended(call)
            delay = 0.02 if call.status == 200 else 0.15
            await asyncio.sleep(delay + 0.2 * self._rng.random())
        self._close_connection()

    def _make_call(self, node=None, kind=None):
        self._count += 1
        weights = [kind.weight for kind in _traffic.REQUEST_KINDS]
        kind = kind or self._rng.choices(_traffic.REQUEST_KINDS, weights)[0]
        if self._connection is None or self._rng.random() > REUSE_SHARE:
            self._close_connection()
            self._node = node or self._rng.choice(self._fleet.nodes)
        account, key = self._choose_key()
        return Call(
            request_id=f'{self._number:03d}-{self._count:05d}',
            kind=kind,
            node=self._node,
            key=key,
            account=account,
            limit=self._rng.uniform(2.5, 4.5) + self._fleet.extra_stream_time,
        )

    def _choose_key(self):
        if self._fleet.revoked_keys and self._rng.random() < REVOKED_KEY_SHARE:
            return self._fleet.revoked_keys[-1]
        account = self._rng.choice(list(self._fleet.client_keys))
        return account, self._rng.choice(self._fleet.client_keys[account])

    async def send_request(self, node, kind):
        """Send one request to a node on a new connection.

        Parameters
        ----------
        node : Node
            Node to send the request to.
        kind : RequestKind
            Kind of the request.

        Returns
        -------
        Call
            The request with its answer.
        """
        self._close_connection()
        call = self._make_call(node, kind)
        await self._send_call(call)
        self._on_ended(call)
        return call

    def close(self):
        """Close the connection, if there is one."""
        self._close_connection()

    def _close_connection(self):
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None

    async def _send_call(self, call):
        disconnects = (
            self.may_disconnect and self._rng.random() < DISCONNECT_SHARE
        )
        disconnect_delay = self._rng.uniform(0.0, 0.4) if disconnects else None
        call.sent_at = time.monotonic()
        task = asyncio.ensure_future(self._exchange(call))
        done, _ = await asyncio.wait(
            {task}, timeout=disconnect_delay or call.limit + ANSWER_WAIT
        )
        if done:
            self._record_error(call, task)
        else:
            task.cancel()
            await asyncio.wait({task})
            self._close_connection()
            if disconnect_delay is not None:
                call.left_at = time.monotonic()
            else:
                call.error = 'no end'
        call.ended_at = time.monotonic()
        if not call.whole or call.headers.get('connection') == 'close':
            self._close_connection()

    def _record_error(self, call, task):
        try:
            task.result()
        except ConnectionRefusedError:
            call.error = 'refused'
        except TimeoutError:
            call.error = 'no connection'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            call.error = 'closed'
            if isinstance(error, ValueError):
                call.error = f'malformed: {error}'

    async def _exchange(self, call):
        if self._connection is None:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self._connection = await asyncio.open_connection(
                    call.node.host, 8227
                )
        reader, writer = self._connection
        for part in call.encode():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.0)
        header_block = await reader.readuntil(b'\r\n\r\n')
        lines = header_block.decode('latin-1').split('\r\n')
        call.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                call.headers[name.lower()] = value.strip()
        await self._read_body(call, reader)
        call.whole = True

    async def _read_body(self, call, reader):
        if 'content-length' in call.headers:
            length = int(call.headers['content-length'])
            call.body = await reader.readexactly(length)
            return
        if call.headers.get('transfer-encoding') != 'chunked':
            raise ValueError('neither content-length nor chunked encoding')
        while True:
            size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            call.body += data[:-2]
