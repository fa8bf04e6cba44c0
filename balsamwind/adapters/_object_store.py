"""Client of the platform's object API, over HTTP and JSON."""

import json

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports

WATCH_RESPONSE_MARGIN = 2.0
"""Time after the end of a watch within which its response must arrive
(seconds)."""


class HttpObjectStore:
    """Client of the object API; implements `balsamwind.ports.ObjectStore`.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    url : str
        Base URL of the platform.
    timeout : float
        Timeout of one call other than a watch (seconds).
    watch_timeout : float
        Time after which the platform ends a watch without changes (seconds).

    Attributes
    ----------
    calls : int
        Calls so far (count).
    bytes_received : int
        Size of all response bodies so far (bytes).
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
        """Read one object.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.

        Returns
        -------
        balsamwind.objects.ObjectVersion or None
            None if there is no such object.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The call failed or the response is malformed.
        """
        status, data = await self._call('GET', f'/v1/objects/{kind}/{name}')
        if status == 404:
            return None
        return self._decode_object(status, data)

    async def list(self, kinds):
        """Read all objects of some kinds.

        Parameters
        ----------
        kinds : iterable of str
            Kinds to read.

        Returns
        -------
        balsamwind.ports.Snapshot

        Raises
        ------
        balsamwind.exceptions.StoreError
            The call failed or the response is malformed.
        """
        path = '/v1/objects?kinds=' + ','.join(kinds)
        status, data = await self._call('GET', path)
        return self._decode_snapshot(status, data)

    async def put(self, kind, name, value, expected):
        """Write an object if its revision is the expected one.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        value : object
            Object to write, as :func:`balsamwind.objects.encode` takes it.
        expected : int
            Revision that the object must have; 0 if it must not exist.

        Returns
        -------
        balsamwind.objects.ObjectVersion

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision; nothing was written.
        balsamwind.exceptions.StoreError
            The call failed; the write may or may not have taken effect.
        """
        path = f'/v1/objects/{kind}/{name}?revision={expected}'
        status, data = await self._call('PUT', path, objects.encode(value))
        self._raise_conflict(status, data, f'{kind}/{name}', expected)
        return self._decode_object(status, data)

    async def delete(self, kind, name, expected):
        """Delete an object if its revision is the expected one.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        expected : int
            Revision that the object must have.

        Returns
        -------
        balsamwind.objects.ObjectVersion
            Tombstone of the object.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision; nothing was written.
        balsamwind.exceptions.StoreError
            The call failed; the write may or may not have taken effect.
        """
        path = f'/v1/objects/{kind}/{name}?revision={expected}'
        status, data = await self._call('DELETE', path)
        self._raise_conflict(status, data, f'{kind}/{name}', expected)
        return self._decode_object(status, data)

    async def watch(self, kinds, since):
        """Wait for changes of some kinds of objects.

        Parameters
        ----------
        kinds : iterable of str
            Kinds to watch.
        since : int
            Store revision after which changes are returned.

        Returns
        -------
        balsamwind.ports.Snapshot
            Without items if nothing changed before the end of the watch.

        Raises
        ------
        balsamwind.exceptions.HistoryGone
            The store's history no longer reaches back to `since`; the caller
            has to list the objects.
        balsamwind.exceptions.StoreError
            The call failed or the response is malformed.
        """
        path = (
            f'/v1/watch?since={since}&timeout={self._watch_timeout}&kinds='
            + ','.join(kinds)
        )
        timeout = self._watch_timeout + WATCH_RESPONSE_MARGIN
        status, data = await self._call('GET', path, timeout=timeout)
        if status == 410:
            raise exceptions.HistoryGone(
                f'revision {since} is not in the history of the store'
            )
        return self._decode_snapshot(status, data)

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

    def _raise_conflict(self, status, data, key, expected):
        if status != 409:
            return
        current = None
        if data and data.get('current'):
            current = self._decode_object(200, data['current'])
        raise exceptions.Conflict(
            f'{key}: the stored revision is not the expected {expected}',
            current,
        )

    def _decode_object(self, status, data):
        if status not in (200, 201):
            raise exceptions.StoreError(
                f'object API answered with status {status}'
            )
        try:
            return objects.decode_object_version(data)
        except (TypeError, ValueError, KeyError) as error:
            raise exceptions.StoreError(
                f'object API answered with a malformed object: {error}'
            ) from None

    def _decode_snapshot(self, status, data):
        if status != 200:
            raise exceptions.StoreError(
                f'object API answered with status {status}'
            )
        try:
            revision = objects.check_revision(data['revision'])
            rows = [(row['kind'], row['name'], row) for row in data['items']]
        except (TypeError, ValueError, KeyError) as error:
            raise exceptions.StoreError(
                f'object API answered with a malformed list: {error}'
            ) from None
        items = []
        unreadable = []
        for kind, name, row in rows:
            try:
                items.append(objects.decode_object_version(row))
            except (TypeError, ValueError, KeyError):
                unreadable.append((kind, name))
        return ports.Snapshot(revision, tuple(items), tuple(unreadable))
