"""A client that sends one request after the other to one node."""

import asyncio
import contextlib
import uuid


class Client:
    """Client with one connection, which it keeps while it is open."""

    def __init__(self, host, port):
        self._host = host
        self._port = port
        self._reader = None
        self._writer = None

    async def request(self, target, virtual_host, budget):
        """Send a request, and wait for the whole answer.

        Returns
        -------
        (str, int or None)
            Id of the request; status of the answer, None if the connection
            ended without a whole one.
        """
        request_id = uuid.uuid4().hex[:16]
        try:
            async with asyncio.timeout(budget + 1.0):
                status = await self._exchange(
                    request_id, target, virtual_host, budget
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = None
            self.close()
        return request_id, status

    async def _exchange(self, request_id, target, virtual_host, budget):
        if self._writer is None or self._writer.is_closing():
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        body = f'body of {request_id}'.encode('ascii')
        self._writer.write(
            (
                f'POST {target} HTTP/1.1\r\nHost: {virtual_host}\r\n'
                f'X-Balsamwind-Request-Id: {request_id}\r\n'
                f'X-Balsamwind-Time-Budget-Ms: {int(budget * 1000)}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode('ascii')
            + body
        )
        head = await self._reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        await self._reader.readexactly(int(headers['content-length']))
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return int(lines[0].split()[1])

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._writer = None
