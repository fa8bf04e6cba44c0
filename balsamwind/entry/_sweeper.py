"""Deletion of call records that have expired."""

from balsamwind import control
from balsamwind import objects


DEFAULT_TIME_TO_LIVE = 86400.0
"""For records of services that the settings no longer name (seconds)."""


class Sweeper:
    """Sweeps the kinds of call records in turn.

    Only the holder of the fleet's lease sweeps. Two holders do no harm, as
    a deletion is conditional on the record's revision.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Knows the services and whether this node holds the lease.
    """

    __slots__ = ('_entry', '_next')

    def __init__(self, entry):
        self._entry = entry
        self._next = 0

    async def run_round(self):
        """Sweep one kind, if this node is the one that sweeps.

        Returns
        -------
        int
            Records deleted (count).
        """
        entry = self._entry
        held = entry.controller.shards_held(entry.clock.monotonic())
        if control.FLEET_SHARD not in held:
            return 0
        kind = objects.CALL_KINDS[self._next]
        self._next = (self._next + 1) % len(objects.CALL_KINDS)
        return await entry.service_calls.records.sweep(
            kind, self._time_to_live
        )

    def _time_to_live(self, name):
        """How long records of a service are kept (seconds)."""
        services = self._entry.settings.services
        values = [s.record_time_to_live for s in services if s.name == name]
        longest = [s.record_time_to_live for s in services]
        return max(values or longest, default=DEFAULT_TIME_TO_LIVE)
