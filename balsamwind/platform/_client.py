"""Client of the platform's store and model engines, used by nodes."""

from balsamwind import exceptions
from balsamwind.platform import _configuration
from balsamwind.platform import _headers
from balsamwind.platform import _servers
from balsamwind.platform import _store
from balsamwind import pool

_EVACUATIONS = 'evacuations'

_KIND_LABELS = {_configuration.KIND: 'configuration'}
"""Names of kinds of objects in logs and metrics; others have their own."""

OWN_KIND_PREFIX = 'balsamwind-'
"""Prefix of the kinds of objects that the nodes themselves write."""

MAX_ENGINE_ANSWER = 1 << 20
"""Largest report or answer to an order that is read (bytes)."""


def make_platform_client(settings, client):
    """Make the platform client of a node; a `PlatformClient`.

    Parameters
    ----------
    settings : balsamwind.node.NodeSettings
        Settings of the node; only the address of the store is used.
    client : balsamwind.adapters.HttpClient
        Client that opens the connections to the store and the engines.
    """
    return PlatformClient(client, _store.StoreClient(client, settings.store))


class PlatformClient:
    """Calls to the store and the engines that :mod:`balsamwind.node` needs.

    A `timeout` is the longest wait for each response (seconds). Calls to the
    store raise `balsamwind.exceptions.StoreError` if it does not answer in
    time or its response is an error; one that `may_be_stale` may return data
    that is seconds old. `fetch_engine_report`
    raises `TransportError`, or its subclass `BadAnswer` if the report is
    malformed.

    Parameters
    ----------
    client : balsamwind.adapters.HttpClient
        Client for the calls to engines.
    store : balsamwind.platform._store.StoreClient
        Client for the calls to the store.

    Attributes
    ----------
    on_server_leaving : callable
        Called with the id and the start of an engine that says it leaves.
    store : balsamwind.platform._store.StoreClient
        As given, for objects of the nodes' own kinds.
    """

    __slots__ = ('_client', 'header_codec', 'on_server_leaving', 'store')

    readiness_path = '/v1/ready'
    """Path of a node's readiness endpoint."""

    def __init__(self, client, store):
        self._client = client
        self.store = store
        self.header_codec = _headers.HeaderCodec()
        self.on_server_leaving = lambda server_id, born: None

    @property
    def store_call_counts(self):
        """Calls to the store since the start (count), by kind and purpose."""
        return {
            (
                _KIND_LABELS.get(kind, kind.removeprefix(OWN_KIND_PREFIX)),
                purpose,
            ): count
            for (kind, purpose), count in self.store.call_counts.items()
        }

    async def read_configuration(self, timeout):
        """Read the revision to watch from and the newest configuration.

        Raises
        ------
        balsamwind.exceptions.StoreError
            Also if there is no configuration, or it is malformed.
        """
        revision, items = await self.store.list(_configuration.KIND, timeout)
        configuration = _find_configuration(items)
        if configuration is None:
            raise exceptions.StoreError('no configuration object in the store')
        return revision, configuration

    async def watch_configuration(self, since, wait, timeout):
        """Wait for a change; the next revision and the configuration or None.

        Parameters
        ----------
        since : int
            Store revision after which changes are returned.
        wait : float
            Time that the store waits for a change (seconds).
        timeout : float
            Longest wait for the response, more than `wait` (seconds).
        """
        revision, items = await self.store.watch(
            _configuration.KIND, since, wait, timeout
        )
        return revision, _find_configuration(items)

    async def list_servers(self, timeout):
        """List the revision to watch from and a `ServerRecord` per server.

        Malformed entries are left out.
        """
        revision, items = await self.store.list(_servers.KIND, timeout)
        return revision, [
            record
            for record in map(self._decode_server, items)
            if record is not None
        ]

    async def watch_servers(self, since, wait, timeout):
        """Wait for changes; the next revision and the changes in order.

        A change is a `ServerRecord`, or a `RemovedServer` if the entry was
        deleted or is malformed. The parameters are those of
        `watch_configuration`.
        """
        revision, items = await self.store.watch(
            _servers.KIND, since, wait, timeout
        )
        changes = []
        for item in items:
            record = None if item.deleted else self._decode_server(item)
            if record is None:
                record = pool.RemovedServer(item.name, item.revision)
            changes.append(record)
        return revision, changes

    async def list_evacuations(self, timeout):
        """List the revision and the names of the evacuated data centres."""
        revision, items = await self.store.list(_EVACUATIONS, timeout)
        return revision, [item.name for item in items]

    async def fetch_engine_report(self, record, timeout):
        """Fetch the current report of an engine; a `ServerReport`.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the engine.
        """
        response = await self._client.fetch(
            'GET',
            f'http://{record.address}/v1/report',
            headers=self._make_server_headers(record),
            timeout=timeout,
            retry_on_new_connection=True,
            max_body_size=MAX_ENGINE_ANSWER,
        )
        self._check_leaving(record, response)
        if response.status != 200:
            raise exceptions.BadAnswer(
                f'engine {record.address}: report request got status'
                f' {response.status}, expected 200'
            )
        return _servers.decode_report(response.body)

    async def send_order(self, record, order, fencing, sequence, timeout):
        """Send an order to an engine.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the engine.
        order : balsamwind.pool.Join, Open, Close, Leave or Stage
            Order to send.
        fencing : int
            Fencing number of the lease under which it is sent.
        sequence : int or None
            Orders that the engine must have accepted so far (count).

        Returns
        -------
        balsamwind.pool.OrderResult
            `UNKNOWN` if no response came or its status is not known.
        """
        try:
            response = await self._client.fetch(
                'POST',
                f'http://{record.address}/v1/order',
                headers=(
                    ('Content-Type', 'application/json'),
                    *self._make_server_headers(record),
                ),
                body=_servers.encode_order(order, fencing, sequence),
                timeout=timeout,
                # Nothing in an answer shows which order it belongs to.
                new_connection=True,
                max_body_size=MAX_ENGINE_ANSWER,
            )
            self._check_leaving(record, response)
            return _servers.decode_order_result(response.status)
        except exceptions.TransportError:
            return pool.OrderResult.UNKNOWN

    def _decode_server(self, item):
        try:
            return _servers.decode_server(item.name, item.revision, item.spec)
        except exceptions.MalformedValue as error:
            self.store.on_malformed(
                _servers.KIND, item.name, item.revision, error.message
            )
            return None

    def _check_leaving(self, record, response):
        # An answer with status 421 comes from another server.
        if response.status != 421 and _headers.says_leaving(response.headers):
            self.on_server_leaving(record.server_id, record.born)

    def _make_server_headers(self, record):
        """Name the expected server; another one at the address refuses."""
        return ((_headers.EXPECTED_SERVER, record.server_id),)


def _find_configuration(items):
    """Find and decode the last version of the configuration, or None."""
    stored = None
    for item in items:
        if item.name == _configuration.NAME and not item.deleted:
            stored = item
    if stored is None:
        return None
    with _store.check_malformed('configuration'):
        return _configuration.decode_configuration(stored.spec)
