"""Callers that keep connections open, and what they were told."""

import asyncio
import dataclasses
import random
import time

from build_tools.pool_soak import _traffic

CONNECT_TIMEOUT = 1.0
"""Longest wait for a connection (seconds)."""

PATIENCE = 1.5
"""Time after a request's own limit in which an answer is waited for
(seconds)."""

LEAVERS = 0.05
"""Share of requests whose caller leaves early."""

RETIRED = 0.05
"""Share of requests with a key that was taken away."""

KEEP = 0.85
"""Share of requests that use the connection of the last one."""


@dataclasses.dataclass(slots=True)
class Call:
    """One request, and what its caller saw.

    Parameters
    ----------
    request_id : str
        Its id.
    kind : Kind
        Its kind.
    node : Node
        Who took it.
    key, account : str
        Key, and whose it is.
    limit : float
        Time that the caller gives it (seconds).
    sent_at, ended_at, left_at : float or None
        Monotonic times (seconds).
    status : int
        Status of the answer; 0 if there is none.
    headers : dict of str to str
        Headers of the answer, names in lower case.
    body : bytes
        Body as far as it came.
    whole : bool
        Whether the answer came to its proper end.
    error : str
        Why there is no answer.
    """

    request_id: str
    kind: _traffic.Kind
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
        """In a word or two."""
        if self.left_at is not None:
            return 'left'
        if self.status == 200:
            return 'whole' if self.whole else 'cut'
        return str(self.status) if self.status else self.error

    def encode(self):
        """Bytes of the request."""
        body = f'body {self.request_id}'
        model = random.Random(self.request_id).choice(_traffic.MODELS)
        rows = [
            f'POST {self.kind.path} HTTP/1.1',
            f'Host: {_traffic.HOST}',
            f'X-Balsamwind-Request-Id: {self.request_id}',
            f'X-Balsamwind-Time-Budget-Ms: {int(self.limit * 1000)}',
            f'Authorization: Token {self.key}',
            f'Content-Length: {len(body)}',
        ]
        if self.kind.stream:
            rows.append(f'X-Balsamwind-Model: {model["Name"]}')
            rows.append('X-Balsamwind-Token-Usage: 500,80')
        return ('\r\n'.join(rows) + '\r\n\r\n' + body).encode('ascii')


class Caller:
    """Sends one request after another.

    Parameters
    ----------
    fleet : Fleet
        Nodes and keys.
    note : callable
        Takes each `Call` that has ended.
    number, seed : int
        Which caller, and the soak's seed.

    Attributes
    ----------
    leaves : bool
        Whether it leaves some requests early.
    """

    def __init__(self, fleet, note, number, seed):
        self._fleet = fleet
        self._note = note
        self._number = number
        self._rng = random.Random(f'caller/{seed}/{number}')
        self._count = 0
        self._node = None
        self._streams = None
        self.leaves = True

    async def run(self, stopping):
        """Send until told to stop."""
        while not stopping.is_set():
            call = self._make_call()
            await self._send(call)
            self._note(call)
            pause = 0.02 if call.status == 200 else 0.15
            await asyncio.sleep(pause + 0.2 * self._rng.random())
        self._hang_up()

    def _make_call(self, node=None, kind=None):
        self._count += 1
        weights = [kind.weight for kind in _traffic.KINDS]
        kind = kind or self._rng.choices(_traffic.KINDS, weights)[0]
        if self._streams is None or self._rng.random() > KEEP:
            self._hang_up()
            self._node = node or self._rng.choice(self._fleet.nodes)
        account, key = self._choose_key()
        return Call(
            request_id=f'{self._number:03d}-{self._count:05d}',
            kind=kind,
            node=self._node,
            key=key,
            account=account,
            limit=self._rng.uniform(2.5, 4.5),
        )

    def _choose_key(self):
        if self._fleet.retired and self._rng.random() < RETIRED:
            return self._fleet.retired[-1]
        account = self._rng.choice(list(self._fleet.keys))
        return account, self._rng.choice(self._fleet.keys[account])

    async def ask(self, node, kind):
        """One request to a node on a new connection; the call."""
        self._hang_up()
        call = self._make_call(node, kind)
        await self._send(call)
        self._note(call)
        return call

    def _hang_up(self):
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _send(self, call):
        leaves = self.leaves and self._rng.random() < LEAVERS
        after = self._rng.uniform(0.0, 0.4) if leaves else None
        call.sent_at = time.monotonic()
        task = asyncio.ensure_future(self._exchange(call))
        done, _ = await asyncio.wait(
            {task}, timeout=after or call.limit + PATIENCE
        )
        if done:
            self._take_end(call, task)
        else:
            task.cancel()
            await asyncio.wait({task})
            self._hang_up()
            if after is not None:
                call.left_at = time.monotonic()
            else:
                call.error = 'no end'
        call.ended_at = time.monotonic()
        if not call.whole or call.headers.get('connection') == 'close':
            self._hang_up()

    def _take_end(self, call, task):
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
        if self._streams is None:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self._streams = await asyncio.open_connection(
                    call.node.host, 8227
                )
        reader, writer = self._streams
        writer.write(call.encode())
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
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
            raise ValueError('no framing')
        while True:
            size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            call.body += data[:-2]
