"""What an HTTP client reads of one answer, with back-pressure."""

import asyncio
import collections

from tornado import httputil
from tornado import iostream

MAX_BUFFERED_CHUNKS = 4
"""Body chunks read ahead of the consumer (count)."""


class Receiver(httputil.HTTPMessageDelegate):
    """Collects what the connection reads, with back-pressure."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self.start = self._loop.create_future()
        self.chunks = collections.deque()
        self.finished = False
        self.closed = False
        self.ignored = False
        self.on_finish = None
        self._arrived = None
        self._drained = None
        self._deadline = 0.0
        self._timer = None

    def headers_received(self, start_line, headers):
        if not self.start.done():
            self.start.set_result((start_line.code, headers))

    def data_received(self, chunk):
        if self.ignored:
            return None
        self.chunks.append(chunk)
        self._wake()
        if len(self.chunks) < MAX_BUFFERED_CHUNKS:
            return None
        self._drained = self._loop.create_future()
        return self._drained

    def finish(self):
        self.finished = True
        self.stop_timer()
        self._wake()
        if self.on_finish is not None:
            self.on_finish()

    def on_connection_close(self):
        self.closed = True
        self.stop_timer()
        self._wake()
        self._resume()
        if not self.start.done():
            self.start.set_exception(iostream.StreamClosedError())
            self.start.exception()

    def note_reader_done(self, task):
        """Note that nothing more is read, for whatever reason."""
        if not task.cancelled():
            task.exception()
        if not self.finished and not self.closed:
            self.on_connection_close()

    def _wake(self):
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)

    def _resume(self):
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def wait(self, timeout):
        """Wait until there is something to take.

        Raises
        ------
        TimeoutError
            Nothing came within `timeout` seconds.
        """
        if self.chunks or self.finished or self.closed:
            return
        self._arrived = self._loop.create_future()
        self._deadline = self._loop.time() + timeout
        if self._timer is None or self._deadline < self._timer.when():
            self._set_timer()
        try:
            await self._arrived
        finally:
            self._arrived = None

    def _set_timer(self):
        """Keep one timer; it is seldom moved, as it looks again itself."""
        self.stop_timer()
        self._timer = self._loop.call_at(self._deadline, self._check_deadline)

    def _check_deadline(self):
        self._timer = None
        if self._arrived is None or self._arrived.done():
            return
        if self._loop.time() < self._deadline:
            self._set_timer()
        else:
            self._arrived.set_exception(TimeoutError())

    def stop_timer(self):
        """Drop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take(self):
        """All that has arrived; empty bytes at the end; None if cut."""
        if self.chunks:
            data = b''.join(self.chunks)
            self.chunks.clear()
            self._resume()
            return data
        return b'' if self.finished else None

    def discard(self):
        """Let the reader go on without a consumer."""
        self.chunks.clear()
        self._resume()
