"""Events and expected outcomes in a trace of the control path.

The fields of these classes are the keys of the JSON lines.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class VmFault:
    """Fault or recovery of one VM or of all VMs in a domain or data centre.

    Parameters
    ----------
    target : str
        Name of a VM, a fabric domain or a data centre. ``customer/0/1`` is
        the VM of rank 1 in the first group of a customer; groups are ordered
        by name.
    fault : str
        ``kill`` (refuses connections), ``revive`` (runs again with its state
        before the fault), ``wipe`` (restarts without an order and without
        cached weights), ``stall`` (accepts connections without answering),
        ``go_on`` (ends a stall) or ``stuck`` (no load finishes from now on).
    """

    target: str
    fault: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmListChange:
    """Change of the state of VMs in the platform's VM list.

    Parameters
    ----------
    target : str
        VM, fabric domain, data centre or group member, as in `VmFault`.
    state : str
        ``live``, ``leaving`` or ``gone`` (removed from the list).
    """

    target: str
    state: str


@dataclasses.dataclass(slots=True, frozen=True)
class InjectedObservation:
    """Observation of a VM that a node receives as if from a peer.

    Parameters
    ----------
    node : str
        Node that receives the observation.
    observer : str
        Node that the observation is attributed to.
    vm : str
        VM that was observed.
    reachable : bool
        Whether the VM answered the observer.
    """

    node: str
    observer: str
    vm: str
    reachable: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NodeFault:
    """Fault or recovery of a node.

    Parameters
    ----------
    node : str
        Name of the node, or ``leader/<shard>`` for the node that holds the
        lease of a shard.
    fault : str
        ``pause``, ``resume``, ``crash``, ``start``, ``blind`` (all engines
        become unreachable from the node) or ``see`` (reverts ``blind``).
    """

    node: str
    fault: str


@dataclasses.dataclass(slots=True, frozen=True)
class WriteFault:
    """Fault of a node's next writes to the store.

    Parameters
    ----------
    node : str
        Node as in `NodeFault`, or ``*`` for all nodes.
    lost : int
        Next writes that take effect and whose answers are lost (count).
    late : float
        Delay until the next write takes effect (seconds). The node has
        reported a timeout by then if the delay exceeds its timeout. 0 for no
        delay.
    """

    node: str
    lost: int = 0
    late: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class LinkChange:
    """Start or end of a partition between two endpoints.

    Parameters
    ----------
    first, second : str
        Names of data centres, or ``platform``.
    cut : bool
        Whether the partition starts; it ends otherwise.
    """

    first: str
    second: str
    cut: bool


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformOutage:
    """Start or end of an outage of the platform.

    Parameters
    ----------
    down : bool
        Whether the platform refuses all calls from now on.
    """

    down: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ContractRead:
    """Read of a contract by an operator.

    Parameters
    ----------
    operator : str
        Name of the operator.
    customer : str
        Customer whose contract is read.
    """

    operator: str
    customer: str


@dataclasses.dataclass(slots=True, frozen=True)
class ContractWrite:
    """Conditional write of a contract by an operator.

    Parameters
    ----------
    customer : str
        Customer whose contract is written.
    contract : dict
        Top-level keys of the contract to change.
    operator : str
        Name of the operator. The write expects the revision that this
        operator read last, or without such a read the current one.
    """

    customer: str
    contract: dict
    operator: str = 'operator'


@dataclasses.dataclass(slots=True, frozen=True)
class RunningStreams:
    """Number of streams that run in each serving group of a customer.

    Parameters
    ----------
    customer : str
        Customer of the groups.
    running : int
        Streams that the head's engine of each ready or draining group reports
        (count).
    in_flight : dict of str to int
        Node -> requests in flight that it counts for each group (count).
    """

    customer: str
    running: int
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class RecordGroups:
    """Recording of all group records for a later comparison.

    The counts of `ExpectedOutcome.least` restart here.

    Parameters
    ----------
    name : str
        Name of the recording in ``same`` and ``kept`` of later outcomes.
    """

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectedOutcome:
    """Expected outcome; fields that are None are not compared.

    Parameters
    ----------
    serving : dict of str to int, optional
        Customer -> groups that may serve, at every node that is not paused
        (count).
    nodes : tuple of str
        Nodes that `serving` is restricted to; empty for all nodes.
    groups : dict of str to int, optional
        Group state -> group records in this state (count).
    generations : dict of str to int, optional
        Customer -> sum of the generations of its groups that are not leaving.
    versions : dict of str to tuple of str, optional
        Customer -> sorted model versions of its groups that are not leaving.
    claims : int, optional
        Claims in the store (count).
    idle : tuple of str, optional
        Nodes that hold no lease.
    held : tuple of str, optional
        Shards whose lease exactly one node holds.
    same : str, optional
        Name of a `RecordGroups` event; all group records equal those recorded.
    kept : str, optional
        Name of a `RecordGroups` event; every recorded group record is
        unchanged. There may be further groups.
    least : dict of str to int, optional
        Customer -> fewest groups that served at any node that was not paused,
        at any tick since the last `RecordGroups` event (count).
    operators : dict of str to str, optional
        Operator -> result of the last write, ``accepted`` or ``conflict``.
    replicas : dict of str to int, optional
        Customer -> replicas that its contract promises (count).
    streams_cut : int, optional
        Streams that orders to engines have cut since the start (count).
    running : int, optional
        Streams that run now (count).
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


EVENT_CLASSES = {
    'vm': VmFault,
    'vm_list': VmListChange,
    'report': InjectedObservation,
    'node': NodeFault,
    'write': WriteFault,
    'link': LinkChange,
    'store': PlatformOutage,
    'read': ContractRead,
    'put': ContractWrite,
    'streams': RunningStreams,
    'mark': RecordGroups,
}
"""Event name -> data class of the event."""
