"""Stand-in for the platform: object API, list of VMs and weight store.

``POST /admin/faults`` sets faults. With ``down`` every API call is answered
with status 503. ``lose_answers`` is the number of calls other than ``GET``
that are carried out and whose connection is closed instead of an answer.
``delay`` postpones the handling of every call (seconds). ``body`` replaces
the body of every other answer with the given text. ``POST /admin/vms``
replaces the list of VMs, and ``GET /admin/calls`` answers the number of API
calls.
"""

import argparse
import asyncio
import json
import time

from tornado import httpserver
from tornado import netutil
from tornado import web

MAX_HISTORY = 10000
"""Changes that are kept for watches (count)."""


class Platform:
    """State of the platform.

    Parameters
    ----------
    vms : iterable of dict
        Rows of the list of VMs, as the API returns them.
    loads_per_second : float
        Rate at which tickets for loads from the weight store are granted
        (tickets per second).

    Attributes
    ----------
    revision : int
        Revision of the last write.
    objects : dict
        Revision and value of each object, by kind and name.
    history : list of dict
        Latest changes, oldest first.
    faults : dict
        Current faults, with the keys of ``POST /admin/faults``.
    calls : int
        API calls so far (count).
    next_load_at : float
        Monotonic time before which no further ticket is granted (seconds).
    retry_after : str
        Value of ``Retry-After`` for a refused ticket; if empty, the time
        until the next ticket is used.
    """

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

    def render_object(self, key):
        """Return one object as the API represents it.

        Parameters
        ----------
        key : tuple of str
            Kind and name of the object.

        Returns
        -------
        dict
        """
        kind, name = key
        revision, value = self.objects[key]
        return {
            'kind': kind,
            'name': name,
            'revision': revision,
            'value': value,
        }

    def write(self, key, value, expected_revision):
        """Write an object if its revision is the expected one.

        Parameters
        ----------
        key : tuple of str
            Kind and name of the object.
        value : object
            New value; None deletes the object.
        expected_revision : int
            Revision that the object must have; 0 if it must not exist.

        Returns
        -------
        (int, dict)
            HTTP status and body of the answer: the change, or the current
            object if the revisions differ.
        """
        current = self.objects.get(key)
        if (current[0] if current else 0) != expected_revision:
            return 409, {
                'current': self.render_object(key) if current else None
            }
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
        self.history = [*self.history[-MAX_HISTORY:], change]
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, change

    def get_changes(self, kinds, since):
        """Return the changes after a revision.

        Parameters
        ----------
        kinds : list of str
            Kinds of objects to report.
        since : int
            Revision after which changes are reported.

        Returns
        -------
        list of dict or None
            None if the history does not reach back to `since`, or if `since`
            is a revision that this platform has not reached.
        """
        if since > self.revision:
            return None
        if since < self.revision - len(self.history):
            return None
        return [
            change
            for change in self.history
            if change['revision'] > since and change['kind'] in kinds
        ]

    async def wait_for_change(self, timeout):
        """Wait for the next change of any object.

        Parameters
        ----------
        timeout : float
            Longest time to wait (seconds).
        """
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return


class _FaultyHandler(web.RequestHandler):
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


class _ObjectHandler(_FaultyHandler):
    def get(self, kind, name):
        if (kind, name) not in self.platform.objects:
            self.answer(404, None)
        else:
            self.answer(200, self.platform.render_object((kind, name)))

    def put(self, kind, name):
        value = json.loads(self.request.body)
        expected_revision = int(self.get_argument('revision'))
        self.answer(
            *self.platform.write((kind, name), value, expected_revision)
        )

    def delete(self, kind, name):
        expected_revision = int(self.get_argument('revision'))
        self.answer(
            *self.platform.write((kind, name), None, expected_revision)
        )


class _ListHandler(_FaultyHandler):
    def get(self):
        kinds = self.get_argument('kinds').split(',')
        items = [
            self.platform.render_object(key)
            for key in self.platform.objects
            if key[0] in kinds
        ]
        self.answer(200, {'revision': self.platform.revision, 'items': items})


class _WatchHandler(_FaultyHandler):
    async def get(self):
        kinds = self.get_argument('kinds').split(',')
        since = int(self.get_argument('since'))
        deadline = time.monotonic() + float(self.get_argument('timeout'))
        while True:
            changes = self.platform.get_changes(kinds, since)
            remaining = deadline - time.monotonic()
            if changes or changes is None or remaining <= 0:
                break
            await self.platform.wait_for_change(remaining)
        if self.platform.faults['down']:
            self.answer(503, {'code': 'down'})
        elif changes is None:
            self.answer(410, {'code': 'gone'})
        else:
            body = {'revision': self.platform.revision, 'items': changes}
            self.answer(200, body)


class _VmsHandler(_FaultyHandler):
    def get(self):
        self.answer(200, {'vms': self.platform.vms})


class _TicketHandler(_FaultyHandler):
    def post(self):
        now = time.monotonic()
        if now < self.platform.next_load_at:
            retry_after = self.platform.retry_after
            retry_after = retry_after or self.platform.next_load_at - now
            self.set_header('Retry-After', str(retry_after))
            self.answer(429, {'code': 'rate'})
            return
        self.platform.next_load_at = now + 1 / self.platform.loads_per_second
        self.answer(200, {})


class _AdminHandler(web.RequestHandler):
    def initialize(self, platform):
        self.platform = platform

    def get(self, resource):
        self.write({'calls': self.platform.calls})

    def post(self, resource):
        data = json.loads(self.request.body)
        if resource == 'faults':
            self.platform.faults.update(data)
        else:
            self.platform.vms = data['vms']
        self.write({})


def make_server(platform):
    """Make the HTTP server of a platform; it does not listen yet.

    Parameters
    ----------
    platform : Platform
        State that the server exposes.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
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
    """Listen on the loopback address.

    Parameters
    ----------
    server : tornado.httpserver.HTTPServer
        Server that accepts the connections.
    port : int
        Port to listen on; 0 picks a free one.

    Returns
    -------
    int
        Port that the server listens on.
    """
    sockets = netutil.bind_sockets(port, '127.0.0.1')
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


async def main():
    """Serve the platform until the process is killed."""
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
