"""Terms on which a request competes with others for a free slot."""

import dataclasses

from balsamwind.relay import _fingerprint

MAX_PRIORITY = 9
"""Scheduling priority of the least urgent requests at engines."""

MIN_LATENCY_OBJECTIVE = 0.001
"""Distance from 0 of a stated latency objective, as 0 states that there is
none (seconds)."""

KEY_LENGTH = 16
"""Length of the key of a request (hexadecimal digits). 64 bits keep the
thousands of requests that are remembered at a time apart."""


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTerms:
    """Terms on which a request competes with others for a free slot.

    Parameters
    ----------
    rank : int
        Rank of the request; 0 is the most urgent.
    account : str
        Name of the client account; empty if none.
    route : str
        Name of the route.
    objective_at : float or None
        When its latency objective ends (seconds, boot clock); None if it has
        none, and thus does not wait.
    """

    rank: int = 0
    account: str = ''
    route: str = ''
    objective_at: float | None = None

    def find_latency_objective(self, now):
        """Return `RequestRequirements.latency_objective`.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Time (seconds).
        """
        if self.objective_at is None:
            return 0.0
        time_left = self.objective_at - now
        if abs(time_left) < MIN_LATENCY_OBJECTIVE:
            return -MIN_LATENCY_OBJECTIVE
        return time_left


def make_terms(route, account, service, received_at):
    """Make the terms of a request.

    Parameters
    ----------
    route : balsamwind.traffic.Route
        Route of the request.
    account : balsamwind.traffic.ClientAccount or None
        Client account of the caller.
    service : balsamwind.traffic.Service
        Service that the request is sent to.
    received_at : float
        When the request was received (seconds, boot clock).

    Returns
    -------
    RequestTerms
    """
    may_wait = service.engine is not None and route.has_latency_objective
    return RequestTerms(
        route.find_rank(account),
        '' if account is None else account.name,
        route.name,
        received_at + route.latency_objective if may_wait else None,
    )


def make_priority(rank):
    """Make the scheduling priority for an engine from a rank."""
    return min(max(rank, 0), MAX_PRIORITY)


def make_key(fingerprint):
    """Make the key of a request from its fingerprint.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.

    Returns
    -------
    str
    """
    return fingerprint[len(_fingerprint.PREFIX) :][:KEY_LENGTH]
