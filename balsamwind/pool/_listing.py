"""What the store has said of the backend servers' entries.

Failure pattern: a node that was cut off goes on using entries that the store
lacks, for a moment, and tells others what it uses instead of what the store
has said; or it tells them of changes as they happen, and one that is passed
over is never told. This value is always brought up to date at once, and keeps
what has changed until it has been told.
"""

import dataclasses

import xxhash

from balsamwind.pool import _records

DIGEST_BITS = 48
"""Size of a digest; messages hold integers of up to 53 bits (bits)."""


class StoreListing:
    """Entries that the store has, as far as this node was told."""

    __slots__ = ('_digest', '_news', '_records')

    def __init__(self):
        self._records = {}
        self._news = {}
        self._digest = 0

    def __iter__(self):
        return iter(self._records.values())

    def __len__(self):
        return len(self._records)

    @property
    def digest(self):
        """Digest of the entries' ids and revisions, in any order (int)."""
        return self._digest

    @property
    def changed(self):
        """Entries that are new or have changed (tuple of ServerRecord)."""
        return self._find_news(_records.ServerRecord)

    @property
    def removed(self):
        """Entries that are gone (tuple of RemovedServer)."""
        return self._find_news(_records.RemovedServer)

    def _find_news(self, kind):
        return tuple(
            item for item in self._news.values() if isinstance(item, kind)
        )

    def clear_news(self):
        """Note that all changes so far have been told."""
        self._news.clear()

    def put(self, record):
        """Add or replace an entry, unless a newer one is known.

        Parameters
        ----------
        record : ServerRecord
            Entry that the store has.
        """
        known = self._records.get(record.server_id)
        if known is not None:
            if known.revision > record.revision or known == record:
                return
            self._digest ^= _make_digest(known)
        self._digest ^= _make_digest(record)
        self._records[record.server_id] = record
        self._news[record.server_id] = record

    def remove(self, removed):
        """Remove an entry, unless a newer one is known.

        Parameters
        ----------
        removed : RemovedServer
            Entry that the store no longer has.
        """
        known = self._records.get(removed.server_id)
        if known is None or known.revision > removed.revision:
            return
        self._digest ^= _make_digest(known)
        del self._records[removed.server_id]
        self._news[removed.server_id] = removed

    def replace(self, records, revision):
        """Bring the value to what a list of the store says.

        Parameters
        ----------
        records : iterable of ServerRecord
            All entries that the store has.
        revision : int or None
            Store revision of the list; None if it is not known.
        """
        found = set()
        for record in records:
            found.add(record.server_id)
            self.put(record)
        for record in list(self):
            if record.server_id not in found:
                self.remove(
                    _records.RemovedServer(
                        record.server_id,
                        record.revision if revision is None else revision,
                    )
                )

    def rebase(self, records):
        """Take over the revisions of a store from an older copy.

        Its content may be old, so what is known stays as it is.

        Parameters
        ----------
        records : iterable of ServerRecord
            All entries that the store has.
        """
        for record in records:
            known = self._records.get(record.server_id)
            if known is not None and known.revision < record.revision:
                self.put(dataclasses.replace(known, revision=record.revision))


def _make_digest(record):
    key = f'{record.server_id}:{record.revision}'
    return xxhash.xxh64_intdigest(key.encode()) >> (64 - DIGEST_BITS)
