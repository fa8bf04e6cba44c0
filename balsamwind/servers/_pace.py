"""Pace of a backend that has just started or recovered.

Load pattern: a backend that has just started shows no load, so that all
requests go to it. If it is slow at first, they are late; if it gets few for a
fixed time, a fast one is idle. How fast it answers shows how many it takes.
"""

INITIAL_WINDOW = 4.0
"""Requests in flight at the start of a ramp (count)."""

MIN_WINDOW = 1.0
"""Fewest requests in flight during a ramp (count)."""

TOLERANCE = 1.5
"""Ratio of the measured to the predicted time up to which an answer is in
time; predictions are that inexact for groups at their full pace."""

MARGIN = 0.1
"""Time added to it (seconds)."""

RATIO_WEIGHT = 0.3
"""Weight of the latest answer in the ratio of measured to predicted time."""

MAX_RATIO = 20.0
"""Largest ratio of measured to predicted time of one answer."""

RATIO_HALF_LIFE = 0.3
"""Time in which half of the ratio's excess over 1 is forgotten (seconds). A
backend that gets no requests because it was slow would look slow for good."""

MAX_RAMP_TIME = 10.0
"""Time after which a ramp ends anyway (seconds). A backend that is still slow
is slow for good, and its load shows that."""


class Pace:
    """Ramp of one backend: how many requests it may have in flight.

    Parameters
    ----------
    now : float
        Start of the ramp (seconds, boot clock).
    window : float
        Requests in flight at the start (count).
    is_new : bool
        Whether the backend has started, rather than recovered.

    Attributes
    ----------
    started_at : float
        As `now`.
    window : float
        Requests in flight that are allowed now (count).
    is_new : bool
        As given.
    """

    __slots__ = ('_ratio', '_ratio_at', 'is_new', 'started_at', 'window')

    def __init__(self, now, window=INITIAL_WINDOW, is_new=True):
        self.started_at = now
        self.window = max(MIN_WINDOW, window)
        self.is_new = is_new
        self._ratio = 1.0
        self._ratio_at = now

    def find_ratio(self, now):
        """Find by how much answers take longer than predicted.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Measured time to the first event relative to the predicted one,
            smoothed; at least 1.
        """
        age = max(0.0, now - self._ratio_at)
        return 1.0 + (self._ratio - 1.0) * 0.5 ** (age / RATIO_HALF_LIFE)

    def record_first_event(self, measured_time, predicted_time, now):
        """Take an answer into account.

        An answer in time allows one more request, so that the window doubles
        in each round trip.

        Parameters
        ----------
        measured_time : float
            Time to the first event (seconds).
        predicted_time : float
            Time that was predicted for a backend at its full pace (seconds).
        now : float
            Current time (seconds, boot clock).
        """
        ratio = measured_time / max(predicted_time, 0.001)
        ratio = min(max(ratio, 1.0), MAX_RATIO)
        known = self.find_ratio(now)
        self._ratio = known + RATIO_WEIGHT * (ratio - known)
        self._ratio_at = now
        if measured_time <= TOLERANCE * predicted_time + MARGIN:
            self.window += 1.0

    def record_failure(self):
        """Halve the window after a rejection, a stall or a failure."""
        self.window = max(MIN_WINDOW, self.window / 2.0)

    def has_ended(self, slots, now):
        """Tell whether the backend has shown its full pace.

        Parameters
        ----------
        slots : int
            Requests that the backend runs concurrently (count).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return self.window >= slots or now - self.started_at > MAX_RAMP_TIME
