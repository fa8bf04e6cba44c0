"""Replica groups: VMs of one fabric domain that run one model replica."""

import dataclasses
import enum


class GroupState(enum.Enum):
    """States of a replica group; only a group in `READY` may serve."""

    FORMING = 'forming'
    LOADING = 'loading'
    READY = 'ready'
    DRAINING = 'draining'
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One VM of a replica group.

    Parameters
    ----------
    vm : str
        Name of the VM.
    address : str
        ``host:port`` of the engine on the VM.
    """

    vm: str
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """One replica group.

    Parameters
    ----------
    name : str
        Name of the group; unique, never reused.
    contract : str
        Name of the contract that the group serves.
    model : str
        Model that the members load.
    version : str
        Version of the weights of the model.
    data_centre : str
        Data centre of all members.
    fabric_domain : str
        Fabric domain of all members.
    members : tuple of Member
        Members in rank order. The first one is the head, which receives the
        requests.
    generation : int
        Number that increases with every change of members, model, version or
        role.
    state : GroupState
        State of the group.
    adapters : tuple of str
        Adapters loaded in addition to the model.
    role : str
        Role of the engines, such as ``serve``.
    reason : str
        Explanation of the state, for operators.
    fencing : int
        Fencing number of the lease under which the object was written.
    operation : str
        Unique id of the write. It identifies the write if the response of
        the object API was lost.
    """

    name: str
    contract: str
    model: str
    version: str
    data_centre: str
    fabric_domain: str
    members: tuple[Member, ...]
    generation: int
    state: GroupState
    adapters: tuple[str, ...] = ()
    role: str = 'serve'
    reason: str = ''
    fencing: int = 0
    operation: str = ''

    @property
    def head(self):
        """Member that receives the requests of the group."""
        return self.members[0]

    @property
    def vms(self):
        """Names of the VMs of the members, in rank order."""
        return tuple(member.vm for member in self.members)

    @property
    def leaving(self):
        """Whether the group is being shut down (draining or releasing)."""
        return self.state in (GroupState.DRAINING, GroupState.RELEASING)
