"""Objects in memory, from lists, watches, peers and own writes."""


class Catalogue:
    """The newest known version of every object.

    Versions are store revisions, which only grow, so stale lists, stale
    watch answers and slow peers can be merged in any order: the larger
    revision wins, and a deletion is a version like any other.
    """

    __slots__ = (
        '_entries',
        '_kinds',
        '_listeners',
        '_revision',
        '_sorted',
        'restored',
    )

    def __init__(self):
        self._entries = {}
        self._kinds = {}
        self._sorted = {}
        self._revision = 0
        self._listeners = []
        self.restored = False

    @property
    def revision(self):
        """Store revision up to which all changes are known."""
        return self._revision

    def listen(self, listener):
        """Call `listener(stored)` after each change."""
        self._listeners.append(listener)

    def apply(self, stored, now):
        """Take in one version of an object.

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
        known = self._entries.get(stored.key)
        if known is not None and known[0].revision >= stored.revision:
            return False
        self._keep(stored, now)
        for listener in self._listeners:
            listener(stored)
        return True

    def _keep(self, stored, now):
        self._entries[stored.key] = (stored, now)
        existing = self._kinds.setdefault(stored.kind, {})
        if stored.deleted:
            existing.pop(stored.name, None)
        else:
            existing[stored.name] = stored
        self._sorted.pop(stored.kind, None)

    def apply_changes(self, snapshot, now):
        """Take in the answer of a watch."""
        for stored in snapshot.items:
            self.apply(stored, now)
        self._advance(snapshot.revision)

    def apply_list(self, snapshot, kinds, now):
        """Take in a complete list of `kinds`.

        An object that the list lacks was deleted, unless it is newer than
        the list.
        """
        if snapshot.revision < self._revision:
            self.restored = True
            return
        self.restored = False
        listed = {stored.key for stored in snapshot.items}
        for stored in snapshot.items:
            self.apply(stored, now)
        for stored, _ in list(self._entries.values()):
            missing = stored.kind in kinds and stored.key not in listed
            if missing and stored.revision <= snapshot.revision:
                self._keep(
                    type(stored)(
                        stored.kind, stored.name, snapshot.revision, None
                    ),
                    now,
                )
        self._advance(snapshot.revision)

    def apply_from_peer(self, since, revision, items, now):
        """Take in what a peer knows after store revision `since`."""
        for stored in items:
            self.apply(stored, now)
        if self._revision >= since:
            self._advance(revision)

    def changes_since(self, revision):
        """Versions newer than a store revision, deletions included."""
        return tuple(
            stored
            for stored, _ in self._entries.values()
            if stored.revision > revision
        )

    def _advance(self, revision):
        self._revision = max(self._revision, revision)

    def get(self, kind, name):
        """Newest version; None if unknown or deleted."""
        entry = self._entries.get((kind, name))
        if entry is None or entry[0].deleted:
            return None
        return entry[0]

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
        return 0.0 if entry is None else now - entry[1]

    def items(self, kind):
        """All objects of `kind` that exist, sorted by name; a tuple."""
        known = self._sorted.get(kind)
        if known is None:
            existing = self._kinds.get(kind, {})
            known = tuple(existing[name] for name in sorted(existing))
            self._sorted[kind] = known
        return known
