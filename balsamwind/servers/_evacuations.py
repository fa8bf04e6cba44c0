"""Data centres whose servers get no requests until their evacuation ends.

The store holds one object for each evacuated data centre. Each list of them
gives the whole state at one revision of the store, so that states are ordered
and the newest one counts, whichever way it came.
"""

import dataclasses

SEND_MARGIN = 0.3
"""Time in which a request reaches its server after the last check
(seconds)."""

REWRITE_TIME = 3.0
"""Time after the store has come back from an older copy within which the
operator writes or removes the objects again (seconds)."""

NO_KNOWN_END = float('inf')
"""End of an evacuation that nobody has ended yet (seconds)."""

NEVER = float('-inf')
"""Time of an event that has not happened (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationState:
    """Evacuated data centres at one revision of the store.

    Parameters
    ----------
    data_centres : tuple of str
        The evacuated data centres, sorted.
    revision : int
        Store revision of the list, with the era above it.
    """

    data_centres: tuple[str, ...] = ()
    revision: int = 0


def merge_states(known, received):
    """Return the newer of two states.

    Parameters
    ----------
    known : EvacuationState or None
        State known so far; None if none is.
    received : EvacuationState
        Another state, maybe an older one.

    Returns
    -------
    EvacuationState
        `known` if both are of the same revision.
    """
    if known is None or received.revision > known.revision:
        return received
    return known


def split_names(names, data_centres):
    """Separate the names of data centres from all others.

    Parameters
    ----------
    names : iterable of str
        Names of the objects in the store.
    data_centres : collection of str
        All data centres of the deployment.

    Returns
    -------
    (tuple of str, list of str)
        The data centres, sorted and each once, and the other names.
    """
    unknown = [name for name in names if name not in data_centres]
    known = {name for name in names if name in data_centres}
    return tuple(sorted(known)), unknown


class Evacuations:
    """Rule that forbids requests to the servers of evacuated data centres.

    It is one of the rules of `balsamwind.relay.Restrictions`. While no state
    is known, it forbids all servers. A state that is neither confirmed nor
    kept because the store is unavailable forbids all servers as well: a node
    that was paused may have missed a change.

    All times are of the boot clock (seconds).

    Parameters
    ----------
    bound : float or None
        Time within which an evacuation must be in force (seconds); None if
        evacuations are not enabled, and nothing is forbidden.

    Attributes
    ----------
    bound : float or None
        As given; replaced when the settings are read again.
    state : EvacuationState or None
        Newest state; None while none is known.
    confirmed_at : float
        When the read was sent that last showed that the state is the newest.
    settled_at : float
        When the objects of a store from an older copy begin to count.
    """

    __slots__ = (
        '_bound',
        '_checked_at',
        '_max_age',
        'confirmed_at',
        'settled_at',
        'state',
    )

    def __init__(self, bound):
        self._checked_at = NEVER
        self.bound = bound
        self.state = None
        self.confirmed_at = NEVER
        self.settled_at = NEVER

    @property
    def bound(self):
        """Time within which an evacuation must be in force (seconds)."""
        return self._bound

    @bound.setter
    def bound(self, bound):
        self._bound = bound
        self._max_age = (
            NO_KNOWN_END
            if bound is None
            else max(bound - SEND_MARGIN, bound / 2)
        )

    def __bool__(self):
        """Whether a choice among servers must look at this rule."""
        return self.bound is not None and (
            self.state is None or bool(self.state.data_centres)
        )

    def find_end(self, record, now):
        """Return when a server may be sent a request.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time.

        Returns
        -------
        float or None
            Infinity, as no end is known; None if it may be sent one now.
        """
        return NO_KNOWN_END if self.forbids(record.data_centre, now) else None

    def forbids(self, data_centre, now):
        """Tell whether nothing may be sent to a data centre now.

        Parameters
        ----------
        data_centre : str
            The data centre.
        now : float
            Current time.

        Returns
        -------
        bool
        """
        if self._bound is None:
            return False
        state = self.state
        if state is None or data_centre in state.data_centres:
            return True
        return now - self._checked_at > self._max_age

    def is_evacuated(self, data_centre):
        """Tell whether a data centre is known to be evacuated.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        bool
        """
        return (
            self.bound is not None
            and self.state is not None
            and data_centre in self.state.data_centres
        )

    def is_current(self, now):
        """Tell whether requests may be sent by the state that is known.

        A state read within the bound includes each change that was
        acknowledged before it. Without an answer of the store there is no
        newer state that this node could know.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        bool
        """
        if self.bound is None:
            return True
        if self.state is None:
            return False
        return now - self._checked_at <= self._max_age

    def accept(self, state, confirmed_at):
        """Take over a state unless a newer one is known.

        Parameters
        ----------
        state : EvacuationState
            A state, from the store or from another node.
        confirmed_at : float
            When the read of the store was sent that showed it, or a lower
            bound of that.

        Returns
        -------
        (tuple of str, tuple of str)
            Data centres whose evacuation has begun and has ended.
        """
        previous = self.state
        if previous is not None and state.revision < previous.revision:
            return (), ()
        self.state = merge_states(previous, state)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._checked_at = max(self._checked_at, confirmed_at)
        before = set() if previous is None else set(previous.data_centres)
        after = set(self.state.data_centres)
        return tuple(sorted(after - before)), tuple(sorted(before - after))

    def accept_list(self, data_centres, revision, sent_at):
        """Take over what a list of the store shows.

        A store that has come back from an older copy may lack evacuations
        and may hold ended ones: until the operator has had time to write them
        again, the state before is kept, as while the store is unavailable.

        Parameters
        ----------
        data_centres : tuple of str
            The evacuated data centres, sorted.
        revision : int
            Store revision of the list.
        sent_at : float
            When the list was requested.

        Returns
        -------
        (tuple of str, tuple of str)
            Data centres whose evacuation has begun and has ended.
        """
        if self.state is not None and (
            sent_at < self.settled_at or revision < self.state.revision
        ):
            self.record_failure(sent_at)
            return (), ()
        return self.accept(EvacuationState(data_centres, revision), sent_at)

    def record_failure(self, sent_at):
        """Record a read that the store did not answer; the state is kept.

        Parameters
        ----------
        sent_at : float
            When the read was sent.
        """
        self._checked_at = max(self._checked_at, sent_at)

    def handle_restored_store(self, now):
        """Keep the state until the newest objects must be stored again.

        Parameters
        ----------
        now : float
            When the store was found to be from an older copy.
        """
        if self.bound is not None:
            self.settled_at = now + min(REWRITE_TIME, self.bound / 2)
