"""Scheduling: which waiting request starts next, and which are rejected."""

from balsamwind.scheduling._model_queue import MIN_RANK_SHARE
from balsamwind.scheduling._promises import RETURN_SHARE
from balsamwind.scheduling._rank_queue import LATE_SHARE
from balsamwind.scheduling._tickets import Rejection
from balsamwind.scheduling._tickets import RejectionReason
from balsamwind.scheduling._tickets import Ticket
from balsamwind.scheduling._waiting_queue import MAX_ACCOUNT_SHARE
from balsamwind.scheduling._waiting_queue import WaitingQueue

__all__ = [
    'LATE_SHARE',
    'MAX_ACCOUNT_SHARE',
    'MIN_RANK_SHARE',
    'RETURN_SHARE',
    'Rejection',
    'RejectionReason',
    'Ticket',
    'WaitingQueue',
]
