"""Exclusive assignment of a VM to a replica group."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """Exclusive assignment of a VM to a replica group.

    The object has the name of the VM, so a VM has at most one claim. A group
    uses a VM only while it holds the claim.

    Parameters
    ----------
    vm : str
        Name of the VM.
    group : str
        Name of the replica group that holds the VM.
    fencing : int
        Fencing number of the lease under which the object was written.
    operation : str
        Unique id of the write. It identifies the write if the response of
        the object API was lost.
    """

    vm: str
    group: str
    fencing: int = 0
    operation: str = ''
