"""Limits of contracts, and the retry budget."""

from balsamwind.admission._limits import LimitKeeper
from balsamwind.admission._retries import RetryBudget
from balsamwind.admission._retries import RetryBudgets
from balsamwind.admission._shares import PeerUsage
from balsamwind.admission._shares import plan_share
from balsamwind.admission._shares import smooth_demand
from balsamwind.admission._shares import start_share
from balsamwind.admission._shares import Usage

__all__ = [
    'LimitKeeper',
    'PeerUsage',
    'RetryBudget',
    'RetryBudgets',
    'Usage',
    'plan_share',
    'smooth_demand',
    'start_share',
]
