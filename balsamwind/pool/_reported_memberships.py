"""What engines have said of themselves where their entries say otherwise.

Failure pattern: an entry that is kept through an outage of the store, or whose
change has not been heard of yet, names an engine as free that has become a
member of an open group. The engine's own report is newer.
"""

import dataclasses

from balsamwind.pool import _records
from balsamwind.pool import _registry

REPORT_RETENTION = _registry.RELISTING_GRACE
"""Longest time for which a report stands for an entry that does not change:
that for which an outdated entry is kept (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Correction:
    """What an engine has reported.

    Parameters
    ----------
    revision : int
        Store revision of the entry that said otherwise.
    report : ServerReport
        Report of the engine.
    expires_at : float
        Until when it stands for the entry (monotonic time, seconds).
    """

    revision: int
    report: _records.ServerReport
    expires_at: float


class ReportedMemberships:
    """Corrects the entries of engines whose reports have refuted them.

    Parameters
    ----------
    clock : balsamwind.ports.Clock
        Monotonic clock.
    """

    __slots__ = ('_clock', '_corrections')

    def __init__(self, clock):
        self._clock = clock
        self._corrections = {}

    def record(self, record, report):
        """Let a report stand for an entry until the entry changes.

        Parameters
        ----------
        record : ServerRecord
            Entry of the engine.
        report : ServerReport
            Report that says otherwise.
        """
        self._corrections[record.server_id] = _Correction(
            record.revision,
            report,
            self._clock.monotonic() + REPORT_RETENTION,
        )

    def correct(self, record):
        """Correct an entry.

        Parameters
        ----------
        record : ServerRecord
            Entry as the registry holds it.

        Returns
        -------
        ServerRecord
            With the membership that the engine has reported since; as no
            longer listed if another start of the engine has reported.
        """
        correction = self._corrections.get(record.server_id)
        if correction is None:
            return record
        if (
            correction.revision != record.revision
            or self._clock.monotonic() >= correction.expires_at
        ):
            del self._corrections[record.server_id]
            return record
        if correction.report.born != record.born:
            return dataclasses.replace(record, listed=False)
        return dataclasses.replace(
            record, membership=correction.report.membership
        )


def is_refuted(record, report):
    """Tell whether the report of an engine refutes its entry.

    Epochs only grow in one life of an engine, so a report of an earlier one
    lags behind the entry.

    Parameters
    ----------
    record : ServerRecord
        Entry of the engine.
    report : ServerReport
        Report of the engine.

    Returns
    -------
    bool
        Whether the report comes from another start, or names another group
        than the entry, and no earlier one.
    """
    if report.born != record.born:
        return True
    known, reported = record.membership, report.membership
    if reported is None or (known is not None and known.key == reported.key):
        return False
    return known is None or reported.epoch >= known.epoch
