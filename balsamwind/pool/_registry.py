"""Registry of the backend servers that the platform lists."""

import dataclasses

from balsamwind.pool import _listing
from balsamwind.pool import _records

RELISTING_GRACE = 2.85
"""Time from the last call that failed in an outage of the store during which
listed servers that are absent from a full list stay listed (seconds).

Entries lapse while servers can't renew them. They reappear within two seconds
of the store's return, which is noticed up to 0.85 s later. A node that alone
was cut off is to know three seconds after it what has left.
"""

UNLISTED_RETENTION = 60.0
"""Time for which the registry keeps an entry that is no longer listed
(seconds)."""


MAX_LEAVING = 4096
"""Servers that are remembered as leaving (count)."""

MAX_ENDED = 4096
"""Servers of which a start is remembered that has ended (count)."""


class ServerRegistry:
    """Newest known entry of each backend server.

    An entry that the platform no longer lists stays in the registry for a
    while, with `listed` set to False: its engine may still run, and the group
    of the engine may still be open.

    Right after an outage of the store, entries that it lacks are kept as
    listed for the node's own use. Others are told what the store has said, as
    they may not have been cut off themselves.

    Attributes
    ----------
    listing : StoreListing
        What the store has said.
    change_count : int
        Number of changes to the entries so far (count). Readers compare it to
        tell whether what they derived from the entries is still current.
    revision : int
        Store revision up to which all changes are known; 0 if there is none.
    """

    __slots__ = (
        '_confirmed_at',
        '_ended_starts',
        '_grace_until',
        '_leaving',
        '_listed_since',
        '_listeners',
        '_missing',
        '_records',
        '_records_by_service',
        '_restored_until',
        '_unlisted_since',
        'change_count',
        'listing',
        'revision',
    )

    def __init__(self):
        self._records = {}
        self._records_by_service = {}
        self._listeners = []
        self._leaving = {}
        self._ended_starts = {}
        self._unlisted_since = {}
        self._listed_since = {}
        self._confirmed_at = {}
        self._grace_until = float('-inf')
        self._restored_until = float('-inf')
        self._missing = set()
        self.change_count = 0
        self.listing = _listing.StoreListing()
        self.revision = 0

    def __iter__(self):
        return iter(self._records.values())

    def get(self, server_id):
        """Return the entry of a backend server.

        Parameters
        ----------
        server_id : str
            Id of the server.

        Returns
        -------
        ServerRecord or None
            None if the server is not known.
        """
        return self._records.get(server_id)

    def get_by_service(self, service):
        """Return all entries of a service, listed or not.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of ServerRecord
        """
        return list(self._records_by_service.get(service, {}).values())

    def correct_all(self, records):
        """Correct entries, see `correct`.

        Parameters
        ----------
        records : iterable of ServerRecord
            Entries as they were read or received.

        Returns
        -------
        tuple of ServerRecord
        """
        return tuple(map(self.correct, records))

    def is_outdated(self, revision):
        """Tell whether something newer is known than a list or a change.

        Parameters
        ----------
        revision : int
            Store revision up to which the sender knows all changes; 0 if it
            doesn't state any.

        Returns
        -------
        bool
        """
        return 0 < revision < self.revision

    def leave_out_unlisted(self, records):
        """Leave out entries of which this registry knows that they are gone.

        Parameters
        ----------
        records : iterable of ServerRecord
            Entries that a node lists that does not state as of when.

        Returns
        -------
        list of ServerRecord
        """
        return [record for record in records if not self._is_gone(record)]

    def _is_gone(self, record):
        known = self._records.get(record.server_id)
        return (
            known is not None
            and not known.listed
            and record.revision <= known.revision
        )

    def add_listener(self, listener):
        """Report each change of an entry from now on.

        Parameters
        ----------
        listener : callable
            Takes the entry before and after the change (`ServerRecord`);
            None where there is none.
        """
        self._listeners.append(listener)

    def _set_record(self, server_id, record):
        """Replace an entry; None removes it."""
        known = self._records.get(server_id)
        if known is not None and (
            record is None or record.service != known.service
        ):
            del self._records[server_id]
            del self._records_by_service[known.service][server_id]
        if record is not None:
            self._records[server_id] = record
            of_service = self._records_by_service.setdefault(
                record.service, {}
            )
            of_service[server_id] = record
        if known == record:
            return
        self.change_count += 1
        self._tell_listeners(known, record)

    def _tell_listeners(self, previous, record):
        """Tell all listeners of a change, also if one of them fails."""
        errors = []
        for listener in self._listeners:
            try:
                listener(previous, record)
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup('listeners of an entry failed', errors)

    def mark_leaving(self, server_id, born):
        """Take a server for draining, whatever its entry says later.

        A later start of the server lifts this.

        Parameters
        ----------
        server_id : str
            Id of the server.
        born : int
            Start of the server that says it is leaving.

        Returns
        -------
        bool
            Whether this was not known.
        """
        if self._says_leaving(server_id, born):
            return False
        self._leaving[server_id] = born
        while len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        record = self._records.get(server_id)
        if record is not None:
            self._set_record(server_id, self.correct(record))
        return True

    def list_leaving(self):
        """Return the entries of servers that say that they are leaving.

        Returns
        -------
        tuple of ServerRecord
        """
        records = map(self._records.get, self._leaving)
        return tuple(
            record
            for record in records
            if record is not None
            and self._says_leaving(record.server_id, record.born)
        )

    def _says_leaving(self, server_id, born):
        """Whether this start of a server, or a later one, has said so."""
        return self._leaving.get(server_id, born - 1) >= born

    def correct(self, record):
        """Correct the entry of a server that said itself that it is leaving.

        Parameters
        ----------
        record : ServerRecord
            Entry as it was read or received.

        Returns
        -------
        ServerRecord
        """
        if not self._says_leaving(record.server_id, record.born):
            return record
        return dataclasses.replace(record, state=_records.ServerState.DRAINING)

    def has_ended(self, server_id, born):
        """Tell whether a later start of a server has shown itself.

        Parameters
        ----------
        server_id : str
            Id of the server.
        born : int
            Start that may have ended.

        Returns
        -------
        bool
        """
        return born <= self._ended_starts.get(server_id, born - 1)

    def _note_start(self, known, born):
        """Note that a later start than the known one has shown itself."""
        if known is None or born <= known.born:
            return
        self._ended_starts.pop(known.server_id, None)
        self._ended_starts[known.server_id] = known.born
        while len(self._ended_starts) > MAX_ENDED:
            del self._ended_starts[next(iter(self._ended_starts))]

    def start_relisting_grace(self, failed_at):
        """Note that the store answers again after an outage.

        Parameters
        ----------
        failed_at : float
            When the last call that failed was sent (monotonic time, seconds).
        """
        self.keep_missing_until(failed_at + RELISTING_GRACE)

    def keep_missing_until(self, until):
        """Keep listed servers for a while if a full list lacks them.

        Parameters
        ----------
        until : float
            Monotonic time (seconds).
        """
        self._grace_until = until

    def find_grace_left(self, now):
        """Find for how long servers that a full list lacks are kept.

        Parameters
        ----------
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        float
            Time (seconds); 0 if they are not.
        """
        return max(0.0, self._grace_until - now)

    def start_restore_grace(self, until):
        """Distrust lists for a while, as the store is from an older copy.

        Parameters
        ----------
        until : float
            Monotonic time from which each listed entry has been written again
            (seconds).
        """
        self._restored_until = until

    def find_distrust_left(self, now):
        """Find for how long lists are distrusted after a restore.

        Parameters
        ----------
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        float
            Time (seconds); 0 if they are not.
        """
        return max(0.0, self._restored_until - now)

    def knows_restored_store(self, now):
        """Tell whether lists were distrusted, and are trusted again.

        Parameters
        ----------
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        bool
        """
        return float('-inf') < self._restored_until <= now

    @property
    def restored_until(self):
        """Until when lists are distrusted (monotonic time, seconds)."""
        return self._restored_until

    def _rebase(self, records):
        """Keep what is known of the entries of a store from an older copy.

        An entry that is written again comes as a change with a later
        revision, and so do those that are not known here.
        """
        for record in records:
            known = self._records.get(record.server_id)
            if known is not None and known.revision < record.revision:
                self._set_record(
                    record.server_id,
                    dataclasses.replace(known, revision=record.revision),
                )

    def apply_full_list(self, records, now, revision=None):
        """Apply a full list of entries.

        Servers that the list does not contain become unlisted; if the store
        was unavailable a moment ago, only once it has had time to list them
        again. While the store may hold an older copy, known entries keep
        their content and others are not added.

        Parameters
        ----------
        records : iterable of ServerRecord
            All entries that the platform lists.
        now : float
            Current monotonic time (seconds).
        revision : int or None
            Store revision of the list; None if it is not known.

        Returns
        -------
        (list of ServerRecord, list of RemovedServer)
            Entries that were not known like this, and those that became
            unlisted.
        """
        records = self.correct_all(records)
        is_restored = now < self._restored_until and bool(self._records)
        if is_restored:
            self.listing.rebase(records)
        else:
            self.listing.replace(records, revision)
        if revision is not None:
            self.revision = revision
        if is_restored:
            self._rebase(records)
            return [], []
        changed = [record for record in records if self._accept(record, now)]
        missing = self._find_missing(records, revision)
        if now < self._grace_until:
            self._missing.update(record.server_id for record in missing)
            return changed, []
        for record in missing:
            self.mark_unlisted(record.server_id, now)
        return changed, [
            _records.RemovedServer(record.server_id, record.revision)
            for record in missing
        ]

    def _find_missing(self, records, revision):
        """Find the listed entries that a list of a revision lacks."""
        found = {record.server_id for record in records}
        return [
            record
            for record in self
            if record.listed
            and record.server_id not in found
            and (revision is None or record.revision <= revision)
        ]

    def _accept(self, record, now):
        """Store an entry unless a newer one is known; whether it is new."""
        self._confirmed_at[record.server_id] = now
        known = self._records.get(record.server_id)
        if known is not None and known.revision > record.revision:
            return False
        self._note_start(known, record.born)
        if known != record:
            self._set_record(record.server_id, record)
        self._missing.discard(record.server_id)
        self._unlisted_since.pop(record.server_id, None)
        if known is None or not known.listed:
            self._listed_since[record.server_id] = now
        return known != record

    def apply_entry(self, record, now):
        """Store an entry, unless a newer revision of it is known.

        Parameters
        ----------
        record : ServerRecord
            Entry that the platform lists.
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        ServerRecord or None
            Entry that was known before the call.
        """
        record = self.correct(record)
        known = self._records.get(record.server_id)
        if known is None or known.revision <= record.revision:
            self.listing.put(record)
        self._accept(record, now)
        return known

    def apply_removal(self, removed, now):
        """Apply the removal of an entry, unless a newer revision is known.

        Parameters
        ----------
        removed : RemovedServer
            Removal of the entry.
        now : float
            Current monotonic time (seconds).
        """
        self.listing.remove(removed)
        known = self._records.get(removed.server_id)
        if known is not None and known.revision <= removed.revision:
            self.mark_unlisted(removed.server_id, now)

    def mark_unlisted(self, server_id, now):
        """Mark an entry as no longer listed.

        Parameters
        ----------
        server_id : str
            Id of the server.
        now : float
            Current monotonic time (seconds).
        """
        self._missing.discard(server_id)
        record = self._records.get(server_id)
        if record is None or not record.listed:
            return
        self._set_record(server_id, dataclasses.replace(record, listed=False))
        self._unlisted_since[server_id] = now

    def apply_report(self, server_id, report):
        """Apply the report of an engine.

        A report updates the entry only if the entry is no longer listed, as
        a listed engine keeps its entry current in the store. A report of
        another start at the address proves that the known engine has ended;
        an entry that is no longer listed is then removed.

        Parameters
        ----------
        server_id : str
            Id of the server that was asked.
        report : ServerReport
            Report that was received from the address of the server.

        Returns
        -------
        bool
            Whether the report comes from the start of the server that the
            registry knows.
        """
        record = self._records.get(server_id)
        if record is None:
            return False
        if report.born != record.born:
            self._note_start(record, report.born)
            if not record.listed:
                self._set_record(server_id, None)
                self._unlisted_since.pop(server_id, None)
            return False
        if not record.listed:
            reported = dataclasses.replace(
                record,
                model=report.model,
                staged=report.staged,
                membership=report.membership,
            )
            self._set_record(server_id, reported)
        return True

    def evict_expired(self, now):
        """Remove entries that have been unlisted beyond the retention time.

        Entries that were kept after an outage, and that the store still
        lacks, become unlisted.

        Parameters
        ----------
        now : float
            Current monotonic time (seconds).
        """
        if now >= self._grace_until:
            for server_id in list(self._missing):
                self.mark_unlisted(server_id, now)
        for server_id, unlisted_since in list(self._unlisted_since.items()):
            if now - unlisted_since > UNLISTED_RETENTION:
                del self._unlisted_since[server_id]
                self._set_record(server_id, None)
                self._listed_since.pop(server_id, None)
                self._confirmed_at.pop(server_id, None)

    def listed_for(self, server_id, now):
        """Return the time since an entry was last added to the list.

        Parameters
        ----------
        server_id : str
            Id of the server.
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        float
            Time (seconds); 0 if the registry holds no such time.
        """
        return now - self._listed_since.get(server_id, now)

    def confirmed_for(self, server_id, now):
        """Return the time since the store was last heard to hold an entry.

        Parameters
        ----------
        server_id : str
            Id of the server.
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        float
            Time (seconds); 0 if the registry holds no such time.
        """
        return now - self._confirmed_at.get(server_id, now)

    def unlisted_for(self, server_id, now):
        """Return the time since an entry ceased to be listed.

        Parameters
        ----------
        server_id : str
            Id of the server.
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        float
            Time (seconds); 0 if the server is listed or not known.
        """
        unlisted_since = self._unlisted_since.get(server_id)
        return 0.0 if unlisted_since is None else now - unlisted_since
