"""Clients of the platform's VM list and weight store, over HTTP and JSON."""

import json
import math

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports


class HttpVmList:
    """Client of the VM list; implements `balsamwind.ports.VmList`.

    If the platform sends an entity tag, later requests are conditional, so
    that an unchanged list is not transferred again.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    url : str
        Base URL of the platform.
    timeout : float
        Timeout of one call (seconds).

    Attributes
    ----------
    calls : int
        Calls so far (count).
    bytes_received : int
        Size of all response bodies so far (bytes).
    """

    __slots__ = (
        '_client',
        '_etag',
        '_timeout',
        '_url',
        '_vms',
        'bytes_received',
        'calls',
    )

    def __init__(self, client, url, timeout):
        self._client = client
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._vms = ()
        self._etag = ''
        self.bytes_received = 0
        self.calls = 0

    async def fetch(self):
        """Fetch the list of VMs.

        Returns
        -------
        tuple of balsamwind.ports.ListedVm
            The same object as before if the list has not changed.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The call failed or the response is malformed.
        """
        self.calls += 1
        try:
            response = await self._client.fetch(
                'GET',
                f'{self._url}/v1/vms',
                headers=(('If-None-Match', self._etag),) if self._etag else (),
                timeout=self._timeout,
            )
            self.bytes_received += len(response.body)
            if response.status == 304 and self._etag:
                return self._vms
            if response.status != 200:
                raise exceptions.StoreError(
                    f'VM list: answered with status {response.status}'
                )
            rows = json.loads(response.body)['vms']
            self._vms = tuple(
                objects.decode(ports.ListedVm, row) for row in rows
            )
            self._etag = response.headers.get('Etag', '')
            return self._vms
        except (
            exceptions.TransportError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise exceptions.StoreError(
                f'VM list could not be fetched: {error}'
            ) from error


DEFAULT_TICKET_WAIT = 1.0
"""Wait before the next request for a ticket if the weight store sends no valid
``Retry-After`` (seconds)."""


def _parse_retry_after(text):
    try:
        wait = float(text)
    except ValueError:
        return DEFAULT_TICKET_WAIT
    return wait if 0.0 < wait < math.inf else DEFAULT_TICKET_WAIT


class HttpWeightStore:
    """Client of the weight store; implements `balsamwind.ports.WeightStore`.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    url : str
        Base URL of the platform.
    timeout : float
        Timeout of one call (seconds).
    """

    __slots__ = ('_client', '_timeout', '_url')

    def __init__(self, client, url, timeout):
        self._client = client
        self._url = url.rstrip('/')
        self._timeout = timeout

    async def take_ticket(self, model, version):
        """Request a ticket, which permits one load of a model's weights.

        Parameters
        ----------
        model : str
            Name of the model.
        version : str
            Version of its weights.

        Returns
        -------
        float
            0 if a ticket was granted, else the time to wait before the next
            request (seconds).

        Raises
        ------
        balsamwind.exceptions.StoreError
            The call failed.
        """
        body = json.dumps({'model': model, 'version': version})
        try:
            response = await self._client.fetch(
                'POST',
                f'{self._url}/v1/weights/tickets',
                body=body.encode('utf-8'),
                timeout=self._timeout,
            )
        except exceptions.TransportError as error:
            raise exceptions.StoreError(
                f'weight store: ticket request failed: {error}'
            ) from error
        if response.status == 429:
            return _parse_retry_after(response.headers.get('Retry-After', ''))
        if response.status != 200:
            raise exceptions.StoreError(
                f'weight store: answered with status {response.status}'
            )
        return 0.0
