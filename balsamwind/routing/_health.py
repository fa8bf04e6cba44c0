"""Outlier ejection of slow and failing groups."""

import dataclasses
import statistics

MIN_SAMPLES = 5
"""Attempts after which a group is compared with its peers (count)."""

OUTLIER_FACTOR = 3.0
"""A group is an outlier if a latency metric exceeds this multiple of the
median of its peers."""

ERROR_RATE_THRESHOLD = 0.5
"""A group is an outlier if its fraction of failed attempts exceeds both this
value and twice the median of its peers."""

MAX_EJECTED_FRACTION = 0.2
"""Largest fraction of the groups of a pool that is ejected at a time."""

BASE_EJECTION_TIME = 5.0
"""Duration of the first ejection of a group (seconds). It doubles with each
further consecutive ejection."""

MAX_EJECTION_TIME = 60.0
"""Longest duration of an ejection (seconds)."""

SLOW_START_WINDOW = 20.0
"""Time after an ejection in which the share of the requests for which a
group may be chosen rises to 1 (seconds)."""

SLOW_START_SHARE = 0.1
"""Share of the requests for which a group may be chosen right after an
ejection."""

EJECTION_RESET_TIME = 300.0
"""Time without an ejection after which the next one is again as short as the
first (seconds)."""

SMOOTHING_FACTOR = 0.2
"""Weight of the newest sample in the exponentially weighted means."""

EVALUATION_INTERVAL = 0.5
"""Shortest time between two outlier evaluations of a pool (seconds)."""


@dataclasses.dataclass(slots=True)
class GroupHealth:
    """Health statistics of one group.

    The means are exponentially weighted.

    Parameters
    ----------
    first_token_ratio : float
        Mean ratio of observed to expected time to first token.
    inter_token_latency : float
        Mean time between tokens (seconds); 0 if not measured yet.
    error_rate : float
        Mean fraction of attempts that failed, 0 to 1.
    sample_count : int
        Attempts since the last ejection (count).
    consecutive_ejections : int
        Ejections without a reset of the ejection time in between (count).
    ejected_until : float
        Monotonic time at which the last ejection ends (seconds).
    """

    first_token_ratio: float = 1.0
    inter_token_latency: float = 0.0
    error_rate: float = 0.0
    sample_count: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = float('-inf')


