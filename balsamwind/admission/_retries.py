"""Retry budget: retries as a share of first tries."""

RESERVE = 10.0
"""Retries that may be saved up (count)."""


class RetryBudget:
    """Allows a retry for a share of first tries.

    Parameters
    ----------
    share : float
        Retries for each first try, 0 to 1.
    """

    __slots__ = ('_balance', '_share')

    def __init__(self, share):
        self._share = share
        self._balance = RESERVE

    def note_first_try(self):
        """Earn a share of a retry."""
        self._balance = min(RESERVE, self._balance + self._share)

    def take(self):
        """Spend one retry; False if the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class RetryBudgets:
    """One retry budget for each service, so that none spends another's.

    Parameters
    ----------
    share : float
        Retries for each first try, 0 to 1.
    """

    __slots__ = ('_budgets', '_share')

    def __init__(self, share):
        self._share = share
        self._budgets = {}

    def of(self, service):
        """Budget of a service named in the settings."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._share)
        return budget
