"""The platform behind the ports of a node."""

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.platform import _configuration
from balsamwind.platform import _headers
from balsamwind.platform import _servers
from balsamwind.platform import _store
from balsamwind import pool

NODE_KIND = 'balsamwind-nodes'
"""Kind of the objects that say which nodes exist."""

LEASE_KIND = 'balsamwind-leases'
"""Kind of the leases, which are the system's own objects."""

_WORDS = {
    _servers.KIND: 'servers',
    _configuration.KIND: 'configuration',
    NODE_KIND: 'nodes',
    LEASE_KIND: 'leases',
}
"""What the kinds of objects are called in logs and metrics."""


def make_outside(settings, client):
    """Connect a node to the platform.

    Parameters
    ----------
    settings : balsamwind.node.NodeSettings
        Settings of the node.
    client : balsamwind.adapters.HttpClient
        Connections.

    Returns
    -------
    Outside
    """
    return Outside(client, _store.Store(client, settings.store))


class Outside:
    """Meets the ports of :mod:`balsamwind.node`."""

    __slots__ = ('_client', '_store', 'headers')

    ready_path = '/v1/ready'
    """Path of the readiness page."""

    def __init__(self, client, store):
        self._client = client
        self._store = store
        self.headers = _headers.HeaderCodec()

    @property
    def store_calls(self):
        """Calls to the store so far, by what was asked and how (count)."""
        return {
            (_WORDS[kind], purpose): count
            for (kind, purpose), count in self._store.calls.items()
        }

    async def read_configuration(self, timeout):
        """Newest configuration, and the revision to watch from.

        Raises
        ------
        balsamwind.exceptions.StoreError
            There is none, or it can not be read.
        """
        revision, items = await self._store.list(_configuration.KIND, timeout)
        found = _find_configuration(items)
        if found is None:
            raise exceptions.StoreError('there is no configuration yet')
        return revision, found

    async def watch_configuration(self, since, wait, timeout):
        """Revision to go on from, and the newest change, or None."""
        revision, items = await self._store.watch(
            _configuration.KIND, since, wait, timeout
        )
        return revision, _find_configuration(items)

    async def register_node(self, name, data_centre, news, timeout):
        """Note in the store that a node exists, and where it tells news."""
        spec = {'data_centre': data_centre, 'news': news}
        try:
            await self._store.create(NODE_KIND, name, spec, timeout)
        except exceptions.Conflict:
            await self._move_node(name, spec, timeout)

    async def _move_node(self, name, spec, timeout):
        """Write the address of a node that was there before."""
        found = await self._store.get(NODE_KIND, name, timeout)
        if found is None or found.spec == spec:
            return
        try:
            await self._store.replace(
                NODE_KIND, name, spec, found.revision, timeout
            )
        except exceptions.Conflict as error:
            raise exceptions.StoreError(f'{name}: {error}') from None

    async def list_nodes(self, timeout):
        """Pairs of name and address of news, by data centre."""
        _, items = await self._store.list(NODE_KIND, timeout)
        nodes = {}
        for item in items:
            if isinstance(item.spec, dict):
                place = str(item.spec.get('data_centre', ''))
                news = str(item.spec.get('news', ''))
                nodes.setdefault(place, []).append((item.name, news))
        return nodes

    async def list_servers(self, timeout):
        """Entries of all backend servers, and the revision to watch from."""
        revision, items = await self._store.list(_servers.KIND, timeout)
        return revision, [
            record
            for record in map(_decode_server, items)
            if record is not None
        ]

    async def watch_servers(self, since, wait, timeout):
        """Changes of entries: `ServerRecord` and `RemovedServer`."""
        revision, items = await self._store.watch(
            _servers.KIND, since, wait, timeout
        )
        changes = []
        for item in items:
            record = None if item.deleted else _decode_server(item)
            if record is None:
                record = pool.RemovedServer(item.name, item.revision)
            changes.append(record)
        return revision, changes

    async def read_lease(self, shard, timeout):
        """Lease of a shard, or None."""
        found = await self._store.get(LEASE_KIND, shard, timeout)
        return None if found is None else _decode_lease(shard, found)

    async def write_lease(self, lease, expected, timeout):
        """Write a lease whose object has the expected revision (0: none).

        Raises
        ------
        balsamwind.exceptions.Conflict
            Another node wrote it first.
        """
        spec = {
            'holder': lease.holder,
            'fencing': lease.fencing,
            'duration': lease.duration,
            'operation': lease.operation,
        }
        if expected == 0:
            stored = await self._store.create(
                LEASE_KIND, lease.shard, spec, timeout
            )
        else:
            stored = await self._store.replace(
                LEASE_KIND, lease.shard, spec, expected, timeout
            )
        return _decode_lease(lease.shard, stored)

    async def ask_engine(self, record, timeout):
        """What an engine says of itself now; a `ServerReport`."""
        response = await self._client.fetch(
            'GET',
            f'http://{record.address}/v1/report',
            headers=self._expect(record),
            timeout=timeout,
            repeat=True,
        )
        if response.status != 200:
            raise exceptions.BadAnswer(
                f'{record.address}: report answered with {response.status}'
            )
        return _servers.decode_report(response.body)

    async def order(self, record, order, fencing, sequence, timeout):
        """Give an engine an order.

        Returns
        -------
        balsamwind.pool.OrderResult
            `UNKNOWN` where no answer came.
        """
        try:
            response = await self._client.fetch(
                'POST',
                f'http://{record.address}/v1/order',
                headers=(
                    ('Content-Type', 'application/json'),
                    *self._expect(record),
                ),
                body=_servers.encode_order(order, fencing, sequence),
                timeout=timeout,
            )
            return _servers.decode_order_result(response.status)
        except exceptions.TransportError:
            return pool.OrderResult.UNKNOWN

    def _expect(self, record):
        return ((_headers.EXPECTED_SERVER, record.server_id),)


def _find_configuration(items):
    """Newest version of the configuration among stored objects.

    Raises
    ------
    balsamwind.exceptions.StoreError
        It can not be read.
    """
    stored = None
    for item in items:
        if item.name == _configuration.NAME and not item.deleted:
            stored = item
    if stored is None:
        return None
    try:
        return _configuration.decode_configuration(stored.spec)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreError(f'configuration: {error!r}') from None


def _decode_server(item):
    try:
        return _servers.decode_server(item.name, item.revision, item.spec)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _decode_lease(shard, stored):
    try:
        spec = stored.spec
        lease = objects.Lease(
            shard,
            str(spec['holder']),
            int(spec['fencing']),
            float(spec['duration']),
            str(spec['operation']),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreError(f'lease {shard}: {error!r}') from None
    return objects.Stored('lease', shard, stored.revision, lease)
