"""Admission control: contract limits, request queue, retry budgets."""

from balsamwind.admission._held_bytes import HeldBytes
from balsamwind.admission._held_bytes import Holding
from balsamwind.admission._limits import ContractLimiter
from balsamwind.admission._queue import Enqueue
from balsamwind.admission._queue import QueuedRequest
from balsamwind.admission._queue import RequestQueue
from balsamwind.admission._queue import Shed
from balsamwind.admission._queue import Start
from balsamwind.admission._retries import RetryBudget
from balsamwind.admission._retries import ServiceRetryBudgets
from balsamwind.admission._shares import initial_share
from balsamwind.admission._shares import is_significant_change
from balsamwind.admission._shares import PeerUsage
from balsamwind.admission._shares import plan_share
from balsamwind.admission._shares import smooth_demand
from balsamwind.admission._shares import Usage

__all__ = [
    'ContractLimiter',
    'Enqueue',
    'HeldBytes',
    'Holding',
    'PeerUsage',
    'QueuedRequest',
    'RequestQueue',
    'RetryBudget',
    'ServiceRetryBudgets',
    'Shed',
    'Start',
    'Usage',
    'initial_share',
    'is_significant_change',
    'plan_share',
    'smooth_demand',
]
