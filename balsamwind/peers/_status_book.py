"""Matches the statuses of groups with the groups' records."""

import dataclasses

from balsamwind.peers import _group_status


@dataclasses.dataclass(slots=True, frozen=True)
class Evidence:
    """Reports of the members that a status stands for.

    Parameters
    ----------
    observer : str
        Node that saw them.
    at : float
        Monotonic time at which its status came (seconds).
    reports : tuple of balsamwind.ports.EngineReport
        One for each member; the first has the load.
    """

    observer: str
    at: float
    reports: tuple


class StatusBook:
    """Groups by the digest of their record, and statuses without a record.

    Parameters
    ----------
    patience : float
        Time for which a status waits for its record (seconds).
    """

    __slots__ = ('_digests', '_groups', '_patience', '_waiting')

    def __init__(self, patience):
        self._patience = patience
        self._digests = {}
        self._groups = {}
        self._waiting = {}

    def set_group(self, name, group):
        """Take in the record of a group; None if it was deleted.

        Returns
        -------
        Evidence or None
            What an earlier status says of this record.
        """
        self._groups.pop(self._digests.pop(name, None), None)
        if group is None:
            return None
        digest = _group_status.make_digest(group)
        self._digests[name] = digest
        self._groups[digest] = (group, _group_status.make_other_reports(group))
        if digest not in self._waiting:
            return None
        return self._make_evidence(digest, *self._waiting.pop(digest))

    def take(self, status, observer, now):
        """Take in a status.

        Returns
        -------
        Evidence or None
            None if there is no record with its digest yet.
        """
        if status.digest in self._groups:
            return self._make_evidence(status.digest, status, observer, now)
        self._waiting[status.digest] = (status, observer, now)
        return None

    def _make_evidence(self, digest, status, observer, at):
        group, others = self._groups[digest]
        head = _group_status.make_head_report(group, status.load)
        return Evidence(observer, at, (head, *others))

    def prune(self, now):
        """Drop statuses whose record did not come in time."""
        for digest, (_, _, at) in list(self._waiting.items()):
            if now - at > self._patience:
                del self._waiting[digest]
