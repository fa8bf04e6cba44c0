"""Limit on the rate of one kind of log lines."""


class LineLimit:
    """Token bucket of log lines, which says how many were left out.

    Parameters
    ----------
    log : structlog logger
        Logger of the node.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    rate : float
        Lines per second at most.
    burst : float
        Capacity of the bucket (count).
    event : str
        Event of the line that says how many were left out.
    """

    __slots__ = (
        '_burst',
        '_clock',
        '_event',
        '_log',
        '_rate',
        '_refilled_at',
        '_suppressed_lines',
        '_tokens',
    )

    def __init__(self, log, clock, rate, burst, event='lines_left_out'):
        self._log = log
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._event = event
        self._tokens = burst
        self._suppressed_lines = 0
        self._refilled_at = clock.monotonic()

    def take(self):
        """Tell whether a line may be written now, which is then counted.

        Returns
        -------
        bool
        """
        now = self._clock.monotonic()
        self._tokens = min(
            self._burst,
            self._tokens + (now - self._refilled_at) * self._rate,
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self._suppressed_lines += 1
            return False
        self._tokens -= 1.0
        if self._suppressed_lines:
            self._log.info(self._event, count=self._suppressed_lines)
            self._suppressed_lines = 0
        return True
