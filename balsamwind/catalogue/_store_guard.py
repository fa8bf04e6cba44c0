"""Whether the store's answers go on from what is known."""

import enum

BEHIND_LIMIT = 10.0
"""Time behind after which the store may have been restored (seconds)."""


class StoreState(enum.Enum):
    """How the store's last list compares with what is known."""

    CURRENT = 'current'
    BEHIND = 'behind'
    DIVERGED = 'diverged'


class StoreGuard:
    """Tells a lagging replica of the store from a restored store.

    A list whose revision is below the known one comes from either. It is
    not followed, and control stops until a list catches up. A list that
    contradicts what is known, and a list that lacks a known contract after
    the store was behind for `BEHIND_LIMIT`, come from a restored store: only
    an operator ends that state, by a new epoch.
    """

    __slots__ = ('_behind_since', '_diverged')

    def __init__(self):
        self._behind_since = None
        self._diverged = ''

    @property
    def state(self):
        """State of the store as last seen."""
        if self._diverged:
            return StoreState.DIVERGED
        if self._behind_since is not None:
            return StoreState.BEHIND
        return StoreState.CURRENT

    @property
    def reason(self):
        """What contradicts what is known; empty if nothing does."""
        return self._diverged

    def was_behind_long(self, now):
        """Whether the store has been behind for `BEHIND_LIMIT`."""
        since = self._behind_since
        return since is not None and now - since >= BEHIND_LIMIT

    def note_behind(self, now):
        """Note a list that is older than what is known."""
        if self._behind_since is None:
            self._behind_since = now

    def note_current(self):
        """Note a list that goes on from what is known."""
        self._behind_since = None

    def note_diverged(self, reason):
        """Note a list that contradicts what is known."""
        self._diverged = self._diverged or reason

    def reset(self):
        """Start with a new history."""
        self._behind_since = None
        self._diverged = ''
