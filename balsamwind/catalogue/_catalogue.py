"""Cache of objects, fed by lists, watches, peers and own writes."""

import dataclasses

from balsamwind.catalogue import _restore_detector
from balsamwind import objects
from balsamwind import ports

TOMBSTONE_RETENTION = 600.0
"""Time for which a tombstone is kept (seconds)."""

MAX_TOMBSTONES = 5000
"""Number of tombstones above which old ones are discarded early (count)."""


OPERATOR_MANAGED_KIND = 'contract'
"""Kind that only operators write and nothing deletes.

A missing object of this kind therefore indicates a restored store.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    """Newest known version of one object.

    Parameters
    ----------
    stored : balsamwind.objects.ObjectVersion
        The version.
    received_at : float
        Monotonic time at which the version was received (seconds).
    from_store : bool
        Whether the store itself sent the version. False if a peer sent it, or
        if the deletion was inferred from a list.
    """

    stored: objects.ObjectVersion
    received_at: float
    from_store: bool


class ObjectCache:
    """Cache of the newest known version of every object.

    Versions are identified by store revisions, which only increase. Stale
    lists, stale watch responses and messages of slow peers can therefore be
    merged in any order: the version with the larger revision wins, and a
    deletion is a version like any other (a tombstone).

    Tombstones are pruned after some time. The cache has seen all changes up
    to its own revision, so an object that it does not hold, but that arrives
    in a version up to this revision, has been deleted since. Such a version
    is ignored.
    """

    __slots__ = (
        '_compacted_revision',
        '_entries',
        '_listeners',
        '_objects_by_kind',
        '_restore_detector',
        '_revision',
        '_sorted_by_kind',
        '_unreadable_keys',
    )

    def __init__(self):
        self._entries = {}
        self._objects_by_kind = {}
        self._sorted_by_kind = {}
        self._revision = 0
        self._compacted_revision = 0
        self._restore_detector = _restore_detector.RestoreDetector()
        self._unreadable_keys = set()
        self._listeners = []

    @property
    def revision(self):
        """Store revision up to which the cache has seen all changes."""
        return self._revision

    @property
    def compacted_revision(self):
        """Store revision up to which tombstones may be missing.

        Only changes after this revision can be sent to another node as an
        increment.
        """
        return self._compacted_revision

    @property
    def epoch(self):
        """Number of the store epoch that the cached objects belong to."""
        stored_epoch = self.get_value('epoch', objects.EPOCH_NAME)
        return 0 if stored_epoch is None else stored_epoch.number

    @property
    def store_state(self):
        """`StoreState` according to the last list of the store."""
        return self._restore_detector.state

    @property
    def store_reason(self):
        """How the store contradicts the cached objects, or an empty string."""
        return self._restore_detector.reason

    @property
    def possibly_restored(self):
        """Whether the store is behind or diverged (possibly restored)."""
        return (
            self._restore_detector.state
            is not _restore_detector.StoreState.CURRENT
        )

    @property
    def unreadable(self):
        """Keys of the objects that could not be decoded, sorted."""
        return sorted(self._unreadable_keys)

    @property
    def tombstone_count(self):
        """Number of tombstones kept."""
        return sum(entry.stored.deleted for entry in self._entries.values())

    def add_listener(self, listener):
        """Register a callback for changes.

        Parameters
        ----------
        listener : callable
            Called with the new `balsamwind.objects.ObjectVersion` after each
            change.
        """
        self._listeners.append(listener)

    def apply(self, stored, now):
        """Apply one version of an object that the store returned.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            The version.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
            Whether the version was new and has been applied.
        """
        return self._apply_version(stored, now, True)

    def _apply_version(self, stored, now, from_store, accept_old=False):
        """Apply a version unless the cache has it or a newer one.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            The version.
        now : float
            Monotonic time (seconds).
        from_store : bool
            Whether the store itself sent the version. False if a peer sent
            it, or if the deletion was inferred from a list.
        accept_old : bool
            Whether to accept versions up to the revision of the cache, as
            from a complete list of the store.

        Returns
        -------
        bool
            Whether the version was applied.
        """
        if stored.revision <= self._revision and not accept_old:
            return False
        cached = self._entries.get(stored.key)
        if cached is not None:
            if cached.stored.revision > stored.revision:
                return False
            # At the same revision, the store replaces content received from
            # a peer, because an older peer drops fields that it does not know.
            if cached.stored.revision == stored.revision and (
                cached.from_store or not from_store or cached.stored == stored
            ):
                return False
        self._put_entry(_Entry(stored, now, from_store))
        for listener in self._listeners:
            listener(stored)
        return True

    def _put_entry(self, entry):
        stored = entry.stored
        self._entries[stored.key] = entry
        self._unreadable_keys.discard(stored.key)
        objects_by_name = self._objects_by_kind.setdefault(stored.kind, {})
        if stored.deleted:
            objects_by_name.pop(stored.name, None)
        else:
            objects_by_name[stored.name] = stored
        self._sorted_by_kind.pop(stored.kind, None)

    def apply_changes(self, snapshot, now, since=None):
        """Apply the response of a watch.

        Parameters
        ----------
        snapshot : balsamwind.ports.Snapshot
            Response of the watch.
        now : float
            Monotonic time (seconds).
        since : int or None
            Store revision after which the watch requested changes, or None
            if that is not checked.

        Returns
        -------
        bool
            Whether the response was applied and the next watch may continue
            from it. If not, the objects have to be listed.
        """
        if self.possibly_restored or (
            since is not None and snapshot.revision < since
        ):
            return False
        if _find_epoch(snapshot.items, self.epoch) != self.epoch:
            return False
        for stored in snapshot.items:
            self._apply_version(stored, now, True)
        self._unreadable_keys.update(snapshot.unreadable)
        self._advance(snapshot.revision)
        return True

    def apply_list(self, snapshot, kinds, now):
        """Apply a complete list of some kinds of objects.

        An object that is missing from the list was deleted, unless its cached
        version is newer than the list. A list that is behind the cache or
        contradicts it is rejected.

        Parameters
        ----------
        snapshot : balsamwind.ports.Snapshot
            Response of the list.
        kinds : tuple of str
            Kinds that were listed.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
            Whether the list was applied.
        """
        epoch = _find_epoch(snapshot.items, 0)
        if epoch > self.epoch:
            self._discard_history(snapshot, now)
        elif epoch < self.epoch or snapshot.revision < self._revision:
            self._restore_detector.record_behind(now)
            return False
        reason = self._find_contradiction(snapshot, now)
        if reason:
            self._restore_detector.record_diverged(reason)
        if (
            self._restore_detector.state
            is _restore_detector.StoreState.DIVERGED
        ):
            return False
        self._restore_detector.record_current()
        self._unreadable_keys = set(snapshot.unreadable)
        for stored in snapshot.items:
            self._apply_version(stored, now, True, accept_old=True)
        self._delete_missing(snapshot, kinds, now, accept_old=True)
        self._advance_over_gap(snapshot.revision)
        return True

    def _find_contradiction(self, snapshot, now):
        """Describe how a list contradicts the cache; empty if consistent."""
        for stored in snapshot.items:
            cached = self._entries.get(stored.key)
            if cached is None:
                continue
            name = '/'.join(stored.key)
            if stored.revision < cached.stored.revision <= snapshot.revision:
                return f'{name}: a newer list has an older version'
            same_revision = cached.stored.revision == stored.revision
            if same_revision and cached.from_store and cached.stored != stored:
                return f'{name}: content changed at revision {stored.revision}'
        if self._restore_detector.exceeds_replica_lag(now):
            missing = self._find_missing(snapshot, (OPERATOR_MANAGED_KIND,))
            if missing:
                name = '/'.join(missing[0].key)
                return f'{name}: missing after the store was behind'
        return ''

    def _find_missing(self, snapshot, kinds):
        """Find cached objects that a list should contain but does not."""
        listed_keys = {s.key for s in snapshot.items if not s.deleted}
        listed_keys.update(snapshot.unreadable)
        return [
            entry.stored
            for entry in self._entries.values()
            if not entry.stored.deleted
            and entry.stored.kind in kinds
            and entry.stored.key not in listed_keys
            and entry.stored.revision <= snapshot.revision
        ]

    def _delete_missing(self, snapshot, kinds, now, accept_old=False):
        """Apply a tombstone for each object that is missing from a list."""
        for stored in self._find_missing(snapshot, kinds):
            tombstone = objects.ObjectVersion(
                stored.kind, stored.name, snapshot.revision, None
            )
            self._apply_version(tombstone, now, False, accept_old)

    def _discard_history(self, snapshot, now):
        """Discard all objects of the store's former epoch.

        Objects that are missing from `snapshot` get a tombstone, so that the
        listeners learn of their deletion.
        """
        listed_keys = {stored.key for stored in snapshot.items}
        missing = [
            entry.stored
            for entry in self._entries.values()
            if not entry.stored.deleted and entry.stored.key not in listed_keys
        ]
        self._entries = {}
        self._objects_by_kind = {}
        self._sorted_by_kind = {}
        self._revision = 0
        self._compacted_revision = 0
        self._restore_detector.reset()
        for stored in missing:
            tombstone = objects.ObjectVersion(
                stored.kind, stored.name, snapshot.revision, None
            )
            self._apply_version(tombstone, now, False)

    def apply_from_peer(self, since, revision, items, now, complete=True):
        """Apply the versions that a peer sent.

        Parameters
        ----------
        since : int
            Store revision after which `items` start; 0 if the peer sent all
            versions that it has.
        revision : int
            Store revision up to which `items` include all changes.
        items : sequence of balsamwind.objects.ObjectVersion
            Versions, including tombstones.
        now : float
            Monotonic time (seconds).
        complete : bool
            Whether the peer could decode all versions. If so, and if `since`
            is 0, objects that are missing from `items` were deleted.

        Returns
        -------
        bool
            Whether the versions were applied. They are rejected if they
            belong to an older epoch, or to a newer one without being a full
            set.
        """
        epoch = _find_epoch(items, self.epoch if since else 0)
        snapshot = ports.Snapshot(revision, tuple(items))
        if epoch < self.epoch or (epoch > self.epoch and since > 0):
            return False
        if epoch > self.epoch:
            self._discard_history(snapshot, now)
        for stored in items:
            self._apply_version(stored, now, False)
        if since == 0 and complete:
            self._delete_missing(snapshot, objects.WATCHED_KINDS, now)
        if since == 0:
            self._advance_over_gap(revision)
        elif self._revision >= since:
            self._advance(revision)
        return True

    def changes_since(self, revision):
        """Collect all versions after a store revision.

        Parameters
        ----------
        revision : int
            Store revision.

        Returns
        -------
        tuple of balsamwind.objects.ObjectVersion
            Versions, including tombstones.
        """
        return tuple(
            entry.stored
            for entry in self._entries.values()
            if entry.stored.revision > revision
        )

    def find_sync_start(self, revision):
        """Find the revision from which a node needs changes.

        Parameters
        ----------
        revision : int
            Store revision that the node has reached.

        Returns
        -------
        int
            `revision`; or 0, which stands for a full set, if tombstones after
            `revision` may be missing here.
        """
        return 0 if revision < self._compacted_revision else revision

    def prune(self, revision, now):
        """Discard old tombstones that all nodes have applied.

        Parameters
        ----------
        revision : int
            Store revision that all live nodes have reached.
        now : float
            Monotonic time (seconds).
        """
        max_revision = min(revision, self._revision)
        candidates = sorted(
            (entry.stored.revision, entry.received_at, entry.stored.key)
            for entry in self._entries.values()
            if entry.stored.deleted and entry.stored.revision <= max_revision
        )
        excess = self.tombstone_count - MAX_TOMBSTONES
        for index, (deletion_revision, received_at, key) in enumerate(
            candidates
        ):
            if index >= excess and now - received_at < TOMBSTONE_RETENTION:
                continue
            del self._entries[key]
            self._compacted_revision = max(
                self._compacted_revision, deletion_revision
            )

    def _advance_over_gap(self, revision):
        """Advance to a revision without having seen all earlier tombstones."""
        if revision > self._revision:
            self._compacted_revision = revision
        self._advance(revision)

    def _advance(self, revision):
        self._revision = max(self._revision, revision)

    def get(self, kind, name):
        """Get the newest version of an object.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.

        Returns
        -------
        balsamwind.objects.ObjectVersion or None
            None if the object is unknown or deleted.
        """
        entry = self._entries.get((kind, name))
        if entry is None or entry.stored.deleted:
            return None
        return entry.stored

    def get_value(self, kind, name):
        """Get the content of the newest version of an object.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.

        Returns
        -------
        object or None
            Instance of the data class of the kind; None if the object is
            unknown or deleted.
        """
        stored = self.get(kind, name)
        return None if stored is None else stored.value

    def get_expected_revision(self, kind, name):
        """Get the revision that a conditional update has to expect.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.

        Returns
        -------
        int
            Revision of the newest version; 0 if the object is unknown or
            deleted.
        """
        stored = self.get(kind, name)
        return 0 if stored is None else stored.revision

    def age(self, stored, now):
        """Compute the time since the current version was received.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Any version of the object.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        float
            Time since the cached version of the object was received
            (seconds); 0 if there is none.
        """
        entry = self._entries.get(stored.key)
        return 0.0 if entry is None else now - entry.received_at

    def list_objects(self, kind):
        """List the objects_by_name objects of a kind.

        Parameters
        ----------
        kind : str
            Kind of the objects.

        Returns
        -------
        tuple of balsamwind.objects.ObjectVersion
            Newest versions, sorted by name.
        """
        sorted_objects = self._sorted_by_kind.get(kind)
        if sorted_objects is None:
            objects_by_name = self._objects_by_kind.get(kind, {})
            sorted_objects = tuple(
                objects_by_name[name] for name in sorted(objects_by_name)
            )
            self._sorted_by_kind[kind] = sorted_objects
        return sorted_objects


def _find_epoch(items, default):
    """Get the epoch number from some versions, or `default`."""
    for stored in items:
        if stored.kind == 'epoch' and stored.value is not None:
            return stored.value.number
    return default
