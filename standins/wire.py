"""A loopback proxy whose connections can be delayed, reset or silenced."""

import asyncio
import contextlib
import dataclasses

CHUNK = 65536
"""Largest piece that is passed on at once (bytes)."""

POLL = 0.02
"""How often a silent direction looks whether it may speak again (seconds)."""


@dataclasses.dataclass(slots=True)
class WireFaults:
    """What happens to the bytes on a wire.

    Parameters
    ----------
    delay : float
        How much later each piece arrives (seconds).
    refuse : bool
        Whether new connections are reset.
    silent_up, silent_down : bool
        Whether bytes from, or to, the side that connected are held back.
    """

    delay: float = 0.0
    refuse: bool = False
    silent_up: bool = False
    silent_down: bool = False


class Wire:
    """Passes connections from a port on to a target.

    Parameters
    ----------
    port : int
        Where it listens.
    target : str
        ``host:port`` to connect to.
    """

    def __init__(self, port, target):
        self._port = port
        self._target = target
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._deaf = set()
        self.faults = WireFaults()

    @property
    def address(self):
        """Where it listens, ``host:port``."""
        return f'127.0.0.1:{self._port}'

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self._port
        )

    def stop(self):
        """Close all connections and listen no more."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self):
        """Let open connections hear nothing any more; new ones work."""
        self._deaf |= self._writers

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, port = self._target.rsplit(':', 1)
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        try:
            await asyncio.gather(
                self._pass_on(reader, far, 'silent_up'),
                self._pass_on(far_reader, writer, 'silent_down'),
            )
        finally:
            self._writers -= {writer, far}
            self._deaf -= {writer, far}

    async def _pass_on(self, reader, writer, silence):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                while getattr(self.faults, silence) or writer in self._deaf:
                    await asyncio.sleep(POLL)
                    if writer.transport.is_closing():
                        return
                writer.write(data)
                await writer.drain()
            writer.close()
            return
        writer.transport.abort()
