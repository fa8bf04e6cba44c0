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

    async def call(self, address, call, timeout, tls=False):
        """Send one call, once, on a connection of its own.

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The backend server says that it did not run the call.
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        """
        scheme = 'https' if tls else 'http'
        headers = [
            ('Content-Type', call.content_type),
            ('X-Request-Id', call.request_id),
        ]
        if call.idempotency_key:
            headers.append(('Idempotency-Key', call.idempotency_key))
        response = await self._client.fetch(
            call.method,
            f'{scheme}://{address}{call.path}',
            headers=headers,
            body=call.body,
            timeout=timeout,
            fresh=call.method not in ('GET', 'HEAD'),
        )
        if response.status in (429, 503) and _says_not_run(response.body):
            raise exceptions.BackendRefused(
                f'{address}: answered {response.status}', 'not_run'
            )
        return objects.Answer(
            response.status,
            response.headers.get('Content-Type', 'application/json'),
            base64.b64encode(response.body).decode('ascii'),
        )


def _says_not_run(body):
    try:
        return bool(json.loads(body).get('not_run'))
    except (ValueError, AttributeError):
        return False
