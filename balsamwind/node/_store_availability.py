"""Waits after failed calls to the store, and the log of outages."""

import asyncio

RETRY_INTERVAL = 0.25
"""Wait after a call that failed (seconds), multiplied by the number of
consecutive failures."""

MAX_RETRY_INTERVAL = 0.6
"""Longest wait after consecutive failures (seconds)."""

SUBSCRIBER_RETRY_INTERVAL = 2.0
"""Wait after a call that failed, at a node that has publishers (seconds). Most
nodes have, and all of them lose their publishers while the store is down."""

PUBLISHER_CHECK_INTERVAL = 0.2
"""Time between two checks whether a publisher node still keeps this node up to
date (seconds)."""

START_CHECK_INTERVAL = 0.02
"""Time between two checks whether a node that starts reads the store itself
(seconds). Callers wait for its first configuration."""


class StoreAvailability:
    """Tracks whether the store answers, and logs when that changes.

    Parameters
    ----------
    name : str
        Name of the watched objects, for the log.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.

    Attributes
    ----------
    last_answer_at : float
        Monotonic time of the last answer (seconds).
    """

    __slots__ = (
        '_clock',
        '_failures',
        '_log',
        '_name',
        '_unavailable',
        'last_answer_at',
    )

    def __init__(self, name, clock, log):
        self._name = name
        self._clock = clock
        self._log = log
        self._unavailable = False
        self._failures = 0
        self.last_answer_at = clock.monotonic()

    def record_answer(self):
        """Record an answer and return the time since the last one.

        Returns
        -------
        float
            Time (seconds).
        """
        now = self._clock.monotonic()
        silence = now - self.last_answer_at
        self.last_answer_at = now
        self._failures = 0
        if self._unavailable:
            self._unavailable = False
            self._log.info(
                'store_regained', call=self._name, silent=round(silence, 2)
            )
        return silence

    def record_indirect_answer(self):
        """Record that another node has passed on answers of the store."""
        self.last_answer_at = self._clock.monotonic()

    def record_failure(self, error):
        """Record a failed call and return how long to wait before a retry.

        Parameters
        ----------
        error : Exception
            What failed, for the log.

        Returns
        -------
        float
            Time to wait (seconds).
        """
        self._failures += 1
        if not self._unavailable:
            self._unavailable = True
            self._log.warning('store_lost', call=self._name, reason=str(error))
        return min(self._failures * RETRY_INTERVAL, MAX_RETRY_INTERVAL)


async def wait_for_retry(wait, has_publisher, reads_store_first):
    """Wait after a failed call, at most until a publisher is heard again."""
    if reads_store_first:
        await asyncio.sleep(wait)
        return
    for _ in range(
        round(SUBSCRIBER_RETRY_INTERVAL / PUBLISHER_CHECK_INTERVAL)
    ):
        await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
        if has_publisher():
            return


def find_check_interval(subscriber):
    """Find the time between two checks for a publisher.

    Parameters
    ----------
    subscriber : UpdateSubscriber
        Tells whether the node starts.

    Returns
    -------
    float
        Time (seconds).
    """
    if subscriber.is_starting():
        return START_CHECK_INTERVAL
    return PUBLISHER_CHECK_INTERVAL
