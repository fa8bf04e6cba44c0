"""Client of plain services, over HTTP."""

import base64
import json

from balsamwind import exceptions
from balsamwind import objects


class HttpPlainService:
    """Client of plain services; implements `balsamwind.ports.PlainService`.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    """

    __slots__ = ('_client',)

    def __init__(self, client):
        self._client = client

    async def call(
        self,
        address,
        call,
        timeout,
        tls=False,
        late_answer_time=0.0,
        max_answer_size=None,
    ):
        """Send a call once, without retries.

        Each call gets a new connection. On a kept one, nothing would show
        that a response is not the second copy of an earlier one; and if the
        server closed it at the same time, the outcome would be unknown.

        Parameters
        ----------
        address : str
            ``host:port`` of the backend server.
        call : balsamwind.ports.ServiceCall
            Call to send.
        timeout : float
            Timeout for connecting, for the response headers and for each
            chunk of the body, each counted anew (seconds).
        tls : bool
            Whether the backend server is reached by TLS.
        late_answer_time : float
            Time added to `timeout`, in which a late response is still
            accepted (seconds).
        max_answer_size : int or None
            Largest response body (bytes); None for no limit.

        Returns
        -------
        balsamwind.objects.Answer

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The backend server says that it did not run the call.
        balsamwind.exceptions.TransportError
            The call failed; `sent` says whether a byte of it may have been
            sent.
        balsamwind.exceptions.AnswerTooLarge
            The call was run, but its response body is over `max_answer_size`.
        """
        scheme = 'https' if tls else 'http'
        response = await self._client.open(
            call.method,
            f'{scheme}://{address}{call.path}',
            headers=_make_headers(call),
            body=call.body,
            timeout=timeout + late_answer_time,
            new_connection=True,
        )
        try:
            body = await _read_body(
                response, address, timeout + late_answer_time, max_answer_size
            )
        finally:
            response.close()
        if response.status in (429, 503) and _says_not_run(body):
            raise _make_refused_error(address, response)
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


async def _read_body(response, address, timeout, max_answer_size):
    chunks = []
    size = 0
    while chunk := await response.read(timeout):
        chunks.append(chunk)
        size += len(chunk)
        if max_answer_size is not None and size > max_answer_size:
            raise exceptions.AnswerTooLarge(
                f'{address}: response body is over {max_answer_size} bytes'
            )
    return b''.join(chunks)


def _make_refused_error(address, response):
    try:
        retry_after = float(response.headers.get('Retry-After', ''))
    except ValueError:
        retry_after = None
    return exceptions.BackendRefused(
        f'{address}: refused the call with status {response.status}',
        'overloaded' if response.status == 429 else 'not_run',
        retry_after,
    )


def _says_not_run(body):
    try:
        return json.loads(body).get('not_run') is True
    except (ValueError, AttributeError):
        return False
