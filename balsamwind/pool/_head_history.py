"""Which engine headed each group, and what has become of it."""

import dataclasses

from balsamwind.pool import _reuse

MAX_GROUPS = 4096
"""Groups that are remembered (count)."""


@dataclasses.dataclass(slots=True)
class _Sighting:
    """What was seen of a group.

    Parameters
    ----------
    first_seen_at : float
        When a member was first seen in it (monotonic time, seconds).
    head : str
        Id of its head; empty if the head was never seen.
    born : int
        Start of the head.
    """

    first_seen_at: float
    head: str = ''
    born: int = 0


class HeadHistory:
    """Remembers the heads of the groups of one shard.

    Parameters
    ----------
    data_centre : str
        Data centre of the shard.
    registry : ServerRegistry
        Entries of the backend servers.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    """

    __slots__ = ('_clock', '_data_centre', '_registry', '_sightings')

    def __init__(self, data_centre, registry, clock):
        self._data_centre = data_centre
        self._registry = registry
        self._clock = clock
        self._sightings = {}
        for record in registry:
            self._handle_change(None, record)
        registry.add_listener(self._handle_change)

    def _handle_change(self, previous, record):
        if (
            record is None
            or record.membership is None
            or record.data_centre != self._data_centre
        ):
            return
        membership = record.membership
        sighting = self._sightings.get(membership.key)
        if sighting is None:
            sighting = _Sighting(self._clock.monotonic())
            self._sightings[membership.key] = sighting
            while len(self._sightings) > MAX_GROUPS:
                del self._sightings[next(iter(self._sightings))]
        if membership.rank == 0:
            sighting.head = record.server_id
            sighting.born = record.born

    def find_former_heads(self, records, heard_for):
        """Find what has become of heads that no entry or report names.

        Parameters
        ----------
        records : iterable of ServerRecord
            Engines of the shard.
        heard_for : float
            Time for which the news of entries had no gap (seconds).

        Returns
        -------
        dict of (str, int) to HeadMovedOn, HeadEnded or HeadUnknown
            By the name and the epoch of the group.
        """
        memberships = [
            record.membership
            for record in records
            if record.membership is not None
        ]
        with_head = {item.key for item in memberships if item.rank == 0}
        without_head = {item.key for item in memberships} - with_head
        return {key: self._find(key, heard_for) for key in without_head}

    def _find(self, key, heard_for):
        sighting = self._sightings.get(key)
        if sighting is None:
            return _reuse.HeadUnknown()
        found = self._find_end(key, sighting)
        if found is not None:
            return found
        age = self._clock.monotonic() - sighting.first_seen_at
        return _reuse.HeadUnknown(min(age, heard_for))

    def _find_end(self, key, sighting):
        if not sighting.head:
            return None
        if self._registry.has_ended(sighting.head, sighting.born):
            return _reuse.HeadEnded(sighting.head)
        record = self._registry.get(sighting.head)
        if record is None or record.born != sighting.born:
            return None
        membership = record.membership
        if membership is None:
            return _reuse.HeadMovedOn(sighting.head, '')
        if membership.epoch > key[1]:
            return _reuse.HeadMovedOn(sighting.head, membership.group)
        return None
