"""Client of model engines, over HTTP, JSON and server-sent events."""

import json

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports

_EVENT_PREFIX = b'data: '

MAX_EVENT_SIZE = 262144
"""Largest event of a response stream (bytes)."""


class HttpEngine:
    """Client of model engines; implements `balsamwind.ports.Engine`.

    The methods take the address of an engine as ``host:port``.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    scheme : str
        URL scheme of the engines, ``http`` or ``https``.
    """

    __slots__ = ('_client', '_scheme')

    def __init__(self, client, scheme='http'):
        self._client = client
        self._scheme = scheme

    async def report(self, address, timeout):
        """Fetch the load report of an engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        timeout : float
            Timeout for connecting and again for the response (seconds).

        Returns
        -------
        balsamwind.ports.EngineReport

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine answered with another status than 200.
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        response = await self._client.fetch(
            'GET',
            f'{self._scheme}://{address}/engine/report',
            timeout=timeout,
            retry_on_new_connection=True,
        )
        if response.status != 200:
            raise exceptions.BackendRefused(
                f'{address}: load report: answered with status'
                f' {response.status}'
            )
        try:
            data = json.loads(response.body)
            return objects.decode(ports.EngineReport, data)
        except (TypeError, ValueError) as error:
            raise exceptions.TransportError(
                f'{address}: malformed load report: {error}'
            ) from None

    async def order(self, address, order, timeout):
        """Send an order to an engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        order : balsamwind.ports.Order
            Order to load or unload a model.
        timeout : float
            Timeout for connecting and again for the response (seconds).

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine says that it did not execute the order.
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        response = await self._client.fetch(
            'POST',
            f'{self._scheme}://{address}/engine/orders',
            body=json.dumps(objects.encode(order)).encode('utf-8'),
            timeout=timeout,
            # Nothing in a refusal shows which order it belongs to.
            new_connection=True,
        )
        if response.status != 200:
            raise _make_error(address, response.status, response.body)

    async def generate(self, address, request, timeout):
        """Start an attempt to generate a completion.

        It has a connection of its own: nothing in a refusal shows which
        request it belongs to.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        request : balsamwind.ports.GenerateRequest
            Request of the attempt.
        timeout : float
            Timeout for connecting and again for the response (seconds).

        Returns
        -------
        HttpEngineStream

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine says that it did not run the request.
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        response = await self._client.open(
            'POST',
            f'{self._scheme}://{address}/engine/generate',
            body=json.dumps(
                objects.encode(request), ensure_ascii=False
            ).encode('utf-8'),
            timeout=timeout,
            new_connection=True,
        )
        response.forbid_reuse()
        if response.status != 200:
            try:
                body = await response.read_all(timeout)
            finally:
                response.close()
            raise _make_error(address, response.status, body)
        return HttpEngineStream(response, address)

    async def export_kv(self, address, request_id, timeout):
        """Ask an engine to hold the KV cache of a request for a transfer.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        request_id : str
            Id of the request whose KV cache is exported.
        timeout : float
            Timeout for connecting and again for the response (seconds).

        Returns
        -------
        balsamwind.ports.KvExport

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine does not hold the KV cache.
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        response = await self._client.fetch(
            'POST',
            f'{self._scheme}://{address}/engine/kv/export',
            body=json.dumps({'request_id': request_id}).encode('utf-8'),
            timeout=timeout,
            # Nothing in an answer shows which request it belongs to.
            new_connection=True,
        )
        if response.status != 200:
            raise _make_error(address, response.status, response.body)
        try:
            return objects.decode(ports.KvExport, json.loads(response.body))
        except (TypeError, ValueError) as error:
            raise exceptions.BadAnswer(
                f'{address}: malformed KV cache export: {error}'
            ) from None

    async def import_kv(self, address, request_id, export, timeout):
        """Make an engine fetch a KV cache from the engine that exported it.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        request_id : str
            Id of the request that the KV cache belongs to.
        export : balsamwind.ports.KvExport
            Export to fetch.
        timeout : float
            Timeout for connecting and again for the response (seconds).

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The KV cache does not fit, or its source no longer holds it.
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        value = {'request_id': request_id, 'export': objects.encode(export)}
        response = await self._client.fetch(
            'POST',
            f'{self._scheme}://{address}/engine/kv/import',
            body=json.dumps(value).encode('utf-8'),
            timeout=timeout,
            new_connection=True,
        )
        if response.status != 200:
            raise _make_error(address, response.status, response.body)


def _make_error(address, status, body):
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
        return exceptions.BadAnswer(
            f'{address}: answered with status {status}, code {reason}'
        )
    return exceptions.BackendRefused(
        f'{address}: answered with status {status}, code {reason}',
        reason,
        retry_after,
    )


class HttpEngineStream:
    """Events of one attempt, read from a response stream.

    Parameters
    ----------
    response : StreamedResponse
        Response whose body holds the events.
    address : str
        ``host:port`` of the engine, for error messages.
    """

    __slots__ = ('_address', '_buffer', '_finished', '_response')

    def __init__(self, response, address):
        self._response = response
        self._address = address
        self._buffer = b''
        self._finished = False

    async def read(self, timeout):
        """Wait for events and return all that have arrived.

        Parameters
        ----------
        timeout : float
            Longest wait for the next bytes (seconds).

        Returns
        -------
        list of balsamwind.ports.Token or balsamwind.ports.FinishEvent
            Empty when the body has ended.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The connection failed, nothing came within `timeout` seconds, or
            an event is malformed or too large.
        """
        events = []
        while not events:
            chunk = await self._response.read(timeout)
            if not chunk:
                return []
            events = self._parse_events(chunk)
        return events

    def _parse_events(self, chunk):
        blocks = (self._buffer + chunk).split(b'\n\n')
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_SIZE:
            raise self._close_with_error(
                f'event is over {MAX_EVENT_SIZE} bytes'
            )
        return [self._parse_event(block) for block in blocks if block]

    def _parse_event(self, block):
        try:
            data = json.loads(block.removeprefix(_EVENT_PREFIX))
            if 'finish' in data:
                self._finished = True
                return ports.FinishEvent(
                    str(data['attempt']),
                    str(data['finish']),
                    int(data['tokens']),
                )
            text = data['text']
            if not isinstance(text, str):
                raise TypeError(f'text: expected a string, got {text!r}')
            return ports.Token(data['attempt'], data['index'], text)
        except (ValueError, KeyError, TypeError) as error:
            raise self._close_with_error(f'malformed event: {error}') from None

    def _close_with_error(self, reason):
        self._finished = False
        self.close()
        return exceptions.BadAnswer(f'{self._address}: {reason}')

    def close(self):
        """Release the connection.

        After the finish event only the end of the body is outstanding; it is
        awaited in the background, so that the engine can write it. Before
        the finish event the connection is closed, which cancels the attempt
        at the engine.
        """
        if self._finished and not self._buffer:
            self._response.release()
        else:
            self._response.close()
