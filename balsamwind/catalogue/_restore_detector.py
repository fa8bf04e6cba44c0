"""Detection of a store that was restored from an older state."""

import enum

MAX_REPLICA_LAG = 10.0
"""Longest expected lag of a replica of the store (seconds).

A store that is behind for longer may have been restored.
"""


class StoreState(enum.Enum):
    """Result of comparing the last list of the store with the cache."""

    CURRENT = 'current'
    BEHIND = 'behind'
    DIVERGED = 'diverged'


class RestoreDetector:
    """Distinguishes a lagging replica of the store from a restored store.

    A list with a revision below the known one can come from either. It is
    rejected, and control stops until a list has caught up. Two observations
    show that the store was restored from an older state: a list that
    contradicts the cached versions, and a list that lacks a known contract
    after the store was behind for at least `MAX_REPLICA_LAG`. Only an operator
    can end this state, by starting a new epoch.
    """

    __slots__ = ('_behind_since', '_divergence')

    def __init__(self):
        self._behind_since = None
        self._divergence = ''

    @property
    def state(self):
        """State of the store according to its last list."""
        if self._divergence:
            return StoreState.DIVERGED
        if self._behind_since is not None:
            return StoreState.BEHIND
        return StoreState.CURRENT

    @property
    def reason(self):
        """Description of the contradiction; empty if none was found."""
        return self._divergence

    def exceeds_replica_lag(self, now):
        """Check whether the store has been behind for `MAX_REPLICA_LAG`.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        since = self._behind_since
        return since is not None and now - since >= MAX_REPLICA_LAG

    def record_behind(self, now):
        """Record a list that is older than the cached objects.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        """
        if self._behind_since is None:
            self._behind_since = now

    def record_current(self):
        """Record a list that is consistent with the cached objects."""
        self._behind_since = None

    def record_diverged(self, reason):
        """Record a list that contradicts the cached objects.

        Parameters
        ----------
        reason : str
            Description of the contradiction. The first one is kept.
        """
        self._divergence = self._divergence or reason

    def reset(self):
        """Discard the state when a new epoch begins."""
        self._behind_since = None
        self._divergence = ''
