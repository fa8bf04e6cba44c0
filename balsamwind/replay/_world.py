"""Simulated platform, engines and nodes of a control path replay."""

import asyncio
import dataclasses
import random

from balsamwind import objects
from balsamwind import ports as ports_package
from balsamwind.replay import _engines
from balsamwind.replay import _invariants
from balsamwind.replay import _loop
from balsamwind.replay import _network
from balsamwind.replay import _node
from balsamwind.replay import _platform
from balsamwind import settings as settings_package

START_TIME = 1767225600.0
"""Wall-clock time at the start, 2026-01-01T00:00:00Z (seconds since epoch)."""

CHECK_INTERVAL = 0.25
"""Virtual time between two checks of the invariants (seconds)."""

DEFAULT_SETTINGS = {
    'listen': {'callers': ':0', 'operators': ':0', 'peers': ':0'},
    'platform': {'url': 'http://memory', 'timeout': 1.0},
    'placement': {
        'load_time': _engines.LOAD_TIME,
        'cached_load_time': _engines.CACHED_LOAD_TIME,
    },
}
"""Settings of all nodes unless a trace changes them.

They are mandatory settings that a replay does not use, and times that are
shorter than in production.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class ControlTraceHeader:
    """First line of a trace of the control path.

    Parameters
    ----------
    trace : str
        Kind of the trace, ``control``.
    name : str
        Short description of the scenario.
    nodes : dict of str to str
        Node -> data centre.
    vms : dict of str to dict of str to int
        Data centre -> fabric domain -> VMs (count).
    seed : int
        Seed of the random number generators.
    settings : dict of str to dict
        Section -> settings that differ from the defaults of a replay.
    """

    trace: str
    name: str
    nodes: dict[str, str]
    vms: dict[str, dict[str, int]]
    seed: int = 0
    settings: dict[str, dict] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class NodePorts:
    """Ports of one simulated node.

    Parameters
    ----------
    store : MemoryPlatformPorts
        Port to the object store, the VM list and the weight store.
    engines : MemoryEngines
        Port to the engines.
    clock : VirtualClock
        Clock port.
    """

    store: object
    engines: object
    clock: object


class SimulatedCluster:
    """Platform, engines and nodes under one virtual clock.

    Parameters
    ----------
    header : ControlTraceHeader
        Nodes, VMs, settings and seed.
    loop : VirtualLoop
        Event loop that runs the nodes.

    Attributes
    ----------
    clock : VirtualClock
        Clock of all nodes.
    network : Network
        Simulated network.
    invariants : InvariantChecker
        Safety invariants and their violations so far.
    platform : MemoryPlatform
        Simulated platform.
    engines : dict of str to MemoryEngine
        Address -> engine.
    nodes : dict of str to ReplayNode
        Name -> node, for nodes that have not crashed.
    min_serving_counts : dict of str to int
        Customer -> fewest groups that served at any node that was not paused,
        since the mapping was cleared last (count).
    """

    def __init__(self, header, loop):
        self._header = header
        self._loop = loop
        self._rng = random.Random(header.seed)
        self.clock = _loop.VirtualClock(loop, START_TIME)
        self.network = _network.Network()
        self.invariants = _invariants.InvariantChecker(self)
        self.platform = _platform.MemoryPlatform(self.invariants.check_write)
        self.engines = {}
        self.nodes = {}
        self.min_serving_counts = {}
        self._add_vms()
        for name in header.nodes:
            self.start_node(name)

    def _add_vms(self):
        check_fencing = self._header.settings.get('control', {}).get(
            'engines_check_fencing', True
        )
        for data_centre, domains in self._header.vms.items():
            for domain, count in domains.items():
                for number in range(count):
                    name = f'{domain}-v{number}'
                    listed_vm = ports_package.ListedVm(
                        name, f'{name}:1', data_centre, domain
                    )
                    self.platform.vms[name] = listed_vm
                    self.engines[listed_vm.address] = _engines.MemoryEngine(
                        listed_vm, self.engines, check_fencing
                    )

    def start_node(self, name):
        """Start a node with empty state.

        Parameters
        ----------
        name : str
            Name of a node in the header.
        """
        data_centre = self._header.nodes[name]
        settings_sections = {
            **DEFAULT_SETTINGS,
            'node': {'name': name, 'data_centre': data_centre},
        }
        for section, values in self._header.settings.items():
            settings_sections[section] = {
                **settings_sections.get(section, {}),
                **values,
            }
        settings = objects.decode(settings_package.Settings, settings_sections)
        store = _platform.MemoryPlatformPorts(
            self.platform,
            self.network,
            name,
            data_centre,
            settings.platform.timeout,
            settings.platform.watch_timeout,
        )
        engines = _engines.MemoryEngines(
            self.engines, self.network, name, data_centre
        )
        node = _node.ReplayNode(
            settings,
            NodePorts(store, engines, self.clock),
            self.network,
            self._find_reachable_peers,
            random.Random(self._rng.getrandbits(64)),
        )
        self.nodes[name] = node
        self._loop.call_soon(node.start)

    def crash_node(self, name):
        """Crash a node: it stops without releasing its leases.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.network.resume(name)
        node = self.nodes.pop(name)
        self._loop.run_until_complete(node.stop())

    def _find_reachable_peers(self, node):
        return [
            other
            for name, other in self.nodes.items()
            if other is not node
            and not self.network.is_paused(name)
            and self.network.is_connected(node.data_centre, other.data_centre)
        ]

    def run_until(self, at):
        """Advance virtual time and check the invariants at every tick.

        Parameters
        ----------
        at : float
            Virtual time at which to stop (seconds since the start).
        """
        while self._loop.time() < at:
            duration = min(CHECK_INTERVAL, at - self._loop.time())
            self._loop.run_until_complete(asyncio.sleep(max(duration, 1e-6)))
            self.invariants.check_nodes()
            self._update_min_serving_counts()

    def _update_min_serving_counts(self):
        customers = {group.contract for group in self.list_groups()}
        for customer in customers:
            for node in self.running_nodes():
                count = self.count_serving_groups(node, customer)
                min_count = self.min_serving_counts.get(customer, count)
                self.min_serving_counts[customer] = min(min_count, count)

    def running_nodes(self):
        """List the nodes that are not paused.

        Returns
        -------
        list of ReplayNode
        """
        return [
            node
            for name, node in self.nodes.items()
            if not self.network.is_paused(name)
        ]

    def count_serving_groups(self, node, customer):
        """Count the groups of a customer that a node may send requests to.

        Parameters
        ----------
        node : ReplayNode
            Node whose view of the groups counts.
        customer : str
            Customer of the groups.

        Returns
        -------
        int
        """
        now = self.clock.monotonic()
        models = {
            stored.value.model
            for stored in node.catalogue.list_objects('group')
            if stored.value.contract == customer
        }
        return sum(
            len(node.groups.find_serving_groups(customer, model, now))
            for model in models
        )

    def find_engine(self, vm):
        """Find the engine of a VM.

        Parameters
        ----------
        vm : str
            Name of the VM.

        Returns
        -------
        MemoryEngine
        """
        return next(e for e in self.engines.values() if e.listed_vm.name == vm)

    def list_groups(self, customer=''):
        """List the group records in the store, sorted by name.

        Parameters
        ----------
        customer : str
            Customer of the groups; empty for all customers.

        Returns
        -------
        list of balsamwind.objects.Group
        """
        return sorted(
            (
                stored.value
                for stored in self.platform.items(('group',))
                if customer in ('', stored.value.contract)
            ),
            key=lambda group: group.name,
        )

    def find_lease_holders(self, shard):
        """Find the nodes that regard themselves as holders of a lease.

        Parameters
        ----------
        shard : str
            Shard of the lease.

        Returns
        -------
        list of str
            Names of the nodes.
        """
        now = self.clock.monotonic()
        return [
            name
            for name, node in self.nodes.items()
            if shard in node.controller.shards_held(now)
        ]
