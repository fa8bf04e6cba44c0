"""Engines in memory, with what happens to their VMs."""

import asyncio

from balsamwind import exceptions
from balsamwind import ports
from balsamwind.replay import _network
from balsamwind.replay import _platform

LOAD_TIME = 2.0
"""Time to fetch weights that the VM does not hold (seconds)."""

START_TIME = 0.2
"""Time to start with weights that the VM holds (seconds)."""

State = ports.EngineState


class MemoryEngine:
    """Engine of one VM.

    Parameters
    ----------
    row : balsamwind.ports.ListedVm
        The VM.
    fleet : dict of str to MemoryEngine
        All engines by address.
    check_fencing : bool
        Whether an order with an old fencing number is refused.
    """

    def __init__(self, row, fleet, check_fencing):
        self.row = row
        self._fleet = fleet
        self._check_fencing = check_fencing
        self.alive = True
        self.stalled = False
        self.stuck = False
        self.state = State.EMPTY
        self.order = None
        self.fencing = 0
        self.running = 0
        self.streams_cut = 0
        self.dead_since = None
        self._cached = set()

    def fault(self, kind, now):
        """Give the VM a fault."""
        match kind:
            case 'kill':
                self._cut_streams(planned=False)
                self.alive = False
            case 'revive':
                self.alive = True
            case 'wipe':
                self._cut_streams(planned=False)
                self.alive = True
                self.order = None
                self.state = State.EMPTY
                self._cached = set()
            case 'stall':
                self.stalled = True
            case 'go_on':
                self.stalled = False
            case 'stuck':
                self.stuck = True
        down = not self.alive or self.stalled or self.order is None
        if not down:
            self.dead_since = None
        elif self.dead_since is None:
            self.dead_since = now

    def _cut_streams(self, planned):
        if planned:
            self.streams_cut += self.running
        self.running = 0

    def report(self):
        """Load report."""
        order = self.order
        state = self.state
        if state is State.READY and not self._whole():
            state = State.BROKEN
        return ports.EngineReport(
            vm=self.row.name,
            state=state,
            group=order.group if order else '',
            generation=order.generation if order else 0,
            model=order.model if order else '',
            version=order.version if order else '',
            running=self.running,
            fencing=self.fencing,
            cached=tuple(sorted(self._cached)),
        )

    def _whole(self):
        for address in self.order.members:
            engine = self._fleet.get(address)
            if engine is None or not engine.alive or engine.stalled:
                return False
            if engine.order is None or engine.order.group != self.order.group:
                return False
        return True

    def take_order(self, order):
        """Obey an order, or refuse an old one."""
        if self._check_fencing and order.fencing < self.fencing:
            raise exceptions.BackendRefused('old fencing', 'old_fencing')
        self.fencing = max(self.fencing, order.fencing)
        if order.kind == 'unload':
            if self.order and self.order.group == order.group:
                self._cut_streams(planned=True)
                self.order = None
                self.state = State.EMPTY
            return
        known = self.order
        if known and (known.group, known.generation) == (
            order.group,
            order.generation,
        ):
            return
        self._cut_streams(planned=True)
        self.order = order
        self.state = State.LOADING
        weights = f'{order.model}@{order.version}'
        wait = START_TIME if weights in self._cached else LOAD_TIME
        asyncio.get_running_loop().call_later(wait, self._loaded, order)

    def _loaded(self, order):
        if self.order is order and self.alive and not self.stuck:
            self._cached.add(f'{order.model}@{order.version}')
            self.state = State.READY
            self.dead_since = None


class MemoryEngines:
    """Engine port of one node.

    Parameters
    ----------
    fleet : dict of str to MemoryEngine
        All engines by address.
    network : Network
        Cuts and pauses.
    node, data_centre : str
        Who calls.
    """

    def __init__(self, fleet, network, node, data_centre):
        self._fleet = fleet
        self._network = network
        self._node = node
        self._data_centre = data_centre

    async def _reach(self, address, timeout):
        await self._network.wait_running(self._node)
        await asyncio.sleep(_platform.LATENCY)
        engine = self._fleet[address]
        reached = self._network.joined(
            self._data_centre, engine.row.data_centre
        ) and self._network.sees_engines(self._node)
        if reached and not engine.alive:
            raise exceptions.TransportError('refused', sent=False)
        if not reached or engine.stalled:
            await asyncio.sleep(timeout)
            await self._network.wait_running(self._node)
            raise exceptions.TransportError('time-out')
        return engine

    async def report(self, address, timeout):
        """Load report of the engine at `address`."""
        engine = await self._reach(address, timeout)
        return engine.report()

    async def order(self, address, order, timeout):
        """Give an order to the engine at `address`."""
        engine = await self._reach(address, timeout)
        engine.take_order(order)


def cut_ends(data_centres):
    """Names that a cut may join: data centres and the platform."""
    return (*data_centres, _network.PLATFORM)
