"""What requests and answers say, in the product's words."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTerms:
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller.
    time_budget : float or None
        How long the caller waits (seconds).
    key : str
        API key; empty if none.
    model : str
        Model asked for; empty if none.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and at most of the answer (count).
    expected_output : int or None
        The caller's estimate of the answer's tokens (count).
    last_event : str
        Id of the last event that the caller has; empty for a new stream.
    """

    request_id: str
    time_budget: float | None = None
    key: str = ''
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output: int | None = None
    last_event: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """What the system says beside the caller's own headers.

    Parameters
    ----------
    server_id : str
        The only backend server that may run the request.
    time_budget : float
        Time left (seconds).
    account : str or None
        Client account.
    priority : int or None
        Rank for the engine, 0 to 9.
    last_event : str
        Id of the last event that the caller has.
    """

    server_id: str
    time_budget: float
    account: str | None = None
    priority: int | None = None
    last_event: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """Requests that run and wait, and slots (count)."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerTerms:
    """What a backend server's headers say.

    Parameters
    ----------
    request_id : str
        Request that it answers.
    stamped : bool
        Whether the answer is signed.
    not_run : bool
        Whether the server says that it did not run the request.
    load : ReportedLoad or None
        Its load.
    faulty_server : str
        Server that it names as the cause of a failure.
    """

    request_id: str = ''
    stamped: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    faulty_server: str = ''