class OutlierDetector:
    """Tracks the health of all groups and ejects outliers.

    Notes
    -----
    Absolute limits would eject every group under high load. Each group is
    therefore compared with the median of the groups that serve the same
    model, and at most `MAX_EJECTED_FRACTION` of them are ejected at a time.
    """

    __slots__ = ('_evaluated_at', '_groups')

    def __init__(self):
        self._groups = {}
        self._evaluated_at = {}

    def get(self, name):
        """Get the health statistics of a group; create them if missing.

        Parameters
        ----------
        name : str
            Name of the group.

        Returns
        -------
        GroupHealth
        """
        health = self._groups.get(name)
        if health is None:
            health = self._groups[name] = GroupHealth()
        return health

    def record_first_token(self, name, ratio):
        """Record the time to first token of a successful attempt.

        Parameters
        ----------
        name : str
            Name of the group.
        ratio : float
            Ratio of the observed to the expected time; clipped to the range
            from 0.1 to 30.
        """
        health = self.get(name)
        health.sample_count += 1
        ratio = min(max(ratio, 0.1), 30.0)
        health.first_token_ratio += SMOOTHING_FACTOR * (
            ratio - health.first_token_ratio
        )
        health.error_rate -= SMOOTHING_FACTOR * health.error_rate

    def record_inter_token_latency(self, name, seconds):
        """Record the mean time between the tokens of one answer.

        Parameters
        ----------
        name : str
            Name of the group; ignored if it has no statistics.
        seconds : float
            Mean time between tokens (seconds).
        """
        health = self._groups.get(name)
        if health is None:
            return
        if not health.inter_token_latency:
            health.inter_token_latency = seconds
        health.inter_token_latency += SMOOTHING_FACTOR * (
            seconds - health.inter_token_latency
        )

    def record_failure(self, name):
        """Record a failed attempt.

        Parameters
        ----------
        name : str
            Name of the group.
        """
        health = self.get(name)
        health.sample_count += 1
        health.error_rate += SMOOTHING_FACTOR * (1.0 - health.error_rate)

    def get_slowdown(self, name):
        """Get the factor by which expected times at a group are scaled.

        Parameters
        ----------
        name : str
            Name of the group.

        Returns
        -------
        float
            Mean ratio of observed to expected time to first token, at least
            0.5; 1 for an unknown group.
        """
        health = self._groups.get(name)
        return 1.0 if health is None else max(health.first_token_ratio, 0.5)

    def admits(self, name, now, rng):
        """Whether a group may be chosen for a request.

        During the slow start after an ejection, the group is admitted at
        random with a probability that rises over time.

        Parameters
        ----------
        name : str
            Name of the group.
        now : float
            Monotonic time (seconds).
        rng : random.Random
            Source of randomness for the slow start.

        Returns
        -------
        bool
        """
        health = self._groups.get(name)
        if health is None or not health.consecutive_ejections:
            return True
        elapsed = now - health.ejected_until
        if elapsed < 0:
            return False
        if elapsed >= SLOW_START_WINDOW:
            return True
        share = (
            SLOW_START_SHARE
            + (1.0 - SLOW_START_SHARE) * elapsed / SLOW_START_WINDOW
        )
        return rng.random() < share

    def eject_outliers(self, pool_key, names, now):
        """Eject the outliers among the groups of a pool.

        Does nothing if the last evaluation of the pool is less than
        `EVALUATION_INTERVAL` ago.

        Parameters
        ----------
        pool_key : str
            Key that identifies the pool.
        names : collection of str
            Names of the groups in the pool.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of str
            Names of the groups that were ejected by this call, worst first.
        """
        last = self._evaluated_at.get(pool_key, float('-inf'))
        if now - last < EVALUATION_INTERVAL:
            return []
        self._evaluated_at[pool_key] = now
        health_by_name = {name: self.get(name) for name in names}
        ejected_count = sum(
            health.ejected_until > now for health in health_by_name.values()
        )
        allowed = (
            int(len(health_by_name) * MAX_EJECTED_FRACTION) - ejected_count
        )
        if allowed <= 0:
            return []
        scores = sorted(
            (
                (score, name)
                for name, score in _compute_outlier_scores(health_by_name, now)
            ),
            reverse=True,
        )
        ejected = [name for score, name in scores[:allowed] if score > 1.0]
        for name in ejected:
            self._eject(health_by_name[name], now)
        return ejected

    def remove_group(self, name):
        """Discard the statistics of a deleted group.

        Parameters
        ----------
        name : str
            Name of the group.
        """
        self._groups.pop(name, None)

    def _eject(self, health, now):
        if now - health.ejected_until > EJECTION_RESET_TIME:
            health.consecutive_ejections = 0
        duration = min(
            BASE_EJECTION_TIME * 2**health.consecutive_ejections,
            MAX_EJECTION_TIME,
        )
        health.consecutive_ejections += 1
        health.ejected_until = now + duration
        health.first_token_ratio = 1.0
        health.inter_token_latency = 0.0
        health.error_rate = 0.0
        health.sample_count = 0


def _compute_outlier_scores(health_by_name, now):
    """Yield the name and the score of each group that can be compared.

    A score over 1 marks an outlier. Groups that are ejected or have too few
    samples are left out, and nothing is yielded for fewer than three groups.
    """
    compared = {
        name: health
        for name, health in health_by_name.items()
        if health.sample_count >= MIN_SAMPLES and health.ejected_until <= now
    }
    if len(compared) < 3:
        return
    values = compared.values()
    median_ratio = statistics.median(
        health.first_token_ratio for health in values
    )
    median_latency = statistics.median(
        health.inter_token_latency for health in values
    )
    median_error_rate = statistics.median(
        health.error_rate for health in values
    )
    for name, health in compared.items():
        score = health.first_token_ratio / (
            OUTLIER_FACTOR * max(median_ratio, 0.1)
        )
        if median_latency:
            score = max(
                score,
                health.inter_token_latency / (OUTLIER_FACTOR * median_latency),
            )
        error_score = health.error_rate / max(
            ERROR_RATE_THRESHOLD, 2.0 * median_error_rate
        )
        yield name, max(score, error_score)
