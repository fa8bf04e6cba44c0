"""Record of one call that may take effect at most once."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A backend server's answer, kept to be replayed.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : str
        Base64 of the body.
    """

    status: int
    content_type: str
    body: str


@dataclasses.dataclass(slots=True, frozen=True)
class CallRecord:
    """Evidence that a call was sent, and its answer once known.

    Parameters
    ----------
    customer : str
        Customer that made the call.
    service : str
        Service that was called.
    request_hash : str
        Hash of method, path and body, to refuse a key that is reused.
    node : str
        Entry that sent the call.
    operation : str
        Id of the attempt.
    created_at : float
        When the record was made (seconds since the epoch, UTC).
    answer : Answer or None
        None while the outcome is unknown.
    """

    customer: str
    service: str
    request_hash: str
    node: str
    operation: str
    created_at: float
    answer: Answer | None = None
