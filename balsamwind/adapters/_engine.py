"""Model engines, over HTTP, JSON and server-sent events."""

import json

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports

_EVENT_PREFIX = b'data: '


class HttpEngine:
    """Client of the engines.

    Parameters
    ----------
    client : HttpClient
        Connections.
    scheme : str
        ``http`` or ``https``.
    """

    __slots__ = ('_client', '_scheme')

    def __init__(self, client, scheme='http'):
        self._client = client
        self._scheme = scheme

    async def report(self, address, timeout):
        """Load report of the engine at `address`."""
        response = await self._client.fetch(
            'GET', f'{self._scheme}://{address}/engine/report', timeout=timeout
        )
        if response.status != 200:
            raise exceptions.BackendRefused(
                f'{address}: report answered {response.status}'
            )
        try:
            data = json.loads(response.body)
            return objects.decode(ports.EngineReport, data)
        except (TypeError, ValueError) as error:
            raise exceptions.TransportError(
                f'{address}: malformed report: {error}'
            ) from None

    async def order(self, address, order, timeout):
        """Give an order to the engine at `address`."""
        response = await self._client.fetch(
            'POST',
            f'{self._scheme}://{address}/engine/orders',
            body=json.dumps(objects.encode(order)).encode('utf-8'),
            timeout=timeout,
        )
        if response.status != 200:
            raise _make_refusal(address, response.status, response.body)

    async def generate(self, address, request, timeout):
        """Start an attempt at the engine at `address`."""
        response = await self._client.open(
            'POST',
            f'{self._scheme}://{address}/engine/generate',
            body=json.dumps(
                objects.encode(request), ensure_ascii=False
            ).encode('utf-8'),
            timeout=timeout,
        )
        if response.status != 200:
            try:
                body = await response.read_all(timeout)
            finally:
                response.close()
            raise _make_refusal(address, response.status, body)
        return HttpEngineStream(response, address)


def _make_refusal(address, status, body):
    try:
        data = json.loads(body)
        reason = str(data.get('code', ''))
        not_run = bool(data.get('not_run'))
        retry_after = data.get('retry_after')
    except (ValueError, AttributeError):
        reason, not_run, retry_after = '', False, None
    if not not_run:
        return exceptions.TransportError(f'{address}: answered {status}')
    return exceptions.BackendRefused(
        f'{address}: answered {status} {reason}', reason, retry_after
    )


class HttpEngineStream:
    """Events of one attempt."""

    __slots__ = ('_address', '_response', '_rest')

    def __init__(self, response, address):
        self._response = response
        self._address = address
        self._rest = b''

    async def read(self, timeout):
        """Next events that have arrived; empty when the body ended."""
        events = []
        while not events:
            chunk = await self._response.read(timeout)
            if not chunk:
                return []
            events = self._parse(chunk)
        return events

    def _parse(self, chunk):
        blocks = (self._rest + chunk).split(b'\n\n')
        self._rest = blocks.pop()
        return [self._load(block) for block in blocks if block]

    def _load(self, block):
        try:
            data = json.loads(block.removeprefix(_EVENT_PREFIX))
            if 'finish' in data:
                return ports.Finished(
                    data['attempt'], data['finish'], data['tokens']
                )
            return ports.Token(data['attempt'], data['index'], data['text'])
        except (ValueError, KeyError, TypeError) as error:
            self.close()
            raise exceptions.TransportError(
                f'{self._address}: malformed event: {error}'
            ) from None

    def close(self):
        """Stop reading; closing the connection cancels the attempt."""
        self._response.close()
