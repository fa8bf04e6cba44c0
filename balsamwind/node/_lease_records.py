"""Leases of shards in the store."""

from balsamwind import exceptions
from balsamwind.node import _object_writer
from balsamwind import objects

KIND = 'balsamwind-leases'
"""Kind of the objects."""


class LeaseRecords:
    """Reads and writes the leases of shards.

    The methods raise `balsamwind.exceptions.StoreError` if the store does not
    answer within their `timeout` (seconds), or if the lease is malformed.

    Parameters
    ----------
    store : object
        Client of the store, with the methods `get`, `create` and `replace`
        for objects of any kind.
    """

    __slots__ = ('_store', '_writer')

    def __init__(self, store):
        self._store = store
        self._writer = _object_writer.ObjectWriter(store, KIND)

    @property
    def era(self):
        """Era of the store; it grows when the store lost its last changes."""
        return self._store.eras.newest

    async def read_lease(self, shard, timeout, may_be_stale=False):
        """Read the lease of a shard; an `ObjectVersion`, or None.

        A read that `may_be_stale` may return data that is seconds old.
        """
        stored = await self._store.get(KIND, shard, timeout, may_be_stale)
        if stored is None:
            return None
        self._writer.note(stored)
        return _decode(shard, stored)

    async def write_lease(self, lease, expected_revision, timeout):
        """Write a lease on condition of its revision; the new `ObjectVersion`.

        Parameters
        ----------
        lease : balsamwind.objects.Lease
            Lease to write.
        expected_revision : int
            Revision that the stored lease must have; 0 if none must exist.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The stored lease has another revision.
        """
        stored = await self._writer.write(
            lease.shard, objects.encode(lease), expected_revision, timeout
        )
        return _decode(lease.shard, stored)


def _decode(shard, stored):
    try:
        with objects.decoding(f'lease of shard {shard}'):
            lease = objects.decode(
                objects.Lease, {**stored.spec, 'shard': shard}
            )
    except exceptions.MalformedValue as error:
        raise exceptions.StoreError(f'malformed {error.message}') from None
    return objects.ObjectVersion('lease', shard, stored.revision, lease)
