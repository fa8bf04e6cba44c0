"""Backend servers as the platform lists them."""

import dataclasses

RETURN_GRACE = 2.5
"""Time that lapsed entries have to come back after the store was away
(seconds)."""

MEMORY = 60.0
"""How long an entry that is no longer listed is remembered (seconds)."""


class Registry:
    """Newest entry of each backend server.

    An entry that is no longer listed stays for a while with `listed` unset:
    its engine may still run, and its group may still be open.
    """

    __slots__ = (
        '_away_until',
        '_dropped_at',
        '_records',
        '_returned_at',
        'changes',
    )

    def __init__(self):
        self._records = {}
        self._dropped_at = {}
        self._returned_at = {}
        self._away_until = float('-inf')
        self.changes = 0

    def __iter__(self):
        return iter(self._records.values())

    def get(self, server_id):
        """Record of a backend server, or None."""
        return self._records.get(server_id)

    def of_service(self, service):
        """All records of a service."""
        return [item for item in self if item.service == service]

    def note_return(self, now):
        """Note that the store is back after an outage."""
        self._away_until = now + RETURN_GRACE

    def replace(self, records, now):
        """Take a whole list."""
        named = {record.server_id for record in records}
        for record in records:
            self.put(record, now)
        if now < self._away_until:
            return
        for record in list(self):
            if record.listed and record.server_id not in named:
                self.drop(record.server_id, now)

    def put(self, record, now):
        """Take one entry, unless a newer one is known.

        Returns
        -------
        ServerRecord or None
            What was known before.
        """
        known = self._records.get(record.server_id)
        if known is not None and known.revision > record.revision:
            return known
        if known != record:
            self.changes += 1
        self._records[record.server_id] = record
        self._dropped_at.pop(record.server_id, None)
        if known is None or not known.listed:
            self._returned_at[record.server_id] = now
        return known

    def remove(self, removed, now):
        """Take the removal of an entry, unless a newer one is known."""
        known = self._records.get(removed.server_id)
        if known is not None and known.revision <= removed.revision:
            self.drop(removed.server_id, now)

    def drop(self, server_id, now):
        """Note that an entry is no longer listed."""
        record = self._records.get(server_id)
        if record is None or not record.listed:
            return
        self.changes += 1
        self._records[server_id] = dataclasses.replace(record, listed=False)
        self._dropped_at[server_id] = now

    def note_report(self, server_id, report):
        """Take what an engine that is no longer listed says of itself.

        Returns
        -------
        bool
            Whether the report is of the engine that is known. Another start
            at its address proves that the known one has ended.
        """
        record = self._records.get(server_id)
        if record is None:
            return False
        if report.born != record.born:
            if not record.listed:
                del self._records[server_id]
                self._dropped_at.pop(server_id, None)
                self.changes += 1
            return False
        if not record.listed:
            self._records[server_id] = dataclasses.replace(
                record,
                model=report.model,
                staged=report.staged,
                membership=report.membership,
            )
            self.changes += 1
        return True

    def forget(self, now):
        """Drop what has not been listed for long."""
        for server_id, since in list(self._dropped_at.items()):
            if now - since > MEMORY:
                del self._dropped_at[server_id]
                del self._records[server_id]
                self._returned_at.pop(server_id, None)

    def listed_for(self, server_id, now):
        """How long an entry has been listed without a break (seconds)."""
        return now - self._returned_at.get(server_id, now)

    def missing_for(self, server_id, now):
        """How long an entry has not been listed (seconds)."""
        since = self._dropped_at.get(server_id)
        return 0.0 if since is None else now - since
