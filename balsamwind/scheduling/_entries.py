"""A ticket in the queue, with what the queue decided about it."""

import math


class Entry:
    """Place of a ticket in the queue.

    Parameters
    ----------
    ticket : Ticket
        Ticket.
    number : int or float
        Unique number in the order of adding; infinite for a ticket that is
        only asked about.
    start_by : float
        Latest start with which it meets its objective, counted from its
        first try (seconds, boot clock).
    returned : bool
        Whether it comes back at a time that it was promised.
    promise : Promise or None
        Promise that it takes up.
    service_class : tuple or None
        Route and size class, see `ServiceShares`.
    is_underserved : bool
        Whether its class precedes others within its account.

    Attributes
    ----------
    flow : Flow or None
        Flow in which it waits.
    """

    __slots__ = (
        'flow',
        'order',
        'promise',
        'returned',
        'service_class',
        'start_by',
        'ticket',
    )

    def __init__(
        self,
        ticket,
        number=math.inf,
        start_by=None,
        returned=False,
        promise=None,
        service_class=None,
        is_underserved=False,
    ):
        self.ticket = ticket
        self.start_by = ticket.start_by if start_by is None else start_by
        self.returned = returned
        self.promise = promise
        self.service_class = service_class
        self.flow = None
        # Order within an account. The number is unique, so that entries
        # themselves are never compared.
        precedence = 0 if returned else 1 if is_underserved else 2
        self.order = (precedence, self.start_by, number, self)

    @property
    def number(self):
        """Unique number in the order of adding (int)."""
        return self.order[2]

    def is_late(self, now):
        """Return whether it belongs to the class of the late ones.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return self.returned or self.start_by < now
