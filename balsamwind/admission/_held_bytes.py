"""One account of the bytes of bodies that a process holds for others.

Load pattern: many clients send large bodies at once, and most of them stop
just short of the end, or go on byte by byte. Each is within the limits of a
single request; together they exhaust the memory of the process, and all its
other requests end with it.
"""

import contextlib
import dataclasses

SMALL_BODY = 1 << 16
"""Body that may use all of the account (bytes); larger ones leave a part of it
to the others."""

LARGE_BODY_SHARE = 0.75
"""Share of the account that larger bodies may use."""

SLOW_TIME = 1.0
"""Time over which the rate of a sender is found (seconds)."""

MIN_RATE = 64.0 * 1024
"""Rate below which a sender loses its room to one that comes on (bytes per
second). Without others that need the room it keeps it."""


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """Room that one body takes.

    Parameters
    ----------
    on_evicted : callable
        Called without arguments if the body must be dropped.
    began_at : float
        When its reading began (seconds, monotonic clock).
    """

    on_evicted: object
    began_at: dataclasses.InitVar[float]
    size: int = 0
    _received: int = 0
    _rate: float = float('inf')
    _mark_at: float = dataclasses.field(init=False)
    _mark_received: int = 0

    def __post_init__(self, began_at):
        self._mark_at = began_at

    def record_received(self, count, now):
        """Record that bytes of the body have arrived.

        Parameters
        ----------
        count : int
            All bytes that have arrived (count).
        now : float
            Current time (seconds, monotonic clock).
        """
        self._received = count
        if now - self._mark_at >= SLOW_TIME:
            self._rate = self._find_recent_rate(now)
            self._mark_at = now
            self._mark_received = count

    def find_rate(self, now):
        """Find how fast the body comes on (bytes per second)."""
        if now - self._mark_at >= SLOW_TIME:
            return self._find_recent_rate(now)
        return self._rate

    def _find_recent_rate(self, now):
        return (self._received - self._mark_received) / (now - self._mark_at)


class HeldBytes:
    """Account of the bodies that a process holds.

    Parameters
    ----------
    capacity : int
        Bytes that it may hold.

    Attributes
    ----------
    held : int
        Bytes that it holds or has promised to hold (count).
    """

    __slots__ = ('_arriving', 'capacity', 'held')

    def __init__(self, capacity):
        self.capacity = capacity
        self.held = 0
        self._arriving = {}

    def open(self, on_evicted, now):
        """Open the holding of a body whose reading begins.

        Parameters
        ----------
        on_evicted : callable
            Called without arguments if the body must be dropped, after its
            holding was closed.
        now : float
            Current time (seconds, monotonic clock).

        Returns
        -------
        Holding
        """
        holding = Holding(on_evicted, now)
        self._arriving[holding] = None
        return holding

    def reserve(self, holding, size, now):
        """Reserve room for a body, at the cost of slow senders.

        Parameters
        ----------
        holding : Holding
            Holding of the body.
        size : int
            All bytes of the body that must find room (count).
        now : float
            Current time (seconds, monotonic clock).

        Returns
        -------
        bool
            Whether there is room; otherwise the holding is unchanged.
        """
        limit = self.capacity
        if size > SMALL_BODY:
            # A single body within the limits of a request always fits.
            limit = max(LARGE_BODY_SHARE * limit, size)
        while self.held + size - holding.size > limit:
            slowest = self._find_slowest(holding, now)
            if slowest is None:
                return False
            self._evict(slowest)
        self.held += size - holding.size
        holding.size = size
        return True

    def evict_slowest(self, now):
        """Drop the body of the slowest sender, also of one without room.

        Parameters
        ----------
        now : float
            Current time (seconds, monotonic clock).

        Returns
        -------
        bool
            False if all senders come on.
        """
        slowest = self._find_slowest(None, now, min_size=0)
        if slowest is not None:
            self._evict(slowest)
        return slowest is not None

    def _evict(self, holding):
        self.close(holding)
        holding.on_evicted()

    @contextlib.contextmanager
    def hold(self, size, now):
        """Hold a body that has arrived, until the block ends.

        Parameters
        ----------
        size : int
            Size of the body (bytes).
        now : float
            Current time (seconds, monotonic clock).

        Yields
        ------
        bool
            Whether there is room for it.
        """
        holding = self.open(None, now)
        self.complete(holding)
        try:
            yield self.reserve(holding, size, now)
        finally:
            self.close(holding)

    def complete(self, holding):
        """Record that a body is complete: it keeps its room until `close`."""
        self._arriving.pop(holding, None)

    def close(self, holding):
        """Give up the room of a body; more than once does no harm."""
        self._arriving.pop(holding, None)
        self.held -= holding.size
        holding.size = 0

    def _find_slowest(self, excluded, now, min_size=1):
        """Find the slowest sender with that much room; None if all come on."""
        slow = [
            (holding.find_rate(now), number, holding)
            for number, holding in enumerate(self._arriving)
            if holding is not excluded and holding.size >= min_size
        ]
        if not slow:
            return None
        rate, _, holding = min(slow)
        return holding if rate < MIN_RATE else None
