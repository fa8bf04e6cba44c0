"""Loops that follow the platform's object API and its VM list.

One node of each data centre follows the platform and tells the others of
its data centre what changed; the others take over when it does not manage.
"""

import asyncio

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import peers

RETRY_DELAY = 0.5
"""Shortest wait before the platform is asked again (seconds)."""

MAX_RETRY_DELAY = 5.0
"""Longest wait before the platform is asked again (seconds)."""

OTHERS_SHARE = 3.0
"""How much longer a node waits whose part it is not (ratio)."""

ROLE_INTERVAL = 0.5
"""Time between checks of whose part it is (seconds)."""

NEVER = 1e9
"""Age of a VM list that was never read (seconds)."""

FULL_READ_INTERVAL = 600.0
"""Time after which every node reads the whole VM list itself (seconds)."""


class _Backoff:
    """Waits between failed calls, longer each time, with jitter."""

    __slots__ = ('_delay', '_rng')

    def __init__(self, rng):
        self._rng = rng
        self._delay = RETRY_DELAY

    def reset(self):
        """Start again with the shortest wait."""
        self._delay = RETRY_DELAY

    async def wait(self, chosen):
        """Wait before the next try."""
        delay = self._delay * (1.0 if chosen else OTHERS_SHARE)
        self._delay = min(MAX_RETRY_DELAY, self._delay * 2)
        await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))


class StoreFollower:
    """Follows the object API by a list and watches.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Whose catalogue is kept.
    store : balsamwind.ports.ObjectStore
        The object API.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = (
        '_backoff',
        '_entry',
        '_listed',
        '_store',
        '_told',
        'reading',
    )

    def __init__(self, entry, store, rng):
        self._entry = entry
        self._store = store
        self._backoff = _Backoff(rng)
        self._listed = False
        self._told = None
        self.reading = False

    async def run(self):
        """Follow the store until cancelled."""
        while True:
            if not self._is_wanted():
                self.reading = False
                await asyncio.sleep(ROLE_INTERVAL)
            elif not await self._try_once():
                self.reading = False
                self._listed = False
                await self._backoff.wait(self._entry.is_platform_reader())

    def _is_wanted(self):
        entry = self._entry
        now = entry.clock.monotonic()
        return not entry.catalogue.revision or (
            entry.registry.is_store_reader(now)
        )

    async def _try_once(self):
        """List if need be, then wait for changes; whether that went well."""
        try:
            if not self._listed:
                await self._list()
            self.reading = self._listed
            return self._listed and await self._watch()
        except exceptions.BalsamwindError as error:
            self._entry.log.warning('store_unavailable', error=str(error))
        except Exception:
            self._entry.log.exception('store_loop_crashed')
        return False

    async def _list(self):
        entry = self._entry
        snapshot = await self._store.list(objects.WATCHED_KINDS)
        self._told = None
        before = entry.catalogue.store_state
        self._listed = entry.catalogue.apply_list(
            snapshot, objects.WATCHED_KINDS, entry.clock.monotonic()
        )
        state = entry.catalogue.store_state
        if state is not before:
            log = entry.log.info if self._listed else entry.log.error
            log(
                'store_state',
                state=state.value,
                reason=entry.catalogue.store_reason,
                store_revision=snapshot.revision,
                revision=entry.catalogue.revision,
            )

    async def _watch(self):
        entry = self._entry
        since = entry.catalogue.revision
        snapshot = await self._store.watch(objects.WATCHED_KINDS, since)
        goes_on = entry.catalogue.apply_changes(
            snapshot, entry.clock.monotonic(), since
        )
        if goes_on:
            self._backoff.reset()
            if self._told is None:
                self._told = since
            if any(stored.kind != 'lease' for stored in snapshot.items):
                place = entry.settings.node.data_centre
                changes = self.take_changes()
                entry.links.broadcast(*changes, data_centre=place)
        return goes_on

    def take_changes(self):
        """What the data centre's other nodes have not been told.

        Renewed leases wait for the next heartbeat, which takes them along.

        Returns
        -------
        list of balsamwind.peers.ObjectChanges
            One, or none.
        """
        catalogue = self._entry.catalogue
        since, self._told = self._told, None
        if since is None or since >= catalogue.revision:
            return []
        return [
            peers.ObjectChanges(
                since,
                catalogue.revision,
                catalogue.changes_since(since),
                not catalogue.unreadable,
            )
        ]


class VmListFollower:
    """Follows the VM list.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Whose list is kept.
    vm_list : balsamwind.ports.VmList
        The VM list.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = (
        '_backoff',
        '_entry',
        '_full_at',
        '_read_at',
        '_rng',
        '_rows',
        '_vms',
    )

    def __init__(self, entry, vm_list, rng):
        self._entry = entry
        self._vms = vm_list
        self._rng = rng
        self._backoff = _Backoff(rng)
        self._rows = None
        self._read_at = -NEVER
        self._full_at = 0.0

    def age(self, now):
        """Age of the list in use (seconds)."""
        return min(NEVER, now - self._read_at)

    async def run(self):
        """Follow the list until cancelled."""
        interval = self._entry.settings.platform.vm_list_interval
        while True:
            if self._is_wanted():
                await self._try_once()
            await asyncio.sleep(interval * self._rng.uniform(0.9, 1.1))

    def _is_wanted(self):
        now = self._entry.clock.monotonic()
        return (
            self.age(now) >= peers.VM_LIST_STALE
            or now >= self._full_at
            or self._entry.is_platform_reader()
        )

    async def _try_once(self):
        entry = self._entry
        try:
            rows = await self._vms.fetch()
        except exceptions.BalsamwindError as error:
            entry.log.warning('vm_list_unavailable', error=str(error))
            await self._backoff.wait(entry.is_platform_reader())
            return
        self._backoff.reset()
        now = entry.clock.monotonic()
        self._full_at = now + FULL_READ_INTERVAL * self._rng.uniform(0.5, 1)
        self._replace(rows, now)

    def _replace(self, rows, read_at):
        """Take a whole list, and tell the data centre what changed."""
        entry = self._entry
        if rows is self._rows:
            self._read_at = read_at
            return
        self._rows = rows
        known = entry.groups.listed
        listed = {row.name: row for row in rows}
        changed = tuple(r for r in rows if known.get(r.name) != r)
        gone = tuple(name for name in known if name not in listed)
        first = self._read_at == -NEVER
        self._read_at = read_at
        if not changed and not gone:
            return
        entry.groups.listed = listed
        entry.groups.invalidate()
        if entry.is_platform_reader() and not first:
            age = max(0.0, entry.clock.monotonic() - read_at)
            entry.links.broadcast(
                peers.VmRows(changed, gone, False, age),
                data_centre=entry.settings.node.data_centre,
            )

    def take(self, message, now):
        """Take in what a peer says of the list."""
        if message.complete:
            if message.age + peers.VM_LIST_GAIN <= self.age(now):
                self._replace(message.rows, now - message.age)
            return
        self._rows = None
        listed = dict(self._entry.groups.listed)
        listed.update({row.name: row for row in message.rows})
        for name in message.gone:
            listed.pop(name, None)
        self._entry.groups.listed = listed
        self._entry.groups.invalidate()

    def hear_reader(self, peer, age, now):
        """Note how old the list of the data centre's reader is.

        Its changes have all come if the list here is younger than the link.
        """
        if self._read_at >= peer.connected_at:
            self._read_at = max(self._read_at, now - age)
