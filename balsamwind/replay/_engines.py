"""In-memory engines of the VMs, with faults."""

import asyncio

from balsamwind import exceptions
from balsamwind import ports
from balsamwind.replay import _network
from balsamwind.replay import _platform

LOAD_TIME = 2.0
"""Time to load weights that are not cached on the VM (seconds)."""

CACHED_LOAD_TIME = 0.2
"""Time to load weights that are cached on the VM (seconds)."""

EngineState = ports.EngineState


class MemoryEngine:
    """Simulated engine of one VM.

    Parameters
    ----------
    listed_vm : balsamwind.ports.ListedVm
        Row of the VM in the VM list.
    engines : dict of str to MemoryEngine
        Address -> engine, for all engines.
    check_fencing : bool
        Whether an order whose fencing number is lower than the highest one
        seen is refused.

    Attributes
    ----------
    alive : bool
        Whether the VM runs; it refuses connections otherwise.
    stalled : bool
        Whether the VM accepts connections without answering.
    load_hangs : bool
        Whether loads never finish.
    state : balsamwind.ports.EngineState
        State of the engine on its own, whatever the other members do.
    order : balsamwind.ports.Order or None
        Load order that the engine obeys.
    fencing : int
        Highest fencing number of any order.
    running : int
        Streams that run (count).
    streams_cut : int
        Streams that orders have ended (count). Streams that a fault ended
        are not counted.
    unavailable_since : float or None
        Virtual time at which a fault left the engine unable to serve; None
        if no fault did, or once the engine can serve again (seconds).
    """

    def __init__(self, listed_vm, engines, check_fencing):
        self.listed_vm = listed_vm
        self._engines = engines
        self._check_fencing = check_fencing
        self.alive = True
        self.stalled = False
        self.load_hangs = False
        self.state = EngineState.EMPTY
        self.order = None
        self.fencing = 0
        self.running = 0
        self.streams_cut = 0
        self.unavailable_since = None
        self._cached_weights = set()

    def apply_fault(self, kind, now):
        """Apply a fault to the VM or end one.

        Parameters
        ----------
        kind : str
            ``kill``, ``revive``, ``wipe``, ``stall``, ``go_on`` or ``stuck``;
            see `balsamwind.replay._events.VmFault`.
        now : float
            Virtual time (seconds).
        """
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
                self.state = EngineState.EMPTY
                self._cached_weights = set()
            case 'stall':
                self.stalled = True
            case 'go_on':
                self.stalled = False
            case 'stuck':
                self.load_hangs = True
        is_unavailable = not self.alive or self.stalled or self.order is None
        if not is_unavailable:
            self.unavailable_since = None
        elif self.unavailable_since is None:
            self.unavailable_since = now

    def _cut_streams(self, planned):
        if planned:
            self.streams_cut += self.running
        self.running = 0

    def report(self):
        """Make a load report.

        A ready engine reports ``broken`` while another member of its group
        does not answer or belongs to another group.

        Returns
        -------
        balsamwind.ports.EngineReport
        """
        order = self.order
        state = self.state
        if state is EngineState.READY and not self._all_members_answer():
            state = EngineState.BROKEN
        return ports.EngineReport(
            vm=self.listed_vm.name,
            state=state,
            group=order.group if order else '',
            generation=order.generation if order else 0,
            model=order.model if order else '',
            version=order.version if order else '',
            running=self.running,
            fencing=self.fencing,
            cached=tuple(sorted(self._cached_weights)),
        )

    def _all_members_answer(self):
        for address in self.order.members:
            engine = self._engines.get(address)
            if engine is None or not engine.alive or engine.stalled:
                return False
            if engine.order is None or engine.order.group != self.order.group:
                return False
        return True

    def apply_order(self, order):
        """Apply an order, or refuse it if its fencing number is too low.

        An order to load for the group and generation that the engine already
        has is ignored, and so is an order to unload another group.

        Parameters
        ----------
        order : balsamwind.ports.Order
            Order to load or unload.

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The fencing number is lower than the highest one seen.
        """
        if self._check_fencing and order.fencing < self.fencing:
            raise exceptions.BackendRefused(
                'fencing number of the order is too low', 'old_fencing'
            )
        self.fencing = max(self.fencing, order.fencing)
        if order.kind == 'unload':
            if self.order and self.order.group == order.group:
                self._cut_streams(planned=True)
                self.order = None
                self.state = EngineState.EMPTY
            return
        current = self.order
        if current and (current.group, current.generation) == (
            order.group,
            order.generation,
        ):
            return
        self._cut_streams(planned=True)
        self.order = order
        self.state = EngineState.LOADING
        weights = f'{order.model}@{order.version}'
        load_time = (
            CACHED_LOAD_TIME if weights in self._cached_weights else LOAD_TIME
        )
        asyncio.get_running_loop().call_later(
            load_time, self._finish_load, order
        )

    def _finish_load(self, order):
        if self.order is order and self.alive and not self.load_hangs:
            self._cached_weights.add(f'{order.model}@{order.version}')
            self.state = EngineState.READY
            self.unavailable_since = None


class MemoryEngines:
    """Engine port of one node over the in-memory engines.

    Parameters
    ----------
    engines : dict of str to MemoryEngine
        Address -> engine, for all engines.
    network : Network
        Partitions, pauses and nodes that can reach no engine.
    node : str
        Name of the node that calls.
    data_centre : str
        Data centre of the node.
    """

    def __init__(self, engines, network, node, data_centre):
        self._engines = engines
        self._network = network
        self._node = node
        self._data_centre = data_centre

    async def _connect(self, address, timeout):
        await self._network.wait_until_resumed(self._node)
        await asyncio.sleep(_platform.CALL_LATENCY)
        engine = self._engines[address]
        is_reachable = self._network.is_connected(
            self._data_centre, engine.listed_vm.data_centre
        ) and self._network.reaches_engines(self._node)
        if is_reachable and not engine.alive:
            raise exceptions.TransportError('refused', sent=False)
        if not is_reachable or engine.stalled:
            await asyncio.sleep(timeout)
            await self._network.wait_until_resumed(self._node)
            raise exceptions.TransportError('time-out')
        return engine

    async def report(self, address, timeout):
        """Fetch the load report of an engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        timeout : float
            Timeout of the call (seconds).

        Returns
        -------
        balsamwind.ports.EngineReport

        Raises
        ------
        balsamwind.exceptions.TransportError
            The engine refused the connection or did not answer in time.
        """
        engine = await self._connect(address, timeout)
        return engine.report()

    async def order(self, address, order, timeout):
        """Send an order to an engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        order : balsamwind.ports.Order
            Order to load or unload.
        timeout : float
            Timeout of the call (seconds).

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The fencing number of the order is too low.
        balsamwind.exceptions.TransportError
            The engine refused the connection or did not answer in time.
        """
        engine = await self._connect(address, timeout)
        engine.apply_order(order)


def list_partition_endpoints(data_centres):
    """List the endpoints that a partition can separate.

    Parameters
    ----------
    data_centres : iterable of str
        Names of the data centres.

    Returns
    -------
    tuple of str
        Data centres and the platform.
    """
    return (*data_centres, _network.PLATFORM)
