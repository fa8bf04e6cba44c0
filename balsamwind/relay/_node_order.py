"""Order of the nodes, which all of them find alike without a message."""

import math

import xxhash

FOLLOW_TIME = 3.0
"""Time until a further node follows the first one, and until their number has
doubled each time (seconds). It covers a crash and the news of it."""


class NodeOrder:
    """Place of this node among all nodes, another one for each matter.

    Attributes
    ----------
    name : str
        Name of this node; empty until it is set.
    """

    __slots__ = ('_names', 'name')

    def __init__(self):
        self.name = ''
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
        self.name = name
        self._names = tuple(names)

    def find_trial_delay(self, part, crashes):
        """Find how long after the end of a quarantine this node waits.

        All nodes know of the end at the same moment, and callers come at all
        of them. If each let one request through, as many engines might crash
        as there are nodes. So one node comes first, and the more time has
        passed without news, the more nodes follow.

        Parameters
        ----------
        part : str
            The part.
        crashes : int
            Crashes that count against it (count).

        Returns
        -------
        float
            Time (seconds).
        """
        matter = f'{part}\n{crashes}'
        own = _draw(self.name, matter)
        rank = sum(_draw(name, matter) < own for name in self._names)
        return FOLLOW_TIME * math.log2(1 + rank)


def _draw(name, matter):
    text = f'{name}\n{matter}'
    return xxhash.xxh3_64_intdigest(text.encode('utf-8', 'surrogateescape'))
