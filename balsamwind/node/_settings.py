"""Settings of a node."""

import dataclasses

REFERENCE_CORES = 1.0
"""Processor time of a node of capacity 1 (cores)."""

REFERENCE_LINK_RATE = 100.0
"""Rate of the network link of a node of capacity 1 (Mbit/s)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds and timing that the deployment defines.

    Parameters
    ----------
    drain_time : float
        Time for which a draining backend server still accepts requests
        (seconds).
    grace : float
        Time from SIGTERM to SIGKILL (seconds).
    configuration_apply : float
        Time after the acknowledgement of a version within which it must be in
        force (seconds).
    key_revocation : float or None
        Longest time for which a revoked key may still be accepted (seconds);
        None if there is no bound.
    retry_ratio : float
        Retries allowed per request, over all nodes.
    retry_window : float
        Window of the retry budget (seconds).
    retry_extra : float
        Retries allowed in addition to the ratio, over all nodes (count).
    load_window : float
        Window of the ceiling on weight loads (seconds).
    load_excess : float
        Factor applied to the ceiling on weight loads.
    stall : float
        Time for which a group that lost a member stalls before it is broken
        (seconds).
    heartbeat : float
        Time between two heartbeats of a backend server (seconds). Its entry
        is removed after three missed heartbeats.
    evacuation : float or None
        Time after the acknowledgement of an evacuation within which it must
        be in force (seconds); None if evacuations are not enabled.
    cold_excess : float
        Factor applied to the rate of requests to a cold server, in any window
        of one second.
    cold_slack : float
        Requests in addition to it (count).
    """

    drain_time: float = 2.0
    grace: float = 8.0
    configuration_apply: float = 2.0
    key_revocation: float | None = None
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_extra: float = 0.0
    load_window: float = 5.0
    load_excess: float = 1.0
    stall: float = 4.0
    heartbeat: float = 1.2
    evacuation: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 0.0


OWN_DESCRIPTORS = 200
"""Descriptors for files and for connections to the store and other nodes
(count)."""

MIN_CONNECTIONS = 16
"""Connections of callers that are allowed in any case (count)."""

BODY_SHARE_OF_MEMORY = 0.25
"""Share of the memory that the bodies of requests may take."""


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Identity of a node, and the addresses that it uses.

    Parameters
    ----------
    name : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    data_centres : tuple of str
        All data centres.
    callers : str
        Address for the requests of callers, ``host:port``.
    readiness : str
        Address of the readiness page, ``host:port``.
    metrics : str
        Address of the metrics page, ``host:port``.
    news : str
        Address where other nodes subscribe to updates, ``host:port``.
    store : str
        Address of the platform's store, ``host:port``.
    first_start : bool
        Whether the whole system starts for the first time.
    cores : float
        Processor time of the node (cores).
    link_rate : float
        Rate of the network link (Mbit/s).
    memory : float
        Memory of the process (MB); 0 if not stated.
    descriptors : int
        Descriptors that it may open (count); 0 if not stated.
    bounds : Bounds
        Bounds and timing of the deployment.
    regions : dict of str to str
        Region of each data centre.
    """

    name: str
    data_centre: str
    data_centres: tuple
    callers: str
    readiness: str
    metrics: str
    news: str
    store: str
    first_start: bool = False
    cores: float = 1.0
    link_rate: float = 100.0
    memory: float = 0.0
    descriptors: int = 0
    bounds: Bounds = Bounds()
    regions: dict = dataclasses.field(default_factory=dict)

    @property
    def held_bytes(self):
        """Bytes of bodies that the process may hold; None if not limited.

        A body that is passed on takes up to twice its size, and the process
        itself and its connections need the rest.
        """
        if not self.memory:
            return None
        return int(self.memory * BODY_SHARE_OF_MEMORY * (1 << 20))

    @property
    def max_connections(self):
        """Connections of callers (count); None if not limited.

        Each of their requests may need one to a backend server.
        """
        if not self.descriptors:
            return None
        return max(
            int((self.descriptors - OWN_DESCRIPTORS) / 2), MIN_CONNECTIONS
        )

    @property
    def capacity(self):
        """Capacity for work that a node does for others of its data centre.

        It is relative to `REFERENCE_CORES` and `REFERENCE_LINK_RATE`; the
        scarcer of the two counts.
        """
        return round(
            min(
                self.cores / REFERENCE_CORES,
                self.link_rate / REFERENCE_LINK_RATE,
            ),
            2,
        )
