"""Order in which nodes try a part again when its quarantine is over.

All nodes know of the end of a quarantine at the same moment, and callers come
at all of them. If each let one request through, as many engines might crash
as there are nodes. So one node comes first, and the more time has passed
without news, the more nodes follow.
"""

import math

import xxhash

FOLLOW_TIME = 3.0
"""Time until a further node follows the first one, and until their number has
doubled each time (seconds). It covers a crash and the news of it."""

MAX_TRIAL_TIME = 5.0
"""Time after which a node lets the next request through if it has not learnt
how the one before ended (seconds)."""


class TrialOrder:
    """Place of this node among those that try a part again."""

    __slots__ = ('_name', '_names')

    def __init__(self):
        self._name = ''
        self._names = ()

    def set_nodes(self, name, names):
        """Set which nodes there are.

        Parameters
        ----------
        name : str
            Name of this node.
        names : iterable of str
            Names of all nodes.
        """
        self._name = name
        self._names = tuple(names)

    def find_delay(self, part, crashes):
        """Find how long after the end of a quarantine this node waits.

        Parameters
        ----------
        part : str
            The part.
        crashes : int
            Crashes that count against it, so that another node comes first
            each time (count).

        Returns
        -------
        float
            Time (seconds); the nodes agree on their order.
        """
        own = _draw(self._name, part, crashes)
        rank = sum(_draw(name, part, crashes) < own for name in self._names)
        return FOLLOW_TIME * math.log2(1 + rank)


def _draw(name, part, crashes):
    """Draw a number that all nodes draw alike, without order (int)."""
    text = f'{name}\n{part}\n{crashes}'
    return xxhash.xxh3_64_intdigest(text.encode('utf-8', 'surrogateescape'))
