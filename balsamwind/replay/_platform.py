"""In-memory platform: object store, VM list and weight store."""

import asyncio
import contextlib

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.replay import _network

CALL_LATENCY = 0.005
"""One-way network latency of a simulated call (seconds)."""


class MemoryPlatform:
    """Objects with their history, and the VM list.

    Parameters
    ----------
    on_write : callable
        Called with each new version (`balsamwind.objects.ObjectVersion`), in
        the order of revisions.

    Attributes
    ----------
    revision : int
        Revision of the last write; 0 at the start.
    down : bool
        Whether all calls are refused.
    vms : dict of str to balsamwind.ports.ListedVm
        VM name -> row of the VM list.
    """

    __slots__ = (
        '_change_event',
        '_history',
        '_objects',
        '_on_write',
        'down',
        'revision',
        'vms',
    )

    def __init__(self, on_write):
        self._on_write = on_write
        self._objects = {}
        self._history = []
        self._change_event = asyncio.Event()
        self.revision = 0
        self.down = False
        self.vms = {}

    def get(self, kind, name):
        """Return the newest version of an object.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.

        Returns
        -------
        balsamwind.objects.ObjectVersion or None
            None if the object does not exist.
        """
        return self._objects.get((kind, name))

    def items(self, kinds):
        """Return all objects of some kinds.

        Parameters
        ----------
        kinds : container of str
            Kinds of the objects.

        Returns
        -------
        tuple of balsamwind.objects.ObjectVersion
        """
        return tuple(
            stored for stored in self._objects.values() if stored.kind in kinds
        )

    def write(self, kind, name, value, expected):
        """Write or delete an object if it has an expected revision.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        value : object
            New value; None deletes the object.
        expected : int
            Revision that the object must have; 0 if it must not exist.

        Returns
        -------
        balsamwind.objects.ObjectVersion
            New version.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision.
        """
        current = self._objects.get((kind, name))
        if (current.revision if current else 0) != expected:
            raise exceptions.Conflict(f'{kind}/{name}', current)
        self.revision += 1
        stored = objects.ObjectVersion(kind, name, self.revision, value)
        if value is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[(kind, name)] = stored
        self._history.append(stored)
        self._change_event.set()
        self._change_event = asyncio.Event()
        self._on_write(stored)
        return stored

    def changes(self, kinds, since):
        """Return the versions that were written after a revision.

        Parameters
        ----------
        kinds : container of str
            Kinds of the objects.
        since : int
            Revision after which versions are returned.

        Returns
        -------
        tuple of balsamwind.objects.ObjectVersion
            Versions in the order of their revisions.
        """
        newer_versions = []
        for stored in reversed(self._history):
            if stored.revision <= since:
                break
            if stored.kind in kinds:
                newer_versions.append(stored)
        return tuple(reversed(newer_versions))

    async def wait(self, timeout):
        """Wait until the next write or a timeout.

        Parameters
        ----------
        timeout : float
            Longest wait (seconds).
        """
        change_event = self._change_event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await change_event.wait()


