"""Limits that backend servers state, with what this node sent under them."""

import dataclasses

MAX_SERVERS = 1024
"""Servers whose limits are remembered (count)."""


@dataclasses.dataclass(slots=True)
class _StatedLimit:
    rate_limit: float
    since: float
    answers: int = 0


class StatedLimits:
    """Follows the limits that answers of backend servers state."""

    __slots__ = ('_limits',)

    def __init__(self):
        self._limits = {}

    def record(self, record, rate_limit, now):
        """Record what an answer states.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        rate_limit : float or None
            Requests that it takes from all nodes (per second); None if it
            states no limit.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        (float, int) or None
            Time for which another limit was in force (seconds), and answers
            under it (count); None if nothing has changed.
        """
        key = (record.server_id, record.born)
        known = self._limits.get(key)
        if known is not None and known.rate_limit == rate_limit:
            known.answers += 1
            return None
        if known is None and rate_limit is None:
            return None
        if rate_limit is None:
            del self._limits[key]
        elif known is not None or len(self._limits) < MAX_SERVERS:
            self._limits[key] = _StatedLimit(rate_limit, now, 1)
        return (
            (0.0, 0) if known is None else (now - known.since, known.answers)
        )
