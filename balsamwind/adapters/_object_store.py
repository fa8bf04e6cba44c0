"""Object API of the platform, over HTTP and JSON."""

import json

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports

WATCH_GRACE = 2.0
"""Time that a watch may answer after its own time-out (seconds)."""


class HttpObjectStore:
    """Client of the object API.

    Parameters
    ----------
    client : HttpClient
        Connections.
    url : str
        Base URL of the platform.
    timeout : float
        Time-out of one call (seconds).
    watch_timeout : float
        Longest wait of one watch (seconds).
    """

    __slots__ = (
        '_client',
        '_timeout',
        '_url',
        '_watch_timeout',
        'bytes_received',
        'calls',
    )

    def __init__(self, client, url, timeout, watch_timeout):
        self._client = client
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._watch_timeout = watch_timeout
        self.calls = 0
        self.bytes_received = 0

    async def get(self, kind, name):
        """Read one object; None if there is none."""
        status, data = await self._call('GET', f'/v1/objects/{kind}/{name}')
        if status == 404:
            return None
        return self._load(status, data)

    async def list(self, kinds):
        """Read all objects of `kinds`."""
        path = '/v1/objects?kinds=' + ','.join(kinds)
        status, data = await self._call('GET', path)
        return self._load_snapshot(status, data)

    async def put(self, kind, name, value, expected):
        """Write if the object's revision is `expected`."""
        path = f'/v1/objects/{kind}/{name}?revision={expected}'
        status, data = await self._call('PUT', path, objects.encode(value))
        self._check_conflict(status, data, f'{kind}/{name}', expected)
        return self._load(status, data)

    async def delete(self, kind, name, expected):
        """Delete if the object's revision is `expected`."""
        path = f'/v1/objects/{kind}/{name}?revision={expected}'
        status, data = await self._call('DELETE', path)
        self._check_conflict(status, data, f'{kind}/{name}', expected)
        return self._load(status, data)

    async def watch(self, kinds, since):
        """Wait for changes after revision `since`."""
        path = (
            f'/v1/watch?since={since}&timeout={self._watch_timeout}&kinds='
            + ','.join(kinds)
        )
        timeout = self._watch_timeout + WATCH_GRACE
        status, data = await self._call('GET', path, timeout=timeout)
        if status == 410:
            raise exceptions.HistoryGone(f'revision {since} is gone')
        return self._load_snapshot(status, data)

    async def _call(self, method, path, value=None, timeout=None):
        self.calls += 1
        body = b'' if value is None else json.dumps(value).encode('utf-8')
        try:
            response = await self._client.fetch(
                method,
                self._url + path,
                headers=(('Content-Type', 'application/json'),),
                body=body,
                timeout=timeout or self._timeout,
            )
            self.bytes_received += len(response.body)
            return response.status, json.loads(response.body or b'null')
        except (exceptions.TransportError, ValueError) as error:
            raise exceptions.StoreError(f'{method} {path}: {error}') from error

    def _check_conflict(self, status, data, key, expected):
        if status != 409:
            return
        current = None
        if data and data.get('current'):
            current = self._load(200, data['current'])
        raise exceptions.Conflict(
            f'{key}: expected revision {expected}', current
        )

    def _load(self, status, data):
        if status not in (200, 201):
            raise exceptions.StoreError(f'object API answered {status}')
        try:
            return objects.load_stored(data)
        except (TypeError, ValueError, KeyError) as error:
            raise exceptions.StoreError(f'malformed object: {error}') from None

    def _load_snapshot(self, status, data):
        if status != 200:
            raise exceptions.StoreError(f'object API answered {status}')
        try:
            revision = objects.check_revision(data['revision'])
            rows = [(row['kind'], row['name'], row) for row in data['items']]
        except (TypeError, ValueError, KeyError) as error:
            raise exceptions.StoreError(f'malformed list: {error}') from None
        items = []
        unreadable = []
        for kind, name, row in rows:
            try:
                items.append(objects.load_stored(row))
            except (TypeError, ValueError, KeyError):
                unreadable.append((kind, name))
        return ports.Snapshot(revision, tuple(items), tuple(unreadable))
