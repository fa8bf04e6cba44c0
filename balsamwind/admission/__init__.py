"""Limits of contracts, and the retry budget."""

from balsamwind.admission._limits import LimitKeeper
from balsamwind.admission._retries import RetryBudget
from balsamwind.admission._retries import RetryBudgets

__all__ = ['LimitKeeper', 'RetryBudget', 'RetryBudgets']
