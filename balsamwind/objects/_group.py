"""Replica group: VMs of one fabric domain that serve as one replica."""

import dataclasses
import enum


class GroupState(enum.Enum):
    """Steps in the life of a group; only `READY` may serve."""

    FORMING = 'forming'
    LOADING = 'loading'
    READY = 'ready'
    DRAINING = 'draining'
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One VM of a group.

    Parameters
    ----------
    vm : str
        Name of the VM.
    address : str
        ``host:port`` of its engine.
    """

    vm: str
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """One replica group.

    Parameters
    ----------
    name : str
        Unique, never reused.
    contract : str
        Contract that the group serves.
    model, version : str
        What the members load.
    adapters : tuple of str
        Adapters loaded beside the model.
    role : str
        Engine role, such as ``serve``.
    data_centre, fabric_domain : str
        Where all members are.
    members : tuple of Member
        The first one takes the requests.
    generation : int
        Grows with every change of members, model, version or role.
    state : GroupState
        Step in the group's life.
    reason : str
        Why the group is in this state, for operators.
    fencing : int
        Fencing number of the lease under which this was written.
    operation : str
        Id of the write, to recognise it after a lost answer.
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
        """Member that takes the requests."""
        return self.members[0]

    @property
    def vms(self):
        """Names of the members' VMs, in rank order."""
        return tuple(member.vm for member in self.members)

    @property
    def leaving(self):
        """Whether the group is on its way out."""
        return self.state in (GroupState.DRAINING, GroupState.RELEASING)
