"""The store, and what registered with it, on one loop."""

import asyncio
import random
import time

from tornado import httpserver
from tornado import web

from standins.pool import _engine
from standins.pool import _engine_pages
from standins.pool import _services
from standins.pool import _store
from standins.pool import _times
from standins.pool import _witness

TICK = 0.05
"""Time between two looks at heartbeats and groups (seconds)."""

BEATS = 3
"""Heartbeats without which an entry is removed (count)."""


def _serve(handlers):
    application = web.Application(handlers, log_function=lambda handler: None)
    return httpserver.HTTPServer(application)


class PoolPlatform:
    """The store, engines and plain services.

    Parameters
    ----------
    free_port : callable
        Gives a port that nobody listens on.
    times : Times or None
        How long the engines take.
    """

    def __init__(self, free_port, times=None):
        self._free_port = free_port
        self._servers = []
        self._beats = {}
        self._ticker = None
        self.times = times or _times.Times()
        self.witness = _witness.Witness()
        self.store = _store.Store()
        self.store_port = free_port()
        self.engines = {}
        self.services = {}

    def start(self):
        """Listen as the store."""
        options = {'store': self.store}
        server = _serve(
            [
                (r'/v1/objects/([^/]+)', _store.StoreHandler, options),
                (
                    r'/v1/objects/([^/]+)/([^/]+)',
                    _store.StoreHandler,
                    options,
                ),
            ]
        )
        server.listen(self.store_port, '127.0.0.1')
        self._servers.append(server)
        self._ticker = asyncio.ensure_future(self._tick_for_ever())

    async def _tick_for_ever(self):
        while True:
            self._tick()
            await asyncio.sleep(TICK)

    def _tick(self):
        for engine in self.engines.values():
            engine.watch_members()
        if not self.times.heartbeat:
            return
        now = time.monotonic()
        for server in (*self.engines.values(), *self.services.values()):
            last = self._beats.get(server.server_id, float('-inf'))
            if now - last < self.times.heartbeat:
                continue
            if self.may_write(server):
                self._beats[server.server_id] = now
                server.write_entry()
            elif now - last > BEATS * self.times.heartbeat:
                self.store.delete('servers', server.server_id)

    def may_write(self, server):
        """Whether a server's entry can be written now."""
        return (
            server.alive
            and not server.cut_from_store
            and not self.store.faults.down
        )

    def size(self, group):
        """Members of a whole group of its model, as configured (count)."""
        spec = self.store.kind('config')['main']['Spec']
        model = group['Name'].rsplit('.', 2)[0]
        for service in spec['Services']:
            for known in service.get('Engine', {}).get('Models', ()):
                if known['Name'] == model:
                    return known['size']
        return 0

    def chance(self, share):
        """Whether something with this probability happens."""
        return random.random() < share

    def add_engine(
        self, server_id, service, zone, domain, port=None, address=None
    ):
        """Start an engine and write its entry."""
        port = port or self._free_port()
        engine = _engine.Engine(
            self, server_id, service, zone, domain, port, address
        )
        options = {'engine': engine, 'platform': self}
        server = _serve(
            [
                ('/v1/report', _engine_pages.ReportHandler, options),
                ('/v1/order', _engine_pages.OrderHandler, options),
                ('/.*', _engine_pages.ServeHandler, options),
            ]
        )
        server.listen(port, '127.0.0.1')
        self._servers.append(server)
        self.engines[server_id] = engine
        engine.write_entry()
        return engine

    def add_service(self, server_id, service, zone, port=None, address=None):
        """Start a server of a plain service and write its entry."""
        port = port or self._free_port()
        plain = _services.PlainServer(
            self, server_id, service, zone, port, address
        )
        options = {'server': plain, 'platform': self}
        server = _serve([('/.*', _services.PlainHandler, options)])
        server.listen(port, '127.0.0.1')
        self._servers.append(server)
        self.services[server_id] = plain
        plain.write_entry()
        return plain

    async def stop(self):
        """Close all sockets."""
        if self._ticker is not None:
            self._ticker.cancel()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
