"""Plain services behind the platform's store."""

import asyncio

from tornado import web

from standins.pool import _trace


class PlainServer:
    """One server of a plain service.

    Parameters
    ----------
    platform : FakePlatform
        Gives the store and the trace.
    server_id : str
        Id of the server.
    service : str
        Name of the service.
    zone : str
        Data centre of the server.
    port : int
        Port that it listens on.
    address : str or None
        Address in its entry; None for the loopback address with `port`.

    Attributes
    ----------
    state : str
        State in its entry.
    dark : bool
        Whether new requests get no answer, as if the server hung.
    gone : bool
        Whether it resets new requests, as if its process were dead.
    cut_from_store : bool
        Whether it cannot write its entry.
    processing_time : float
        Time that a request takes (seconds).
    lose_answers : float
        Share of requests that run and whose connection is then closed.
    broken_share : float
        Share of requests that run and whose answer has a broken head.
    running : int
        Requests that run (count).
    incarnation : int
        Number that grows with each restart, published as ``born``.
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
        self.processing_time = 0.02
        self.lose_answers = 0.0
        self.broken_share = 0.0
        self.running = 0
        self.incarnation = 1700000000000 + port

    @property
    def alive(self):
        """Whether it answers: neither hung nor dead."""
        return not self.dark and not self.gone

    def kill(self):
        """Do nothing: requests that run when it is killed still finish."""

    def restart(self):
        """Start again under the same id, as a new incarnation."""
        self.incarnation += 1
        self.write_entry()

    def write_entry(self):
        """Write the entry of this server if it can reach the store."""
        if not self._platform.can_write_entry(self):
            return
        spec = {
            'Service': self.service,
            'Address': self._address,
            'Zone': self._zone,
            'SlotCount': 6,
            'State': self.state,
            'Seq': 1,
            'born': self.incarnation,
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
        self._platform.trace.record_arrival(
            server.service, request_id, server.server_id
        )
        run = self._platform.trace.begin_run(
            _trace.Run(
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
            if self._platform.has_deadly_body(self.request):
                await self._end_server(server)
                raise web.Finish
            await asyncio.sleep(server.processing_time)
        finally:
            server.running -= 1
            self._platform.trace.end_run(run, 'whole')
        if self._platform.draw_bernoulli(server.lose_answers):
            self._reset()
        self._platform.may_break_head(server, self)
        self.set_header('X-Balsamwind-Request-Id', request_id)
        self.set_header('X-Balsamwind-Response-Stamp', server.server_id)
        return self.finish(f'{server.service} ran {request_id}')

    async def _end_server(self, server):
        """End the server under its request, however little it has sent."""
        run = self._platform.deadly_run
        await asyncio.sleep(run.draw_work_time())
        stream = self.request.connection.stream
        if run.head and not stream.closed():
            stream.write(run.head)
        await asyncio.sleep(run.draw_pause())
        self._platform.crash_on_request(server)

    get = post
