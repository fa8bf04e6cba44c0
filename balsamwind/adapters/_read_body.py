"""Reading of a response body to its end, within bounds."""

import asyncio

from balsamwind import exceptions

MAX_BODY_SIZE = 32 * 1024 * 1024
"""Largest body that is read as a whole, unless less is expected (bytes)."""

BODY_TIME_FACTOR = 5.0
"""Time that a whole body may take, relative to the timeout of a chunk."""


async def read_body(response, timeout, max_size=MAX_BODY_SIZE):
    """Read the body of a response to its end.

    Parameters
    ----------
    response : object
        Response with the methods `read` and `close` of `StreamedResponse`.
    timeout : float
        Longest wait for each chunk; the whole body may take
        `BODY_TIME_FACTOR` times as long (seconds).
    max_size : int
        Largest body (bytes).

    Returns
    -------
    bytes

    Raises
    ------
    balsamwind.exceptions.TransportError
        The body was cut, is larger than `max_size` or does not end in
        time; the response is closed.
    """
    try:
        async with asyncio.timeout(BODY_TIME_FACTOR * timeout):
            return await _read_parts(response, timeout, max_size)
    except TimeoutError:
        response.close()
        raise exceptions.AnswerTimeout('the body does not end') from None


async def _read_parts(response, timeout, max_size):
    parts = []
    size = 0
    while part := await response.read(timeout):
        parts.append(part)
        size += len(part)
        if size > max_size:
            response.close()
            raise exceptions.BadAnswer(
                f'the body is larger than {max_size} bytes'
            )
    return b''.join(parts)
