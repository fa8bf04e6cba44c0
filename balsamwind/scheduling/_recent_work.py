"""Work that was recently asked for, by name."""

import math

DECAY_TIME = 5.0
"""Time after which asked work counts 1/e of its amount (seconds)."""

RESCALE_TIME = 20.0 * DECAY_TIME
"""Time after which the amounts are scaled again (seconds).

They grow by exp(20) in it, far from the range of a float.
"""

MIN_FRACTION = 1e-6
"""Fraction of the total below which a name is forgotten at a rescale."""

MIN_OBSERVED_TIME = 2.0
"""Shortest time that a rate is computed over (seconds).

Over less, the first requests after a start look like lasting overload.
"""


class RecentWork:
    """Exponentially decaying sums of work.

    Notes
    -----
    Amounts are stored multiplied by exp(age of the origin / decay time), so
    that old ones need no update and shares are quotients of stored values.
    """

    __slots__ = ('_amounts', '_first_at', '_origin', '_total')

    def __init__(self):
        self._amounts = {}
        self._total = 0.0
        self._origin = None
        self._first_at = None

    def add(self, name, work, now):
        """Add work.

        Parameters
        ----------
        name : hashable
            Who asks for it.
        work : float
            Work (seconds of slot time).
        now : float
            Current time (seconds, boot clock).
        """
        if self._origin is None:
            self._origin = self._first_at = now
        elif now - self._origin > RESCALE_TIME:
            self._rescale(now)
        scaled = work * math.exp((now - self._origin) / DECAY_TIME)
        self._amounts[name] = self._amounts.get(name, 0.0) + scaled
        self._total += scaled

    def find_share(self, name):
        """Return the share of a name in the work of all.

        Parameters
        ----------
        name : hashable
            Who asks for work.

        Returns
        -------
        float
            From 0 to 1.
        """
        if not self._total:
            return 0.0
        return self._amounts.get(name, 0.0) / self._total

    def find_amount(self, name, now):
        """Return the decayed sum of a name.

        Parameters
        ----------
        name : hashable
            Who asks for work.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Work (seconds of slot time).
        """
        amount = self._amounts.get(name)
        if not amount:
            return 0.0
        return amount * math.exp((self._origin - now) / DECAY_TIME)

    def find_total(self, now):
        """Return the decayed sum of all names.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Work (seconds of slot time).
        """
        if not self._total:
            return 0.0
        return self._total * math.exp((self._origin - now) / DECAY_TIME)

    def find_rate(self, name, now):
        """Return the work that a name asks for in a second.

        Parameters
        ----------
        name : hashable
            Who asks for work.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Work (seconds of slot time per second).
        """
        amount = self.find_amount(name, now)
        if not amount:
            return 0.0
        observed = max(MIN_OBSERVED_TIME, now - self._first_at)
        return amount / (DECAY_TIME * (1.0 - math.exp(-observed / DECAY_TIME)))

    def find_weight(self, name):
        """Return half an equal share plus half the share of a name.

        A large account so gets at least half of its proportional share, and
        a small one at least half of an equal share.

        Parameters
        ----------
        name : hashable
            Who asks for work.

        Returns
        -------
        float
            Over 0, up to 1.
        """
        return 0.5 / max(1, len(self._amounts)) + 0.5 * self.find_share(name)

    def _rescale(self, now):
        factor = math.exp((self._origin - now) / DECAY_TIME)
        least = self._total * MIN_FRACTION
        self._amounts = {
            name: amount * factor
            for name, amount in self._amounts.items()
            if amount >= least
        }
        self._total = sum(self._amounts.values())
        self._origin = now
