"""Body of one request, collected within the limits of the process."""

import asyncio

from balsamwind import exceptions

CHUNKS_PER_TURN = 32
"""Chunks of one body that are read before other connections get their turn
(count)."""

RESERVATION_STEP = 1 << 16
"""Room that is reserved beyond what has arrived of a body of unknown size
(bytes)."""

MEMORY_RETRY_AFTER = 1.0
"""Retry delay of a caller whose body found no room (seconds)."""


class BodyReceiver:
    """Collects the body of one request, within the limits of the process.

    Parameters
    ----------
    held_bytes : balsamwind.admission.HeldBytes
        Account of the bodies that the process holds.
    max_size : int
        Largest body (bytes).
    fail : callable
        Called with the error if the body must be dropped.
    now : float
        Current time (seconds, monotonic clock).

    Attributes
    ----------
    received_at : float
        When the last bytes arrived (seconds, monotonic clock).
    """

    __slots__ = (
        '_chunk_count',
        '_data',
        '_fail',
        '_held_bytes',
        '_holding',
        '_max_size',
        'received_at',
    )

    def __init__(self, held_bytes, max_size, fail, now):
        self._held_bytes = held_bytes
        self._holding = held_bytes.open(self._handle_eviction, now)
        self._max_size = max_size
        self._fail = fail
        self._data = bytearray()
        self._chunk_count = 0
        self.received_at = now

    def reserve(self, size, now):
        """Reserve room for a body of known size; report if there is none."""
        if not self._held_bytes.reserve(self._holding, size, now):
            self._fail(_make_memory_error())

    def add(self, chunk, now):
        """Add bytes that have arrived.

        Returns
        -------
        awaitable or None
            To be awaited before the next bytes, so that many tiny chunks do
            not keep the event loop from all other connections.
        """
        self.received_at = now
        # A list would cost many times the size of tiny chunks.
        self._data += chunk
        size = len(self._data)
        self._holding.record_received(size, now)
        if size > self._max_size:
            self._fail(
                exceptions.BodyTooLarge(f'body of at least {size} bytes')
            )
        elif size > self._holding.size:
            reserved = size + RESERVATION_STEP
            self.reserve(min(reserved, self._max_size), now)
        self._chunk_count += 1
        if self._chunk_count % CHUNKS_PER_TURN == 0:
            return asyncio.sleep(0)
        return None

    def take(self):
        """Return the whole body, whose room stays taken until `close`."""
        self._held_bytes.complete(self._holding)
        body = bytes(self._data)
        self._data.clear()
        return body

    def close(self):
        """Drop what has arrived, and give up its room."""
        self._data.clear()
        self._held_bytes.close(self._holding)

    def _handle_eviction(self):
        self._fail(_make_memory_error())


def _make_memory_error():
    return exceptions.NoMemory(
        'this node holds too many bodies at the moment',
        retry_after=MEMORY_RETRY_AFTER,
    )
