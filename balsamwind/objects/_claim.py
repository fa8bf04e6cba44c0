"""Claim of one VM by one replica group."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The only permission to use a VM in a group; named after the VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    group : str
        Name of the group that holds it.
    fencing : int
        Fencing number of the lease under which this was written.
    operation : str
        Id of the write, to recognise it after a lost answer.
    """

    vm: str
    group: str
    fencing: int = 0
    operation: str = ''
