"""Matching of group statuses with the records of the groups."""

import dataclasses

from balsamwind.peers import _group_status


@dataclasses.dataclass(slots=True, frozen=True)
class MemberReports:
    """Reports of a group's members, reconstructed from a status.

    Parameters
    ----------
    observer : str
        Name of the node that observed the members.
    received_at : float
        Monotonic time at which the status was received (seconds).
    reports : tuple of balsamwind.ports.EngineReport
        One report for each member, in rank order; only the first, that of
        the head, contains the load.
    """

    observer: str
    received_at: float
    reports: tuple


class GroupStatusResolver:
    """Resolves group statuses to reports by the digest of the record.

    A status may arrive before the record that it refers to. It is kept for a
    limited time and resolved when the record arrives.

    Parameters
    ----------
    max_pending_age : float
        Time for which a status without a record is kept (seconds).
    """

    __slots__ = (
        '_digest_by_name',
        '_group_by_digest',
        '_max_pending_age',
        '_pending',
    )

    def __init__(self, max_pending_age):
        self._max_pending_age = max_pending_age
        self._digest_by_name = {}
        self._group_by_digest = {}
        self._pending = {}

    def update_group(self, name, group):
        """Set the record of a group, and resolve a status kept for it.

        Parameters
        ----------
        name : str
            Name of the group.
        group : balsamwind.objects.Group or None
            New record of the group; None if it was deleted.

        Returns
        -------
        MemberReports or None
            None if no status for this record is kept.
        """
        self._group_by_digest.pop(self._digest_by_name.pop(name, None), None)
        if group is None:
            return None
        digest = _group_status.make_digest(group)
        self._digest_by_name[name] = digest
        self._group_by_digest[digest] = (
            group,
            _group_status.make_other_reports(group),
        )
        if digest not in self._pending:
            return None
        return self._make_member_reports(digest, *self._pending.pop(digest))

    def resolve(self, status, observer, now):
        """Resolve a status, or keep it until its record arrives.

        Parameters
        ----------
        status : GroupStatus
            Status received from a peer.
        observer : str
            Name of the peer that sent it.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        MemberReports or None
            None if no current record has the digest of the status.
        """
        if status.digest in self._group_by_digest:
            return self._make_member_reports(
                status.digest, status, observer, now
            )
        self._pending[status.digest] = (status, observer, now)
        return None

    def _make_member_reports(self, digest, status, observer, at):
        group, others = self._group_by_digest[digest]
        head = _group_status.make_head_report(group, status.load)
        return MemberReports(observer, at, (head, *others))

    def discard_expired(self, now):
        """Discard statuses whose record did not arrive in time.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        """
        for digest, (_, _, at) in list(self._pending.items()):
            if now - at > self._max_pending_age:
                del self._pending[digest]
