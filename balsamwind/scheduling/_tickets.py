"""Requests that wait, and rejections of them."""

import dataclasses
import enum


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class Ticket:
    """Request that waits for a slot; compared by identity.

    Parameters
    ----------
    rank : int
        Urgency; 0 is the most urgent.
    account : str
        Client account, '' if none.
    route : str
        Name of the route.
    model : str
        Name of the model.
    work : float
        Predicted time for which it occupies a slot (seconds).
    arrived_at : float
        Arrival at the node that received it (seconds, boot clock).
    start_by : float
        Latest start with which it meets its objective (seconds, boot clock).
    last_start : float
        Latest start with which it meets its deadline (seconds, boot clock).
    returned : bool
        Whether it comes back at a time that it was promised.
    key : str
        Recognises the same request when it comes back; '' if it can't be
        recognised.
    """

    rank: int
    account: str
    route: str
    model: str
    work: float
    arrived_at: float
    start_by: float
    last_start: float
    returned: bool
    key: str = ''


class RejectionReason(enum.StrEnum):
    """Why a ticket was rejected.

    Attributes
    ----------
    TOO_LATE
        Its predicted turn is after its latest start.
    QUEUE_FULL
        The queue holds as many tickets as it may.
    ACCOUNT_FULL
        The account holds as many tickets as it may.
    EXPIRED
        Its latest start has passed.
    EARLY_RETURN
        It came back before the time that it was promised.
    """

    TOO_LATE = 'too_late'
    QUEUE_FULL = 'queue_full'
    ACCOUNT_FULL = 'account_full'
    EXPIRED = 'expired'
    EARLY_RETURN = 'early_return'


@dataclasses.dataclass(slots=True, frozen=True)
class Rejection:
    """Decision to reject a ticket, which has not run.

    Parameters
    ----------
    ticket : Ticket
        Ticket that is rejected.
    reason : str
        A `RejectionReason`.
    retry_after : float
        Time after which it may come back (seconds).
    """

    ticket: Ticket
    reason: str
    retry_after: float
