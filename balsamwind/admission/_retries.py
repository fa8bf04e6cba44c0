"""Retry budget: limits retries to a fraction of the first attempts."""

MAX_BALANCE = 10.0
"""Largest number of unused retries that a budget accumulates (count)."""


class RetryBudget:
    """Limits retries to a fraction of the first attempts.

    The budget starts at `MAX_BALANCE`.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed for each first attempt, 0 to 1.
    """

    __slots__ = ('_balance', '_retry_ratio')

    def __init__(self, retry_ratio):
        self._retry_ratio = retry_ratio
        self._balance = MAX_BALANCE

    def record_first_attempt(self):
        """Record a first attempt, which adds `retry_ratio` to the budget."""
        self._balance = min(MAX_BALANCE, self._balance + self._retry_ratio)

    def try_consume(self):
        """Withdraw one retry from the budget.

        Returns
        -------
        bool
            False if the budget is exhausted and no retry may be sent.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class ServiceRetryBudgets:
    """Separate retry budget for each service.

    Retries to a failing service do not use up the budget of another one.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed for each first attempt, 0 to 1.
    """

    __slots__ = ('_budgets', '_retry_ratio')

    def __init__(self, retry_ratio):
        self._retry_ratio = retry_ratio
        self._budgets = {}

    def for_service(self, service):
        """Return the budget of a service, creating it on first use.

        Parameters
        ----------
        service : str
            Name of a service in the settings.

        Returns
        -------
        RetryBudget
            Budget that all calls of this service use.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._retry_ratio)
        return budget
