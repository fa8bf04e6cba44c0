"""Decoded headers of requests and responses, independent of the platform."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """Metadata that a caller sends in the headers of a request.

    Parameters
    ----------
    request_id : str
        Id of the request; another attempt by the caller has another id.
    time_budget : float or None
        How long the caller waits for the response (seconds); None if not
        stated.
    api_key : str
        API key; empty if none.
    model : str
        Requested model; empty if none.
    prompt_tokens : int
        Length of the prompt (tokens).
    max_output_tokens : int
        Upper limit on the length of the output (tokens).
    expected_output_tokens : int or None
        Length of the output that the caller expects (tokens); None if not
        stated.
    last_event_id : str
        Id of the last event that the caller received; empty for a new
        stream.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share.
    """

    request_id: str
    time_budget: float | None = None
    api_key: str = ''
    model: str = ''
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int | None = None
    last_event_id: str = ''
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardedMetadata:
    """Metadata that the proxy adds to a request for a backend server.

    Parameters
    ----------
    server_id : str
        Id of the only backend server that may run the request.
    time_budget : float
        Time until the deadline of the request (seconds).
    account : str or None
        Name of the client account; None if no API key is required.
    priority : int or None
        Scheduling priority for the engine, 0 to 9; None if not stated.
    last_event_id : str
        Id of the last event that the caller received; empty for a new
        stream.
    """

    server_id: str
    time_budget: float
    account: str | None = None
    priority: int | None = None
    last_event_id: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """Load that a backend server reports with a response.

    Parameters
    ----------
    running : int
        Requests that run (count).
    waiting : int
        Requests that are queued (count).
    slots : int
        Requests that can run concurrently (count).
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """Metadata that a backend server sends in the headers of a response.

    Parameters
    ----------
    request_id : str
        Id of the request that it responds to; empty if not stated.
    signed : bool
        Whether the response is signed.
    not_run : bool
        Whether the server states that it did not run the request.
    load : ReportedLoad or None
        Load of the server; None if not stated.
    faulty_server : str
        Id of the server that is named as the cause of a failure; empty if
        none.
    retry_after : float or None
        Time for which the server wants no requests from this node (seconds);
        None if not stated.
    leaving : bool
        Whether the server says that it is leaving.
    rate_limit : float or None
        Requests that the server takes from all nodes together (per second);
        None if not stated.
    unreadable : tuple of str
        Names of headers whose values can't be read.
    """

    request_id: str = ''
    signed: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    faulty_server: str = ''
    retry_after: float | None = None
    leaving: bool = False
    rate_limit: float | None = None
    unreadable: tuple[str, ...] = ()
