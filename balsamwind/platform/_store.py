"""Client of the platform's store."""

import collections
import dataclasses
import json
import urllib.parse

from balsamwind import exceptions

PAGES = 200
"""Most pages of one list (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """One object of the store.

    Parameters
    ----------
    name : str
        Name.
    revision : int
        Store revision of its last change.
    spec : object
        What its writer wrote.
    deleted : bool
        Whether a watch says that it was removed.
    """

    name: str
    revision: int
    spec: object
    deleted: bool = False


class Store:
    """Calls to the store; `calls` counts them by kind and purpose.

    Parameters
    ----------
    client : balsamwind.adapters.HttpClient
        Connections.
    address : str
        ``host:port`` of the store.
    """

    __slots__ = ('_client', '_url', 'calls')

    def __init__(self, client, address):
        self._client = client
        self._url = f'http://{address}/v1/objects'
        self.calls = collections.Counter()

    async def get(self, kind, name, timeout):
        """Read one object; None if there is none."""
        self.calls[kind, 'read'] += 1
        status, body = await self._call('GET', f'/{kind}/{name}', timeout)
        if status == 404:
            return None
        self._check(status, kind)
        return decode_object(load(body))

    async def list(self, kind, timeout):
        """Read all objects of a kind.

        Returns
        -------
        (int, list of StoredObject)
            Revision of the first page, from which to watch, and the objects.
        """
        items = []
        revision = None
        after = ''
        for _ in range(PAGES):
            self.calls[kind, 'list'] += 1
            query = f'?{urllib.parse.urlencode({"After": after})}'
            status, body = await self._call(
                'GET', f'/{kind}{query if after else ""}', timeout
            )
            self._check(status, kind)
            page = load(body)
            rows = _decode_all(page.get('Items') or ())
            items.extend(rows)
            if revision is None:
                revision = int(page['StoreRevision'])
            if not page.get('HasMore') or not rows:
                break
            after = rows[-1].name
        return revision, items

    async def watch(self, kind, since, wait, timeout):
        """Wait for changes of a kind after revision `since`.

        Returns
        -------
        (int, list of StoredObject)
            Revision from which to go on, and the changes in order.

        Raises
        ------
        balsamwind.exceptions.HistoryGone
            The store no longer holds that revision: list again.
        """
        self.calls[kind, 'watch'] += 1
        path = f'/{kind}?Watch={since}&WaitMs={int(wait * 1000)}'
        status, body = await self._call('GET', path, timeout)
        if status == 410:
            raise exceptions.HistoryGone(f'revision {since} is gone')
        self._check(status, kind)
        page = load(body)
        changes = []
        for event in page.get('events') or ():
            try:
                item = decode_object(event['Object'])
            except (KeyError, TypeError, ValueError):
                continue
            if event.get('Deleted') is True:
                item = dataclasses.replace(item, deleted=True)
            changes.append(item)
        return int(page['StoreRevision']), changes

    async def create(self, kind, name, spec, timeout):
        """Create an object.

        Raises
        ------
        balsamwind.exceptions.Conflict
            It exists.
        """
        self.calls[kind, 'write'] += 1
        value = {'Metadata': {'Name': name}, 'Spec': spec}
        status, body = await self._call('POST', f'/{kind}', timeout, value)
        return self._check_written(status, body, kind, name)

    async def replace(self, kind, name, spec, revision, timeout):
        """Replace an object that has the expected revision.

        Raises
        ------
        balsamwind.exceptions.Conflict
            It has another revision, or is gone.
        """
        self.calls[kind, 'write'] += 1
        value = {
            'Metadata': {'Name': name, 'Revision': revision},
            'Spec': spec,
        }
        status, body = await self._call(
            'PUT', f'/{kind}/{name}', timeout, value
        )
        return self._check_written(status, body, kind, name)

    def _check_written(self, status, body, kind, name):
        if status in (404, 409):
            raise exceptions.Conflict(f'{kind}/{name}: answered {status}')
        self._check(status, kind)
        return decode_object(load(body))

    def _check(self, status, kind):
        if status not in (200, 201):
            raise exceptions.StoreError(f'{kind}: store answered {status}')

    async def _call(self, method, path, timeout, value=None):
        body = b'' if value is None else json.dumps(value).encode('ascii')
        headers = (('Content-Type', 'application/json'),) if body else ()
        try:
            response = await self._client.fetch(
                method,
                self._url + path,
                headers=headers,
                body=body,
                timeout=timeout,
                repeat=method == 'GET',
            )
        except exceptions.TransportError as error:
            raise exceptions.StoreError(f'{method} {path}: {error}') from error
        return response.status, response.body


def load(body):
    try:
        data = json.loads(body)
    except ValueError as error:
        raise exceptions.StoreError(f'malformed answer: {error}') from None
    if not isinstance(data, dict):
        raise exceptions.StoreError('malformed answer: not an object')
    return data


def _decode_all(rows):
    items = []
    for row in rows:
        try:
            items.append(decode_object(row))
        except (KeyError, TypeError, ValueError):
            continue
    return items


def decode_object(row):
    """Decode one object.

    Raises
    ------
    KeyError, TypeError, ValueError
        It can not be read.
    """
    metadata = row['Metadata']
    return StoredObject(
        str(metadata['Name']), int(metadata['Revision']), row.get('Spec')
    )
