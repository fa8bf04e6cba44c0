"""When a node last heard of the entries of the backend servers."""

OUTAGE_TIME = 2.3
"""Time without news of entries after which they may have expired in the store
(seconds)."""

GAP_TIME = 1.3
"""Time without news of entries after which the store may have been away, for
how long is not known (seconds)."""


class EntryContact:
    """Notices that a node hears of the entries again after an outage.

    Whether the store was down, or only this node was cut off, looks the same.
    Entries that are missing are kept for as long as the store may need, but
    not longer than a node that was cut off may use what has left.

    Parameters
    ----------
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    clock : balsamwind.ports.Clock
        Monotonic clock.

    Attributes
    ----------
    on_grace : callable
        Called with the time for which missing entries are kept (seconds).
    """

    __slots__ = (
        '_clock',
        '_failed_at',
        '_heard_at',
        '_heard_since',
        '_registry',
        'on_grace',
    )

    def __init__(self, registry, clock):
        self._registry = registry
        self._clock = clock
        self._heard_at = clock.monotonic()
        self._failed_at = self._heard_at
        self._heard_since = self._heard_at
        self.on_grace = lambda seconds: None

    def record_failure(self, sent_at):
        """Record a call to the store that has failed.

        Parameters
        ----------
        sent_at : float
            When it was sent (monotonic time, seconds).
        """
        self._failed_at = max(self._failed_at, sent_at)

    def record_answer(self):
        """Record an answer of the store.

        Returns
        -------
        bool
            Whether it comes after an outage.
        """
        if not self._record():
            return False
        self._registry.start_relisting_grace(self._failed_at)
        self._tell_grace()
        return True

    def record_news(self, grace):
        """Record news of a publisher.

        Parameters
        ----------
        grace : float
            Time for which the publisher itself keeps entries that are missing
            (seconds); 0 if it was not cut off from the store.
        """
        if self._record():
            self._registry.keep_missing_until(self._heard_at + grace)
            self._tell_grace()

    def find_time_heard(self):
        """Find for how long there was no gap in the news of entries.

        Returns
        -------
        float
            Time (seconds).
        """
        now = self._clock.monotonic()
        if now - self._heard_at > GAP_TIME:
            return 0.0
        return now - self._heard_since

    def _record(self):
        now = self._clock.monotonic()
        silence = now - self._heard_at
        if silence > GAP_TIME or self._failed_at > self._heard_at:
            self._heard_since = now
        self._heard_at = now
        self._failed_at = max(self._failed_at, now - silence)
        return silence > OUTAGE_TIME

    def _tell_grace(self):
        self.on_grace(self._registry.find_grace_left(self._heard_at))
