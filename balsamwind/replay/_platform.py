"""The platform in memory: object API, VM list, weight store."""

import asyncio
import contextlib

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.replay import _network

LATENCY = 0.005
"""Time of one call (seconds)."""


class MemoryPlatform:
    """Objects, their history, and the VM list.

    Parameters
    ----------
    listener : callable
        Called with each new version, in the order of revisions.
    """

    __slots__ = (
        '_changed',
        '_history',
        '_listener',
        '_objects',
        'down',
        'revision',
        'vms',
    )

    def __init__(self, listener):
        self._listener = listener
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self.revision = 0
        self.down = False
        self.vms = {}

    def get(self, kind, name):
        """Newest version; None if there is none."""
        return self._objects.get((kind, name))

    def items(self, kinds):
        """All objects of `kinds`."""
        return tuple(
            stored for stored in self._objects.values() if stored.kind in kinds
        )

    def write(self, kind, name, value, expected):
        """Conditional write; None as value deletes."""
        known = self._objects.get((kind, name))
        if (known.revision if known else 0) != expected:
            raise exceptions.Conflict(f'{kind}/{name}', known)
        self.revision += 1
        stored = objects.Stored(kind, name, self.revision, value)
        if value is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[(kind, name)] = stored
        self._history.append(stored)
        self._changed.set()
        self._changed = asyncio.Event()
        self._listener(stored)
        return stored

    def changes(self, kinds, since):
        """Versions after a revision, in order."""
        newer = []
        for stored in reversed(self._history):
            if stored.revision <= since:
                break
            if stored.kind in kinds:
                newer.append(stored)
        return tuple(reversed(newer))

    async def wait(self, timeout):
        """Wait for the next change."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await changed.wait()


class MemoryStore:
    """Object store port of one node, with its faults.

    Parameters
    ----------
    platform : MemoryPlatform
        The platform.
    network : Network
        Cuts, pauses and lost answers.
    node, data_centre : str
        Who calls.
    timeout, watch_timeout : float
        Time-outs of a call and of a watch (seconds).
    """

    def __init__(
        self, platform, network, node, data_centre, timeout, watch_timeout
    ):
        self._platform = platform
        self._network = network
        self._node = node
        self._data_centre = data_centre
        self._timeout = timeout
        self._watch_timeout = watch_timeout

    async def _reach(self):
        await self._network.wait_running(self._node)
        await asyncio.sleep(LATENCY)
        if not self._network.joined(self._data_centre, _network.PLATFORM):
            await asyncio.sleep(self._timeout)
            await self._network.wait_running(self._node)
            raise exceptions.StoreError('time-out')
        if self._platform.down:
            raise exceptions.StoreError('object API answered 503')

    async def _answer(self):
        await asyncio.sleep(LATENCY)
        await self._network.wait_running(self._node)

    async def get(self, kind, name):
        """Read one object; None if there is none."""
        await self._reach()
        stored = self._platform.get(kind, name)
        await self._answer()
        return stored

    async def list(self, kinds):
        """Read all objects of `kinds`."""
        await self._reach()
        snapshot = ports.Snapshot(
            self._platform.revision, self._platform.items(kinds)
        )
        await self._answer()
        return snapshot

    async def put(self, kind, name, value, expected):
        """Write if the object's revision is `expected`."""
        return await self._write(kind, name, value, expected)

    async def delete(self, kind, name, expected):
        """Delete if the object's revision is `expected`."""
        return await self._write(kind, name, None, expected)

    async def _write(self, kind, name, value, expected):
        await self._reach()
        arguments = (kind, name, value, expected)
        delay = self._network.take_delay(self._node)
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._write_late, arguments)
            await asyncio.sleep(self._timeout)
            await self._network.wait_running(self._node)
            raise exceptions.StoreError('time-out')
        try:
            stored = self._platform.write(*arguments)
        finally:
            lost = self._network.take_lost(self._node)
            await self._answer()
        if lost:
            raise exceptions.StoreError('answer lost')
        return stored

    def _write_late(self, arguments):
        try:
            self._platform.write(*arguments)
        except exceptions.Conflict:
            return

    async def watch(self, kinds, since):
        """Wait for changes after revision `since`."""
        await self._reach()
        if since > self._platform.revision:
            raise exceptions.HistoryGone(f'revision {since} is gone')
        if not self._platform.changes(kinds, since):
            await self._platform.wait(self._watch_timeout)
        await self._reach()
        snapshot = ports.Snapshot(
            self._platform.revision, self._platform.changes(kinds, since)
        )
        await self._answer()
        return snapshot

    async def fetch(self):
        """All rows of the VM list."""
        await self._reach()
        return tuple(self._platform.vms.values())

    async def take_ticket(self, model, version):
        """Ask leave to load once; always granted."""
        await self._reach()
        return 0.0
