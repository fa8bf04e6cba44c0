"""Stand-in of the users' platform: store, engines, plain services.

It speaks the published formats, on one loop and over loopback sockets, and
holds just what the tests ask for.
"""

import asyncio
import contextlib
import json
import time

from tornado import httpserver
from tornado import web

PAGE = 50
"""Objects on one page of a list (count)."""


class _Objects(web.RequestHandler):
    def initialize(self, store):
        self._store = store

    def _answer(self, status, value=None):
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value) if value is not None else '')

    async def prepare(self):
        self._store.calls.append((self.request.method, self.request.uri))
        if self._store.down:
            await asyncio.sleep(30.0)
        if self._store.refuse:
            self._answer(503)

    async def get(self, kind, name=None):
        if name is not None:
            row = self._store.kind(kind).get(name)
            return self._answer(200 if row else 404, row)
        since = self.get_query_argument('Watch', None)
        if since is None:
            return self._list(kind)
        if int(since) < self._store.oldest:
            return self._answer(410)
        wait = int(self.get_query_argument('WaitMs', '1000')) / 1000
        events = await self._store.wait_events(kind, int(since), wait)
        return self._answer(
            200, {'events': events, 'StoreRevision': self._store.revision}
        )

    def _list(self, kind):
        after = self.get_query_argument('After', '')
        rows = [
            row
            for name, row in sorted(self._store.kind(kind).items())
            if name > after
        ]
        return self._answer(
            200,
            {
                'Items': rows[:PAGE],
                'HasMore': len(rows) > PAGE,
                'StoreRevision': self._store.revision,
            },
        )

    def post(self, kind):
        value = json.loads(self.request.body)
        name = value['Metadata']['Name']
        if name in self._store.kind(kind):
            return self._answer(409, self._store.kind(kind)[name])
        return self._answer(200, self._store.put(kind, name, value['Spec']))

    def put(self, kind, name):
        value = json.loads(self.request.body)
        row = self._store.kind(kind).get(name)
        if row is None:
            return self._answer(404)
        if value['Metadata'].get('Revision') != row['Metadata']['Revision']:
            return self._answer(409, row)
        return self._answer(200, self._store.put(kind, name, value['Spec']))


