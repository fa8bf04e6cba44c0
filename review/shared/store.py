"""Stand-in for the platform's metadata store."""

import asyncio
import contextlib
import json
import time

from review.shared import wire

PAGE = 500


class Store:
    """Objects by kind and name; one counter of revisions; watches.

    Attributes
    ----------
    acknowledged : dict of (str, str) to float
        When the last change of an object took effect (monotonic, seconds).
    """

    def __init__(self):
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = wire.Server(self._handle)
        self.revision = 10
        self.acknowledged = {}
        self.is_up = asyncio.Event()
        self.is_up.set()

    async def listen(self, host):
        """Start to listen."""
        await self._server.listen(host)

    @property
    def port(self):
        """Port of the store."""
        return self._server.port

    def stop(self):
        """Close the store."""
        self._server.stop()

    def put(self, kind, name, spec):
        """Write an object, as the operator and the servers do."""
        kept = self._objects.setdefault(kind, {})
        if name in kept and kept[name]['Spec'] == spec:
            return kept[name]
        self.revision += 1
        metadata = {
            'Name': name,
            'Revision': self.revision,
            'Finalizers': [],
            'Deleting': False,
        }
        item = {'Metadata': metadata, 'Spec': spec, 'Status': None}
        kept[name] = item
        self._append(kind, name, item, False)
        return item

    def delete(self, kind, name):
        """Remove an object, if it is there."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._append(kind, name, item, True)

    def _append(self, kind, name, item, deleted):
        event = {'Object': item, 'Deleted': deleted}
        self._events.append((self.revision, kind, event))
        self.acknowledged[kind, name] = time.monotonic()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request, writer):
        if not self.is_up.is_set():
            # Calls of an outage get no answer, and nothing is done.
            await self.is_up.wait()
            return False
        parts = request.path.strip('/').split('/')
        status, value = 404, None
        if parts[:2] == ['v1', 'objects'] and len(parts) in (3, 4):
            name = parts[3] if len(parts) == 4 else None
            status, value = await self._call(request, parts[2], name)
        if not self.is_up.is_set():
            return False
        body = b'' if value is None else json.dumps(value).encode()
        fields = (('Content-Type', 'application/json'),)
        writer.write(wire.make_response(status, body, fields))
        return True

    async def _call(self, request, kind, name):
        kept = self._objects.setdefault(kind, {})
        if request.method == 'GET':
            if name is not None:
                found = kept.get(name)
                return (200, found) if found else (404, None)
            if 'Watch' in request.query:
                return await self._watch(kind, request.query)
            return self._list(kept, request.query.get('After', ''))
        data = json.loads(request.body or b'{}')
        if request.method == 'POST':
            name = data['Metadata']['Name']
            if name in kept:
                return 409, kept[name]
            return 201, self.put(kind, name, data['Spec'])
        found = kept.get(name)
        if found is None:
            return 404, None
        wanted = data.get('Metadata', {}).get(
            'Revision', request.query.get('Revision')
        )
        if wanted is not None:
            if int(wanted) != found['Metadata']['Revision']:
                return 409, found
        if request.method == 'DELETE':
            self.delete(kind, name)
            return 200, found
        return 200, self.put(kind, name, data['Spec'])

    def _list(self, kept, after):
        names = sorted(name for name in kept if name > after)
        return 200, {
            'Items': [kept[name] for name in names[:PAGE]],
            'HasMore': len(names) > PAGE,
            'StoreRevision': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        deadline = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            events = [
                event
                for revision, event_kind, event in self._events
                if revision > since and event_kind == kind
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                value = {'events': events, 'StoreRevision': self.revision}
                return 200, value
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
