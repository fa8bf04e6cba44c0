"""Leases of control shards."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """Exclusive right of one node to control a shard for a limited time.

    Parameters
    ----------
    shard : str
        Name of the shard.
    holder : str
        Name of the node that holds the lease; empty after its release.
    fencing : int
        Fencing number, which increases with every change of holder.
    duration : float
        Time for which one renewal is valid (seconds).
    operation : str
        Unique id of the write. It identifies the write if the response of
        the object API was lost.
    """

    shard: str
    holder: str
    fencing: int
    duration: float
    operation: str = ''
