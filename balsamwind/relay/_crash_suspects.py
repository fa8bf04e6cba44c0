"""Crashes on record for one prompt part or request, and what they weigh."""

import dataclasses

BEGINNING_TIME = 1.0
"""Time from the beginning of an answer to a crash that counts in full
(seconds). An engine that runs a deadly prompt need not end at once, and its
end is seen later over a slow path."""

SAME_MOMENT = 0.5
"""Time within which crashes may have a common cause (seconds)."""

MIN_EARLY_CRASHES = 2
"""Crashes soon after the beginning, one after the other, that put a part into
quarantine (count)."""

MIN_CRASHES = 3
"""Crashes at any time, one after the other, that do so (count)."""

BASE_QUARANTINE_TIME = 60.0
"""Duration of the first quarantine of a part (seconds)."""

QUARANTINE_FACTOR = 4.0
"""Factor by which each further crash prolongs the quarantine."""

MAX_QUARANTINE_TIME = 3600.0
"""Longest quarantine (seconds)."""

MAX_FURTHER_CRASHES = 8
"""Further crashes that are counted (count)."""

ANSWER_WEIGHT = 10
"""Weight of an answer that lasted as long as the one at a crash."""

SHORT_ANSWER_WEIGHT = 1
"""Weight of a shorter answer."""

CRASH_WEIGHT = 3 * ANSWER_WEIGHT
"""Weight of the answers that clear a part of one crash."""

MAX_TRIAL_TIME = 5.0
"""Time after which a node tries a part again if it has not learnt how the
request before ended (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """A crash as one part has it on record; times by this node's clock.

    Parameters
    ----------
    crashed_at : float
        When the engine was lost (seconds, boot clock).
    duration : float
        Shortest time for which an answer with the part had run (seconds).
    data_centre : str
        Data centre of the node that saw it.
    """

    crashed_at: float
    duration: float
    data_centre: str

    @property
    def began_at(self):
        """When the answer began (seconds, boot clock)."""
        return self.crashed_at - self.duration

    @property
    def is_early(self):
        """Whether the answer had just begun."""
        return self.duration <= BEGINNING_TIME


@dataclasses.dataclass(slots=True, frozen=True)
class CrashSeries:
    """Crashes that followed each other.

    Parameters
    ----------
    early, late : int
        Crashes soon after the beginning of an answer, and later ones (count).
    last_at : float
        When the last one came (seconds, boot clock).
    """

    early: int = 0
    late: int = 0
    last_at: float = float('-inf')

    @property
    def count(self):
        """All crashes of the series (count)."""
        return self.early + self.late

    @property
    def quarantine_time(self):
        """Duration of the quarantine after the last one (seconds)."""
        needed = (
            MIN_EARLY_CRASHES
            if self.early >= MIN_EARLY_CRASHES
            else MIN_CRASHES
        )
        further = min(self.count - needed, MAX_FURTHER_CRASHES)
        if further < 0:
            return 0.0
        return min(
            BASE_QUARANTINE_TIME * QUARANTINE_FACTOR**further,
            MAX_QUARANTINE_TIME,
        )

    @property
    def quarantine_ends_at(self):
        """When the quarantine is over (seconds, boot clock)."""
        return self.last_at + self.quarantine_time

    @property
    def severity(self):
        """Key for sorting: what the least is known against comes first."""
        return self.quarantine_time, self.count, self.last_at


class Suspect:
    """Crashes on record for one part.

    Attributes
    ----------
    crashes : dict of str to Crash
        Crashes by their ids.
    answer_weights : dict of str to dict of str to int
        By crash and node, the weight of the answers that speak for the part.
    trial : object or None
        Attempt by which this node last tried the part again.
    trial_ends_at : float
        Time up to which no other one is sent (seconds, boot clock).
    """

    __slots__ = ('answer_weights', 'crashes', 'trial', 'trial_ends_at')

    def __init__(self):
        self.crashes = {}
        self.answer_weights = {}
        self.trial = None
        self.trial_ends_at = float('-inf')

    def add(self, crash_id, crash):
        """Put a crash on record.

        Parameters
        ----------
        crash_id : str
            Identifies the crash.
        crash : Crash
            The crash, as one node saw it.

        Returns
        -------
        bool
            Whether it is new, or an answer with the part began later than
            was known.
        """
        known = self.crashes.get(crash_id)
        if known is None:
            self.crashes[crash_id] = crash
            return True
        self.crashes[crash_id] = dataclasses.replace(
            known,
            crashed_at=min(known.crashed_at, crash.crashed_at),
            duration=min(known.duration, crash.duration),
        )
        return crash.duration < known.duration

    def add_answers(self, crash_id, node, weight):
        """Take over how much the answers of a node weigh at a crash.

        Returns
        -------
        bool
            Whether that is more than was known.
        """
        weights = self.answer_weights.setdefault(crash_id, {})
        is_more = weight > weights.get(node, 0)
        if is_more:
            weights[node] = weight
        return is_more

    def find_outweighed(self):
        """Return the crashes that the answers outweigh (tuple of str)."""
        return tuple(
            crash_id
            for crash_id in self.crashes
            if sum(self.answer_weights.get(crash_id, {}).values())
            >= CRASH_WEIGHT
        )

    def drop(self, crash_id):
        """Remove a crash, with what speaks against it."""
        self.crashes.pop(crash_id, None)
        self.answer_weights.pop(crash_id, None)

    def find_series(self):
        """Find the crashes that followed each other.

        Engines that crash at the same moment may have a common cause, and so
        count once: a later crash counts if its answer was begun after the one
        before, or some time has passed.

        Returns
        -------
        CrashSeries
        """
        series = CrashSeries()
        for crash in sorted(
            self.crashes.values(), key=lambda crash: crash.crashed_at
        ):
            if (
                crash.began_at >= series.last_at
                or crash.crashed_at > series.last_at + SAME_MOMENT
            ):
                series = CrashSeries(
                    series.early + crash.is_early,
                    series.late + (not crash.is_early),
                    crash.crashed_at,
                )
        return series
