"""Detection of replica groups that make no progress with a request."""

from balsamwind.relay import _backends
from balsamwind.relay import _load_balancing
from balsamwind.relay import _paths

POLL_INTERVAL = 0.1
"""Time between two checks of a backend that sends nothing (seconds)."""


class ProgressWatch:
    """Watches the backend of one attempt.

    Parameters
    ----------
    backend : Backend
        Backend of the attempt.
    engine : balsamwind.traffic.EngineProfile or None
        Timing parameters of the engines; None for a plain service, which is
        not watched.
    clock : balsamwind.ports.Clock
        Source of the time (boot clock).
    on_stall : callable
        Called without arguments when the backend is ejected.
    on_long_stall : callable
        Called without arguments after each check that finds a longer wait,
        so that the request may be sent to another backend as well.
    assess_path : callable
        Takes since when the attempt waits (seconds, boot clock) and after
        which pause its path is in doubt (seconds); returns the `PathState`.

    Attributes
    ----------
    predicted_time : float or None
        Predicted time to the first event (seconds); None if it is not
        predicted.
    """

    __slots__ = (
        '_assess_path',
        '_backend',
        '_clock',
        '_doubt_timeout',
        '_engine',
        '_on_long_stall',
        '_on_stall',
        '_poll_started_at',
        '_timeouts',
        '_waiting_since',
        'predicted_time',
    )

    def __init__(
        self,
        backend,
        engine,
        clock,
        on_stall,
        on_long_stall,
        assess_path,
    ):
        self._backend = backend
        self._engine = engine
        self._clock = clock
        self._on_stall = on_stall
        self._on_long_stall = on_long_stall
        self._assess_path = assess_path
        self.predicted_time = None
        self._doubt_timeout = _paths.SILENCE_TIMEOUT
        self._waiting_since = clock.monotonic()
        self._poll_started_at = self._waiting_since
        self._timeouts = (_backends.STALL_TIMEOUT, _backends.STALL_TIMEOUT)

    def expect_first_event(self, requirements):
        """Allow the time that a first event takes, from now on.

        Parameters
        ----------
        requirements : RequestRequirements
            What the request needs.
        """
        now = self._waiting_since = self._clock.monotonic()
        if self._engine is None:
            self._doubt_timeout = (
                _load_balancing.PLAIN_SERVICE_TIME + _paths.FIRST_EVENT_MARGIN
            )
            return
        predicted_time = _load_balancing.predict_time_to_first_event(
            self._backend, self._engine, requirements, now
        )
        self.predicted_time = predicted_time
        self._timeouts = (
            _backends.FIRST_EVENT_EJECTION_MARGIN + predicted_time,
            _backends.FIRST_EVENT_STALL_MARGIN + 2.0 * predicted_time,
        )
        self._doubt_timeout = predicted_time + _paths.FIRST_EVENT_MARGIN

    def expect_events(self):
        """Allow the pauses between events, from now on."""
        self._waiting_since = self._clock.monotonic()
        self._timeouts = (_backends.STALL_TIMEOUT, _backends.STALL_TIMEOUT)
        self._doubt_timeout = _paths.SILENCE_TIMEOUT

    def start_poll(self):
        """Note that a wait of `POLL_INTERVAL` begins."""
        self._poll_started_at = self._clock.monotonic()

    def check_progress(self):
        """Check the backend after a wait in which nothing came.

        A group that makes no progress is ejected first. After a longer wait
        the request may be sent elsewhere, too; the attempt goes on until
        another one has begun to answer. Without a path the group can't be
        judged, and while the path is in doubt nothing is decided.
        """
        now = self._clock.monotonic()
        # A poll that takes much longer than its interval shows that this node
        # was paused; that time must not count as a stall of the backend.
        if now - self._poll_started_at > 3 * POLL_INTERVAL:
            self._waiting_since = now
        path_state = self._assess_path(
            self._waiting_since, self._doubt_timeout
        )
        match path_state:
            case _paths.PathState.LOST:
                self._on_long_stall()
            case _paths.PathState.OPEN if self._engine is not None:
                self._check_group(now)

    def _check_group(self, now):
        ejection_timeout, retry_timeout = self._timeouts
        if not self._is_stalled(now, ejection_timeout):
            return
        self._backend.record_stall(now)
        self._on_stall()
        if self._is_stalled(now, retry_timeout):
            self._on_long_stall()

    def _is_stalled(self, now, timeout):
        return self._backend.is_stalled(self._waiting_since, now, timeout)
