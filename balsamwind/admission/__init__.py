"""Limits of contracts, and the retry budget."""

from balsamwind.admission._limits import LimitKeeper
from balsamwind.admission._retries import RetryBudget

__all__ = ['LimitKeeper', 'RetryBudget']
