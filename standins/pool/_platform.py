"""The store, and the engines and services that register with it."""

import asyncio
import random
import time

from tornado import httpserver
from tornado import web

from standins.pool import _deadly
from standins.pool import _engine
from standins.pool import _engine_handlers
from standins.pool import _services
from standins.pool import _store
from standins.pool import _times
from standins.pool import _trace

CRASH_TIME = 1.0
"""Time until a crashed server has started again, by default (seconds)."""

TICK_INTERVAL = 0.05
"""Interval at which heartbeats and groups are checked (seconds)."""

MAX_MISSED_HEARTBEATS = 3
"""Missed heartbeats after which an entry is removed (count)."""

BROKEN_HEAD = (
    b'HTTP/1.1 000 X\r\nContent-Type: text/event-stream\r\n'
    b'X-Balsamwind-Response-Stamp: s\r\nX-Balsamwind-Not-Executed: 1\r\n'
    b'Content-Length: 2\r\n\r\nno'
)
"""Head of an answer that is none, and claims what is not so."""


def _make_http_server(routes):
    application = web.Application(routes, log_function=lambda handler: None)
    return httpserver.HTTPServer(application)


class FakePlatform:
    """The store, the engines and the plain services, on one event loop.

    Parameters
    ----------
    find_free_port : callable
        Returns a port that nobody listens on.
    times : Times or None
        Durations of the engines; None for the defaults.

    Attributes
    ----------
    trace : Trace
        Record of what ran, and of violated guarantees.
    store : Store
        The store.
    store_port : int
        Port that the store listens on.
    engines : dict of str to Engine
        Engines by their ids.
    services : dict of str to PlainServer
        Servers of plain services by their ids.
    deadly_parts : set of str
        Ids of prompt parts on which each engine crashes that answers them.
    deadly_ending : DeadlyEnding
        When it does; by default as soon as it begins.
    deadly_bodies : set of bytes
        Bodies of requests under which each server crashes that runs them.
    deadly_run : DeadlyRun
        How a plain server does; by default without an answer.
    broken_heads : list of bytes
        What servers with a ``broken_share`` send in front of empty answers.
    crash_time : float
        Time until a crashed server has started again (seconds).
    crashes : list of str
        Ids of the servers that crashed, in order.
    deadly_crashes : list of float
        When servers crashed on deadly requests (seconds, monotonic clock).
    deadly_arrivals : list of float
        When deadly requests began to run (seconds, monotonic clock).
    """

    def __init__(self, find_free_port, times=None):
        self._find_free_port = find_free_port
        self._http_servers = []
        self._heartbeat_times = {}
        self._tick_task = None
        self.times = times or _times.Times()
        self.trace = _trace.Trace()
        self.store = _store.Store()
        self.store_port = find_free_port()
        self.engines = {}
        self.services = {}
        self.deadly_parts = set()
        self.deadly_ending = _deadly.DeadlyEnding()
        self.deadly_bodies = set()
        self.deadly_run = _deadly.DeadlyRun()
        self.broken_heads = [BROKEN_HEAD]
        self.crash_time = CRASH_TIME
        self.deadly_arrivals = []
        self.crashes = []
        self.deadly_crashes = []
        self._listeners = {}
        self._routes = {}
        self._tasks = set()

    def start(self):
        """Listen as the store, and start the periodic checks."""
        options = {'store': self.store}
        http_server = _make_http_server(
            [
                (r'/v1/objects/([^/]+)', _store.StoreHandler, options),
                (
                    r'/v1/objects/([^/]+)/([^/]+)',
                    _store.StoreHandler,
                    options,
                ),
            ]
        )
        http_server.listen(self.store_port, '127.0.0.1')
        self._http_servers.append(http_server)
        self._tick_task = asyncio.ensure_future(self._run_ticks())

    async def _run_ticks(self):
        while True:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL)

    def _tick(self):
        for engine in self.engines.values():
            engine.break_if_stalled()
        if not self.times.heartbeat:
            return
        now = time.monotonic()
        for server in (*self.engines.values(), *self.services.values()):
            last_heartbeat = self._heartbeat_times.get(
                server.server_id, float('-inf')
            )
            if now - last_heartbeat < self.times.heartbeat:
                continue
            if self.can_write_entry(server):
                self._heartbeat_times[server.server_id] = now
                server.write_entry()
            elif (
                now - last_heartbeat
                > MAX_MISSED_HEARTBEATS * self.times.heartbeat
            ):
                self.store.delete('servers', server.server_id)

    def can_write_entry(self, server):
        """Return whether a server can write its entry now.

        Parameters
        ----------
        server : Engine or PlainServer
            Server that wants to write.

        Returns
        -------
        bool
        """
        return (
            server.alive
            and not server.cut_from_store
            and not self.store.faults.down
        )

    def get_group_size(self, group):
        """Return the number of members that a group must have.

        Parameters
        ----------
        group : dict
            Group of an engine; its name begins with the name of its model.

        Returns
        -------
        int
            Size that is configured for the model (count); 0 if it is unknown.
        """
        spec = self.store.get_objects('config')['main']['Spec']
        model = group['Name'].rsplit('.', 2)[0]
        for service in spec['Services']:
            for configured in service.get('Engine', {}).get('Models', ()):
                if configured['Name'] == model:
                    return configured['size']
        return 0

    def draw_bernoulli(self, probability):
        """Draw whether an event with the given probability happens.

        Parameters
        ----------
        probability : float
            Probability of the event.

        Returns
        -------
        bool
        """
        return random.random() < probability

    def add_engine(
        self, server_id, service, zone, domain, port=None, address=None
    ):
        """Start an engine and write its entry.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        service : str
            Name of the service.
        zone : str
            Data centre of the engine.
        domain : str
            Fabric domain of the engine.
        port : int or None
            Port to listen on; None picks a free one.
        address : str or None
            Address in its entry; None for the loopback address with `port`.

        Returns
        -------
        Engine
        """
        port = port or self._find_free_port()
        engine = _engine.Engine(
            self, server_id, service, zone, domain, port, address
        )
        options = {'engine': engine, 'platform': self}
        self._routes[server_id] = [
            ('/v1/report', _engine_handlers.ReportHandler, options),
            ('/v1/order', _engine_handlers.OrderHandler, options),
            ('/.*', _engine_handlers.InferenceHandler, options),
        ]
        self._listen(engine)
        self.engines[server_id] = engine
        engine.write_entry()
        return engine

    def add_service(self, server_id, service, zone, port=None, address=None):
        """Start a server of a plain service and write its entry.

        Parameters
        ----------
        server_id : str
            Id of the server.
        service : str
            Name of the service.
        zone : str
            Data centre of the server.
        port : int or None
            Port to listen on; None picks a free one.
        address : str or None
            Address in its entry; None for the loopback address with `port`.

        Returns
        -------
        PlainServer
        """
        port = port or self._find_free_port()
        plain_server = _services.PlainServer(
            self, server_id, service, zone, port, address
        )
        options = {'server': plain_server, 'platform': self}
        self._routes[server_id] = [('/.*', _services.PlainHandler, options)]
        self._listen(plain_server)
        self.services[server_id] = plain_server
        plain_server.write_entry()
        return plain_server

    def _listen(self, server):
        http_server = _make_http_server(self._routes[server.server_id])
        http_server.listen(server.port, '127.0.0.1')
        self._http_servers.append(http_server)
        self._listeners[server.server_id] = http_server

    def start_restore(self, age, rewrite_delay):
        """Start `restore_store` and return at once."""
        task = asyncio.ensure_future(self.restore_store(age, rewrite_delay))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def restore_store(self, age, rewrite_delay):
        """Lose the changes that the store is about to get.

        The operator writes its newest configuration again; engines and
        services do with their next heartbeat.

        Parameters
        ----------
        age : float
            Time whose changes are lost (seconds).
        rewrite_delay : float
            Time until the operator writes again (seconds).
        """
        saved = self.store.make_copy()
        await asyncio.sleep(age)
        newest = self.store.get_objects('config')['main']['Spec']
        self.store.restore(saved)
        await asyncio.sleep(rewrite_delay)
        stored = self.store.get_objects('config')['main']['Spec']
        if stored['Version'] < newest['Version']:
            self.store.put('config', 'main', newest)

    def may_break_head(self, server, handler):
        """Send a broken head and an empty answer, or do nothing.

        Parameters
        ----------
        server : Engine or PlainServer
            Server of the handler.
        handler : tornado.web.RequestHandler
            Handler of a request that has run.

        Raises
        ------
        tornado.web.Finish
            It was sent; the handler finishes, and its connection is kept.
        """
        if self.draw_bernoulli(server.broken_share):
            stream = handler.request.connection.stream
            stream.write(random.choice(self.broken_heads))
            raise web.Finish

    def has_deadly_body(self, request):
        """Return whether a request crashes the server that runs it.

        Parameters
        ----------
        request : tornado.httputil.HTTPServerRequest
            The request; it is recorded if it does.
        """
        if request.body not in self.deadly_bodies:
            return False
        self.deadly_arrivals.append(time.monotonic())
        return True

    def is_deadly(self, headers):
        """Return whether a request crashes the engine that answers it.

        Parameters
        ----------
        headers : tornado.httputil.HTTPHeaders
            Headers of the request.

        Returns
        -------
        bool
        """
        parts = headers.get('X-Balsamwind-Prompt-Prefix', '').split(',')
        ids = {part.partition(':')[0] for part in parts}
        return not self.deadly_parts.isdisjoint(ids)

    def crash_on_request(self, server):
        """End the process of a server that runs a deadly request.

        Parameters
        ----------
        server : Engine or PlainServer
            Server that crashes.
        """
        if not server.gone:
            self.deadly_crashes.append(time.monotonic())
        self.crash_server(server)

    def crash_server(self, server):
        """End the process of a server; it starts again after `crash_time`.

        Meanwhile its port refuses connections.

        Parameters
        ----------
        server : Engine or PlainServer
            Server that crashes.
        """
        if server.gone:
            return
        self.crashes.append(server.server_id)
        server.gone = True
        self._listeners[server.server_id].stop()
        server.kill()
        task = asyncio.ensure_future(self._restart_server(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart_server(self, server):
        await self._listeners[server.server_id].close_all_connections()
        await asyncio.sleep(self.crash_time)
        server.gone = False
        self._listen(server)
        server.restart()

    async def stop(self):
        """Stop the periodic checks and close all sockets."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        for task in list(self._tasks):
            task.cancel()
        for http_server in self._http_servers:
            http_server.stop()
            await http_server.close_all_connections()
