"""A server of a plain service, which leaves and serves on for a while."""

import asyncio
import time

from tornado import httpserver
from tornado import web

WORK_TIME = 0.15
"""Time that a request takes (seconds)."""


class _Handler(web.RequestHandler):
    def initialize(self, server):
        self._server = server

    async def get(self):
        self.set_status(200)
        self.set_header('X-Balsamwind-Instance-Id', self._server.server_id)
        self.finish()

    async def post(self):
        server, headers = self._server, self.request.headers
        expected = headers.get('X-Balsamwind-Expect-Instance')
        request_id = headers.get('X-Balsamwind-Request-Id', '')
        self.set_header('X-Balsamwind-Request-Id', request_id)
        if expected not in (None, server.server_id):
            self.set_status(421)
            self.set_header('X-Balsamwind-Not-Executed', '1')
            self.finish()
            return
        run = [time.monotonic(), server, request_id, None]
        server.runs.append(run)
        await asyncio.sleep(WORK_TIME)
        if server.has_exited:
            return
        run[3] = time.monotonic()
        self.set_header('X-Balsamwind-Response-Stamp', server.server_id)
        self.finish(f'ran {request_id}')


class PlainServer:
    """One server, with its entry in the store."""

    def __init__(self, store, server_id, service, zone, port, runs):
        self.server_id = server_id
        self.runs = runs
        self.removed_at = None
        self.has_exited = False
        self._store = store
        self._born = int(time.time() * 1000)
        self._fields = {
            'Service': service,
            'Address': f'127.0.0.1:{port}',
            'Zone': zone,
            'SlotCount': 6,
            'Version': '1',
        }
        application = web.Application(
            [('/.*', _Handler, {'server': self})],
            log_function=lambda handler: None,
        )
        self._http_server = httpserver.HTTPServer(application)
        self._http_server.listen(port, '127.0.0.1')
        self._write('ready')

    def _write(self, state):
        self._store.put(
            'servers',
            self.server_id,
            {**self._fields, 'State': state, 'born': self._born, 'Seq': 1},
        )

    def remove_entry(self):
        """Remove the entry without a report that it drains."""
        self._store.delete('servers', self.server_id)
        self.removed_at = time.monotonic()

    def find_time_since_removal(self, now):
        """Find how long ago the entry was removed; 0 if it was not."""
        return 0.0 if self.removed_at is None else now - self.removed_at

    async def leave(self, after):
        """Exit some time after the removal of the entry."""
        await asyncio.sleep(self.removed_at + after - time.monotonic())
        self.has_exited = True
        self._http_server.stop()
        await self._http_server.close_all_connections()
