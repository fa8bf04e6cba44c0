"""Share of a contract's limits that one entry may use."""

import dataclasses

FLOOR = 0.1
"""Part of a limit that is split equally whatever the demand."""

GAIN = 0.25
"""Part of the free share that is taken in one beat."""

SMOOTHING = 0.3
"""Weight of the newest beat in the demand that is reported."""

RAISED = 0.02
"""Growth of a share that is told to peers, as a part of it."""

LOWERED = 0.1
"""Shrinking of a share that is told to peers, as a part of it."""

DEMAND = 0.1
"""Change of a demand that is told to peers, as a part of it."""

SILENT_AFTER = 3.0
"""Age of the last heartbeat at which a peer counts as silent (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Demand and share of one entry, each as a part of the limit.

    Parameters
    ----------
    demand : float
        What its callers ask for, rejected requests included; may be
        over 1.
    share : float
        What it may use, 0 to 1.
    """

    demand: float = 0.0
    share: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class PeerUsage:
    """What a peer last reported.

    Parameters
    ----------
    usage : Usage
        Its demand and share.
    silent_for : float
        Age of its last heartbeat (seconds).
    """

    usage: Usage
    silent_for: float = 0.0


def plan_share(own, peers, hold):
    """Share of this entry from now until the next beat.

    Parameters
    ----------
    own : Usage
        Demand now, and the share until now.
    peers : iterable of PeerUsage
        All peers that are known.
    hold : float
        How long the share of a silent peer stays reserved (seconds).

    Returns
    -------
    float
        0 to 1.

    Notes
    -----
    A share is lowered at once and raised only out of what nobody holds,
    by this entry's part of it and by `GAIN` of that in one beat. So the
    sum stays at 1 while `GAIN` times the age of the reports (beats) is at
    most 1 and demands are known. The share of a silent
    peer stays reserved for `hold`: a data centre that is cut off keeps its
    last shares, and the others stay below. After `hold` the sum is at
    most 1 plus the last shares of the silent peers.
    """
    live = [peer.usage for peer in peers if peer.silent_for <= SILENT_AFTER]
    reserved = sum(
        peer.usage.share
        for peer in peers
        if SILENT_AFTER < peer.silent_for <= hold
    )
    split = _Split(
        max(0.0, 1.0 - reserved),
        own.demand + sum(usage.demand for usage in live),
        len(live) + 1,
    )
    want = split.target(own.demand) - own.share
    if want <= 0.0:
        return own.share + want
    wanted = want + sum(
        max(0.0, split.target(usage.demand) - usage.share) for usage in live
    )
    held = own.share + sum(usage.share for usage in live)
    free = max(0.0, split.available - held)
    return own.share + min(want, GAIN * free * want / wanted)


@dataclasses.dataclass(slots=True, frozen=True)
class _Split:
    """Division of what is available among the entries that are heard."""

    available: float
    demand: float
    nodes: int

    def target(self, demand):
        """Share that an entry with this demand should have."""
        if self.demand <= self.available:
            return demand + (self.available - self.demand) / self.nodes
        part = demand / self.demand
        return self.available * (FLOOR / self.nodes + (1.0 - FLOOR) * part)


def is_news(told, usage):
    """Whether peers must be told of `usage`, after they were told `told`.

    A share that has grown counts sooner than one that has shrunk, as
    peers that do not know of it could take too much.
    """
    if told is None:
        return True
    return (
        usage.share > told.share * (1.0 + RAISED)
        or usage.share < told.share * (1.0 - LOWERED)
        or abs(usage.demand - told.demand) > DEMAND * max(told.demand, 1e-3)
    )


def smooth_demand(before, now):
    """Demand to report, from the last one and that of the last beat."""
    return before + SMOOTHING * (now - before)


def start_share(nodes):
    """Share of an entry that has just started, among `nodes` (count)."""
    return FLOOR / nodes
