"""Log lines and counters of a node's request path."""

import prometheus_client

LINES_PER_SECOND = 30.0
"""Lines about requests that are written at most (a second)."""

BURST = 60.0
"""Lines that may be saved up (count)."""

BUCKETS = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds of the histograms (seconds)."""


class Journal:
    """Writes one line a decision, bounded, and counts all of them.

    Parameters
    ----------
    log : structlog logger
        Log.
    clock : balsamwind.ports.Clock
        Boot time.
    """

    __slots__ = (
        '_answers',
        '_attempts',
        '_clock',
        '_left_out',
        '_lines',
        '_refilled_at',
        '_seconds',
        'log',
        'registry',
    )

    def __init__(self, log, clock):
        self.log = log
        self._clock = clock
        self._lines = BURST
        self._left_out = 0
        self._refilled_at = clock.monotonic()
        self.registry = prometheus_client.CollectorRegistry()
        self._answers = prometheus_client.Counter(
            'balsamwind_answers',
            'Final answers to callers.',
            ('outcome',),
            registry=self.registry,
        )
        self._attempts = prometheus_client.Counter(
            'balsamwind_failed_attempts',
            'Sends to backend servers without an answer that was relayed.',
            ('reason',),
            registry=self.registry,
        )
        self._seconds = prometheus_client.Histogram(
            'balsamwind_answer_seconds',
            'Time to the end of the final answer.',
            ('outcome',),
            buckets=BUCKETS,
            registry=self.registry,
        )

    def note_request(self, request, terms, outcome, reason=''):
        """Note the final answer to a request."""
        took = self._clock.monotonic() - request.received_at
        self._answers.labels(outcome).inc()
        self._seconds.labels(outcome).observe(took)
        if outcome == 'ok' or not self._take_line():
            return
        self.log.info(
            'request_ended',
            id=terms.request_id,
            path=request.path,
            outcome=outcome,
            reason=reason,
            seconds=round(took, 3),
        )

    def note_attempt(self, request_id, place, failure):
        """Note a send without an answer that could be relayed."""
        self._attempts.labels(failure.error.code).inc()
        if not self._take_line():
            return
        self.log.info(
            'attempt_failed',
            id=request_id,
            place=':'.join(str(part) for part in place.key),
            server=place.record.server_id,
            reason=str(failure.error),
            sent=failure.sent,
            stalled=failure.stalled,
            in_flight=place.in_flight,
        )

    def _take_line(self):
        now = self._clock.monotonic()
        self._lines = min(
            BURST,
            self._lines + (now - self._refilled_at) * LINES_PER_SECOND,
        )
        self._refilled_at = now
        if self._lines < 1.0:
            self._left_out += 1
            return False
        self._lines -= 1.0
        if self._left_out:
            self.log.info('lines_left_out', count=self._left_out)
            self._left_out = 0
        return True
