"""Who reaches whom in a replay, and which process runs."""

import asyncio

PLATFORM = 'platform'
"""Place of the platform, as the end of a cut."""


class Network:
    """Cuts between places, and pauses of nodes.

    A message is held back where it leaves: a paused node sends nothing, and
    what it was about to send leaves when it is resumed.
    """

    __slots__ = ('_blind', '_cuts', '_late', '_lost', '_paused', '_resumed')

    def __init__(self):
        self._cuts = set()
        self._blind = set()
        self._paused = set()
        self._resumed = asyncio.Event()
        self._lost = {}
        self._late = {}

    def cut(self, first, second):
        """Cut two places from each other."""
        self._cuts.add(frozenset((first, second)))

    def heal(self, first, second):
        """Join two places again."""
        self._cuts.discard(frozenset((first, second)))

    def joined(self, first, second):
        """Whether messages pass between two places."""
        return frozenset((first, second)) not in self._cuts

    def blind(self, node, blind):
        """Say whether a node reaches no engine."""
        (self._blind.add if blind else self._blind.discard)(node)

    def sees_engines(self, node):
        """Whether a node reaches engines at all."""
        return node not in self._blind

    def pause(self, node):
        """Stop a node where it is."""
        self._paused.add(node)

    def resume(self, node):
        """Let a paused node go on."""
        self._paused.discard(node)
        self._resumed.set()
        self._resumed = asyncio.Event()

    def paused(self, node):
        """Whether a node is paused."""
        return node in self._paused

    async def wait_running(self, node):
        """Wait while a node is paused."""
        while node in self._paused:
            await self._resumed.wait()

    def lose_answers(self, node, count):
        """Lose the answers of a node's next writes, after their effect."""
        self._lost[node] = self._lost.get(node, 0) + count

    def take_lost(self, node):
        """Whether the answer of this write of a node is lost."""
        if not self._lost.get(node):
            return False
        self._lost[node] -= 1
        return True

    def delay_write(self, node, seconds):
        """Deliver a node's next write late."""
        self._late.setdefault(node, []).append(seconds)

    def take_delay(self, node):
        """How late this write of a node arrives (seconds)."""
        late = self._late.get(node)
        return late.pop(0) if late else 0.0
