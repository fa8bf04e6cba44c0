"""Replacement of objects that nodes of other builds write as well."""


def merge(stored, spec, item_keys):
    """Add the fields of an object that this build does not know.

    Parameters
    ----------
    stored : object
        Content of the object as decoded from JSON.
    spec : dict
        New content, with all fields that this build knows.
    item_keys : dict of str to tuple of str
        For each field that holds a list of objects, the names of the fields
        that identify an item.

    Returns
    -------
    dict
        New content with the additional fields of `stored`.
    """
    if not isinstance(stored, dict):
        return spec
    merged = {**stored, **spec}
    for field, names in item_keys.items():
        if isinstance(stored.get(field), list):
            merged[field] = _merge_items(stored[field], spec[field], names)
    return merged


def _merge_items(stored, items, names):
    known = {
        _find_key(item, names): item
        for item in stored
        if isinstance(item, dict)
    }
    return [
        {**known.get(_find_key(item, names), {}), **item} for item in items
    ]


def _find_key(item, names):
    return tuple(str(item.get(name)) for name in names)


class ObjectWriter:
    """Writes objects of one kind, and preserves fields of other builds.

    Parameters
    ----------
    store : object
        Client of the store, with the methods `get`, `create` and `replace`
        for objects of any kind.
    kind : str
        Kind of the objects.
    item_keys : dict of str to tuple of str, optional
        See `merge`.
    """

    __slots__ = ('_item_keys', '_kind', '_store', '_stored')

    def __init__(self, store, kind, item_keys=None):
        self._store = store
        self._kind = kind
        self._item_keys = item_keys or {}
        self._stored = {}

    def note(self, stored):
        """Keep the content of an object that was read or written.

        An older version, from a read that may be stale, is left out.

        Parameters
        ----------
        stored : StoredObject
            The object.
        """
        known = self._stored.get(stored.name)
        if known is None or stored.revision >= known.revision:
            self._stored[stored.name] = stored

    async def write(self, name, spec, expected_revision, timeout):
        """Write an object on condition of its revision.

        Parameters
        ----------
        name : str
            Name of the object.
        spec : dict
            Content, with all fields that this build knows.
        expected_revision : int
            Revision that the stored object must have; 0 if none must exist.
        timeout : float
            Longest wait for each answer of the store (seconds).

        Returns
        -------
        StoredObject

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision.
        """
        if expected_revision == 0:
            stored = await self._store.create(self._kind, name, spec, timeout)
        else:
            content = await self._find_content(
                name, expected_revision, timeout
            )
            stored = await self._store.replace(
                self._kind,
                name,
                merge(content, spec, self._item_keys),
                expected_revision,
                timeout,
            )
        self.note(stored)
        return stored

    async def _find_content(self, name, revision, timeout):
        """Return the content of a revision; None if another is stored."""
        stored = self._stored.get(name)
        if stored is None or stored.revision != revision:
            stored = await self._store.get(self._kind, name, timeout)
        if stored is None or stored.revision != revision:
            return None
        return stored.spec
