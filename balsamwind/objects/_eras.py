"""Eras of a store that may come back from an older copy."""

from balsamwind import exceptions
from balsamwind.objects import _checks

ERA_BITS = 40
"""Bits of a revision number below those of its era."""

MAX_ERA_DIGITS = 4
"""Digits of the largest era (count)."""


class StoreEras:
    """Eras that the answers of a store have stated.

    A store that comes back from an older copy begins a new era and gives out
    its revisions again. Revisions of this class carry their era in the upper
    bits, so that later ones are larger across eras; one of an earlier era
    fits nothing any more.

    Attributes
    ----------
    newest : int
        Highest era that an answer has stated; 0 if none has.
    on_change : callable
        Called with the era before and the one that an answer states, if they
        differ; a lower one is that of a stale answer, None is unreadable.
    """

    __slots__ = ('newest', 'on_change')

    def __init__(self):
        self.newest = 0
        self.on_change = lambda previous, era: None

    def check(self, text):
        """Note the era of an answer; one without a readable era fits any.

        Parameters
        ----------
        text : str
            Era as the answer states it; empty if it states none.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The answer is of an earlier era.
        """
        if not text:
            return
        is_readable = (
            text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
        )
        era = int(text) if is_readable else None
        if era == self.newest:
            return
        if era is None:
            self.on_change(self.newest, None)
            return
        previous, self.newest = self.newest, max(era, self.newest)
        if previous:
            self.on_change(previous, era)
        if era < previous:
            raise exceptions.StoreError(f'answer of the earlier era {era}')

    def find_number(self, revision):
        """Return a revision as the store counts it; None if it is void.

        Parameters
        ----------
        revision : int
            Revision with its era.
        """
        era, number = divmod(revision, 1 << ERA_BITS)
        return number if era in (0, self.newest) else None

    def add_to(self, number):
        """Return a revision with the newest era.

        Parameters
        ----------
        number : object
            Revision as the store has sent it.

        Raises
        ------
        balsamwind.exceptions.MalformedValue
            It is no revision.
        """
        number = _checks.check_integer(number, 'revision', least=0)
        return (self.newest << ERA_BITS) + number
