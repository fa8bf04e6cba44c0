"""How often one request was sent, and which of the sends were paid for."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Repeats:
    """Sends of one request.

    Parameters
    ----------
    sent : int
        Attempts of which any byte may have been sent (count).
    paid : int
        Those that the retry budget has paid for (count).
    refused : int
        Further attempts that the retry budget did not pay for (count).
    runs : int
        Attempts that may have run (count).
    max_runs : int
        Runs that the route allows (count).
    """

    sent: int = 0
    paid: int = 0
    refused: int = 0
    runs: int = 0
    max_runs: int = 1

    @property
    def by_payment(self):
        """Repeats by who paid (dict of str to int)."""
        unpaid = self.sent - 1 - self.paid
        return {
            'paid': self.paid,
            'unpaid': max(0, unpaid),
            'refused': self.refused,
        }

    @property
    def is_excess(self):
        """Whether the request may have run more often than is allowed."""
        return self.runs > self.max_runs

    def record_attempt(self, is_sent, is_paid):
        """Count an attempt that has ended.

        Parameters
        ----------
        is_sent : bool
            Whether any byte of it may have been sent.
        is_paid : bool
            Whether the retry budget has paid for it.
        """
        if is_sent:
            self.sent += 1
            self.paid += is_paid
