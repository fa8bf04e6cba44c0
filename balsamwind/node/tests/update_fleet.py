"""Nodes of one data centre that tell each other what the store has said.

The real components between the store and the use of its entries, in virtual
time, with paths to the store that fail.
"""

import asyncio
import contextlib
import dataclasses
import types
from unittest import mock

from balsamwind import exceptions
from balsamwind.node import _entry_contact
from balsamwind.node import _leaving_servers
from balsamwind.node import _ranking
from balsamwind.node import _server_watcher
from balsamwind.node import _update_publisher
from balsamwind.node import _update_subscriber
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind import pool
from balsamwind import replay

DRAIN_TIME = 2.0
"""Time within which each node in touch knows what has left (seconds)."""

RESTORE_GRACE = 4.6
"""Time for which nodes distrust a store from an older copy (seconds)."""

RELIST_TIME = 1.2
"""Time until a node reads the list after that (seconds)."""

ERA_SIZE = 1 << 40
"""Revisions of one era (count)."""

NODES = ('n0', 'n1', 'n2', 'n3')
"""Nodes by rank; each may subscribe to those before it."""

SERVER_IDS = tuple(f's{number}' for number in range(6))


class _Store:
    """Entries, their history, and an older copy."""

    def __init__(self):
        self.revision = ERA_SIZE
        self.history_from = self.revision
        self.events = []
        self.entries = {}
        self.removed_at = {}
        self.copy = {}

    def put(self, server_id):
        self.revision += 1
        self._set(
            pool.ServerRecord(
                server_id, 'llm', 'x:1', 'z1', revision=self.revision
            )
        )

    def _set(self, record):
        self.entries[record.server_id] = record
        self.removed_at.pop(record.server_id, None)
        self.events.append(record)

    def remove(self, server_id, now):
        if self.entries.pop(server_id, None) is not None:
            self.revision += 1
            self.removed_at[server_id] = now
            self.events.append(pool.RemovedServer(server_id, self.revision))

    def forget_history(self):
        self.history_from = self.revision
        self.events.clear()

    def restore(self):
        """Come back as an older copy, in a new era."""
        living = set(self.entries)
        era = self.revision // ERA_SIZE + 1
        self.entries = {
            server_id: dataclasses.replace(
                record, revision=era * ERA_SIZE + record.revision % ERA_SIZE
            )
            for server_id, record in self.copy.items()
        }
        self.revision = era * ERA_SIZE + self.revision % ERA_SIZE
        self.forget_history()
        return living


class _Path:
    """Calls of one node to the store."""

    def __init__(self, store, on_era):
        self._store = store
        self._on_era = on_era
        self._era = store.revision // ERA_SIZE
        self.fault = ''

    async def _call(self, timeout):
        await asyncio.sleep(0.004)
        if self.fault == 'silent':
            await asyncio.sleep(timeout)
        if self.fault:
            raise exceptions.StoreError(self.fault)
        era = self._store.revision // ERA_SIZE
        if era != self._era:
            self._era = era
            self._on_era()

    async def list_servers(self, timeout):
        await self._call(timeout)
        return self._store.revision, list(self._store.entries.values())

    async def watch_servers(self, revision, wait, timeout):
        await self._call(timeout)
        while wait > 0.0 and self._store.revision == revision:
            await asyncio.sleep(0.05)
            wait -= 0.05
        await self._call(timeout)
        if revision < self._store.history_from:
            raise exceptions.HistoryGone('forgotten')
        changes = [
            event for event in self._store.events if event.revision > revision
        ]
        return self._store.revision, changes


class _Server:
    """Connections of the subscribers of one node."""

    def __init__(self):
        self.connections = set()

    @property
    def subscriber_count(self):
        return len(self.connections)

    def broadcast(self, frame):
        for connection in self.connections:
            connection.frames.put_nowait(frame)


class _Connection:
    """Connection of a subscriber to a publisher."""

    def __init__(self, publisher):
        self.frames = asyncio.Queue()
        self._session = publisher.open_session(self.frames.put_nowait)

    async def send(self, frame):
        """Take a frame of the subscriber."""
        reply = self._session.handle(frame)
        if reply is not None:
            self.frames.put_nowait(reply)


async def _receive_frame(connection, timeout):
    try:
        return await asyncio.wait_for(connection.frames.get(), timeout)
    except TimeoutError:
        raise exceptions.AnswerTimeout('silent') from None


class _Link:
    """Link of a subscriber to its publisher."""

    features = _updates.FEATURES

    def __init__(self):
        self._connection = None

    def attach(self, connection):
        self._connection = connection

    def detach(self, connection):
        self._connection = None

    def set_features(self, features):
        self.features = features

    def send(self, message):
        if self._connection is not None:
            asyncio.ensure_future(
                self._connection.send(_updates.encode_frame(message))
            )


