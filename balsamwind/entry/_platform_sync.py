"""Loops that read the platform's object API and its VM list.

One node of each data centre, the platform reader, reads the platform and
sends the changes to the other nodes of its data centre. The other nodes
read the platform themselves while the reader fails to.
"""

import asyncio

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import peers

MIN_RETRY_DELAY = 0.5
"""Shortest delay before a failed call of the platform is retried
(seconds)."""

MAX_RETRY_DELAY = 5.0
"""Longest delay before a failed call of the platform is retried
(seconds)."""

NON_READER_DELAY_FACTOR = 3.0
"""Retry delay of a node that is not the platform reader, as a multiple of
the reader's (ratio)."""

ROLE_CHECK_INTERVAL = 0.5
"""Time between checks whether this node should watch the store (seconds)."""

UNREAD_AGE = 1e9
"""Age of a VM list that has never been read (seconds)."""

FULL_READ_INTERVAL = 600.0
"""Longest time after which a node reads the whole VM list itself, also if
it is not the platform reader (seconds)."""


class _Backoff:
    """Exponential backoff with jitter between failed calls.

    Parameters
    ----------
    rng : random.Random
        Source of jitter.
    """

    __slots__ = ('_delay', '_rng')

    def __init__(self, rng):
        self._rng = rng
        self._delay = MIN_RETRY_DELAY

    def reset(self):
        """Return to the shortest delay."""
        self._delay = MIN_RETRY_DELAY

    async def wait(self, is_reader):
        """Sleep before the next attempt and double the delay.

        Parameters
        ----------
        is_reader : bool
            Whether this node is the platform reader; others wait longer.
        """
        delay = self._delay * (1.0 if is_reader else NON_READER_DELAY_FACTOR)
        self._delay = min(MAX_RETRY_DELAY, self._delay * 2)
        await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))


class StoreWatcher:
    """Keeps the catalogue up to date by a list and repeated watches.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry whose catalogue is updated.
    store : balsamwind.ports.ObjectStore
        The platform's object API.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    is_watching : bool
        Whether this node reads the store itself and its last call
        succeeded.
    """

    __slots__ = (
        '_backoff',
        '_entry',
        '_has_list',
        '_store',
        '_unsent_since',
        'is_watching',
    )

    def __init__(self, entry, store, rng):
        self._entry = entry
        self._store = store
        self._backoff = _Backoff(rng)
        self._has_list = False
        self._unsent_since = None
        self.is_watching = False

    async def run(self):
        """Watch the store until cancelled, whenever this node should."""
        while True:
            if not self._should_watch():
                self.is_watching = False
                await asyncio.sleep(ROLE_CHECK_INTERVAL)
            elif not await self._sync_once():
                self.is_watching = False
                self._has_list = False
                await self._backoff.wait(self._entry.is_platform_reader())

    def _should_watch(self):
        """Whether this node has no objects yet or is a store reader."""
        entry = self._entry
        now = entry.clock.monotonic()
        return not entry.catalogue.revision or (
            entry.registry.should_read_store(now)
        )

    async def _sync_once(self):
        """List the store if necessary, then wait for one watch response.

        Returns
        -------
        bool
            Whether the next watch may continue from the revision in force;
            otherwise the store has to be listed again.
        """
        try:
            if not self._has_list:
                await self._list()
            self.is_watching = self._has_list
            return self._has_list and await self._watch()
        except exceptions.BalsamwindError as error:
            self._entry.log.warning('store_unavailable', error=str(error))
        except Exception:
            self._entry.log.exception('store_loop_crashed')
        return False

    async def _list(self):
        """List the store and log a change of its state."""
        entry = self._entry
        snapshot = await self._store.list(objects.WATCHED_KINDS)
        self._unsent_since = None
        previous_state = entry.catalogue.store_state
        self._has_list = entry.catalogue.apply_list(
            snapshot, objects.WATCHED_KINDS, entry.clock.monotonic()
        )
        state = entry.catalogue.store_state
        if state is not previous_state:
            log = entry.log.info if self._has_list else entry.log.error
            log(
                'store_state',
                state=state.value,
                reason=entry.catalogue.store_reason,
                store_revision=snapshot.revision,
                revision=entry.catalogue.revision,
            )

    async def _watch(self):
        """Apply one watch response and send it to the data centre.

        A response with renewed leases only is not sent at once but with
        the next heartbeat.
        """
        entry = self._entry
        since = entry.catalogue.revision
        snapshot = await self._store.watch(objects.WATCHED_KINDS, since)
        can_continue = entry.catalogue.apply_changes(
            snapshot, entry.clock.monotonic(), since
        )
        if can_continue:
            self._backoff.reset()
            if self._unsent_since is None:
                self._unsent_since = since
            if any(stored.kind != 'lease' for stored in snapshot.items):
                data_centre = entry.settings.node.data_centre
                changes = self.pop_unsent_changes()
                entry.links.broadcast(*changes, data_centre=data_centre)
        return can_continue

    def pop_unsent_changes(self):
        """Changes that were not yet sent to the nodes of this data centre.

        The changes are considered sent afterwards. Renewed leases are kept
        back for the next heartbeat, which collects them here.

        Returns
        -------
        list of balsamwind.peers.ObjectChanges
            One message, or none if there are no changes.
        """
        catalogue = self._entry.catalogue
        since, self._unsent_since = self._unsent_since, None
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


