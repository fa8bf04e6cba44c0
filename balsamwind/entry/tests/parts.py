"""Nodes in one process, joined by links without sockets."""

import asyncio
import random

import structlog

from balsamwind import adapters
from balsamwind import entry as entry_package
from balsamwind.entry import _observer
from balsamwind.entry import _peering
from balsamwind.entry import _platform_follower
from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports
from balsamwind import settings as settings_package


class FakeClock:
    """Time that a test sets."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    def time(self):
        return self.now


class FakeEngine:
    """Reports by address; an exception is raised."""

    def __init__(self):
        self.reports = {}

    async def report(self, address, timeout):
        report = self.reports[address]
        if isinstance(report, Exception):
            raise report
        return report


class FakeLinks:
    """Delivers frames to the other nodes of a fleet, if they are joined."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node
        self.frames = []

    def close_silent(self):
        """Nothing is silent here."""

    def broadcast(self, *messages, data_centre=None, own_data_centre=None):
        self.frames.append(messages)
        for other in self._fleet.joined(self._node):
            place = other.hello.data_centre
            if data_centre in (None, place):
                own = place == self._node.hello.data_centre
                frame = (
                    own_data_centre if own and own_data_centre else messages
                )
                self._fleet.deliver(self._node, other, frame)

    def send(self, name, *messages):
        for other in self._fleet.joined(self._node):
            if other.hello.node == name:
                self._fleet.deliver(self._node, other, messages)


class Node:
    """One entry with its peering and observer."""

    def __init__(self, fleet, name, data_centre):
        settings = settings_package.check_settings(
            {
                'node': {'name': name, 'data_centre': data_centre},
                'listen': {
                    'callers': 'h:1',
                    'operators': 'h:2',
                    'peers': 'h:3',
                },
                'platform': {'url': 'http://h:4'},
            }
        )
        rng = random.Random(name)
        log = structlog.get_logger()
        metrics = adapters.Metrics()
        self.hello = peers.Hello(name, data_centre, 'i')
        self.entry = entry_package.Entry(
            settings, fleet.clock, fleet.engine, None, None, metrics, log, 1
        )
        self.entry.links = FakeLinks(fleet, self)
        self.observer = _observer.Observer(self.entry, fleet.engine, rng)
        self.store = _platform_follower.StoreFollower(self.entry, None, rng)
        self.vms = _platform_follower.VmListFollower(self.entry, None, rng)
        self.peering = _peering.Peering(
            self.entry, self.observer, self.store, self.vms
        )

    def list_store(self, revision, *items):
        """Take in a list of the store."""
        return self.entry.catalogue.apply_list(
            ports.Snapshot(revision, items),
            objects.WATCHED_KINDS,
            self.entry.clock.monotonic(),
        )

    def serves(self, group):
        """Whether the node holds a group for complete."""
        entry = self.entry
        now = entry.clock.monotonic()
        return not membership.check_group(
            group, entry.observations, entry.groups.listed, now
        )


class Fleet:
    """Nodes, their clock, and who can reach whom."""

    def __init__(self, **nodes):
        self.clock = FakeClock()
        self.engine = FakeEngine()
        self.cut = set()
        self.nodes = {n: Node(self, n, place) for n, place in nodes.items()}

    def __getitem__(self, name):
        return self.nodes[name]

    def joined(self, node):
        """Nodes that `node` has a link to."""
        if node.hello.node in self.cut:
            return []
        return [
            other
            for name, other in self.nodes.items()
            if other is not node and name not in self.cut
        ]

    def deliver(self, sender, receiver, messages):
        """Hand over a frame, through its encoding."""
        for message in peers.decode_frame(peers.encode_frame(messages)):
            receiver.peering.on_message(sender.hello, message)

    def connect(self):
        """Open all links that are not cut."""
        for node in self.nodes.values():
            for other in self.joined(node):
                first = node.peering.on_connect(other.hello)
                self.deliver(node, other, first)

    def isolate(self, name):
        """Cut a node off."""
        node = self.nodes[name]
        others = self.joined(node)
        self.cut.add(name)
        for other in others:
            other.peering.on_disconnect(node.hello)
            node.peering.on_disconnect(other.hello)

    def rejoin(self, name):
        """End a cut."""
        self.cut.discard(name)
        self.connect()

    def beat(self, seconds=1.0):
        """Let time pass, then let every node send its heartbeat."""
        self.clock.now += seconds
        for node in self.nodes.values():
            node.peering.beat()

    async def observe(self):
        """Let every node poll its VMs."""
        for node in self.nodes.values():
            node.observer.run_round()
        for _ in range(5):
            await asyncio.sleep(0)


def make_down(sent=False):
    """What a poll of a dead VM raises."""
    return exceptions.TransportError('down', sent=sent)
