"""Stand-in of the platform: object API, VM list, weight store.

Faults are set by ``POST /admin/faults``: ``down`` refuses all calls with
503, ``lose_answers`` carries out that many writes and closes the connection
instead of answering, ``delay`` answers late (seconds), ``body`` answers
every call with that text instead of what it should say.
"""

import argparse
import asyncio
import json
import time

from tornado import httpserver
from tornado import netutil
from tornado import web

HISTORY = 10000
"""Changes kept for watches (count)."""


class Platform:
    """State of the platform."""

    def __init__(self, vms=(), loads_per_second=1000.0):
        self.revision = 0
        self.objects = {}
        self.history = []
        self.vms = list(vms)
        self.faults = {
            'down': False,
            'lose_answers': 0,
            'delay': 0.0,
            'body': '',
        }
        self.calls = 0
        self.loads_per_second = loads_per_second
        self.next_load_at = 0.0
        self.retry_after = ''
        self._changed = asyncio.Event()

    def row(self, key):
        """One object as the API shows it."""
        kind, name = key
        revision, value = self.objects[key]
        return {
            'kind': kind,
            'name': name,
            'revision': revision,
            'value': value,
        }

    def write(self, key, value, expected):
        """Conditional write; (status, body)."""
        known = self.objects.get(key)
        if (known[0] if known else 0) != expected:
            return 409, {'current': self.row(key) if known else None}
        self.revision += 1
        if value is None:
            self.objects.pop(key, None)
        else:
            self.objects[key] = (self.revision, value)
        change = {
            'kind': key[0],
            'name': key[1],
            'revision': self.revision,
            'value': value,
        }
        self.history = [*self.history[-HISTORY:], change]
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, change

    def changes(self, kinds, since):
        """Changes after a revision; None if they are no longer held."""
        if since > self.revision:
            return None
        if since < self.revision - len(self.history):
            return None
        return [
            change
            for change in self.history
            if change['revision'] > since and change['kind'] in kinds
        ]

    async def wait(self, timeout):
        """Wait for the next change."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return


class _Handler(web.RequestHandler):
    def initialize(self, platform):
        self.platform = platform

    async def prepare(self):
        self.platform.calls += 1
        faults = self.platform.faults
        if faults['delay']:
            await asyncio.sleep(faults['delay'])
        if faults['down']:
            self.set_status(503)
            self.finish({'code': 'down'})

    def answer(self, status, body):
        faults = self.platform.faults
        if self.request.method != 'GET' and faults['lose_answers']:
            faults['lose_answers'] -= 1
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.finish(faults['body'] or json.dumps(body))


class _ObjectHandler(_Handler):
    def get(self, kind, name):
        if (kind, name) not in self.platform.objects:
            self.answer(404, None)
        else:
            self.answer(200, self.platform.row((kind, name)))

    def put(self, kind, name):
        value = json.loads(self.request.body)
        expected = int(self.get_argument('revision'))
        self.answer(*self.platform.write((kind, name), value, expected))

    def delete(self, kind, name):
        expected = int(self.get_argument('revision'))
        self.answer(*self.platform.write((kind, name), None, expected))


class _ListHandler(_Handler):
    def get(self):
        kinds = self.get_argument('kinds').split(',')
        items = [
            self.platform.row(key)
            for key in self.platform.objects
            if key[0] in kinds
        ]
        self.answer(200, {'revision': self.platform.revision, 'items': items})


class _WatchHandler(_Handler):
    async def get(self):
        kinds = self.get_argument('kinds').split(',')
        since = int(self.get_argument('since'))
        deadline = time.monotonic() + float(self.get_argument('timeout'))
        while True:
            changes = self.platform.changes(kinds, since)
            left = deadline - time.monotonic()
            if changes or changes is None or left <= 0:
                break
            await self.platform.wait(left)
        if self.platform.faults['down']:
            self.answer(503, {'code': 'down'})
        elif changes is None:
            self.answer(410, {'code': 'gone'})
        else:
            body = {'revision': self.platform.revision, 'items': changes}
            self.answer(200, body)


class _VmsHandler(_Handler):
    def get(self):
        self.answer(200, {'vms': self.platform.vms})


class _TicketHandler(_Handler):
    def post(self):
        now = time.monotonic()
        if now < self.platform.next_load_at:
            wait = self.platform.retry_after
            wait = wait or self.platform.next_load_at - now
            self.set_header('Retry-After', str(wait))
            self.answer(429, {'code': 'rate'})
            return
        self.platform.next_load_at = now + 1 / self.platform.loads_per_second
        self.answer(200, {})


class _AdminHandler(web.RequestHandler):
    def initialize(self, platform):
        self.platform = platform

    def get(self, what):
        self.write({'calls': self.platform.calls})

    def post(self, what):
        data = json.loads(self.request.body)
        if what == 'faults':
            self.platform.faults.update(data)
        else:
            self.platform.vms = data['vms']
        self.write({})


def make_server(platform):
    """HTTP server of a platform; it does not listen yet."""
    arguments = {'platform': platform}
    application = web.Application(
        [
            ('/v1/objects/([^/]+)/([^/]+)', _ObjectHandler, arguments),
            ('/v1/objects', _ListHandler, arguments),
            ('/v1/watch', _WatchHandler, arguments),
            ('/v1/vms', _VmsHandler, arguments),
            ('/v1/weights/tickets', _TicketHandler, arguments),
            ('/admin/(faults|vms|calls)', _AdminHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)


def listen(server, port=0):
    """Listen on loopback; the port."""
    sockets = netutil.bind_sockets(port, '127.0.0.1')
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


async def main():
    """Run the platform until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--vms', required=True)
    arguments = parser.parse_args()
    with open(arguments.vms, encoding='utf-8') as file:
        vms = json.load(file)
    listen(make_server(Platform(vms)), arguments.port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
