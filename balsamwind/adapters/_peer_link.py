"""Links between entries: websockets that carry CBOR messages."""

import asyncio
import contextlib

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from balsamwind import exceptions
from balsamwind import peers

MAX_MESSAGE = 16 * 1024 * 1024
"""Largest message (bytes)."""

MAX_QUEUED = 1024
"""Messages that wait for a slow peer; more ends the link (count)."""

RECONNECT_DELAY = 0.5
"""Time between attempts to reach a peer (seconds)."""


class _Link:
    """One connected peer."""

    __slots__ = ('connection', 'hello', 'queue')

    def __init__(self, connection, hello):
        self.connection = connection
        self.hello = hello
        self.queue = asyncio.Queue(MAX_QUEUED)


class PeerLinks:
    """Keeps a link to every peer.

    Of two nodes, the one whose name sorts first dials. On each new link
    both sides send all they know; after that, changes.

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
    """

    __slots__ = (
        '_dialers',
        '_hello',
        '_links',
        '_log',
        '_receiver',
        '_ssl_client',
        '_ssl_server',
        'bytes_received',
        'bytes_sent',
        'messages_received',
        'messages_sent',
    )

    def __init__(self, hello, receiver, log, ssl_server=None, ssl_client=None):
        self._hello = hello
        self._receiver = receiver
        self._log = log
        self._ssl_server = ssl_server
        self._ssl_client = ssl_client
        self._links = {}
        self._dialers = {}
        self.bytes_received = 0
        self.bytes_sent = 0
        self.messages_received = 0
        self.messages_sent = 0

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
            max_size=MAX_MESSAGE,
        ):
            try:
                yield self
            finally:
                for task, _ in self._dialers.values():
                    task.cancel()

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

    def send(self, name, message):
        """Queue a message for one peer; nothing if it is not connected."""
        link = self._links.get(name)
        if link is not None:
            self._enqueue(link, peers.encode_message(message))

    def broadcast(self, message):
        """Queue a message for all connected peers."""
        data = peers.encode_message(message)
        for link in list(self._links.values()):
            self._enqueue(link, data)

    def _enqueue(self, link, data):
        try:
            link.queue.put_nowait(data)
        except asyncio.QueueFull:
            self._log.warning('peer_too_slow', peer=link.hello.node)
            link.connection.transport.abort()

    async def _dial(self, name, address):
        scheme = 'wss' if self._ssl_client else 'ws'
        while True:
            try:
                async with ws_client.connect(
                    f'{scheme}://{address}/',
                    ssl=self._ssl_client,
                    compression=None,
                    max_size=MAX_MESSAGE,
                    open_timeout=2.0,
                    proxy=None,
                ) as connection:
                    await self._serve(connection)
            except (OSError, TimeoutError, websockets.WebSocketException):
                pass
            await asyncio.sleep(RECONNECT_DELAY)

    async def _serve(self, connection):
        try:
            await connection.send(peers.encode_message(self._hello))
            hello = peers.decode_message(await connection.recv())
            if not isinstance(hello, peers.Hello):
                return
            await self._run_link(connection, hello)
        except exceptions.TransportError as error:
            self._log.warning('peer_malformed', error=str(error))
        except (OSError, websockets.WebSocketException):
            return

    async def _run_link(self, connection, hello):
        old = self._links.get(hello.node)
        if old is not None:
            old.connection.transport.abort()
        link = _Link(connection, hello)
        self._links[hello.node] = link
        for message in self._receiver.on_connect(hello):
            self._enqueue(link, peers.encode_message(message))
        sender = asyncio.ensure_future(self._send_queued(link))
        try:
            async for data in connection:
                self.bytes_received += len(data)
                self.messages_received += 1
                message = peers.decode_message(data)
                self._receiver.on_message(hello, message)
        finally:
            sender.cancel()
            if self._links.get(hello.node) is link:
                del self._links[hello.node]
                self._receiver.on_disconnect(hello)

    async def _send_queued(self, link):
        try:
            while True:
                data = await link.queue.get()
                await link.connection.send(data)
                self.bytes_sent += len(data)
                self.messages_sent += 1
        except websockets.WebSocketException:
            return
