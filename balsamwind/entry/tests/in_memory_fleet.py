"""Entries in one process, connected by links without sockets."""

import asyncio
import random

import structlog

from balsamwind import adapters
from balsamwind import entry as entry_package
from balsamwind.entry import _observer
from balsamwind.entry import _peering
from balsamwind.entry import _platform_sync
from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports
from balsamwind import settings as settings_package


class FakeClock:
    """Clock whose time is set by the test."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    def time(self):
        return self.now


class FakeEngine:
    """Returns a fixed report for each address, or raises an exception."""

    def __init__(self):
        self.reports = {}

    async def report(self, address, timeout):
        report = self.reports[address]
        if isinstance(report, Exception):
            raise report
        return report


class FakeLinks:
    """Delivers frames at once to the connected nodes of a fleet."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node
        self.frames = []

    def abort_silent_links(self):
        """Do nothing; links without sockets are never silent."""

    def broadcast(
        self, *messages, data_centre=None, own_data_centre_messages=None
    ):
        self.frames.append(messages)
        for other in self._fleet.find_connected(self._node):
            receiver_data_centre = other.hello.data_centre
            if data_centre in (None, receiver_data_centre):
                is_own = receiver_data_centre == self._node.hello.data_centre
                frame = (
                    own_data_centre_messages
                    if is_own and own_data_centre_messages
                    else messages
                )
                self._fleet.deliver(self._node, other, frame)

    def send(self, name, *messages):
        for other in self._fleet.find_connected(self._node):
            if other.hello.node == name:
                self._fleet.deliver(self._node, other, messages)


class Node:
    """One entry with its peering, observer and platform loops."""

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
        self.store_watcher = _platform_sync.StoreWatcher(self.entry, None, rng)
        self.vm_list_poller = _platform_sync.VmListPoller(
            self.entry, None, rng
        )
        self.peering = _peering.Peering(
            self.entry,
            self.observer,
            self.store_watcher,
            self.vm_list_poller,
        )

    def list_store(self, revision, *items):
        """Apply a list of the store; whether it was followed."""
        return self.entry.catalogue.apply_list(
            ports.Snapshot(revision, items),
            objects.WATCHED_KINDS,
            self.entry.clock.monotonic(),
        )

    def serves(self, group):
        """Whether the node considers all members of a group ready."""
        entry = self.entry
        now = entry.clock.monotonic()
        return not membership.check_group(
            group, entry.observations, entry.groups.listed_vms, now
        )


class Fleet:
    """Nodes that share a clock and engines, with links that can be cut.

    Parameters
    ----------
    **nodes : str
        Name of a node -> its data centre.
    """

    def __init__(self, **nodes):
        self.clock = FakeClock()
        self.engine = FakeEngine()
        self.isolated_nodes = set()
        self.nodes = {
            name: Node(self, name, data_centre)
            for name, data_centre in nodes.items()
        }

    def __getitem__(self, name):
        return self.nodes[name]

    def find_connected(self, node):
        """List the nodes that `node` has a link to."""
        if node.hello.node in self.isolated_nodes:
            return []
        return [
            other
            for name, other in self.nodes.items()
            if other is not node and name not in self.isolated_nodes
        ]

    def deliver(self, sender, receiver, messages):
        """Encode a frame, decode it and pass its messages on."""
        for message in peers.decode_frame(peers.encode_frame(messages)):
            receiver.peering.on_message(sender.hello, message)

    def connect(self):
        """Open the links between all nodes that are not isolated."""
        for node in self.nodes.values():
            for other in self.find_connected(node):
                first_messages = node.peering.on_connect(other.hello)
                self.deliver(node, other, first_messages)

    def isolate(self, name):
        """Cut all links of a node."""
        node = self.nodes[name]
        others = self.find_connected(node)
        self.isolated_nodes.add(name)
        for other in others:
            other.peering.on_disconnect(node.hello)
            node.peering.on_disconnect(other.hello)

    def rejoin(self, name):
        """Reconnect an isolated node."""
        self.isolated_nodes.discard(name)
        self.connect()

    def send_heartbeats(self, seconds=1.0):
        """Advance the clock, then send the heartbeat of every node."""
        self.clock.now += seconds
        for node in self.nodes.values():
            node.peering.send_heartbeat()

    async def poll_engines(self):
        """Poll the assigned VMs of every node."""
        for node in self.nodes.values():
            node.observer.run_round()
        for _ in range(5):
            await asyncio.sleep(0)


def make_poll_error(sent=False):
    """Error of a poll that got no report.

    Parameters
    ----------
    sent : bool
        False if the connection was refused; True if the VM did not answer.
    """
    return exceptions.TransportError('down', sent=sent)
