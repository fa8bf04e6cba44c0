"""Admission control: contract limits, request queue, retry budgets."""

from balsamwind.admission._limits import LimitKeeper
from balsamwind.admission._queue import Enqueue
from balsamwind.admission._queue import RequestQueue
from balsamwind.admission._queue import Shed
from balsamwind.admission._queue import Start
from balsamwind.admission._queue import Ticket
from balsamwind.admission._retries import RetryBudget
from balsamwind.admission._retries import RetryBudgets
from balsamwind.admission._shares import is_news
from balsamwind.admission._shares import PeerUsage
from balsamwind.admission._shares import plan_share
from balsamwind.admission._shares import smooth_demand
from balsamwind.admission._shares import start_share
from balsamwind.admission._shares import Usage

__all__ = [
    'Enqueue',
    'LimitKeeper',
    'PeerUsage',
    'RequestQueue',
    'RetryBudget',
    'RetryBudgets',
    'Shed',
    'Start',
    'Ticket',
    'Usage',
    'is_news',
    'plan_share',
    'smooth_demand',
    'start_share',
]
