"""Minimum share of capacity for requests that others precede."""


class MinimumShare:
    """Credit that grows with the work started while requests wait.

    Requests that are due precede all others, so that their work is at least
    the earned share of the whole.
    """

    __slots__ = ('_credit',)

    def __init__(self):
        self._credit = 0.0

    @property
    def is_due(self):
        """Whether less than the minimum was started (bool)."""
        return self._credit > 0.0

    def earn(self, work):
        """Record work that is owed.

        Parameters
        ----------
        work : float
            The share of the work that was started (seconds of slot time).
        """
        self._credit += work

    def spend(self, work):
        """Record work that was started for these requests.

        Work that was started because nothing else waited pays back what is
        owed, but leaves no debt.

        Parameters
        ----------
        work : float
            Work (seconds of slot time).
        """
        if self._credit > 0.0:
            self._credit -= work
