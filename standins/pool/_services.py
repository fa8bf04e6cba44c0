"""A plain service behind the same store."""

import asyncio

from tornado import web

from standins.pool import _witness


class PlainServer:
    """One server of a plain service.

    Parameters
    ----------
    platform : PoolPlatform
        Store and witness.
    server_id, service, zone : str
        Identity and place.
    port : int
        Where it listens.
    address : str or None
        Address in its entry, if that is not the port.
    """

    def __init__(self, platform, server_id, service, zone, port, address=None):
        self.server_id = server_id
        self.service = service
        self.port = port
        self._platform = platform
        self._zone = zone
        self._address = address or f'127.0.0.1:{port}'
        self.state = 'ready'
        self.dark = False
        self.gone = False
        self.cut_from_store = False
        self.work = 0.02
        self.lose_answers = 0.0
        self.running = 0

    @property
    def alive(self):
        """Whether it does its work."""
        return not self.dark and not self.gone

    def end(self):
        """End as a process that is killed; what runs there goes on."""

    def write_entry(self):
        """Write this server's entry, if it reaches the store."""
        if not self._platform.may_write(self):
            return
        spec = {
            'Service': self.service,
            'Address': self._address,
            'Zone': self._zone,
            'SlotCount': 6,
            'State': self.state,
            'Seq': 1,
            'born': 1700000000000 + self.port,
        }
        self._platform.store.put('servers', self.server_id, spec)


class PlainHandler(web.RequestHandler):
    """Requests to a plain service."""

    def initialize(self, server, platform):
        self._server = server
        self._platform = platform

    async def prepare(self):
        if self._server.gone:
            self._reset()
        while self._server.dark:
            await asyncio.sleep(0.02)

    def _reset(self):
        self.request.connection.stream.close()
        raise web.Finish

    async def post(self):
        server = self._server
        headers = self.request.headers
        if headers.get('X-Balsamwind-Expect-Instance') != server.server_id:
            self.set_status(421)
            return self.finish()
        request_id = headers.get('X-Balsamwind-Request-Id', '')
        self._platform.witness.note_arrival(
            server.service, request_id, server.server_id
        )
        run = self._platform.witness.begin(
            _witness.Run(
                request_id=request_id,
                service=server.service,
                server_id=server.server_id,
                path=self.request.path,
                body=self.request.body.decode('latin-1'),
                account=headers.get('X-Balsamwind-Tenant', ''),
                leaked_key='Authorization' in headers,
            )
        )
        server.running += 1
        try:
            await asyncio.sleep(server.work)
        finally:
            server.running -= 1
            self._platform.witness.end(run, 'whole')
        if self._platform.chance(server.lose_answers):
            self._reset()
        self.set_header('X-Balsamwind-Request-Id', request_id)
        self.set_header('X-Balsamwind-Response-Stamp', server.server_id)
        return self.finish(f'{server.service} ran {request_id}')

    get = post
