"""Plain services, over HTTP."""

import base64
import json

from balsamwind import exceptions
from balsamwind import objects


class HttpPlainService:
    """Client of plain services.

    Parameters
    ----------
    client : HttpClient
        Connections.
    """

    __slots__ = ('_client',)

    def __init__(self, client):
        self._client = client

    async def call(
        self, address, call, timeout, tls=False, late=0.0, limit=None
    ):
        """Send one call, once, on a connection of its own.

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The backend server says that it did not run the call.
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        balsamwind.exceptions.AnswerTooLarge
            The call was run; its answer is over `limit`.
        """
        scheme = 'https' if tls else 'http'
        response = await self._client.open(
            call.method,
            f'{scheme}://{address}{call.path}',
            headers=_make_headers(call),
            body=call.body,
            timeout=timeout + late,
            new_connection=call.method not in ('GET', 'HEAD'),
        )
        try:
            body = await _read(response, address, timeout + late, limit)
        finally:
            response.close()
        if response.status in (429, 503) and _says_not_run(body):
            raise _make_refusal(address, response)
        return objects.Answer(
            response.status,
            response.headers.get('Content-Type', 'application/json'),
            base64.b64encode(body).decode('ascii'),
        )


def _make_headers(call):
    headers = [
        ('Content-Type', call.content_type),
        ('X-Request-Id', call.request_id),
    ]
    if call.idempotency_key:
        headers.append(('Idempotency-Key', call.idempotency_key))
    return headers


async def _read(response, address, timeout, limit):
    parts = []
    size = 0
    while part := await response.read(timeout):
        parts.append(part)
        size += len(part)
        if limit is not None and size > limit:
            raise exceptions.AnswerTooLarge(
                f'{address}: answer over {limit} bytes'
            )
    return b''.join(parts)


def _make_refusal(address, response):
    try:
        retry_after = float(response.headers.get('Retry-After', ''))
    except ValueError:
        retry_after = None
    return exceptions.BackendRefused(
        f'{address}: answered {response.status}',
        'overloaded' if response.status == 429 else 'not_run',
        retry_after,
    )


def _says_not_run(body):
    try:
        return json.loads(body).get('not_run') is True
    except (ValueError, AttributeError):
        return False
