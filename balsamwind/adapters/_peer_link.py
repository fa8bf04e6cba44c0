"""Links between entries: websockets that carry CBOR frames."""

import asyncio
import contextlib
import random

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from balsamwind import exceptions
from balsamwind import peers

MAX_FRAME = 16 * 1024 * 1024
"""Largest frame (bytes)."""

MAX_BUFFERED = 16 * 1024 * 1024
"""Bytes that wait for a slow peer; more ends the link."""

OPEN_TIMEOUT = 2.0
"""Time-out of the opening of a link, first message included (seconds)."""

RECONNECT_DELAY = 0.4
"""Shortest time between attempts to reach a peer (seconds)."""

MAX_RECONNECT_DELAY = 5.0
"""Longest time between attempts to reach a peer (seconds)."""


class _Link:
    """One connected peer."""

    __slots__ = ('connection', 'heard_at', 'hello')

    def __init__(self, connection, hello, now):
        self.connection = connection
        self.hello = hello
        self.heard_at = now

    def abort(self):
        """End the link without waiting for the peer."""
        self.connection.transport.abort()


class PeerLinks:
    """Keeps a link to every peer.

    Of two nodes, the one whose name sorts first dials. A frame is handed to
    the connection at once; what a peer does not read is bounded by
    `MAX_BUFFERED`. Whatever goes wrong with a peer ends its link only.

    Parameters
    ----------
    hello : balsamwind.peers.Hello
        Who this node is.
    receiver : object
        Has ``on_connect(hello)``, which returns the first messages,
        ``on_message(hello, message)`` and ``on_disconnect(hello)``.
    log : structlog.BoundLogger
        Log.
    ssl_server, ssl_client : ssl.SSLContext or None
        For mutual TLS.
    max_silence : float
        Time without a frame after which a link is ended (seconds).
    random_state : int or None
        Seed of the delays.
    """

    __slots__ = (
        '_dialers',
        '_hello',
        '_links',
        '_log',
        '_max_silence',
        '_receiver',
        '_rng',
        '_ssl_client',
        '_ssl_server',
        'bytes_received',
        'bytes_sent',
        'messages_received',
        'messages_sent',
        'port',
    )

    def __init__(
        self,
        hello,
        receiver,
        log,
        ssl_server=None,
        ssl_client=None,
        max_silence=3.0,
        random_state=None,
    ):
        self._hello = hello
        self._receiver = receiver
        self._log = log
        self._ssl_server = ssl_server
        self._ssl_client = ssl_client
        self._max_silence = max_silence
        self._rng = random.Random(random_state)
        self._links = {}
        self._dialers = {}
        self.bytes_received = 0
        self.bytes_sent = 0
        self.messages_received = 0
        self.messages_sent = 0
        self.port = 0

    @property
    def connected(self):
        """Names of the connected peers, sorted."""
        return sorted(self._links)

    @contextlib.asynccontextmanager
    async def listen(self, address):
        """Accept peers at ``host:port`` until the block ends."""
        host, port = address.rsplit(':', 1)
        async with ws_server.serve(
            self._serve,
            host,
            int(port),
            ssl=self._ssl_server,
            compression=None,
            max_size=MAX_FRAME,
            open_timeout=OPEN_TIMEOUT,
            close_timeout=OPEN_TIMEOUT,
            ping_interval=None,
        ) as server:
            self.port = server.sockets[0].getsockname()[1]
            try:
                yield self
            finally:
                for task, _ in self._dialers.values():
                    task.cancel()
                for link in list(self._links.values()):
                    link.abort()

    def reach(self, name, address):
        """Keep dialling a peer, if it is this node's part to dial."""
        if self._hello.node >= name:
            return
        known = self._dialers.get(name)
        if known is not None:
            if known[1] == address:
                return
            known[0].cancel()
        task = asyncio.ensure_future(self._dial(name, address))
        self._dialers[name] = (task, address)

    def leave(self, name):
        """Stop dialling a peer that is gone."""
        known = self._dialers.pop(name, None)
        if known is not None:
            known[0].cancel()

    def send(self, name, *messages):
        """Send one frame to a peer; nothing if it is not connected."""
        link = self._links.get(name)
        if link is not None:
            self._write([link], messages)

    def broadcast(self, *messages, data_centre=None, own_data_centre=None):
        """Send one frame to all peers, or to those of one data centre.

        Parameters
        ----------
        messages : balsamwind.peers messages
            What the frame carries.
        data_centre : str or None
            Only peers of this data centre get it.
        own_data_centre : list or None
            What the frame carries to peers of this node's data centre.
        """
        own, other = [], []
        for link in self._links.values():
            place = link.hello.data_centre
            if data_centre in (None, place):
                is_own = place == self._hello.data_centre
                (own if is_own else other).append(link)
        if own_data_centre is None:
            self._write(own + other, messages)
        else:
            self._write(own, own_data_centre)
            self._write(other, messages)

    def _write(self, links, messages):
        if not links or not messages:
            return
        data = peers.encode_frame(messages)
        connections = [link.connection for link in links]
        ws_server.broadcast(connections, data)
        self.bytes_sent += len(data) * len(links)
        self.messages_sent += len(links)
        for link in links:
            transport = link.connection.transport
            if transport.get_write_buffer_size() > MAX_BUFFERED:
                self._log.warning('peer_too_slow', peer=link.hello.node)
                link.abort()

    def close_silent(self):
        """End the links over which nothing came for too long."""
        oldest = asyncio.get_running_loop().time() - self._max_silence
        for link in list(self._links.values()):
            if link.heard_at < oldest:
                self._log.warning('peer_silent', peer=link.hello.node)
                link.abort()

    async def _dial(self, name, address):
        delay = RECONNECT_DELAY
        while True:
            began = asyncio.get_running_loop().time()
            try:
                await self._open(address)
            except (OSError, TimeoutError, websockets.WebSocketException):
                pass
            except Exception:
                self._log.exception('peer_dial_failed', peer=name)
            if asyncio.get_running_loop().time() - began > OPEN_TIMEOUT * 2:
                delay = RECONNECT_DELAY
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(MAX_RECONNECT_DELAY, delay * 1.5)

    async def _open(self, address):
        scheme = 'wss' if self._ssl_client else 'ws'
        async with ws_client.connect(
            f'{scheme}://{address}/',
            ssl=self._ssl_client,
            compression=None,
            max_size=MAX_FRAME,
            open_timeout=OPEN_TIMEOUT,
            close_timeout=OPEN_TIMEOUT,
            ping_interval=None,
            proxy=None,
            user_agent_header=f'balsamwind {self._hello.node}',
        ) as connection:
            await self._serve(connection)

    async def _serve(self, connection):
        try:
            await connection.send(peers.encode_frame([self._hello]))
            async with asyncio.timeout(OPEN_TIMEOUT):
                data = await connection.recv()
            hello = self._check_hello(peers.decode_frame(data))
            await self._run_link(connection, hello)
        except exceptions.TransportError as error:
            self._log.warning('peer_malformed', error=str(error))
        except TimeoutError:
            self._log.warning('peer_silent', peer='')
        except (OSError, websockets.WebSocketException):
            return
        except Exception:
            self._log.exception('peer_link_failed')

    def _check_hello(self, messages):
        if len(messages) == 1 and isinstance(messages[0], peers.Hello):
            if messages[0].node not in ('', self._hello.node):
                return messages[0]
        raise exceptions.TransportError('malformed peer message: no hello')

    async def _run_link(self, connection, hello):
        loop = asyncio.get_running_loop()
        old = self._links.get(hello.node)
        if old is not None:
            old.abort()
        link = _Link(connection, hello, loop.time())
        self._links[hello.node] = link
        try:
            first = self._receiver.on_connect(hello)
            self._write([link], first)
            async for data in connection:
                link.heard_at = loop.time()
                self.bytes_received += len(data)
                self.messages_received += 1
                for message in peers.decode_frame(data):
                    self._receiver.on_message(hello, message)
        finally:
            if self._links.get(hello.node) is link:
                del self._links[hello.node]
                self._receiver.on_disconnect(hello)
