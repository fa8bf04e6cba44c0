"""Receiver of one HTTP response, with back-pressure."""

import asyncio
import collections

from tornado import httputil
from tornado import iostream

from balsamwind.adapters import _response_head

MAX_BUFFERED_CHUNKS = 4
"""Body chunks that may wait for the consumer before reading stops (count)."""


class ResponseReceiver(httputil.HTTPMessageDelegate):
    """Buffers the response that a connection reads, for one consumer.

    Attributes
    ----------
    head : asyncio.Future
        Resolves to the status code and the headers of the final response, or
        to a `MalformedHead` if something else comes in its place.
    chunks : collections.deque of bytes
        Body chunks that the consumer has not taken yet.
    finished : bool
        Whether the body was read to its proper end.
    closed : bool
        Whether the connection was closed, or reading stopped, before that.
    discarding : bool
        Whether the body is dropped, as the response is to another request.
    on_finish : callable or None
        Called without arguments when the body has ended.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self.head = self._loop.create_future()
        self.chunks = collections.deque()
        self.finished = False
        self.closed = False
        self.discarding = False
        self.on_finish = None
        self._data_waiter = None
        self._drain_waiter = None
        self._refusal = None
        self._deadline = 0.0
        self._timer = None

    def headers_received(self, start_line, headers):
        if _response_head.is_interim(start_line.code) or self.head.done():
            return None
        try:
            _response_head.check_head(start_line.code, headers)
        except _response_head.MalformedHead as error:
            self.head.set_exception(error)
            # The reader waits for `end_refused`, and reads nothing further.
            self._refusal = self._loop.create_future()
            return self._refusal
        self.head.set_result((start_line.code, headers))
        return None

    def end_refused(self, connection):
        """Let the reader end if it has read a head that is malformed.

        Parameters
        ----------
        connection : tornado.http1connection.HTTP1Connection
            Connection that it reads from; it leaves its stream alone then.
        """
        if self._refusal is not None and not self._refusal.done():
            connection.detach()
            self._refusal.set_result(None)

    def data_received(self, chunk):
        if self.discarding:
            return None
        self.chunks.append(chunk)
        self._wake_consumer()
        if len(self.chunks) < MAX_BUFFERED_CHUNKS:
            return None
        self._drain_waiter = self._loop.create_future()
        return self._drain_waiter

    def finish(self):
        self.finished = True
        self.cancel_timer()
        self._wake_consumer()
        if self.on_finish is not None:
            self.on_finish()

    def on_connection_close(self):
        self.closed = True
        self.cancel_timer()
        self._wake_consumer()
        self._resume_reader()
        if not self.head.done():
            self.head.set_exception(iostream.StreamClosedError())
            self.head.exception()

    def handle_reader_done(self, task):
        """Treat the end of the reading task as a closed connection.

        It is a done callback of that task, which may fail or be cancelled
        without a call of `on_connection_close`.
        """
        if not task.cancelled():
            task.exception()
        if not self.finished and not self.closed:
            self.on_connection_close()

    def _wake_consumer(self):
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)

    def _resume_reader(self):
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        self._drain_waiter = None

    async def wait_for_data(self, timeout):
        """Wait until data has arrived or the response has ended.

        Parameters
        ----------
        timeout : float
            Longest wait (seconds).

        Raises
        ------
        TimeoutError
            Nothing arrived within `timeout` seconds.
        """
        if self.chunks or self.finished or self.closed:
            return
        self._data_waiter = self._loop.create_future()
        self._deadline = self._loop.time() + timeout
        if self._timer is None or self._deadline < self._timer.when():
            self._restart_timer()
        try:
            await self._data_waiter
        finally:
            self._data_waiter = None

    def _restart_timer(self):
        """Start the only timer anew.

        A later deadline does not move the timer: when it fires early, it
        restarts itself. This saves a new timer for each chunk.
        """
        self.cancel_timer()
        self._timer = self._loop.call_at(self._deadline, self._check_deadline)

    def _check_deadline(self):
        self._timer = None
        if self._data_waiter is None or self._data_waiter.done():
            return
        if self._loop.time() < self._deadline:
            self._restart_timer()
        else:
            self._data_waiter.set_exception(TimeoutError())

    def cancel_timer(self):
        """Cancel the timer, if there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take_data(self):
        """Remove and return all buffered data.

        Returns
        -------
        bytes or None
            Empty at the proper end of the body; None if the body was cut.
        """
        if self.chunks:
            data = b''.join(self.chunks)
            self.chunks.clear()
            self._resume_reader()
            return data
        return b'' if self.finished else None

    def discard_chunks(self):
        """Drop the buffered chunks and let the reader continue."""
        self.chunks.clear()
        self._resume_reader()
