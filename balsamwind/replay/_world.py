"""All that a replay of the control path runs over."""

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

EPOCH = 1767225600.0
"""Time of day at the start: 2026-01-01T00:00:00Z (seconds since the epoch)."""

TICK = 0.25
"""Time between two checks of the invariants (seconds)."""

SETTINGS = {
    'listen': {'callers': ':0', 'operators': ':0', 'peers': ':0'},
    'platform': {'url': 'http://memory', 'timeout': 1.0},
    'placement': {
        'load_time': _engines.LOAD_TIME,
        'cached_load_time': _engines.START_TIME,
    },
}
"""Settings that a replay has no use for, or that are shorter in it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Header:
    """First line of a trace of the control path.

    Parameters
    ----------
    trace : str
        ``control``.
    name : str
        What the trace is about.
    seed : int
        Seed of all that is random.
    nodes : dict of str to str
        Node -> data centre.
    vms : dict of str to dict of str to int
        Data centre -> fabric domain -> VMs (count).
    settings : dict of str to dict
        Sections of the settings to change.
    """

    trace: str
    name: str
    nodes: dict[str, str]
    vms: dict[str, dict[str, int]]
    seed: int = 0
    settings: dict[str, dict] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class NodePorts:
    """Ports of one node.

    Parameters
    ----------
    store : MemoryStore
        Object store, VM list and weight store.
    engines : MemoryEngines
        Engines.
    clock : VirtualClock
        Time.
    """

    store: object
    engines: object
    clock: object


class World:
    """Platform, engines and nodes under one virtual clock.

    Parameters
    ----------
    header : Header
        What there is.
    loop : VirtualLoop
        Runs it.
    """

    def __init__(self, header, loop):
        self._header = header
        self._loop = loop
        self._rng = random.Random(header.seed)
        self.clock = _loop.VirtualClock(loop, EPOCH)
        self.network = _network.Network()
        self.invariants = _invariants.Invariants(self)
        self.platform = _platform.MemoryPlatform(self.invariants.on_write)
        self.engines = {}
        self.nodes = {}
        self.least = {}
        self._add_vms()
        for name in header.nodes:
            self.start_node(name)

    def _add_vms(self):
        engines_check = self._header.settings.get('control', {}).get(
            'engines_check_fencing', True
        )
        for data_centre, domains in self._header.vms.items():
            for domain, count in domains.items():
                for number in range(count):
                    name = f'{domain}-v{number}'
                    row = ports_package.ListedVm(
                        name, f'{name}:1', data_centre, domain
                    )
                    self.platform.vms[name] = row
                    self.engines[row.address] = _engines.MemoryEngine(
                        row, self.engines, engines_check
                    )

    def start_node(self, name):
        """Start a node that knows nothing yet."""
        place = self._header.nodes[name]
        sections = {**SETTINGS, 'node': {'name': name, 'data_centre': place}}
        for section, values in self._header.settings.items():
            sections[section] = {**sections.get(section, {}), **values}
        settings = objects.decode(settings_package.Settings, sections)
        store = _platform.MemoryStore(
            self.platform,
            self.network,
            name,
            place,
            settings.platform.timeout,
            settings.platform.watch_timeout,
        )
        engines = _engines.MemoryEngines(
            self.engines, self.network, name, place
        )
        node = _node.ReplayNode(
            settings,
            NodePorts(store, engines, self.clock),
            self.network,
            self._peers_of,
            random.Random(self._rng.getrandbits(64)),
        )
        self.nodes[name] = node
        self._loop.call_soon(node.start)

    def crash_node(self, name):
        """End a node as a crash does."""
        self.network.resume(name)
        node = self.nodes.pop(name)
        self._loop.run_until_complete(node.stop())

    def _peers_of(self, node):
        return [
            other
            for name, other in self.nodes.items()
            if other is not node
            and not self.network.paused(name)
            and self.network.joined(node.data_centre, other.data_centre)
        ]

    def run_until(self, at):
        """Let time pass, and check the invariants all along."""
        while self._loop.time() < at:
            wait = min(TICK, at - self._loop.time())
            self._loop.run_until_complete(asyncio.sleep(max(wait, 1e-6)))
            self.invariants.on_tick()
            self._count_least()

    def _count_least(self):
        customers = {group.contract for group in self.groups()}
        for customer in customers:
            for node in self.running():
                count = self.count_serving(node, customer)
                least = self.least.get(customer, count)
                self.least[customer] = min(least, count)

    def running(self):
        """Nodes that are not paused."""
        return [
            node
            for name, node in self.nodes.items()
            if not self.network.paused(name)
        ]

    def count_serving(self, node, customer):
        """Groups of a customer that may serve, as a node sees it."""
        now = self.clock.monotonic()
        models = {
            stored.value.model
            for stored in node.catalogue.items('group')
            if stored.value.contract == customer
        }
        return sum(
            len(node.groups.serving(customer, model, now)) for model in models
        )

    def engine(self, vm):
        """Engine of a VM."""
        return next(e for e in self.engines.values() if e.row.name == vm)

    def groups(self, customer=''):
        """Group records of a customer, or all, by name."""
        return sorted(
            (
                stored.value
                for stored in self.platform.items(('group',))
                if customer in ('', stored.value.contract)
            ),
            key=lambda group: group.name,
        )

    def holders(self, shard):
        """Names of the nodes that hold the lease of a shard now."""
        now = self.clock.monotonic()
        return [
            name
            for name, node in self.nodes.items()
            if shard in node.controller.shards_held(now)
        ]
