"""Steps of a trace of the control path."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class VmFault:
    """What happens to VMs: one, or all of a fabric domain or data centre.

    Parameters
    ----------
    target : str
        Name of a VM, a fabric domain or a data centre; ``customer/0/1`` is
        member 1 of the first group of a customer, by name.
    fault : str
        ``kill``, ``revive`` (with its old state), ``wipe`` (comes back
        empty), ``stall``, ``go_on``, ``stuck`` (never finishes a load).
    """

    target: str
    fault: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmList:
    """The VM list says something else of VMs.

    Parameters
    ----------
    target : str
        As in `VmFault`.
    state : str
        ``live``, ``leaving`` or ``gone``.
    """

    target: str
    state: str


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """A node takes in an observation, as if a peer had sent it.

    Parameters
    ----------
    node, observer, vm : str
        Who hears it, from whom, of which VM.
    reachable : bool
        Whether the VM answered.
    """

    node: str
    observer: str
    vm: str
    reachable: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """What happens to a node; ``leader/<shard>`` names a lease's holder.

    Parameters
    ----------
    node : str
        Which node.
    fault : str
        ``pause``, ``resume``, ``crash``, ``start``, ``blind`` (it reaches
        no engine) or ``see``.
    """

    node: str
    fault: str


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """What happens to a node's next writes.

    Parameters
    ----------
    node : str
        Which node, as in `Node`; ``*`` for all.
    lost : int
        Writes that take effect and whose answer is lost (count).
    late : float
        How late the next write takes effect, long given up (seconds).
    """

    node: str
    lost: int = 0
    late: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """Places that are cut from each other, or joined again.

    Parameters
    ----------
    first, second : str
        Data centres, or ``platform``.
    cut : bool
        Whether they are cut.
    """

    first: str
    second: str
    cut: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """The platform goes down or comes back.

    Parameters
    ----------
    down : bool
        Whether it refuses all calls.
    """

    down: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """An operator reads a contract.

    Parameters
    ----------
    operator, customer : str
        Who, and which.
    """

    operator: str
    customer: str


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """An operator writes a contract.

    Parameters
    ----------
    customer : str
        Which.
    operator : str
        Who; the revision that this operator read last is stated.
    contract : dict
        Keys of the contract to change.
    """

    customer: str
    contract: dict
    operator: str = 'operator'


@dataclasses.dataclass(slots=True, frozen=True)
class Streams:
    """Streams that run at the head of each ready group of a customer.

    Parameters
    ----------
    customer : str
        Which.
    running : int
        Streams of each group, as its engine reports them (count).
    in_flight : dict of str to int
        Node -> requests of each group that the node counts itself.
    """

    customer: str
    running: int
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Mark:
    """Remember all group records, and count anew what serves at least.

    Parameters
    ----------
    name : str
        Name to compare with later.
    """

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Expect:
    """Stated outcome; what is not stated is not compared.

    Parameters
    ----------
    serving : dict of str to int
        Customer -> groups that may serve, at every running node.
    nodes : tuple of str
        Nodes that `serving` is about; empty for all.
    groups : dict of str to int
        State -> group records (count).
    generations : dict of str to int
        Customer -> sum of the generations of its groups not leaving.
    versions : dict of str to tuple of str
        Customer -> versions of its groups not leaving.
    claims : int
        Claims in the store (count).
    idle : tuple of str
        Nodes that hold no lease.
    held : tuple of str
        Shards whose lease exactly one node holds.
    same : str
        Mark whose group records are the ones of now.
    kept : str
        Mark whose groups all have the same record now; others may be new.
    least : dict of str to int
        Customer -> fewest groups that served at any running node at any
        moment since the last mark (count).
    operators : dict of str to str
        Operator -> ``accepted`` or ``conflict``.
    replicas : dict of str to int
        Customer -> replicas that its contract promises (count).
    streams_cut : int
        Streams that an order cut, from the start (count).
    running : int
        Streams that still run (count).
    """

    serving: dict[str, int] | None = None
    nodes: tuple[str, ...] = ()
    groups: dict[str, int] | None = None
    generations: dict[str, int] | None = None
    versions: dict[str, tuple[str, ...]] | None = None
    claims: int | None = None
    idle: tuple[str, ...] | None = None
    held: tuple[str, ...] | None = None
    same: str | None = None
    kept: str | None = None
    least: dict[str, int] | None = None
    operators: dict[str, str] | None = None
    replicas: dict[str, int] | None = None
    streams_cut: int | None = None
    running: int | None = None


EVENTS = {
    'vm': VmFault,
    'vm_list': VmList,
    'report': Report,
    'node': Node,
    'write': Write,
    'link': Link,
    'store': Store,
    'read': Read,
    'put': Put,
    'streams': Streams,
    'mark': Mark,
}
"""Event -> data class."""
