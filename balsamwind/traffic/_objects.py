"""Objects of a configuration: routes, services, limits, client accounts."""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """Kind of the requests of a route.

    It decides whether a request that may have been executed can be sent
    again: an idempotent one can, a non-idempotent one can't, and a stream
    can if its route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """Service to which a route sends a share of its requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight of this target; its share of the requests is the weight divided
        by the sum of the weights of all targets of the route.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case, without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    kind : RequestKind
        Kind of the requests; decides whether they may be executed more than
        once.
    timeout : float
        Longest time until the response is complete (seconds).
    latency_objective : float
        Latency objective: time until the response, or until the first event
        of a stream (seconds).
    priority : int
        Priority of the requests; 0 is the highest.
    targets : tuple of Target
        Services between which the requests are split.
    max_attempts : int
        Largest number of attempts for one request that may run, including
        the first (count).
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether an interrupted stream may be resumed at another engine.
    max_event_gap : float
        Objective for the longest time between two events of a stream
        (seconds); 0 if there is none.
    allowed_regions : tuple of str
        Regions whose servers serve the requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    latency_objective: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_event_gap: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self):
        """Whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )

    @property
    def has_latency_objective(self):
        """Whether a latency objective is configured.

        The timeout stands in for one that is not.
        """
        return self.latency_objective < self.timeout

    def find_rank(self, account):
        """Find the rank of a request.

        Parameters
        ----------
        account : ClientAccount or None
            Client account of the caller.

        Returns
        -------
        int
            Priority of the account if it has one, else of the route; 0 is the
            most urgent.
        """
        if account is None or account.rank is None:
            return self.priority
        return account.rank


@dataclasses.dataclass(slots=True, frozen=True)
class ModelProfile:
    """Model that the engines of a service can load.

    Parameters
    ----------
    name : str
        Name of the model.
    group_size : int
        Engines that form one replica group (count).
    expected_work_share : float
        Expected share of the service's work, 0 to 1; stands in for the
        demand until there is traffic to measure.
    time_factor : float
        Factor by which the step and prefill times of `EngineProfile` are
        multiplied for groups of this model.
    load_time : float
        Time that an engine takes to join a group if it loads the model from
        the weight store (seconds).
    staged_load_time : float
        Time that an engine takes to join a group if the model is staged on
        its host (seconds).
    """

    name: str
    group_size: int
    expected_work_share: float = 1.0
    time_factor: float = 1.0
    load_time: float = 10.0
    staged_load_time: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineProfile:
    """Capacity and timing that all engines of a service have in common.

    Parameters
    ----------
    models : tuple of ModelProfile
        Models that the engines can load.
    slots : int
        Requests that a group runs concurrently (count).
    kv_cache_tokens : int
        Capacity of the key-value cache of a group (tokens).
    step_time : float
        Time of a decoding step without any running request (seconds).
    step_time_per_request : float
        Time that each running request adds to a step (seconds).
    step_time_per_context_token : float
        Time that each token of context adds to a step (seconds).
    prefill_rate : float
        Rate at which prompt tokens are prefilled (tokens/s).
    prefill_time_per_token_pair : float
        Time that each pair of prompt tokens adds to the prefill (seconds).
    steps_per_pass : int
        Steps of one decoding pass (count).
    loads_per_second : float
        Largest rate at which loads from the weight store may start (loads/s).
    max_full_speed_loads : int
        Loads that can run concurrently at full speed (count).
    form_time : float
        Time from the order to open a group until the group serves (seconds).
    report_lag : float
        Age of the state in an engine's report (seconds).
    """

    models: tuple[ModelProfile, ...]
    slots: int = 8
    kv_cache_tokens: int = 1 << 20
    step_time: float = 0.01
    step_time_per_request: float = 0.0
    step_time_per_context_token: float = 0.0
    prefill_rate: float = 50000.0
    prefill_time_per_token_pair: float = 0.0
    steps_per_pass: int = 1
    loads_per_second: float = 5.0
    max_full_speed_loads: int = 4
    form_time: float = 0.0
    report_lag: float = 0.2

    def find_model(self, name):
        """Find a model by its name.

        Parameters
        ----------
        name : str
            Name of the model.

        Returns
        -------
        ModelProfile or None
            None if the engines can't load such a model.
        """
        for model in self.models:
            if model.name == name:
                return model
        return None


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Service that a set of backend servers provides.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one backend server accepts from all its clients
        (count).
    engine : EngineProfile or None
        Capacity and timing of the engines; None if the backend servers are
        not model engines.
    cold_time : float
        Time for which a server stays cold after a start (seconds).
    cold_rate : float
        Requests that a cold server may get from all nodes (per second); 0 if
        there is no bound.
    """

    name: str
    health_path: str = '/health'
    max_connections: int = 64
    engine: EngineProfile | None = None
    cold_time: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class RequestLimits:
    """Limits on requests and connections of callers.

    Parameters
    ----------
    max_header_bytes : int
        Largest size of a header block (bytes).
    max_body_bytes : int
        Largest size of a request body (bytes).
    header_timeout : float
        Longest time until a header block is complete (seconds).
    idle_timeout : float
        Longest time for which a connection may be idle (seconds).
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 22
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """Client account and its API keys.

    Parameters
    ----------
    name : str
        Name of the account, as sent to backend servers.
    keys : tuple of str
        Valid API keys.
    priority : int
        Priority of the account's requests as earlier versions read it: 0 if
        none is configured. They refuse a missing value, so `rank` has a field
        of its own.
    rank : int or None
        Priority of the account's requests, 0 is the highest; takes precedence
        over the priority of the route. None if none is configured.
    allowed_regions : tuple of str
        Regions whose servers serve the account's requests; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    rank: int | None = None
    allowed_regions: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the configuration that operators write.

    Parameters
    ----------
    version : int
        Version number; increases with each change.
    routes : tuple of Route
        Rules for requests by host and path prefix.
    services : tuple of Service
        Services that routes can have as targets.
    limits : RequestLimits
        Limits on requests and connections of callers.
    accounts : tuple of ClientAccount or None
        Client accounts; None if no route requires an API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: RequestLimits = RequestLimits()
    accounts: tuple[ClientAccount, ...] | None = None
