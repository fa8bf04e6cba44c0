"""A proxy before one engine, which tells the nodes apart.

All processes of a case connect from one address, so the proxy finds out to
which process the other end of a connection belongs.
"""

import asyncio
import contextlib
import os
import pathlib

POLL_INTERVAL = 0.02


def _find_inode(local_port, remote_port):
    """Find the socket of the other end of a loopback connection."""
    lines = pathlib.Path('/proc/net/tcp').read_text(encoding='ascii')
    for line in lines.splitlines()[1:]:
        fields = line.split()
        ports = [int(item.rpartition(':')[2], 16) for item in fields[1:3]]
        if ports == [local_port, remote_port]:
            return fields[9]
    return None


def owns_socket(pid, inode):
    """Tell whether a process has a socket open."""
    folder = f'/proc/{pid}/fd'
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f'{folder}/{name}') == f'socket:[{inode}]':
                    return True
    return False


class PathProxy:
    """Forwards connections to an engine, and cuts those of some processes.

    Parameters
    ----------
    port : int
        Port to listen on.
    target : int
        Port of the engine.

    Attributes
    ----------
    cut_pids : set of int
        Processes whose bytes are held back in both directions, as by a
        partition: nothing is reset.
    """

    def __init__(self, port, target):
        self.port = port
        self.cut_pids = set()
        self._target = target
        self._tasks = set()
        self._server = None

    @property
    def address(self):
        """Address that the engine registers, ``host:port``."""
        return f'127.0.0.1:{self.port}'

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self.port, backlog=256
        )

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_check(self, writer):
        """Make a function that tells whether a connection is cut now."""
        port = writer.get_extra_info('peername')[1]
        inode = _find_inode(port, self.port)
        owners = {}

        def is_cut():
            for pid in self.cut_pids:
                if pid not in owners:
                    owners[pid] = owns_socket(pid, inode)
                if owners[pid]:
                    return True
            return False

        return is_cut

    async def _serve(self, reader, writer):
        is_cut = self._make_check(writer)
        while is_cut():
            await asyncio.sleep(POLL_INTERVAL)
            if reader.at_eof() or reader.exception() is not None:
                writer.transport.abort()
                return
        try:
            target = await asyncio.open_connection('127.0.0.1', self._target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._forward(reader, target[1], is_cut),
                self._forward(target[0], writer, is_cut),
            )
        finally:
            writer.transport.abort()
            target[1].transport.abort()

    async def _forward(self, reader, writer, is_cut):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while is_cut():
                    await asyncio.sleep(POLL_INTERVAL)
                    if reader.at_eof() or reader.exception() is not None:
                        writer.transport.abort()
                        return
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