class Store:
    """Objects by kind, with a history of changes."""

    def __init__(self):
        self._kinds = {}
        self._events = []
        self._changed = asyncio.Event()
        self.revision = 10
        self.oldest = 0
        self.down = False
        self.refuse = False
        self.calls = []

    def kind(self, kind):
        """Objects of a kind, by name."""
        return self._kinds.setdefault(kind, {})

    def put(self, kind, name, spec):
        """Write an object."""
        self.revision += 1
        row = {
            'Metadata': {'Name': name, 'Revision': self.revision},
            'Spec': spec,
            'Status': None,
        }
        self.kind(kind)[name] = row
        self._note(kind, row, False)
        return row

    def delete(self, kind, name):
        """Remove an object."""
        self.revision += 1
        row = self.kind(kind).pop(name)
        self._note(kind, row, True)

    def _note(self, kind, row, deleted):
        event = {'Object': row, 'Deleted': deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_events(self, kind, since, wait):
        """Changes of a kind after `since`."""
        end = time.monotonic() + wait
        while True:
            found = [
                event
                for revision, its_kind, event in self._events
                if revision > since and its_kind == kind
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return found
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Engine:
    """A model engine that follows orders and streams events."""

    def __init__(self, store, server_id, service, zone, domain, port):
        self.server_id = server_id
        self.port = port
        self._store = store
        self._service = service
        self._zone = zone
        self._domain = domain
        self._born = 1700000000000 + port
        self.orders = 0
        self.fence = 0
        self.model = ''
        self.group = None
        self.staged = []
        self.dark = False
        self.served = []
        self.cut_after = None
        self.events = 6
        self.pause = 0.01

    def write_entry(self):
        """Write this engine's entry."""
        spec = {
            'Service': self._service,
            'Address': f'127.0.0.1:{self.port}',
            'Zone': self._zone,
            'SlotCount': 9,
            'State': 'ready',
            'Seq': 99,
            'Domain': self._domain,
            **self._describe(),
        }
        self._store.put('servers', self.server_id, spec)

    def _describe(self):
        models = [{'Name': self.model}] if self.model else []
        return {
            'born': self._born,
            'Models': models,
            'Staged': list(self.staged),
            'group': self.group,
        }

    def report(self):
        """What it says of itself."""
        return {
            'Seq': self.orders,
            'NumRunning': 0,
            'NumQueued': 0,
            'pace': 1.0,
            **self._describe(),
        }

    def order(self, data):
        """Take an order; the status of the answer."""
        if data.get('Fence', 0) < self.fence:
            return 412
        self.fence = data.get('Fence', 0)
        if data.get('Precondition', self.orders) != self.orders:
            return 409
        match data['Operation']:
            case 'join':
                return self._join(data)
            case 'open' | 'close' | 'leave':
                return self._change(data)
            case 'stage':
                self.staged = [data['Model']]
                self._begin()
                return 202
        return 400

    def _begin(self):
        self.orders += 1
        self.write_entry()

    def _join(self, data):
        self.model = data['Model']
        self.group = {
            'Name': data['group'],
            'epoch': data['epoch'],
            'rank': data['Members'].index(self.server_id),
            'State': 'ready',
        }
        self._begin()
        return 202

    def _change(self, data):
        group = self.group
        if group is None or group['Name'] != data['group']:
            return 409
        states = {'open': 'open', 'close': 'ready'}
        if data['Operation'] == 'leave':
            self.group = None
        else:
            group['State'] = states[data['Operation']]
        self._begin()
        return 202


class _EngineHandler(web.RequestHandler):
    def initialize(self, engine):
        self._engine = engine

    async def prepare(self):
        if self._engine.dark:
            await asyncio.sleep(30.0)


class _Report(_EngineHandler):
    def get(self):
        self.finish(self._engine.report())


class _Order(_EngineHandler):
    def post(self):
        self.set_status(self._engine.order(json.loads(self.request.body)))
        self.finish()


class _Serve(_EngineHandler):
    async def post(self):
        engine = self._engine
        headers = self.request.headers
        expected = headers.get('X-Balsamwind-Expect-Instance')
        group = engine.group
        if expected != engine.server_id or not group:
            self.set_status(421)
            return self.finish()
        if group['State'] != 'open':
            self.set_status(503)
            self.set_header('X-Balsamwind-Not-Executed', '1')
            return self.finish()
        engine.served.append(dict(headers))
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header(
            'X-Balsamwind-Request-Id', headers['X-Balsamwind-Request-Id']
        )
        self.set_header('X-Balsamwind-Response-Stamp', engine.server_id)
        first = int(headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, engine.events + 1):
            if engine.cut_after is not None and number > engine.cut_after:
                self.write(f'id: {number}\nda')
                await self.flush()
                self.request.connection.stream.close()
                return None
            if engine.dark:
                await asyncio.sleep(30.0)
            self.write(f'id: {number}\ndata: token {number}\n\n')
            await self.flush()
            await asyncio.sleep(engine.pause)
        return self.finish()


def _make_engine_server(engine):
    options = {'engine': engine}
    application = web.Application(
        [
            ('/v1/report', _Report, options),
            ('/v1/order', _Order, options),
            ('/.*', _Serve, options),
        ],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)


class PoolPlatform:
    """The store, and engines that registered with it.

    Parameters
    ----------
    free_port : callable
        Gives a port that nobody listens on.
    """

    def __init__(self, free_port):
        self._free_port = free_port
        self._servers = []
        self.store = Store()
        self.store_port = free_port()
        self.engines = {}

    def start(self):
        """Listen as the store."""
        options = {'store': self.store}
        application = web.Application(
            [
                (r'/v1/objects/([^/]+)', _Objects, options),
                (r'/v1/objects/([^/]+)/([^/]+)', _Objects, options),
            ],
            log_function=lambda handler: None,
        )
        server = httpserver.HTTPServer(application)
        server.listen(self.store_port, '127.0.0.1')
        self._servers.append(server)

    def add_engine(self, server_id, service, zone, domain):
        """Start an engine and write its entry."""
        port = self._free_port()
        engine = Engine(self.store, server_id, service, zone, domain, port)
        server = _make_engine_server(engine)
        server.listen(port, '127.0.0.1')
        self._servers.append(server)
        self.engines[server_id] = engine
        engine.write_entry()
        return engine

    async def stop(self):
        """Close all sockets."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
