"""VM list and weight store of the platform, over HTTP and JSON."""

import json
import math

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports


class HttpVmList:
    """Client of the VM list.

    A platform that gives an entity tag is asked only for a list that
    changed.
    """

    __slots__ = (
        '_client',
        '_rows',
        '_tag',
        '_timeout',
        '_url',
        'bytes_received',
        'calls',
    )

    def __init__(self, client, url, timeout):
        self._client = client
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._rows = ()
        self._tag = ''
        self.bytes_received = 0
        self.calls = 0

    async def fetch(self):
        """All rows; a tuple of `ListedVm`, the same one if nothing changed.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The platform failed or answered nonsense.
        """
        self.calls += 1
        try:
            response = await self._client.fetch(
                'GET',
                f'{self._url}/v1/vms',
                headers=(('If-None-Match', self._tag),) if self._tag else (),
                timeout=self._timeout,
            )
            self.bytes_received += len(response.body)
            if response.status == 304 and self._tag:
                return self._rows
            if response.status != 200:
                raise exceptions.StoreError(f'VM list: {response.status}')
            rows = json.loads(response.body)['vms']
            self._rows = tuple(
                objects.decode(ports.ListedVm, row) for row in rows
            )
            self._tag = response.headers.get('Etag', '')
            return self._rows
        except (
            exceptions.TransportError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise exceptions.StoreError(f'VM list: {error}') from error


DEFAULT_WAIT = 1.0
"""Wait for a ticket when the weight store names none that can be used
(seconds)."""


def _load_wait(text):
    try:
        wait = float(text)
    except ValueError:
        return DEFAULT_WAIT
    return wait if 0.0 < wait < math.inf else DEFAULT_WAIT


class HttpWeightStore:
    """Client of the weight store."""

    __slots__ = ('_client', '_timeout', '_url')

    def __init__(self, client, url, timeout):
        self._client = client
        self._url = url.rstrip('/')
        self._timeout = timeout

    async def take_ticket(self, model, version):
        """Ask leave to load once; 0, or when to ask again (seconds)."""
        body = json.dumps({'model': model, 'version': version})
        try:
            response = await self._client.fetch(
                'POST',
                f'{self._url}/v1/weights/tickets',
                body=body.encode('utf-8'),
                timeout=self._timeout,
            )
        except exceptions.TransportError as error:
            raise exceptions.StoreError(f'weight store: {error}') from error
        if response.status == 429:
            return _load_wait(response.headers.get('Retry-After', ''))
        if response.status != 200:
            raise exceptions.StoreError(f'weight store: {response.status}')
        return 0.0
