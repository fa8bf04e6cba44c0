"""Client of the platform's object store."""

import collections
import contextlib
import dataclasses
import json
import urllib.parse

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import objects

MAX_PAGES = 200
"""Most pages that are read for one list of objects (count)."""

_ERA = 'Store-Era'


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """One version of an object in the store.

    Parameters
    ----------
    name : str
        Name of the object, unique among those of its kind.
    revision : int
        Store revision of the object's last change, with the era above it.
    spec : object
        Content of the object as decoded from JSON.
    deleted : bool
        Whether a watch reported that the object was deleted.
    """

    name: str
    revision: int
    spec: object
    deleted: bool = False


class StoreClient:
    """Client of the store's HTTP interface.

    All methods take the `kind` of the objects (str) and a `timeout`, the
    longest wait for each response (seconds). They raise `StoreError` if the
    store does not answer in time, or answers with another status than 200 or
    201, or with a malformed body. A read that `may_be_stale` may return data
    that is seconds old. `call_counts` holds the number of requests by kind and
    purpose.

    All revisions here carry the era of the store, see
    `balsamwind.objects.StoreEras`; answers of an earlier era are dropped.

    Parameters
    ----------
    client : balsamwind.adapters.HttpClient
        Client that opens the connections to the store.
    address : str
        ``host:port`` of the store.

    Attributes
    ----------
    eras : balsamwind.objects.StoreEras
        Eras that the answers have stated.
    on_malformed : callable
        Called with the kind, name, revision and reason for each object that
        is left out because it can't be read; the name may be unknown ('').
    """

    __slots__ = (
        '_client',
        '_objects_url',
        'call_counts',
        'eras',
        'on_malformed',
    )

    def __init__(self, client, address):
        self._client = client
        self._objects_url = f'http://{address}/v1/objects'
        self.call_counts = collections.Counter()
        self.eras = objects.StoreEras()
        self.on_malformed = lambda kind, name, revision, reason: None

    async def get(self, kind, name, timeout, may_be_stale=False):
        """Read an object; a `StoredObject`, or None if it does not exist."""
        self._count_read(kind, 'read', may_be_stale)
        query = '?Serializable=1' if may_be_stale else ''
        status, body = await self._call(
            'GET', f'/{kind}/{name}{query}', timeout
        )
        if status == 404:
            return None
        self._check_status(status, kind)
        return self._decode_stored_object(body)

    async def list(self, kind, timeout, may_be_stale=False):
        """Read all objects of a kind.

        Returns
        -------
        (int, list of StoredObject)
            Revision of the first page, and the objects. A watch from that
            revision misses no change made while later pages were read.
        """
        items = []
        revision = None
        parameters = {'Serializable': 1} if may_be_stale else {}
        for _ in range(MAX_PAGES):
            self._count_read(kind, 'list', may_be_stale)
            query = f'?{urllib.parse.urlencode(parameters)}'
            status, body = await self._call(
                'GET', f'/{kind}{query if parameters else ""}', timeout
            )
            self._check_status(status, kind)
            page = _parse_json_object(body)
            page_items = self._decode_valid_objects(kind, page)
            items.extend(page_items)
            if revision is None:
                revision = self._decode_revision(page)
            if not page.get('HasMore'):
                return revision, items
            if not page_items:
                raise exceptions.StoreError(f'{kind}: a page has no objects')
            parameters['After'] = page_items[-1].name
        raise exceptions.StoreError(f'{kind}: more than {MAX_PAGES} pages')

    async def watch(self, kind, since, wait, timeout):
        """Wait up to `wait` seconds for changes after revision `since`.

        Returns
        -------
        (int, list of StoredObject)
            Revision for the next watch, and the changes in order.

        Raises
        ------
        balsamwind.exceptions.HistoryGone
            The store has discarded changes after `since` or began a new era,
            or a change can't be read; a new list is due.
        """
        since_in_era = self.eras.find_number(since)
        if since_in_era is None:
            raise exceptions.HistoryGone(f'{kind}: the store has a new era')
        era = self.eras.newest
        self.call_counts[kind, 'watch'] += 1
        path = f'/{kind}?Watch={since_in_era}&WaitMs={int(wait * 1000)}'
        status, body = await self._call('GET', path, timeout)
        if era and self.eras.newest != era:
            raise exceptions.HistoryGone(f'{kind}: the store has a new era')
        if status == 410:
            raise exceptions.HistoryGone(f'revision {since} is no longer held')
        self._check_status(status, kind)
        page = _parse_json_object(body)
        try:
            with objects.decoding(f'change after revision {since}'):
                events = objects.check_list(page.get('events') or [], 'list')
                changes = [self._decode_event(event) for event in events]
        except exceptions.MalformedValue as error:
            raise exceptions.HistoryGone(
                f'{kind}: malformed {error.message}'
            ) from None
        return self._decode_revision(page), changes

    async def create(self, kind, name, spec, timeout):
        """Create an object with the content `spec`.

        Raises
        ------
        balsamwind.exceptions.Conflict
            An object of that kind and name exists.
        """
        self.call_counts[kind, 'write'] += 1
        payload = {'Metadata': {'Name': name}, 'Spec': spec}
        status, body = await self._call('POST', f'/{kind}', timeout, payload)
        return self._decode_write_response(status, body, kind, name)

    async def replace(self, kind, name, spec, revision, timeout):
        """Replace the content of an object whose revision is `revision`.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision or does not exist, or the store
            began a new era meanwhile: then the write may have taken effect.
        """
        number = self.eras.find_number(revision)
        era = self.eras.newest
        if number is None:
            raise exceptions.Conflict(f'{kind}/{name}: of an earlier era')
        self.call_counts[kind, 'write'] += 1
        payload = {'Metadata': {'Name': name, 'Revision': number}}
        payload['Spec'] = spec
        status, body = await self._call(
            'PUT', f'/{kind}/{name}', timeout, payload
        )
        if era and self.eras.newest != era:
            raise exceptions.Conflict(
                f'{kind}/{name}: the store has a new era'
            )
        return self._decode_write_response(status, body, kind, name)

    def _decode_write_response(self, status, body, kind, name):
        if status in (404, 409):
            raise exceptions.Conflict(f'{kind}/{name}: got status {status}')
        self._check_status(status, kind)
        return self._decode_stored_object(body)

    def _count_read(self, kind, purpose, may_be_stale):
        """Count a read; one that may return old data costs much less."""
        if may_be_stale:
            purpose = f'stale {purpose}'
        self.call_counts[kind, purpose] += 1

    def _check_status(self, status, kind):
        if status not in (200, 201):
            raise exceptions.StoreError(f'{kind}: got status {status}')

    async def _call(self, method, path, timeout, payload=None):
        body = b'' if payload is None else _encode(payload)
        headers = (('Content-Type', 'application/json'),) if body else ()
        try:
            response = await self._client.fetch(
                method,
                self._objects_url + path,
                headers=headers,
                body=body,
                timeout=timeout,
                retry_on_new_connection=method == 'GET',
            )
        except exceptions.TransportError as error:
            raise exceptions.StoreError(f'{method} {path}: {error}') from error
        self.eras.check(response.headers.get(_ERA, ''))
        return response.status, response.body

    def _decode_stored_object(self, body):
        with check_malformed('object'):
            return self._decode_object(_parse_json_object(body))

    def _decode_revision(self, page):
        with check_malformed('page'):
            return self.eras.add_to(page['StoreRevision'])

    def _decode_valid_objects(self, kind, page):
        """Decode objects as the store sends them, but for malformed ones."""
        with check_malformed('page'):
            rows = objects.check_list(page.get('Items') or [], 'items')
        items = []
        for row in rows:
            try:
                with objects.decoding('object'):
                    items.append(self._decode_object(row))
            except exceptions.MalformedValue as error:
                self.on_malformed(kind, '', 0, error.message)
        return items

    def _decode_event(self, event):
        item = self._decode_object(event['Object'])
        if event.get('Deleted') is True:
            return dataclasses.replace(item, deleted=True)
        return item

    def _decode_object(self, row):
        metadata = row['Metadata']
        return StoredObject(
            objects.check_name(metadata['Name'], 'name'),
            self.eras.add_to(metadata['Revision']),
            row.get('Spec'),
        )


@contextlib.contextmanager
def check_malformed(what):
    """Raise `StoreError` if the block can't decode the object named `what`."""
    try:
        with objects.decoding(what):
            yield
    except exceptions.MalformedValue as error:
        raise exceptions.StoreError(f'malformed {error.message}') from None


def _parse_json_object(body):
    with check_malformed('response'):
        return objects.check_table(adapters.parse_json(body), 'object')


def _encode(payload):
    with check_malformed('content of a write'):
        return json.dumps(payload).encode('ascii')
