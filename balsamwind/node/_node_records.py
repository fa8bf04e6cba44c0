"""Registrations of the nodes in the store, one object for each node."""

from balsamwind import exceptions
from balsamwind.node import _object_writer
from balsamwind.node import _ranking
from balsamwind import objects

KIND = 'balsamwind-nodes'
"""Kind of the objects."""


class NodeRecords:
    """Reads and writes the registrations of nodes.

    The methods raise `balsamwind.exceptions.StoreError` if the store does not
    answer within their `timeout` (seconds).

    Parameters
    ----------
    store : object
        Client of the store, with the methods `get`, `list`, `create` and
        `replace` for objects of any kind.
    """

    __slots__ = ('_store',)

    def __init__(self, store):
        self._store = store

    async def register(self, registered, data_centre, timeout):
        """Register a `RegisteredNode`, or update its registration.

        Returns
        -------
        bool
            Whether the list of nodes has changed.
        """
        spec = {
            'data_centre': data_centre,
            'news': registered.address,
            'capacity': registered.capacity,
        }
        try:
            await self._store.create(KIND, registered.name, spec, timeout)
        except exceptions.Conflict:
            return await self._update(registered.name, spec, timeout)
        return True

    async def _update(self, name, spec, timeout):
        """Replace the registration of a node that has changed its address."""
        stored = await self._store.get(KIND, name, timeout)
        if stored is None:
            return False
        spec = _object_writer.merge(stored.spec, spec, {})
        if stored.spec == spec:
            return False
        try:
            await self._store.replace(
                KIND, name, spec, stored.revision, timeout
            )
        except exceptions.Conflict as error:
            raise exceptions.StoreError(f'node {name}: {error}') from None
        return True

    async def list(self, timeout, may_be_stale=False):
        """List the `RegisteredNode` objects of each data centre, by its name.

        Malformed registrations are left out. A list that `may_be_stale` may
        be seconds old.
        """
        _, items = await self._store.list(KIND, timeout, may_be_stale)
        nodes = {}
        for item in items:
            try:
                with objects.decoding('registration'):
                    data_centre, node = _decode(item)
            except exceptions.MalformedValue as error:
                self._store.on_malformed(
                    KIND, item.name, item.revision, error.message
                )
            else:
                nodes.setdefault(data_centre, []).append(node)
        return nodes


def _decode(item):
    """Decode a registration; the data centre and the `RegisteredNode`."""
    return objects.check_name(
        item.spec['data_centre'], 'data centre'
    ), _ranking.RegisteredNode(
        item.name,
        objects.check_address(item.spec['news'], 'address', may_be_name=True),
        objects.check_number(item.spec.get('capacity', 0), 'capacity', 0.0),
    )
