"""Evidence of crashes in the store, one object for each data centre."""

from balsamwind import exceptions
from balsamwind.node import _object_writer
from balsamwind import objects
from balsamwind import relay

KIND = 'balsamwind-prompt-evidence'
"""Kind of the objects."""

_ITEM_KEYS = {'reports': ('service', 'crash'), 'sound': ('service', 'part')}
"""Fields that identify a crash, and a part that is cleared."""


class EvidenceRecords:
    """Reads and writes the evidence of all data centres.

    The methods raise `balsamwind.exceptions.StoreError` if the store does not
    answer within their `timeout` (seconds). Malformed evidence is logged and
    read as empty.

    Parameters
    ----------
    store : object
        Client of the store, with the methods `get`, `list`, `watch`, `create`
        and `replace` for objects of any kind.
    log : structlog logger
        Logger of the node.
    """

    __slots__ = ('_log', '_store', '_writer')

    def __init__(self, store, log):
        self._store = store
        self._log = log
        self._writer = _object_writer.ObjectWriter(store, KIND, _ITEM_KEYS)

    async def list(self, timeout):
        """Read the revision to watch from and the evidence of each object."""
        revision, items = await self._store.list(KIND, timeout)
        return revision, [self._decode(item) for item in items]

    async def watch(self, since, wait, timeout):
        """Wait for changes; the next revision and the changed evidence.

        Parameters
        ----------
        since : int
            Store revision after which changes are returned.
        wait : float
            Time that the store waits for a change (seconds).
        timeout : float
            Longest wait for the response, more than `wait` (seconds).
        """
        revision, items = await self._store.watch(KIND, since, wait, timeout)
        return revision, [
            self._decode(item) for item in items if not item.deleted
        ]

    async def read(self, data_centre, timeout):
        """Read one object; its revision, 0 if there is none, and evidence."""
        stored = await self._store.get(KIND, data_centre, timeout)
        if stored is None:
            return 0, relay.CrashEvidence()
        self._writer.note(stored)
        return stored.revision, self._decode(stored)

    async def write(self, data_centre, evidence, expected_revision, timeout):
        """Write an object on condition of its revision.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision.
        """
        await self._writer.write(
            data_centre, objects.encode(evidence), expected_revision, timeout
        )

    def _decode(self, stored):
        try:
            with objects.decoding('evidence'):
                return objects.decode(relay.CrashEvidence, stored.spec)
        except exceptions.MalformedValue as error:
            self._log.warning(
                'evidence_malformed', name=stored.name, reason=error.message
            )
            return relay.CrashEvidence()
