"""Stand-in of the platform's store."""

import asyncio
import contextlib
import dataclasses
import json
import random
import time

from tornado import web

PAGE = 50
"""Objects on one page of a list (count)."""

HANG = 30.0
"""How long a silent call hangs (seconds)."""


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """What the store does wrong.

    Parameters
    ----------
    down : str
        Empty, or how all calls fail: ``silent``, ``reset``, ``refuse``.
    delay : float
        How much later it answers (seconds).
    lose_answers : float
        Share of writes that are carried out without an answer.
    """

    down: str = ''
    delay: float = 0.0
    lose_answers: float = 0.0


class StoreHandler(web.RequestHandler):
    """Calls to the store."""

    def initialize(self, store):
        self._store = store
        self._lost = False

    def _answer(self, status, value=None):
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value) if value is not None else '')

    def _reset(self):
        self.request.connection.stream.close()
        raise web.Finish

    async def prepare(self):
        self._store.calls.append((self.request.method, self.request.uri))
        faults = self._store.faults
        if faults.delay:
            await asyncio.sleep(faults.delay)
        match faults.down:
            case 'silent':
                await asyncio.sleep(HANG)
                self._reset()
            case 'reset':
                self._reset()
            case 'refuse':
                self._answer(503)
        if self.request.method in ('POST', 'PUT', 'DELETE'):
            self._lost = random.random() < faults.lose_answers

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
        if self._store.faults.down:
            self._reset()
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

    async def _written(self, status, value=None):
        if self._lost:
            await asyncio.sleep(HANG)
            self._reset()
        return self._answer(status, value)

    async def post(self, kind):
        value = json.loads(self.request.body)
        name = value['Metadata']['Name']
        if name in self._store.kind(kind):
            return self._answer(409, self._store.kind(kind)[name])
        row = self._store.put(kind, name, value['Spec'])
        return await self._written(200, row)

    async def put(self, kind, name):
        value = json.loads(self.request.body)
        row = self._store.kind(kind).get(name)
        if row is None:
            return self._answer(404)
        if value['Metadata'].get('Revision') != row['Metadata']['Revision']:
            return self._answer(409, row)
        row = self._store.put(kind, name, value['Spec'])
        return await self._written(200, row)


class Store:
    """Objects by kind, with a history of changes."""

    def __init__(self):
        self._kinds = {}
        self._events = []
        self._changed = asyncio.Event()
        self.revision = 10
        self.oldest = 0
        self.faults = StoreFaults()
        self.calls = []

    def kind(self, kind):
        """Objects of a kind, by name."""
        return self._kinds.setdefault(kind, {})

    def put(self, kind, name, spec):
        """Write an object; one that does not change keeps its revision."""
        known = self.kind(kind).get(name)
        if known is not None and known['Spec'] == spec:
            return known
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
        """Remove an object, if there is one."""
        row = self.kind(kind).pop(name, None)
        if row is not None:
            self.revision += 1
            self._note(kind, row, True)

    def forget_history(self):
        """Drop all events: watches that were begun before are gone."""
        self._events.clear()
        self.revision += 1
        self.oldest = self.revision

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
