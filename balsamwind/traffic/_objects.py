"""Configuration in force: routes, services, limits, client accounts."""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """What a route says of repeating its requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """One service that a route leads to.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Its part of the route's requests, against the sum over all targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Requests of one host and path prefix.

    Parameters
    ----------
    name, host : str
        Name, and host in lower case without a port.
    prefix : str
        Path prefix, with a slash at both ends.
    kind : RequestKind
        What may be repeated.
    timeout : float
        Longest time until the final answer (seconds).
    objective : float
        Time until the answer, of a stream its first event (seconds).
    priority : int
        Rank, 0 is the highest.
    targets : tuple of Target
        Services that it leads to.
    max_attempts : int
        Engines to which one request may be sent (count).
    public : bool
        Whether no key is asked for.
    resumable : bool
        Whether a stream may be resumed at another engine.
    largest_pause : float
        Longest pause between the events of a stream (seconds).
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int
    targets: tuple
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    largest_pause: float = 0.0

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )


@dataclasses.dataclass(slots=True, frozen=True)
class ModelTerms:
    """A model that the engines of a service can hold.

    Parameters
    ----------
    name : str
        Name of the model.
    size : int
        Engines of one replica group (count).
    share : float
        Its part of the work at the start, 0 to 1.
    pace : float
        Factor on all times of a group of this model.
    load_time, warm_time : float
        Time of a join from the weight store, and from the host (seconds).
    """

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_time: float = 10.0
    warm_time: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineTerms:
    """What all engines of a service have in common.

    Parameters
    ----------
    models : tuple of ModelTerms
        Models that they can hold.
    slots : int
        Requests that a group runs at once (count).
    tokens : int
        Memory of a group (tokens).
    step, step_per_request : float
        Time of a token step, and what each running request adds (seconds).
    step_per_context : float
        What a step takes longer for each token of context (seconds).
    prefill_rate : float
        Prompt tokens read (tokens a second).
    prefill_per_pair : float
        What reading takes longer for each pair of tokens (seconds).
    stride : int
        Steps of a pass that writes (count).
    loads_per_second : float
        Loads from the weight store that may begin (a second).
    loads_at_once : int
        Loads that run at full speed side by side (count).
    form_time : float
        Time from the order to open until a group serves (seconds).
    report_lag : float
        Age of what an engine reports (seconds).
    """

    models: tuple
    slots: int = 8
    tokens: int = 1 << 20
    step: float = 0.01
    step_per_request: float = 0.0
    step_per_context: float = 0.0
    prefill_rate: float = 50000.0
    prefill_per_pair: float = 0.0
    stride: int = 1
    loads_per_second: float = 5.0
    loads_at_once: int = 4
    form_time: float = 0.0
    report_lag: float = 0.2

    def find_model(self, name):
        """Terms of the model, or None."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Backend servers of one kind.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one server accepts from all callers (count).
    engine : EngineTerms or None
        Terms of model engines; None for a plain service.
    """

    name: str
    health_path: str = '/health'
    max_connections: int = 64
    engine: EngineTerms | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Bounds on what callers send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header block and body (bytes).
    header_timeout, idle_timeout : float
        Longest time of a header block, and idle time of a connection
        (seconds).
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 22
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """Who may call, by which keys.

    Parameters
    ----------
    name : str
        Name that backend servers are shown.
    keys : tuple of str
        Keys in force.
    priority : int
        Rank, 0 is the highest; goes before the route's.
    """

    name: str
    keys: tuple
    priority: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of all that operators configure.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        Routes.
    services : tuple of Service
        Services.
    limits : Limits
        Bounds on callers.
    accounts : tuple of ClientAccount or None
        Client accounts; None where no keys are asked for.
    """

    version: int
    routes: tuple
    services: tuple
    limits: Limits = Limits()
    accounts: tuple | None = None
