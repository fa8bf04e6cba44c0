"""Model engines, over HTTP, JSON and server-sent events."""

import json

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports

_EVENT_PREFIX = b'data: '

MAX_EVENT = 262144
"""Largest event of an answer (bytes)."""


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
            'GET',
            f'{self._scheme}://{address}/engine/report',
            timeout=timeout,
            repeat=True,
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
            repeat=True,
        )
        if response.status != 200:
            try:
                body = await response.read_all(timeout)
            finally:
                response.close()
            raise _make_refusal(address, response.status, body)
        return HttpEngineStream(response, address)

    async def export_kv(self, address, request_id, timeout):
        """Ask the engine at `address` for the KV cache of a request."""
        response = await self._client.fetch(
            'POST',
            f'{self._scheme}://{address}/engine/kv/export',
            body=json.dumps({'request_id': request_id}).encode('utf-8'),
            timeout=timeout,
        )
        if response.status != 200:
            raise _make_refusal(address, response.status, response.body)
        try:
            return objects.decode(ports.KvExport, json.loads(response.body))
        except (TypeError, ValueError) as error:
            raise exceptions.BadAnswer(
                f'{address}: malformed export: {error}'
            ) from None

    async def import_kv(self, address, request_id, export, timeout):
        """Have the engine at `address` fetch a KV cache."""
        value = {'request_id': request_id, 'export': objects.encode(export)}
        response = await self._client.fetch(
            'POST',
            f'{self._scheme}://{address}/engine/kv/import',
            body=json.dumps(value).encode('utf-8'),
            timeout=timeout,
        )
        if response.status != 200:
            raise _make_refusal(address, response.status, response.body)


def _make_refusal(address, status, body):
    reason, not_run, retry_after = '', False, None
    try:
        data = json.loads(body)
        reason = str(data.get('code', ''))
        not_run = data.get('not_run') is True
        if isinstance(data.get('retry_after'), (int, float)):
            retry_after = float(data['retry_after'])
    except (ValueError, AttributeError):
        not_run = False
    if not not_run:
        return exceptions.BadAnswer(f'{address}: answered {status} {reason}')
    return exceptions.BackendRefused(
        f'{address}: answered {status} {reason}', reason, retry_after
    )


class HttpEngineStream:
    """Events of one attempt."""

    __slots__ = ('_address', '_finished', '_response', '_rest')

    def __init__(self, response, address):
        self._response = response
        self._address = address
        self._rest = b''
        self._finished = False

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
        if len(self._rest) > MAX_EVENT:
            raise self._refuse(f'event over {MAX_EVENT} bytes')
        return [self._load(block) for block in blocks if block]

    def _load(self, block):
        try:
            data = json.loads(block.removeprefix(_EVENT_PREFIX))
            if 'finish' in data:
                self._finished = True
                return ports.Finished(
                    str(data['attempt']),
                    str(data['finish']),
                    int(data['tokens']),
                )
            text = data['text']
            if not isinstance(text, str):
                raise TypeError(f'text: got {text!r}')
            return ports.Token(data['attempt'], data['index'], text)
        except (ValueError, KeyError, TypeError) as error:
            raise self._refuse(f'malformed event: {error}') from None

    def _refuse(self, reason):
        self._finished = False
        self.close()
        return exceptions.BadAnswer(f'{self._address}: {reason}')

    def close(self):
        """Free the connection.

        After the finish mark only the end of the body is awaited, in the
        background, so that the connection can be used again. Before it the
        connection is closed, which cancels the attempt.
        """
        if self._finished and not self._rest:
            self._response.release()
        else:
            self._response.close()
