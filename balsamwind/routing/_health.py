"""Stragglers and sick groups, found by comparison with their peers."""

import dataclasses
import statistics

MIN_SAMPLES = 5
"""Samples before a group is compared (count)."""

OUTLIER = 3.0
"""A group is an outlier at this multiple of the peers' median."""

ERROR_SHARE = 0.5
"""A group is sick at this share of failed attempts."""

MAX_EJECTED = 0.2
"""Largest share of the groups of a pool that is ejected at once."""

FIRST_EJECTION = 5.0
"""Time of a group's first ejection (seconds); doubled each time."""

MAX_EJECTION = 60.0
"""Longest ejection (seconds)."""

RETURN_TIME = 20.0
"""Time in which a group gets back its full share (seconds)."""

RETURN_SHARE = 0.1
"""Share with which a group comes back."""

FORGIVE_AFTER = 300.0
"""Time without an ejection after which the next is a first (seconds)."""

SAMPLE_WEIGHT = 0.2
"""Weight of the newest sample in a mean."""

EVALUATION_INTERVAL = 0.5
"""Time between two comparisons of a pool (seconds)."""


@dataclasses.dataclass(slots=True)
class GroupHealth:
    """What was seen of one group.

    Parameters
    ----------
    first_token : float
        Mean of observed to expected time to the first token.
    token_gap : float
        Mean time between tokens (seconds); 0 before any.
    error_share : float
        Mean share of attempts that failed.
    samples : int
        Attempts since the last ejection (count).
    ejections : int
        Ejections in a row (count).
    ejected_until : float
        Monotonic time (seconds).
    """

    first_token: float = 1.0
    token_gap: float = 0.0
    error_share: float = 0.0
    samples: int = 0
    ejections: int = 0
    ejected_until: float = float('-inf')


class HealthTable:
    """Health of all groups; decides which are ejected.

    Notes
    -----
    Absolute limits would eject all groups when the load is high. Here a
    group is compared with the median of the others that serve the same
    model, and at most `MAX_EJECTED` of them are out at once.
    """

    __slots__ = ('_evaluated_at', '_groups')

    def __init__(self):
        self._groups = {}
        self._evaluated_at = {}

    def get(self, name):
        """Health of a group; a `GroupHealth`."""
        health = self._groups.get(name)
        if health is None:
            health = self._groups[name] = GroupHealth()
        return health

    def note_first_token(self, name, ratio):
        """Note observed to expected time to the first token."""
        health = self.get(name)
        health.samples += 1
        ratio = min(max(ratio, 0.1), 30.0)
        health.first_token += SAMPLE_WEIGHT * (ratio - health.first_token)
        health.error_share -= SAMPLE_WEIGHT * health.error_share

    def note_gap(self, name, seconds):
        """Note the mean time between tokens of one answer."""
        health = self._groups.get(name)
        if health is None:
            return
        if not health.token_gap:
            health.token_gap = seconds
        health.token_gap += SAMPLE_WEIGHT * (seconds - health.token_gap)

    def note_failure(self, name):
        """Note a failed attempt."""
        health = self.get(name)
        health.samples += 1
        health.error_share += SAMPLE_WEIGHT * (1.0 - health.error_share)

    def slowdown(self, name):
        """Factor on the expected time at a group."""
        health = self._groups.get(name)
        return 1.0 if health is None else max(health.first_token, 0.5)

    def admits(self, name, now, rng):
        """Whether a group may be chosen; a returning one, at times."""
        health = self._groups.get(name)
        if health is None or not health.ejections:
            return True
        since = now - health.ejected_until
        if since < 0:
            return False
        if since >= RETURN_TIME:
            return True
        share = RETURN_SHARE + (1.0 - RETURN_SHARE) * since / RETURN_TIME
        return rng.random() < share

    def evaluate(self, key, names, now):
        """Eject the outliers of a pool.

        Parameters
        ----------
        key : str
            Identifies the pool.
        names : collection of str
            Its groups.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of str
            Groups ejected now.
        """
        last = self._evaluated_at.get(key, float('-inf'))
        if now - last < EVALUATION_INTERVAL:
            return []
        self._evaluated_at[key] = now
        known = {name: self.get(name) for name in names}
        out = sum(health.ejected_until > now for health in known.values())
        allowed = int(len(known) * MAX_EJECTED) - out
        if allowed <= 0:
            return []
        scores = sorted(
            ((score, name) for name, score in _scores(known, now)),
            reverse=True,
        )
        ejected = [name for score, name in scores[:allowed] if score > 1.0]
        for name in ejected:
            self._eject(known[name], now)
        return ejected

    def forget(self, name):
        """Drop a group that is gone."""
        self._groups.pop(name, None)

    def _eject(self, health, now):
        if now - health.ejected_until > FORGIVE_AFTER:
            health.ejections = 0
        length = min(FIRST_EJECTION * 2**health.ejections, MAX_EJECTION)
        health.ejections += 1
        health.ejected_until = now + length
        health.first_token = 1.0
        health.token_gap = 0.0
        health.error_share = 0.0
        health.samples = 0


def _scores(known, now):
    """How far each group is out; over 1 is an outlier."""
    compared = {
        name: health
        for name, health in known.items()
        if health.samples >= MIN_SAMPLES and health.ejected_until <= now
    }
    if len(compared) < 3:
        return
    values = compared.values()
    ratio = statistics.median(health.first_token for health in values)
    gap = statistics.median(health.token_gap for health in values)
    share = statistics.median(health.error_share for health in values)
    for name, health in compared.items():
        score = health.first_token / (OUTLIER * max(ratio, 0.1))
        if gap:
            score = max(score, health.token_gap / (OUTLIER * gap))
        sick = health.error_share / max(ERROR_SHARE, 2.0 * share)
        yield name, max(score, sick)
