"""Lease of one control shard."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """Right of one node to act for a shard for a limited time.

    Parameters
    ----------
    shard : str
        Name of the shard.
    holder : str
        Name of the node; empty when the lease was given back.
    fencing : int
        Grows with every change of holder.
    duration : float
        How long one renewal lasts (seconds).
    operation : str
        Id of the write, to recognise it after a lost answer.
    """

    shard: str
    holder: str
    fencing: int
    duration: float
    operation: str = ''
