"""Records of service calls that may take effect at most once."""

import dataclasses

CALL_KIND_COUNT = 64
"""Kinds over which call records are partitioned, to keep lists short."""

CALL_KINDS = tuple(f'call-{number:02x}' for number in range(CALL_KIND_COUNT))
"""Kinds of call records; a hash of customer, service and key selects one."""


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """Response of a backend server, kept to be returned to repeated calls.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : str
        Body of the response, encoded in Base64.
    """

    status: int
    content_type: str
    body: str


@dataclasses.dataclass(slots=True, frozen=True)
class CallRecord:
    """Record that a call was sent, with its response once that is known.

    Parameters
    ----------
    customer : str
        Name of the customer that made the call.
    service : str
        Name of the service that was called.
    request_hash : str
        Hash of method, path and body. A request with the same idempotency
        key and another hash is rejected.
    node : str
        Name of the entry that sent the call.
    operation : str
        Unique id of the attempt.
    created_at : float
        Time at which the record was created (seconds since the epoch, UTC).
    answer : Answer or None
        Response of the backend server; None while the outcome is unknown, or
        if the response was too large to keep.
    answered : bool
        Whether the backend server responded, so that the call took effect.
    """

    customer: str
    service: str
    request_hash: str
    node: str
    operation: str
    created_at: float
    answer: Answer | None = None
    answered: bool = False

    @property
    def finished(self):
        """Whether the outcome is known."""
        return self.answered or self.answer is not None

    def expired(self, now, time_to_live):
        """Check whether the record is older than its time to live.

        Parameters
        ----------
        now : float
            Current time (seconds since the epoch, UTC).
        time_to_live : float
            Time for which a record is kept (seconds).

        Returns
        -------
        bool
        """
        return now - self.created_at > time_to_live
