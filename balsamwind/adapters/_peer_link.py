"""Links between entries: websockets that carry CBOR-encoded frames."""

import asyncio
import contextlib
import random

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from balsamwind import exceptions
from balsamwind import peers

MAX_FRAME = 16 * 1024 * 1024
"""Largest frame that is accepted (bytes)."""

MAX_WRITE_BUFFER = 16 * 1024 * 1024
"""Unsent bytes for one peer above which its link is aborted (bytes)."""

OPEN_TIMEOUT = 2.0
"""Timeout for opening a link and again for the first frame (seconds)."""

INITIAL_RECONNECT_DELAY = 0.4
"""Backoff before the first reconnection to a peer (seconds).

The backoff grows with each attempt and is reset after a link that lasted
longer than twice `OPEN_TIMEOUT`. Each wait is multiplied by a random factor
from 0.5 to 1.
"""

MAX_RECONNECT_DELAY = 5.0
"""Upper bound of the backoff between attempts to connect (seconds)."""


class _Link:
    """Connection to one peer that has introduced itself."""

    __slots__ = ('connection', 'hello', 'last_frame_at')

    def __init__(self, connection, hello, now):
        self.connection = connection
        self.hello = hello
        self.last_frame_at = now

    def abort(self):
        """Close the connection without a closing handshake."""
        self.connection.transport.abort()


