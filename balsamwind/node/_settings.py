"""Settings of a node that serves from a pool."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Figures that the deployment promises.

    Parameters
    ----------
    drain_time : float
        How long a leaving backend server still takes work (seconds).
    grace : float
        Time from SIGTERM to SIGKILL (seconds).
    key_revocation : float or None
        How long a key may work after it was taken away (seconds); None
        where there is no bound.
    retry_ratio : float
        Second sends for each request, over all nodes.
    retry_window : float
        Window of the retry budget (seconds).
    retry_extra : float
        Second sends allowed beyond the ratio, over all nodes (count).
    load_window : float
        Window of the ceiling on loads of weights (seconds).
    load_excess : float
        Factor on the ceiling.
    stall : float
        How long a group that lost a member stands still (seconds).
    heartbeat : float
        Time between two heartbeats of a backend server; its entry is removed
        after three without one (seconds).
    """

    drain_time: float = 2.0
    grace: float = 8.0
    key_revocation: float | None = None
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_extra: float = 0.0
    load_window: float = 5.0
    load_excess: float = 1.0
    stall: float = 4.0
    heartbeat: float = 1.2


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Where a node stands and listens.

    Parameters
    ----------
    name, data_centre : str
        Name, and data centre.
    data_centres : tuple of str
        All data centres.
    callers, readiness, metrics, news : str
        Addresses to listen on, ``host:port``; `news` is for other nodes.
    store : str
        Address of the platform's store.
    first_start : bool
        Whether the whole system starts for the first time.
    bounds : Bounds
        Promised figures.
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
    bounds: Bounds = Bounds()
