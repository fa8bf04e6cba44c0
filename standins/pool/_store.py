"""Stand-in for the platform's store."""

import asyncio
import contextlib
import copy
import dataclasses
import json
import random
import time

from tornado import web

PAGE_SIZE = 50
"""Largest number of objects on one page of a list (count)."""

HANG_TIME = 30.0
"""Time after which the connection of an unanswered call closes (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class RawJson:
    """JSON that the store returns as it is.

    Parameters
    ----------
    text : str
        The JSON.
    """

    text: str


def _dump(value):
    """Encode an answer, in which `RawJson` may stand for values."""
    raw = {}

    def replace(item):
        marker = f'raw-json-{len(raw)}-{id(raw)}'
        raw[f'"{marker}"'] = item.text
        return marker

    text = json.dumps(value, default=replace)
    for marker, replacement in raw.items():
        text = text.replace(marker, replacement)
    return text


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    Parameters
    ----------
    down : str
        How all calls fail: ``silent``, ``reset`` or ``refuse``; empty if the
        store is up.
    delay : float
        Time by which each answer is delayed (seconds).
    lose_answers : float
        Share of the writes that are carried out but not answered.
    """

    down: str = ''
    delay: float = 0.0
    lose_answers: float = 0.0


class StoreHandler(web.RequestHandler):
    """HTTP calls to the store."""

    def initialize(self, store):
        self._store = store
        self._drop_answer = False

    def _answer(self, status, value=None):
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        if self._store.era:
            self.set_header('Store-Era', str(self._store.era))
        self.finish(_dump(value) if value is not None else '')

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
                await asyncio.sleep(HANG_TIME)
                self._reset()
            case 'reset':
                self._reset()
            case 'refuse':
                self._answer(503)
        if self.request.method in ('POST', 'PUT', 'DELETE'):
            self._drop_answer = random.random() < faults.lose_answers

    async def get(self, kind, name=None):
        if name is not None:
            stored = self._store.get_objects(kind).get(name)
            return self._answer(200 if stored else 404, stored)
        since = self.get_query_argument('Watch', None)
        if since is None:
            return self._list(kind)
        if not (
            self._store.oldest_revision <= int(since) <= self._store.revision
        ):
            return self._answer(410)
        timeout = int(self.get_query_argument('WaitMs', '1000')) / 1000
        events = await self._store.wait_for_events(kind, int(since), timeout)
        if self._store.faults.down:
            self._reset()
        return self._answer(
            200, {'events': events, 'StoreRevision': self._store.revision}
        )

    def _list(self, kind):
        after = self.get_query_argument('After', '')
        items = [
            item
            for name, item in sorted(self._store.get_objects(kind).items())
            if name > after
        ]
        return self._answer(
            200,
            {
                'Items': items[:PAGE_SIZE],
                'HasMore': len(items) > PAGE_SIZE,
                'StoreRevision': self._store.revision,
            },
        )

    async def _answer_write(self, status, value=None):
        if self._drop_answer:
            await asyncio.sleep(HANG_TIME)
            self._reset()
        return self._answer(status, value)

    async def post(self, kind):
        value = json.loads(self.request.body)
        name = value['Metadata']['Name']
        if name in self._store.get_objects(kind):
            return self._answer(409, self._store.get_objects(kind)[name])
        stored = self._store.put(kind, name, value['Spec'])
        return await self._answer_write(200, stored)

    async def put(self, kind, name):
        value = json.loads(self.request.body)
        stored = self._store.get_objects(kind).get(name)
        if stored is None:
            return self._answer(404)
        if value['Metadata'].get('Revision') != stored['Metadata']['Revision']:
            return self._answer(409, stored)
        stored = self._store.put(kind, name, value['Spec'])
        return await self._answer_write(200, stored)


class Store:
    """Objects by kind and name, with a history of their changes.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    oldest_revision : int
        Oldest revision from which a watch can start.
    faults : StoreFaults
        Current faults.
    calls : list of tuple of str
        Method and URI of each call.
    era : int
        Era that all answers state; 0 states none.
    """

    def __init__(self):
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self.revision = 10
        self.oldest_revision = 0
        self.faults = StoreFaults()
        self.calls = []
        self.era = 1

    def get_objects(self, kind):
        """Return the objects of a kind, by name.

        Parameters
        ----------
        kind : str
            Kind of the objects.

        Returns
        -------
        dict
        """
        return self._objects.setdefault(kind, {})

    def put(self, kind, name, spec):
        """Write an object without a check of its revision.

        An object whose specification does not change keeps its revision.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        spec : dict
            New specification.

        Returns
        -------
        dict
            The object as it is stored.
        """
        current = self.get_objects(kind).get(name)
        if current is not None and current['Spec'] == spec:
            return current
        self.revision += 1
        stored = {
            'Metadata': {'Name': name, 'Revision': self.revision},
            'Spec': spec,
            'Status': None,
        }
        self.get_objects(kind)[name] = stored
        self._append_event(kind, stored, False)
        return stored

    def delete(self, kind, name):
        """Delete an object; one that does not exist is ignored.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        """
        stored = self.get_objects(kind).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._append_event(kind, stored, True)

    def make_copy(self):
        """Make a copy of all objects, to which `restore` can go back."""
        return self.revision, copy.deepcopy(self._objects)

    def restore(self, saved):
        """Go back to a copy; all changes since are lost.

        Revisions are given out again, and a new era begins.

        Parameters
        ----------
        saved : tuple
            Result of `make_copy`.
        """
        self.revision, objects = saved
        self._objects = copy.deepcopy(objects)
        self._events = [
            event for event in self._events if event[0] <= self.revision
        ]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self):
        """Drop all events.

        A watch from an earlier revision is answered with status 410.
        """
        self._events.clear()
        self.revision += 1
        self.oldest_revision = self.revision

    def _append_event(self, kind, stored, deleted):
        event = {'Object': stored, 'Deleted': deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_events(self, kind, since, timeout):
        """Wait for changes of a kind.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        since : int
            Revision after which changes are returned.
        timeout : float
            Longest time to wait (seconds).

        Returns
        -------
        list of dict
            Changes; empty if there were none in time.
        """
        deadline = time.monotonic() + timeout
        while True:
            matching = [
                event
                for revision, event_kind, event in self._events
                if revision > since and event_kind == kind
            ]
            remaining = deadline - time.monotonic()
            if matching or remaining <= 0:
                return matching
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)
