"""Messages between entries."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """First message of either side.

    Parameters
    ----------
    node, data_centre, incarnation : str
        Who speaks.
    """

    node: str
    data_centre: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectChanges:
    """Versions of objects; all that is known, or what changed.

    Parameters
    ----------
    since, revision : int
        The items are all versions after the first store revision and up to
        the second. If `since` is 0, what the items lack does not exist.
    items : tuple of balsamwind.objects.Stored
        Versions, deletions included.
    complete : bool
        Whether the sender could read all versions.
    """

    since: int
    revision: int
    items: tuple
    complete: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """What one observer saw of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    reachable : bool
        Whether it answered.
    report : balsamwind.ports.EngineReport or None
        Its last report.
    """

    vm: str
    reachable: bool
    report: ports.EngineReport | None


@dataclasses.dataclass(slots=True, frozen=True)
class GroupStatus:
    """Every member of a group was seen to be well.

    It stands for one observation of each member: reachable, ready, in this
    group and generation, with the model and version of the group's record.

    Parameters
    ----------
    digest : bytes
        Hash of the group's name, generation, model, version and members.
    load : tuple of float
        Values of `LOAD_FIELDS` in the report of the first member.
    """

    digest: bytes
    load: tuple[float, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Reports:
    """Observations that changed.

    Parameters
    ----------
    items : tuple of Observation
        What the sender saw of single VMs.
    dropped : tuple of str
        VMs that the sender no longer observes.
    groups : tuple of GroupStatus
        Groups whose members are all well.
    """

    items: tuple[Observation, ...]
    dropped: tuple[str, ...] = ()
    groups: tuple[GroupStatus, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Sign of life; all earlier reports of the sender still hold.

    Parameters
    ----------
    revision : int
        Store revision in force at the sender.
    report_age : float
        Age of the sender's oldest own observation (seconds).
    draining : bool
        Whether the sender is shutting down.
    in_flight : dict of str to int
        Customer -> requests open at the sender (count).
    reads_store : bool
        Whether the sender follows the store itself, with success.
    epoch : int
        Number of the store's history that the sender follows.
    vm_list_age : float
        Age of the VM list that the sender goes by (seconds).
    store_diverged : bool
        Whether the sender saw that the store was restored.
    group_in_flight : dict of str to int
        Group that takes no new work -> requests open on it at the sender
        (count).
    usage : dict of str to tuple of int
        Customer -> demand and share of the sender (1/60,000 of the limit),
        of customers whose values changed.
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
    """The sender saw that a group can't serve.

    Parameters
    ----------
    group : str
        Name of the group.
    generation : int
        Its generation.
    reason : str
        What was seen.
    """

    group: str
    generation: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmRows:
    """The VM list, or what changed in it.

    Parameters
    ----------
    rows : tuple of balsamwind.ports.ListedVm
        All rows, or those that changed.
    gone : tuple of str
        VMs that the list no longer has.
    complete : bool
        Whether these are all rows.
    age : float
        Time since the list was read (seconds).
    """

    rows: tuple[ports.ListedVm, ...]
    gone: tuple[str, ...] = ()
    complete: bool = True
    age: float = 0.0
