"""Objects in memory, from lists, watches, peers and own writes."""

import dataclasses

from balsamwind.catalogue import _store_guard
from balsamwind import objects
from balsamwind import ports

TOMBSTONE_AGE = 600.0
"""Time for which a deletion is remembered (seconds)."""

MAX_TOMBSTONES = 5000
"""Deletions remembered at most (count)."""


OPERATORS_KIND = 'contract'
"""Kind that only operators write, and that nothing deletes."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    """Newest known version of one object."""

    stored: objects.Stored
    seen_at: float
    from_store: bool


class Catalogue:
    """The newest known version of every object.

    Versions are store revisions, which only grow, so stale lists, stale
    watch answers and slow peers can be merged in any order: the larger
    revision wins, and a deletion is a version like any other. Deletions are
    forgotten in time: as all changes up to the revision are known, an older
    version of an unknown object is one that was deleted since.
    """

    __slots__ = (
        '_entries',
        '_floor',
        '_guard',
        '_kinds',
        '_listeners',
        '_revision',
        '_sorted',
        '_unreadable',
    )

    def __init__(self):
        self._entries = {}
        self._kinds = {}
        self._sorted = {}
        self._revision = 0
        self._floor = 0
        self._guard = _store_guard.StoreGuard()
        self._unreadable = set()
        self._listeners = []

    @property
    def revision(self):
        """Store revision up to which all changes are known."""
        return self._revision

    @property
    def floor(self):
        """Store revision up to which deletions may be unknown here."""
        return self._floor

    @property
    def epoch(self):
        """Number of the store's history that is followed."""
        known = self.value('epoch', objects.EPOCH_NAME)
        return 0 if known is None else known.number

    @property
    def store_state(self):
        """How the store compares with what is known; a `StoreState`."""
        return self._guard.state

    @property
    def store_reason(self):
        """What in the store contradicts what is known."""
        return self._guard.reason

    @property
    def restored(self):
        """Whether the store may have been restored from an older state."""
        return self._guard.state is not _store_guard.StoreState.CURRENT

    @property
    def unreadable(self):
        """Keys whose newest version could not be decoded, sorted."""
        return sorted(self._unreadable)

    @property
    def tombstones(self):
        """Deletions remembered (count)."""
        return sum(e.stored.deleted for e in self._entries.values())

    def listen(self, listener):
        """Call `listener(stored)` after each change."""
        self._listeners.append(listener)

    def apply(self, stored, now):
        """Take in one version of an object, as the store answered it.

        Parameters
        ----------
        stored : balsamwind.objects.Stored
            The version.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
            Whether it was newer than the known version.
        """
        return self._take(stored, now, True)

    def _take(self, stored, now, from_store, trusted=False):
        if stored.revision <= self._revision and not trusted:
            return False
        known = self._entries.get(stored.key)
        if known is not None:
            if known.stored.revision > stored.revision:
                return False
            if known.stored.revision == stored.revision and (
                known.from_store or not from_store or known.stored == stored
            ):
                return False
        self._keep(_Entry(stored, now, from_store))
        for listener in self._listeners:
            listener(stored)
        return True

    def _keep(self, entry):
        stored = entry.stored
        self._entries[stored.key] = entry
        self._unreadable.discard(stored.key)
        existing = self._kinds.setdefault(stored.kind, {})
        if stored.deleted:
            existing.pop(stored.name, None)
        else:
            existing[stored.name] = stored
        self._sorted.pop(stored.kind, None)

    def apply_changes(self, snapshot, now, since=None):
        """Take in the answer of a watch.

        Parameters
        ----------
        snapshot : balsamwind.ports.Snapshot
            The answer.
        now : float
            Monotonic time (seconds).
        since : int or None
            Store revision that the watch asked from.

        Returns
        -------
        bool
            Whether the next watch may go on from here; if not, list.
        """
        if self.restored or (since is not None and snapshot.revision < since):
            return False
        if _find_epoch(snapshot.items, self.epoch) != self.epoch:
            return False
        for stored in snapshot.items:
            self._take(stored, now, True)
        self._unreadable.update(snapshot.unreadable)
        self._advance(snapshot.revision)
        return True

    def apply_list(self, snapshot, kinds, now):
        """Take in a complete list of `kinds`.

        An object that the list lacks was deleted, unless it is newer than
        the list. A list that does not go on from what is known is not
        followed.

        Returns
        -------
        bool
            Whether it was followed.
        """
        epoch = _find_epoch(snapshot.items, 0)
        if epoch > self.epoch:
            self._drop_history(snapshot, now)
        elif epoch < self.epoch or snapshot.revision < self._revision:
            self._guard.note_behind(now)
            return False
        reason = self._find_contradiction(snapshot, now)
        if reason:
            self._guard.note_diverged(reason)
        if self._guard.state is _store_guard.StoreState.DIVERGED:
            return False
        self._guard.note_current()
        self._unreadable = set(snapshot.unreadable)
        for stored in snapshot.items:
            self._take(stored, now, True, trusted=True)
        self._delete_missing(snapshot, kinds, now, trusted=True)
        self._skip_to(snapshot.revision)
        return True

    def _find_contradiction(self, snapshot, now):
        """What in a list can't follow from what is known."""
        for stored in snapshot.items:
            known = self._entries.get(stored.key)
            if known is None:
                continue
            name = '/'.join(stored.key)
            if stored.revision < known.stored.revision <= snapshot.revision:
                return f'{name}: older version in a newer list'
            same = known.stored.revision == stored.revision
            if same and known.from_store and known.stored != stored:
                return f'{name}: other content at revision {stored.revision}'
        if self._guard.was_behind_long(now):
            missing = self._missing(snapshot, (OPERATORS_KIND,))
            if missing:
                name = '/'.join(missing[0].key)
                return f'{name}: gone after the store was behind'
        return ''

    def _missing(self, snapshot, kinds):
        """Known objects that a list lacks and should hold."""
        listed = {s.key for s in snapshot.items if not s.deleted}
        listed.update(snapshot.unreadable)
        return [
            entry.stored
            for entry in self._entries.values()
            if not entry.stored.deleted
            and entry.stored.kind in kinds
            and entry.stored.key not in listed
            and entry.stored.revision <= snapshot.revision
        ]

    def _delete_missing(self, snapshot, kinds, now, trusted=False):
        for stored in self._missing(snapshot, kinds):
            tombstone = objects.Stored(
                stored.kind, stored.name, snapshot.revision, None
            )
            self._take(tombstone, now, False, trusted)

    def _drop_history(self, snapshot, now):
        """Forget what came from the store's former history."""
        listed = {stored.key for stored in snapshot.items}
        gone = [
            entry.stored
            for entry in self._entries.values()
            if not entry.stored.deleted and entry.stored.key not in listed
        ]
        self._entries = {}
        self._kinds = {}
        self._sorted = {}
        self._revision = 0
        self._floor = 0
        self._guard.reset()
        for stored in gone:
            tombstone = objects.Stored(
                stored.kind, stored.name, snapshot.revision, None
            )
            self._take(tombstone, now, False)

    def apply_from_peer(self, since, revision, items, now, complete=True):
        """Take in what a peer knows after store revision `since`.

        Parameters
        ----------
        since, revision : int
            The items are all versions after the first and up to the second.
        items : sequence of balsamwind.objects.Stored
            Versions, deletions included.
        now : float
            Monotonic time (seconds).
        complete : bool
            Whether the peer could read all versions; then, if `since` is 0,
            what the items lack was deleted.

        Returns
        -------
        bool
            Whether it was followed.
        """
        epoch = _find_epoch(items, self.epoch if since else 0)
        whole = ports.Snapshot(revision, tuple(items))
        if epoch < self.epoch or (epoch > self.epoch and since > 0):
            return False
        if epoch > self.epoch:
            self._drop_history(whole, now)
        for stored in items:
            self._take(stored, now, False)
        if since == 0 and complete:
            self._delete_missing(whole, objects.WATCHED_KINDS, now)
        if since == 0:
            self._skip_to(revision)
        elif self._revision >= since:
            self._advance(revision)
        return True

    def changes_since(self, revision):
        """Versions newer than a store revision, deletions included."""
        return tuple(
            entry.stored
            for entry in self._entries.values()
            if entry.stored.revision > revision
        )

    def start_of_changes(self, revision):
        """Where changes for a node at `revision` have to start.

        0, which means all that is known, if deletions after `revision` may
        be unknown here.
        """
        return 0 if revision < self._floor else revision

    def prune(self, revision, now):
        """Forget old deletions that all nodes have taken in.

        Parameters
        ----------
        revision : int
            Store revision that all living nodes have reached.
        now : float
            Monotonic time (seconds).
        """
        bound = min(revision, self._revision)
        old = sorted(
            (entry.stored.revision, entry.seen_at, entry.stored.key)
            for entry in self._entries.values()
            if entry.stored.deleted and entry.stored.revision <= bound
        )
        excess = self.tombstones - MAX_TOMBSTONES
        for place, (version, seen_at, key) in enumerate(old):
            if place >= excess and now - seen_at < TOMBSTONE_AGE:
                continue
            del self._entries[key]
            self._floor = max(self._floor, version)

    def _skip_to(self, revision):
        """Advance without having seen the deletions on the way."""
        if revision > self._revision:
            self._floor = revision
        self._advance(revision)

    def _advance(self, revision):
        self._revision = max(self._revision, revision)

    def get(self, kind, name):
        """Newest version; None if unknown or deleted."""
        entry = self._entries.get((kind, name))
        if entry is None or entry.stored.deleted:
            return None
        return entry.stored

    def value(self, kind, name):
        """Data class of the newest version; None if there is none."""
        stored = self.get(kind, name)
        return None if stored is None else stored.value

    def expected(self, kind, name):
        """Revision to state in a conditional update (0: no object)."""
        stored = self.get(kind, name)
        return 0 if stored is None else stored.revision

    def age(self, stored, now):
        """Time since this version was first seen here (seconds)."""
        entry = self._entries.get(stored.key)
        return 0.0 if entry is None else now - entry.seen_at

    def items(self, kind):
        """All objects of `kind` that exist, sorted by name; a tuple."""
        known = self._sorted.get(kind)
        if known is None:
            existing = self._kinds.get(kind, {})
            known = tuple(existing[name] for name in sorted(existing))
            self._sorted[kind] = known
        return known


def _find_epoch(items, default):
    """Epoch that some versions name; `default` if none of them does."""
    for stored in items:
        if stored.kind == 'epoch' and stored.value is not None:
            return stored.value.number
    return default