class VmListPoller:
    """Keeps the VM list up to date from the platform and from peers.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry whose VM list is updated.
    vm_list : balsamwind.ports.VmList
        The platform's VM list.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = (
        '_backoff',
        '_entry',
        '_last_rows',
        '_next_full_read_at',
        '_read_at',
        '_rng',
        '_vm_list',
    )

    def __init__(self, entry, vm_list, rng):
        self._entry = entry
        self._vm_list = vm_list
        self._rng = rng
        self._backoff = _Backoff(rng)
        self._last_rows = None
        self._read_at = -UNREAD_AGE
        self._next_full_read_at = 0.0

    def age(self, now):
        """Age of the VM list in use (seconds).

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        """
        return min(UNREAD_AGE, now - self._read_at)

    async def run(self):
        """Poll the VM list until cancelled, whenever this node should."""
        interval = self._entry.settings.platform.vm_list_interval
        while True:
            if self._should_read():
                await self._read_once()
            await asyncio.sleep(interval * self._rng.uniform(0.9, 1.1))

    def _should_read(self):
        """Whether the list is stale or due, or this node is the reader."""
        now = self._entry.clock.monotonic()
        return (
            self.age(now) >= peers.VM_LIST_MAX_AGE
            or now >= self._next_full_read_at
            or self._entry.is_platform_reader()
        )

    async def _read_once(self):
        entry = self._entry
        try:
            rows = await self._vm_list.fetch()
        except exceptions.BalsamwindError as error:
            entry.log.warning('vm_list_unavailable', error=str(error))
            await self._backoff.wait(entry.is_platform_reader())
            return
        self._backoff.reset()
        now = entry.clock.monotonic()
        self._next_full_read_at = now + FULL_READ_INTERVAL * (
            self._rng.uniform(0.5, 1)
        )
        self._apply_full_list(rows, now)

    def _apply_full_list(self, rows, read_at):
        """Replace the list; the reader sends what changed to its peers.

        Parameters
        ----------
        rows : tuple of balsamwind.ports.ListedVm
            All rows; the same object as before if nothing changed.
        read_at : float
            Monotonic time at which the platform returned them (seconds).
        """
        entry = self._entry
        if rows is self._last_rows:
            self._read_at = read_at
            return
        self._last_rows = rows
        known = entry.groups.listed_vms
        listed = {row.name: row for row in rows}
        changed = tuple(row for row in rows if known.get(row.name) != row)
        gone = tuple(name for name in known if name not in listed)
        is_first_read = self._read_at == -UNREAD_AGE
        self._read_at = read_at
        if not changed and not gone:
            return
        entry.groups.listed_vms = listed
        entry.groups.invalidate()
        if entry.is_platform_reader() and not is_first_read:
            age = max(0.0, entry.clock.monotonic() - read_at)
            entry.links.broadcast(
                peers.VmListUpdate(changed, gone, False, age),
                data_centre=entry.settings.node.data_centre,
            )

    def apply_vm_rows(self, message, now):
        """Apply a VM list, or changes of it, that a peer sent.

        A complete list is applied only if it is younger than the list in
        use by at least `balsamwind.peers.VM_LIST_MIN_AGE_GAIN`.

        Parameters
        ----------
        message : balsamwind.peers.VmListUpdate
            Message of the peer.
        now : float
            Monotonic time (seconds).
        """
        if message.complete:
            if message.age + peers.VM_LIST_MIN_AGE_GAIN <= self.age(now):
                self._apply_full_list(message.rows, now - message.age)
            return
        self._last_rows = None
        listed = dict(self._entry.groups.listed_vms)
        listed.update({row.name: row for row in message.rows})
        for name in message.gone:
            listed.pop(name, None)
        self._entry.groups.listed_vms = listed
        self._entry.groups.invalidate()

    def confirm_age(self, peer, age, now):
        """Lower the age of this list to the age that the reader reports.

        The list here has received all changes of the reader's list only if
        it was read after the link to the reader came up.

        Parameters
        ----------
        peer : balsamwind.peers.PeerState
            Platform reader of this data centre.
        age : float
            Age of the reader's VM list (seconds).
        now : float
            Monotonic time (seconds).
        """
        if self._read_at >= peer.connected_at:
            self._read_at = max(self._read_at, now - age)
