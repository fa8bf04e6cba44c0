"""Simulated network: partitions, paused nodes, lost and delayed writes."""

import asyncio

PLATFORM = 'platform'
"""Name of the platform as an endpoint of a partition."""


class Network:
    """Partitions between endpoints and faults of nodes.

    An endpoint is a data centre or the platform. The messages of a paused
    node are held back at the sender: the node sends nothing, and what it was
    about to send leaves when the node is resumed.
    """

    __slots__ = (
        '_lost_answer_counts',
        '_nodes_without_engines',
        '_partitions',
        '_paused_nodes',
        '_resume_event',
        '_write_delays',
    )

    def __init__(self):
        self._partitions = set()
        self._nodes_without_engines = set()
        self._paused_nodes = set()
        self._resume_event = asyncio.Event()
        self._lost_answer_counts = {}
        self._write_delays = {}

    def partition(self, first, second):
        """Partition two endpoints from each other.

        Parameters
        ----------
        first, second : str
            Names of the endpoints.
        """
        self._partitions.add(frozenset((first, second)))

    def heal(self, first, second):
        """Remove the partition between two endpoints.

        Parameters
        ----------
        first, second : str
            Names of the endpoints.
        """
        self._partitions.discard(frozenset((first, second)))

    def is_connected(self, first, second):
        """Whether two endpoints can exchange messages.

        Parameters
        ----------
        first, second : str
            Names of the endpoints.

        Returns
        -------
        bool
        """
        return frozenset((first, second)) not in self._partitions

    def set_engines_unreachable(self, node, unreachable):
        """Set whether all engines are unreachable from a node.

        Parameters
        ----------
        node : str
            Name of the node.
        unreachable : bool
            Whether the node can reach no engine.
        """
        (
            self._nodes_without_engines.add
            if unreachable
            else self._nodes_without_engines.discard
        )(node)

    def reaches_engines(self, node):
        """Whether a node can reach engines that no partition separates.

        Parameters
        ----------
        node : str
            Name of the node.

        Returns
        -------
        bool
        """
        return node not in self._nodes_without_engines

    def pause(self, node):
        """Suspend a node as SIGSTOP does.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        self._paused_nodes.add(node)

    def resume(self, node):
        """Resume a paused node.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        self._paused_nodes.discard(node)
        self._resume_event.set()
        self._resume_event = asyncio.Event()

    def is_paused(self, node):
        """Whether a node is paused.

        Parameters
        ----------
        node : str
            Name of the node.

        Returns
        -------
        bool
        """
        return node in self._paused_nodes

    async def wait_until_resumed(self, node):
        """Wait until a node is not paused; return at once if it is not.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        while node in self._paused_nodes:
            await self._resume_event.wait()

    def lose_answers(self, node, answer_count):
        """Lose the answers to a node's next writes, which still take effect.

        Parameters
        ----------
        node : str
            Name of the node.
        answer_count : int
            Further answers to lose (count).
        """
        self._lost_answer_counts[node] = (
            self._lost_answer_counts.get(node, 0) + answer_count
        )

    def take_lost_answer(self, node):
        """Use up one lost answer of a node, if there is one.

        Parameters
        ----------
        node : str
            Name of the node that wrote.

        Returns
        -------
        bool
            Whether the answer to this write is lost.
        """
        if not self._lost_answer_counts.get(node):
            return False
        self._lost_answer_counts[node] -= 1
        return True

    def delay_write(self, node, seconds):
        """Delay one of a node's next writes.

        Delays are used in the order in which they were added, one a write.

        Parameters
        ----------
        node : str
            Name of the node.
        seconds : float
            Delay until the write takes effect (seconds).
        """
        self._write_delays.setdefault(node, []).append(seconds)

    def take_write_delay(self, node):
        """Use up the next write delay of a node.

        Parameters
        ----------
        node : str
            Name of the node that writes.

        Returns
        -------
        float
            Delay of this write (seconds); 0 if none is left.
        """
        delays = self._write_delays.get(node)
        return delays.pop(0) if delays else 0.0