class MemoryPlatformPorts:
    """Ports of one node to the in-memory platform.

    Implements the ports of the object store, the VM list and the weight
    store. Calls are subject to the faults of the network.

    Parameters
    ----------
    platform : MemoryPlatform
        Platform that serves the calls.
    network : Network
        Partitions, pauses, lost answers and delayed writes.
    node : str
        Name of the node that calls.
    data_centre : str
        Data centre of the node.
    timeout : float
        Timeout of a call that gets no answer (seconds).
    watch_timeout : float
        Longest wait of a watch for a change (seconds).
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

    async def _send_request(self):
        await self._network.wait_until_resumed(self._node)
        await asyncio.sleep(CALL_LATENCY)
        if not self._network.is_connected(
            self._data_centre, _network.PLATFORM
        ):
            await asyncio.sleep(self._timeout)
            await self._network.wait_until_resumed(self._node)
            raise exceptions.StoreError('time-out')
        if self._platform.down:
            raise exceptions.StoreError('object API answered 503 (outage)')

    async def _receive_answer(self):
        await asyncio.sleep(CALL_LATENCY)
        await self._network.wait_until_resumed(self._node)

    async def get(self, kind, name):
        """Read one object.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.

        Returns
        -------
        balsamwind.objects.ObjectVersion or None
            None if the object does not exist.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The platform is unreachable or down.
        """
        await self._send_request()
        stored = self._platform.get(kind, name)
        await self._receive_answer()
        return stored

    async def list(self, kinds):
        """Read all objects of some kinds.

        Parameters
        ----------
        kinds : container of str
            Kinds of the objects.

        Returns
        -------
        balsamwind.ports.Snapshot

        Raises
        ------
        balsamwind.exceptions.StoreError
            The platform is unreachable or down.
        """
        await self._send_request()
        snapshot = ports.Snapshot(
            self._platform.revision, self._platform.items(kinds)
        )
        await self._receive_answer()
        return snapshot

    async def put(self, kind, name, value, expected):
        """Write an object if it has an expected revision.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        value : object
            New value.
        expected : int
            Revision that the object must have; 0 if it must not exist.

        Returns
        -------
        balsamwind.objects.ObjectVersion
            New version.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision.
        balsamwind.exceptions.StoreError
            No answer arrived; the write may have taken effect.
        """
        return await self._write_object(kind, name, value, expected)

    async def delete(self, kind, name, expected):
        """Delete an object if it has an expected revision.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        expected : int
            Revision that the object must have.

        Returns
        -------
        balsamwind.objects.ObjectVersion
            Version that records the deletion.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision.
        balsamwind.exceptions.StoreError
            No answer arrived; the deletion may have taken effect.
        """
        return await self._write_object(kind, name, None, expected)

    async def _write_object(self, kind, name, value, expected):
        await self._send_request()
        arguments = (kind, name, value, expected)
        delay = self._network.take_write_delay(self._node)
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._apply_delayed_write, arguments)
            await asyncio.sleep(self._timeout)
            await self._network.wait_until_resumed(self._node)
            raise exceptions.StoreError('time-out')
        try:
            stored = self._platform.write(*arguments)
        finally:
            answer_lost = self._network.take_lost_answer(self._node)
            await self._receive_answer()
        if answer_lost:
            raise exceptions.StoreError(
                'write applied, but its answer was lost'
            )
        return stored

    def _apply_delayed_write(self, arguments):
        try:
            self._platform.write(*arguments)
        except exceptions.Conflict:
            return

    async def watch(self, kinds, since):
        """Wait for changes after a revision.

        Parameters
        ----------
        kinds : container of str
            Kinds of the objects.
        since : int
            Last revision that the caller knows.

        Returns
        -------
        balsamwind.ports.Snapshot
            Changes after `since`; empty if the watch timed out.

        Raises
        ------
        balsamwind.exceptions.HistoryGone
            The store has not reached the revision `since`.
        balsamwind.exceptions.StoreError
            The platform is unreachable or down.
        """
        await self._send_request()
        if since > self._platform.revision:
            raise exceptions.HistoryGone(
                f'revision {since} is newer than the store'
            )
        if not self._platform.changes(kinds, since):
            await self._platform.wait(self._watch_timeout)
        await self._send_request()
        snapshot = ports.Snapshot(
            self._platform.revision, self._platform.changes(kinds, since)
        )
        await self._receive_answer()
        return snapshot

    async def fetch(self):
        """Fetch the VM list.

        Returns
        -------
        tuple of balsamwind.ports.ListedVm

        Raises
        ------
        balsamwind.exceptions.StoreError
            The platform is unreachable or down.
        """
        await self._send_request()
        return tuple(self._platform.vms.values())

    async def take_ticket(self, model, version):
        """Request permission for one load of weights, which is always granted.

        Parameters
        ----------
        model, version : str
            Model and version to load.

        Returns
        -------
        float
            Time to wait before the next request (seconds); 0 grants the load.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The platform is unreachable or down.
        """
        await self._send_request()
        return 0.0
