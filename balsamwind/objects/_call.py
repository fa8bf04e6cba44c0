"""Record of one call that may take effect at most once."""

import dataclasses

CALL_BUCKETS = 64
"""Kinds that call records are spread over, so that a list is short (count)."""

CALL_KINDS = tuple(f'call-{number:02x}' for number in range(CALL_BUCKETS))
"""Kinds of call records, by hash of customer, service and key."""


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
        None while the outcome is unknown, or if it was too large to keep.
    answered : bool
        Whether the call was answered, and so took effect.
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
        """Whether the record is older than `time_to_live` (seconds)."""
        return now - self.created_at > time_to_live
