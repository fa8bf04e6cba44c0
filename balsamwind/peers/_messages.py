"""Messages that entries exchange over peer links."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """First message of either side on a new link.

    Parameters
    ----------
    node : str
        Name of the sender.
    data_centre : str
        Data centre of the sender.
    incarnation : str
        Identifier of the sender's current start; new at each start.
    """

    node: str
    data_centre: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectChanges:
    """All stored objects that the sender knows, or those that changed.

    Parameters
    ----------
    since : int
        Store revision after which the items were written. If it is 0 and
        the message is complete, an object that the items lack does not
        exist.
    revision : int
        Store revision up to which the items hold all versions.
    items : tuple of balsamwind.objects.ObjectVersion
        Versions of objects, deletions included.
    complete : bool
        Whether the sender could read all versions. The decoder clears it if
        it leaves out an object of an unknown kind.
    """

    since: int
    revision: int
    items: tuple
    complete: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """Result of one observer's polls of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    reachable : bool
        Whether the VM's engine answers the observer's polls.
    report : balsamwind.ports.EngineReport or None
        Last report of the VM's engine; None if there is none.
    """

    vm: str
    reachable: bool
    report: ports.EngineReport | None


@dataclasses.dataclass(slots=True, frozen=True)
class GroupStatus:
    """Statement that every member of a group was observed to be healthy.

    It replaces one observation of each member: reachable, ready, in this
    group and generation, with the model and version of the group's record.

    Parameters
    ----------
    digest : bytes
        Hash of the group's name, generation, model, version and members
        (8 bytes).
    load : tuple of float
        Values of `LOAD_FIELDS` in the report of the group's head, its first
        member; zeros at the end are left out.
    """

    digest: bytes
    load: tuple[float, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ObservationChanges:
    """All observations of the sender, or those that changed.

    Parameters
    ----------
    items : tuple of Observation
        Observations of single VMs.
    dropped : tuple of str
        Names of VMs that the sender no longer observes.
    groups : tuple of GroupStatus
        Statuses of groups whose members are all healthy.
    """

    items: tuple[Observation, ...]
    dropped: tuple[str, ...] = ()
    groups: tuple[GroupStatus, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Periodic message that the sender is alive.

    It also confirms that all earlier observations of the sender still hold.

    Parameters
    ----------
    revision : int
        Store revision up to which the sender knows all changes.
    report_age : float
        Age of the oldest observation of a reachable VM that the sender made
        itself (seconds).
    draining : bool
        Whether the sender drains its requests before it shuts down.
    in_flight : dict of str to int
        Requests open at the sender, by customer (count).
    reads_store : bool
        Whether the sender currently reads the store itself, without errors.
    epoch : int
        Number of the store epoch that the sender follows. An operator
        starts a new epoch after the store was restored.
    vm_list_age : float
        Age of the VM list that the sender uses (seconds).
    store_diverged : bool
        Whether the sender detected that the store was restored to an earlier
        state.
    group_in_flight : dict of str to int
        Requests open at the sender, by group, of groups that take no new
        requests (count).
    usage : dict of str to tuple of int
        Demand and share of the sender, by customer, each in 1/60,000 of the
        customer's limit. Holds customers whose values have changed, and all
        customers in the first heartbeat on a link.
    """

    revision: int
    report_age: float
    draining: bool
    in_flight: dict[str, int]
    reads_store: bool = False
    epoch: int = 0
    vm_list_age: float = 0.0
    store_diverged: bool = False
    group_in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    usage: dict[str, tuple[int, ...]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class GroupDown:
    """Notice that the sender found a group unable to serve.

    Parameters
    ----------
    group : str
        Name of the group.
    generation : int
        Generation of the group.
    reason : str
        Failure that the sender observed.
    """

    group: str
    generation: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmListUpdate:
    """The VM list of the platform, or the changes of it.

    Parameters
    ----------
    rows : tuple of balsamwind.ports.ListedVm
        All VMs of the list, or those that are new or changed.
    gone : tuple of str
        Names of VMs that the list no longer contains.
    complete : bool
        Whether `rows` is the whole list.
    age : float
        Time since the list was read from the platform (seconds).
    """

    rows: tuple[ports.ListedVm, ...]
    gone: tuple[str, ...] = ()
    complete: bool = True
    age: float = 0.0