class PeerLinks:
    """Keeps a link to every peer; implements `balsamwind.ports.PeerLinks`.

    Of two nodes, the one whose name sorts first connects to the other. A
    frame is handed to the connection at once; `MAX_WRITE_BUFFER` bounds the
    data that a peer has not read. An error on a link, or in the receiver
    while it handles a frame, ends only that link.

    Parameters
    ----------
    hello : balsamwind.peers.Hello
        First message on each link; it identifies this node.
    receiver : object
        Gets the events of the links. Its ``on_connect(hello)`` returns the
        first messages to the peer; ``on_message(hello, message)`` and
        ``on_disconnect(hello)`` return nothing.
    log : structlog.BoundLogger
        Logger of link errors.
    ssl_server : ssl.SSLContext or None
        TLS context for accepted links; None accepts them without TLS.
    ssl_client : ssl.SSLContext or None
        TLS context for links that this node opens; None opens them without
        TLS.
    silence_timeout : float
        Time without a frame after which `abort_silent_links` aborts a link
        (seconds).
    random_state : int or None
        Seed of the jitter of the backoff.

    Attributes
    ----------
    port : int
        Port that the node listens on; 0 before `listen`.
    bytes_received, bytes_sent : int
        Size of all frames received and sent (bytes).
    messages_received, messages_sent : int
        Frames received and sent (count).
    """

    __slots__ = (
        '_dial_tasks',
        '_hello',
        '_links',
        '_log',
        '_receiver',
        '_rng',
        '_silence_timeout',
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
        silence_timeout=3.0,
        random_state=None,
    ):
        self._hello = hello
        self._receiver = receiver
        self._log = log
        self._ssl_server = ssl_server
        self._ssl_client = ssl_client
        self._silence_timeout = silence_timeout
        self._rng = random.Random(random_state)
        self._links = {}
        self._dial_tasks = {}
        self.bytes_received = 0
        self.bytes_sent = 0
        self.messages_received = 0
        self.messages_sent = 0
        self.port = 0

    @property
    def connected(self):
        """Sorted names of the connected peers."""
        return sorted(self._links)

    @contextlib.asynccontextmanager
    async def listen(self, address):
        """Accept peers until the block ends; then all links are aborted.

        Parameters
        ----------
        address : str
            ``host:port`` to listen on; port 0 takes any free port.
        """
        host, port = address.rsplit(':', 1)
        async with ws_server.serve(
            self._handle_connection,
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
                for task, _ in self._dial_tasks.values():
                    task.cancel()
                for link in list(self._links.values()):
                    link.abort()

    def connect_to(self, name, address):
        """Start to connect to a peer, and reconnect whenever the link ends.

        Nothing is done if the peer's name sorts first: then the peer
        connects to this node. A changed address replaces the old one.

        Parameters
        ----------
        name : str
            Name of the peer.
        address : str
            ``host:port`` of the peer.
        """
        if self._hello.node >= name:
            return
        existing = self._dial_tasks.get(name)
        if existing is not None:
            if existing[1] == address:
                return
            existing[0].cancel()
        task = asyncio.ensure_future(self._keep_connecting(name, address))
        self._dial_tasks[name] = (task, address)

    def stop_connecting(self, name):
        """Stop connecting to a peer that has been removed.

        Parameters
        ----------
        name : str
            Name of the peer.
        """
        existing = self._dial_tasks.pop(name, None)
        if existing is not None:
            existing[0].cancel()

    def send(self, name, *messages):
        """Send messages to a peer in one frame, if it is connected.

        Parameters
        ----------
        name : str
            Name of the peer.
        *messages : balsamwind.peers messages
            Messages of the frame.
        """
        link = self._links.get(name)
        if link is not None:
            self._send_frame([link], messages)

    def broadcast(
        self, *messages, data_centre=None, own_data_centre_messages=None
    ):
        """Send messages in one frame to all peers or those of a data centre.

        Parameters
        ----------
        *messages : balsamwind.peers messages
            Messages of the frame.
        data_centre : str or None
            Sends only to the peers of this data centre; None sends to all.
        own_data_centre_messages : list or None
            Messages that the peers of this node's data centre get instead
            of `messages`; None sends the same frame to all.
        """
        own_links, other_links = [], []
        for link in self._links.values():
            peer_data_centre = link.hello.data_centre
            if data_centre in (None, peer_data_centre):
                is_own = peer_data_centre == self._hello.data_centre
                (own_links if is_own else other_links).append(link)
        if own_data_centre_messages is None:
            self._send_frame(own_links + other_links, messages)
        else:
            self._send_frame(own_links, own_data_centre_messages)
            self._send_frame(other_links, messages)

    def _send_frame(self, links, messages):
        if not links or not messages:
            return
        data = peers.encode_frame(messages)
        connections = [link.connection for link in links]
        ws_server.broadcast(connections, data)
        self.bytes_sent += len(data) * len(links)
        self.messages_sent += len(links)
        for link in links:
            transport = link.connection.transport
            if transport.get_write_buffer_size() > MAX_WRITE_BUFFER:
                self._log.warning('peer_too_slow', peer=link.hello.node)
                link.abort()

    def abort_silent_links(self):
        """Abort links without a frame for `silence_timeout` seconds."""
        earliest = asyncio.get_running_loop().time() - self._silence_timeout
        for link in list(self._links.values()):
            if link.last_frame_at < earliest:
                self._log.warning('peer_silent', peer=link.hello.node)
                link.abort()

    async def _keep_connecting(self, name, address):
        delay = INITIAL_RECONNECT_DELAY
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                await self._connect(address)
            except (OSError, TimeoutError, websockets.WebSocketException):
                pass
            except Exception:
                self._log.exception('peer_dial_failed', peer=name)
            if (
                asyncio.get_running_loop().time() - started_at
                > OPEN_TIMEOUT * 2
            ):
                delay = INITIAL_RECONNECT_DELAY
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(MAX_RECONNECT_DELAY, delay * 1.5)

    async def _connect(self, address):
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
            await self._handle_connection(connection)

    async def _handle_connection(self, connection):
        try:
            await connection.send(peers.encode_frame([self._hello]))
            async with asyncio.timeout(OPEN_TIMEOUT):
                data = await connection.recv()
            hello = self._get_hello(peers.decode_frame(data))
            await self._run_link(connection, hello)
        except exceptions.TransportError as error:
            self._log.warning('peer_malformed', error=str(error))
        except TimeoutError:
            self._log.warning('peer_silent', peer='')
        except (OSError, websockets.WebSocketException):
            return
        except Exception:
            self._log.exception('peer_link_failed')

    def _get_hello(self, messages):
        if len(messages) == 1 and isinstance(messages[0], peers.Hello):
            if messages[0].node not in ('', self._hello.node):
                return messages[0]
        raise exceptions.TransportError(
            'malformed peer message: expected the hello of another node'
        )

    async def _run_link(self, connection, hello):
        loop = asyncio.get_running_loop()
        previous = self._links.get(hello.node)
        if previous is not None:
            previous.abort()
        link = _Link(connection, hello, loop.time())
        self._links[hello.node] = link
        try:
            first_messages = self._receiver.on_connect(hello)
            self._send_frame([link], first_messages)
            async for data in connection:
                link.last_frame_at = loop.time()
                self.bytes_received += len(data)
                self.messages_received += 1
                for message in peers.decode_frame(data):
                    self._receiver.on_message(hello, message)
        finally:
            if self._links.get(hello.node) is link:
                del self._links[hello.node]
                self._receiver.on_disconnect(hello)
