"""Times at which something becomes due for waiting tickets."""

import heapq

MIN_STALE = 1000
"""Entries of tickets that left, below which no compaction is done (count)."""


class DueTimes:
    """Heap of times; what has left is skipped and removed now and then.

    Parameters
    ----------
    is_waiting : callable
        Called with an item; whether its time still matters.
    """

    __slots__ = ('_heap', '_is_waiting', '_stale_limit')

    def __init__(self, is_waiting):
        self._is_waiting = is_waiting
        self._heap = []
        self._stale_limit = MIN_STALE

    def add(self, time, number, item):
        """Add an item.

        Parameters
        ----------
        time : float
            When it becomes due (seconds, boot clock).
        number : int
            Unique number, which orders items of the same time.
        item : object
            Item.
        """
        heapq.heappush(self._heap, (time, number, item))
        if len(self._heap) > self._stale_limit:
            self._compact()

    def pop_due(self, now):
        """Remove what is due and still waits.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        list of object
            Items whose time is before `now`, the earliest first.
        """
        heap = self._heap
        due = []
        while heap and heap[0][0] < now:
            item = heapq.heappop(heap)[2]
            if self._is_waiting(item):
                due.append(item)
        return due

    def _compact(self):
        self._heap = [
            entry for entry in self._heap if self._is_waiting(entry[2])
        ]
        heapq.heapify(self._heap)
        # Doubling keeps the cost of compactions constant for each item.
        self._stale_limit = max(MIN_STALE, 2 * len(self._heap))