class _Node:
    """One node, with its real components between the store and its use."""

    def __init__(self, fleet, rank):
        self._fleet = fleet
        clock = fleet.clock
        self.name = NODES[rank]
        self.path = _Path(fleet.store, self._handle_era)
        self.registry = pool.ServerRegistry()
        contact = _entry_contact.EntryContact(self.registry, clock)
        contact.on_grace = self._end_grace_later
        self.publisher = _update_publisher.UpdatePublisher(
            self.registry, None, clock, doubles.Log(), lambda: None
        )
        self.publisher.server = _Server()
        self.publisher.unknown_messages = doubles.make_unknown_messages()
        link = _Link()
        self.leaving_servers = _leaving_servers.LeavingServers(
            self.registry, self.publisher, link, doubles.Log()
        )
        self.publisher.leaving_servers = self.leaving_servers
        unused = types.SimpleNamespace(
            reset=lambda: None, handle_loss=lambda: None, start=lambda: None
        )
        self.subscriber = _update_subscriber.UpdateSubscriber(
            self.name,
            self.registry,
            types.SimpleNamespace(version=0),
            clock,
            doubles.Log(),
            self.publisher.forward,
            2.0,
            DRAIN_TIME,
            link,
            unused,
            False,
            contact,
        )
        self.subscriber.forward_notice = self.publisher.broadcast
        self.subscriber.evidence = self.subscriber.limit_exchange = unused
        self.subscriber.leaving_servers = self.leaving_servers
        self.subscriber.unknown_messages = types.SimpleNamespace(
            open_connection=lambda *names: None
        )
        watcher = _server_watcher.ServerWatcher(
            self.path,
            self.registry,
            clock,
            doubles.Log(),
            lambda: False,
            lambda: False,
            self.subscriber,
            self.publisher,
            contact,
        )
        self.subscriber.set_nodes(
            [_ranking.RegisteredNode(name, name) for name in NODES]
        )
        self._tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (watcher.run(), self.subscriber.run())
        ]
        self.started_at = clock.monotonic()

    def _handle_era(self):
        until = self._fleet.clock.monotonic() + RESTORE_GRACE
        self.registry.start_restore_grace(until)
        self._fleet.unstable_until = until + RELIST_TIME

    def _end_grace_later(self, seconds):
        asyncio.get_running_loop().call_later(
            seconds + 0.01,
            lambda: self.registry.evict_expired(self._fleet.clock.monotonic()),
        )

    @property
    def listed(self):
        """Ids of the servers that this node uses."""
        return {item.server_id for item in self.registry if item.listed}

    def stop(self):
        """End this node."""
        for task in self._tasks:
            task.cancel()


class _Fleet:
    """Nodes of one data centre and their store, in virtual time."""

    def __init__(self, loop):
        self.loop = loop
        self.clock = replay.VirtualClock(loop, 100.0)
        self.store = _Store()
        for server_id in SERVER_IDS:
            self.store.put(server_id)
        self.store.copy = dict(self.store.entries)
        self.nodes = {}
        self.violations = []
        self.unstable_until = 0.0
        self._watch = None

    def start(self):
        """Start all nodes, and watch them."""
        for rank in range(len(NODES)):
            self.start_node(rank)
        self._watch = asyncio.ensure_future(self._check())

    def start_node(self, rank):
        """Start a node, or start it again."""
        if NODES[rank] in self.nodes:
            self.nodes[NODES[rank]].stop()
        self.nodes[NODES[rank]] = _Node(self, rank)

    @contextlib.asynccontextmanager
    async def connect(self, address):
        """Stand in for the connection to a publisher."""
        publisher = self.nodes[address].publisher
        connection = _Connection(publisher)
        frame = publisher._make_first_frame()
        if frame is not None:
            connection.frames.put_nowait(frame)
        publisher.server.connections.add(connection)
        try:
            yield connection
        finally:
            publisher.server.connections.discard(connection)

    async def _check(self):
        """Note the nodes in touch that use what left a while ago."""
        while True:
            await asyncio.sleep(0.05)
            now = self.clock.monotonic()
            for node in list(self.nodes.values())[1:]:
                if now - node.started_at < DRAIN_TIME:
                    continue
                for server_id in node.listed & self.store.removed_at.keys():
                    known_since = max(
                        self.store.removed_at[server_id], self.unstable_until
                    )
                    if now - known_since > DRAIN_TIME:
                        self.violations.append((now, node.name, server_id))

    def restore(self):
        """Let the store come back from an older copy."""
        living = self.store.restore()
        self.unstable_until = self.clock.monotonic() + RESTORE_GRACE
        for number, server_id in enumerate(sorted(living)):
            self.loop.call_later(0.2 * number, self._rewrite, server_id)
        for server_id in set(self.store.entries) - living:
            self.loop.call_later(3.6, self._expire, server_id)

    def _rewrite(self, server_id):
        if server_id not in self.store.removed_at:
            self.store.put(server_id)

    def _expire(self, server_id):
        self.store.remove(server_id, self.clock.monotonic())


@contextlib.contextmanager
def open_fleet():
    with replay.open_virtual_loop() as loop:
        fleet = _Fleet(loop)
        stand_ins = mock.patch.multiple(
            _update_subscriber.adapters,
            open_update_connection=fleet.connect,
            receive_frame=_receive_frame,
        )
        with stand_ins:
            loop.call_soon(fleet.start)
            loop.run_until_complete(asyncio.sleep(3.0))
            yield fleet


def run(fleet, seconds):
    fleet.loop.run_until_complete(asyncio.sleep(seconds))
