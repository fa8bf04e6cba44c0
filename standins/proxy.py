"""A loopback TCP proxy whose connections can be delayed, reset or stalled."""

import asyncio
import contextlib
import dataclasses

CHUNK_SIZE = 65536
"""Largest chunk that is forwarded at once (bytes)."""

POLL_INTERVAL = 0.02
"""Interval at which a silenced direction checks its fault again (seconds)."""


@dataclasses.dataclass(slots=True)
class ProxyFaults:
    """Faults of the connections through a proxy.

    Parameters
    ----------
    delay : float
        Time that each chunk is held before it is forwarded (seconds).
    refuse : bool
        Whether new connections are reset.
    silent_up : bool
        Whether bytes from the client to the target are held back.
    silent_down : bool
        Whether bytes from the target to the client are held back.
    """

    delay: float = 0.0
    refuse: bool = False
    silent_up: bool = False
    silent_down: bool = False


class FaultProxy:
    """Proxy that forwards the connections to a loopback port to a target.

    Parameters
    ----------
    port : int
        Port to listen on.
    target : str
        Address to connect to, ``host:port``.

    Attributes
    ----------
    faults : ProxyFaults
        Current faults; all but `refuse` also apply to open connections.
    """

    def __init__(self, port, target):
        self._port = port
        self._target = target
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._stalled_writers = set()
        self.faults = ProxyFaults()

    @property
    def address(self):
        """Address that the proxy listens on, ``host:port``."""
        return f'127.0.0.1:{self._port}'

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept_connection, '127.0.0.1', self._port
        )

    def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stall_open_connections(self):
        """Hold back all bytes on the connections that are open now.

        They stay open, and connections that are opened later work.
        """
        self._stalled_writers |= self._writers

    def _accept_connection(self, reader, writer):
        task = asyncio.ensure_future(self._serve_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, reader, writer):
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, port = self._target.rsplit(':', 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward_bytes(reader, target_writer, 'silent_up'),
                self._forward_bytes(target_reader, writer, 'silent_down'),
            )
        finally:
            self._writers -= {writer, target_writer}
            self._stalled_writers -= {writer, target_writer}

    async def _forward_bytes(self, reader, writer, silent_flag):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_SIZE):
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                while (
                    getattr(self.faults, silent_flag)
                    or writer in self._stalled_writers
                ):
                    await asyncio.sleep(POLL_INTERVAL)
                    if writer.transport.is_closing():
                        return
                writer.write(data)
                await writer.drain()
            writer.close()
            return
        writer.transport.abort()
