"""Shares of requests that are started, by route and size class."""

from balsamwind.scheduling import _recent_work

MIN_SERVICE_SHARE = 0.7
"""Share of started requests, relative to all, below which a class precedes.

Rule: half for the largest tenth, a quarter for others. The margin covers
requests that are asked for before their class is found to be underserved.
"""

LARGE_FRACTION = 0.1
"""Fraction of the requests of a route that count as large."""

MIN_SHORTFALL = 1.0
"""Missing starts up to which a class is not underserved (count)."""

ADAPTATION = 0.2
"""Relative step by which the size limit follows what is asked for."""


class ServiceShares:
    """Requests asked for and started, by route and size.

    Large requests have less time left until their latest start, so in
    overload they are the first that can't wait. Their class then precedes
    others within an account.
    """

    __slots__ = ('_asked', '_size_limits', '_started')

    def __init__(self):
        self._asked = _recent_work.RecentWork()
        self._started = _recent_work.RecentWork()
        self._size_limits = {}

    def classify(self, ticket):
        """Return the class of a request.

        Parameters
        ----------
        ticket : Ticket
            Request.

        Returns
        -------
        tuple
            Route, and whether it is large.
        """
        limit = self._size_limits.get(ticket.route, ticket.work)
        return ticket.route, ticket.work > limit

    def record_asked(self, ticket, now):
        """Count a request that is asked for the first time.

        Parameters
        ----------
        ticket : Ticket
            Request.
        now : float
            Current time (seconds, boot clock).
        """
        service_class = self.classify(ticket)
        self._asked.add(service_class, 1.0, now)
        limit = self._size_limits.get(ticket.route, ticket.work)
        if service_class[1]:
            limit *= 1.0 + ADAPTATION * (1.0 - LARGE_FRACTION)
        else:
            limit *= 1.0 - ADAPTATION * LARGE_FRACTION
        self._size_limits[ticket.route] = limit

    def record_started(self, service_class, now):
        """Count a request that starts.

        Parameters
        ----------
        service_class : tuple
            Result of `classify` when it was added.
        now : float
            Current time (seconds, boot clock).
        """
        self._started.add(service_class, 1.0, now)

    def is_underserved(self, service_class, now):
        """Return whether too few requests of a class were started.

        Parameters
        ----------
        service_class : tuple
            Result of `classify`.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        expected = MIN_SERVICE_SHARE * self._asked.find_share(service_class)
        expected *= self._started.find_total(now)
        started = self._started.find_amount(service_class, now)
        return started + MIN_SHORTFALL < expected
