"""Share of a contract's limits that one entry may use."""

import dataclasses

EQUAL_FRACTION = 0.1
"""Fraction of a limit that is split equally, regardless of the demand."""

GAIN = 0.25
"""Fraction of the unallocated share that is claimed per heartbeat interval."""

DEMAND_SMOOTHING = 0.3
"""Weight of the newest sample in the moving average of the demand."""

SHARE_INCREASE_THRESHOLD = 0.02
"""Relative increase of a share above which it is sent to the peers."""

SHARE_DECREASE_THRESHOLD = 0.1
"""Relative decrease of a share above which it is sent to the peers."""

DEMAND_CHANGE_THRESHOLD = 0.1
"""Relative change of a demand above which it is sent to the peers."""

SILENT_AFTER = 3.0
"""Age of the last heartbeat above which a peer counts as silent (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Demand and share of one entry, each as a fraction of the limit.

    Parameters
    ----------
    demand : float
        Load offered by the callers of the entry, rejected requests
        included; may exceed 1.
    share : float
        Fraction of the limit that the entry may use, 0 to 1.
    """

    demand: float = 0.0
    share: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class PeerUsage:
    """Usage that a peer reported last, and the age of its heartbeat.

    Parameters
    ----------
    usage : Usage
        Demand and share of the peer.
    heartbeat_age : float
        Age of the last heartbeat of the peer (seconds).
    """

    usage: Usage
    heartbeat_age: float = 0.0


def plan_share(own, peers, reservation_timeout):
    """Compute the share of this entry for the next heartbeat interval.

    Parameters
    ----------
    own : Usage
        Current demand of this entry, and its share so far.
    peers : list of PeerUsage
        Last reported usage of all known peers.
    reservation_timeout : float
        Age of the last heartbeat up to which the share of a silent peer
        stays reserved (seconds).

    Returns
    -------
    float
        Fraction of the limit, 0 to 1.

    Notes
    -----
    A share is lowered at once, but raised only out of the unallocated part
    of the limit. In one heartbeat interval, all entries together claim the
    fraction `GAIN` of the unallocated part, each in proportion to the
    increase that it needs. The sum of the shares therefore does not exceed
    1 as long as `GAIN` times the age of the reports, in heartbeat
    intervals, is at most 1 and the demands are known.

    The share of a silent peer stays reserved for `reservation_timeout`: a
    data centre that is partitioned off keeps using its last shares, so the
    other entries must leave room for them. After that time, the sum is at
    most 1 plus the last shares of the silent peers.
    """
    live = [peer.usage for peer in peers if peer.heartbeat_age <= SILENT_AFTER]
    reserved = sum(
        peer.usage.share
        for peer in peers
        if SILENT_AFTER < peer.heartbeat_age <= reservation_timeout
    )
    allocation = _Allocation(
        max(0.0, 1.0 - reserved),
        own.demand + sum(usage.demand for usage in live),
        len(live) + 1,
    )
    change = allocation.target_share(own.demand) - own.share
    if change <= 0.0:
        return own.share + change
    total_increase = change + sum(
        max(0.0, allocation.target_share(usage.demand) - usage.share)
        for usage in live
    )
    allocated = own.share + sum(usage.share for usage in live)
    unallocated = max(0.0, allocation.available - allocated)
    return own.share + min(
        change, GAIN * unallocated * change / total_increase
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Allocation:
    """Division of the available part of a limit among the live entries.

    Parameters
    ----------
    available : float
        Fraction of the limit that is not reserved for silent peers.
    total_demand : float
        Sum of the demands of the live entries, as a fraction of the limit.
    num_entries : int
        Live entries, this one included (count).
    """

    available: float
    total_demand: float
    num_entries: int

    def target_share(self, demand):
        """Return the share that an entry with this demand should have."""
        if self.total_demand <= self.available:
            return (
                demand
                + (self.available - self.total_demand) / self.num_entries
            )
        fraction = demand / self.total_demand
        return self.available * (
            EQUAL_FRACTION / self.num_entries
            + (1.0 - EQUAL_FRACTION) * fraction
        )


def is_significant_change(last_sent, usage):
    """Return whether a usage differs enough to be sent to the peers.

    The threshold is lower for an increase of the share than for a
    decrease, because peers that do not know of an increase could claim too
    much.

    Parameters
    ----------
    last_sent : Usage or None
        Usage that was sent last, None if none was sent.
    usage : Usage
        Current usage.

    Returns
    -------
    bool
        True if `usage` must be sent.
    """
    if last_sent is None:
        return True
    return (
        usage.share > last_sent.share * (1.0 + SHARE_INCREASE_THRESHOLD)
        or usage.share < last_sent.share * (1.0 - SHARE_DECREASE_THRESHOLD)
        or abs(usage.demand - last_sent.demand)
        > DEMAND_CHANGE_THRESHOLD * max(last_sent.demand, 1e-3)
    )


def smooth_demand(previous, measured):
    """Update the exponentially weighted moving average of a demand.

    Parameters
    ----------
    previous : float
        Average so far, as a fraction of the limit.
    measured : float
        Demand in the last heartbeat interval, as a fraction of the limit.

    Returns
    -------
    float
        New average, which is the demand to report.
    """
    return previous + DEMAND_SMOOTHING * (measured - previous)


def initial_share(num_entries):
    """Return the share of an entry that has just started.

    Parameters
    ----------
    num_entries : int
        Entries, this one included (count).

    Returns
    -------
    float
        Fraction of the limit, 0 to 1.
    """
    return EQUAL_FRACTION / num_entries
