"""Deletion of expired call records."""

from balsamwind import control
from balsamwind import objects


DEFAULT_TIME_TO_LIVE = 86400.0
"""Time to live of call records if the settings name no service at all
(seconds)."""


class CallRecordSweeper:
    """Deletes expired call records, one kind of record per round.

    Only the holder of the fleet shard's lease sweeps. Two holders at the
    same time do no harm, as a deletion is conditional on the revision of
    the record.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Has the settings of the services, the call records and the leases
        that this node holds.
    """

    __slots__ = ('_entry', '_next_kind')

    def __init__(self, entry):
        self._entry = entry
        self._next_kind = 0

    async def run_round(self):
        """Sweep the next kind of record if this node holds the lease.

        Returns
        -------
        int
            Records deleted (count).
        """
        entry = self._entry
        held = entry.controller.shards_held(entry.clock.monotonic())
        if control.FLEET_SHARD not in held:
            return 0
        kind = objects.CALL_KINDS[self._next_kind]
        self._next_kind = (self._next_kind + 1) % len(objects.CALL_KINDS)
        return await entry.service_calls.records.delete_expired(
            kind, self._find_time_to_live
        )

    def _find_time_to_live(self, name):
        """Time for which records of a service are kept (seconds).

        Records of a service that the settings no longer name are kept for
        the longest time of all services.
        """
        services = self._entry.settings.services
        own = [s.record_time_to_live for s in services if s.name == name]
        of_all = [s.record_time_to_live for s in services]
        return max(own or of_all, default=DEFAULT_TIME_TO_LIVE)
