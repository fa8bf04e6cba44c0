"""Records of non-idempotent calls, kept in the platform's object API."""

import asyncio
import collections
import dataclasses
import hashlib

from balsamwind import exceptions
from balsamwind import objects

MAX_CLAIM_ATTEMPTS = 3
"""Conditional writes attempted to claim one call (count)."""

BACKGROUND_RETRY_DELAYS = (0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Backoff between attempts of an operation in the background (seconds).

Each delay is multiplied by a random factor between 0.5 and 1.
"""

MAX_ABANDONED_OPERATIONS = 10000
"""Ids of abandoned operations that are remembered (count)."""


class CallRecordStore:
    """Store of call records that gives each call at most one owner.

    Parameters
    ----------
    store : balsamwind.ports.ObjectStore
        Client of the platform's object API.
    clock : balsamwind.ports.Clock
        Source of the wall-clock time that record ages are computed from.
    rng : random.Random
        Source of the jitter of retry delays.

    Notes
    -----
    A record is created only if none exists. It names the operation that
    may send the call, so of all entries at most one sends it.

    An operation that this entry gave up before sending is remembered as
    abandoned. A write whose answer was lost may be applied at any later
    time; when the record of an abandoned operation appears, this entry
    may replace or delete it, as the operation is never sent.
    """

    __slots__ = ('_abandoned_operations', '_clock', '_rng', '_store')

    def __init__(self, store, clock, rng):
        self._store = store
        self._clock = clock
        self._rng = rng
        self._abandoned_operations = collections.OrderedDict()

    async def claim(self, kind, name, record, time_to_live):
        """Create a record, or return the one that already exists.

        Parameters
        ----------
        kind : str
            One of :data:`balsamwind.objects.CALL_KINDS`.
        name : str
            Name of the record.
        record : balsamwind.objects.CallRecord
            Record to create; names the operation that claims the call.
        time_to_live : float
            Age from which an existing record may be replaced (seconds).

        Returns
        -------
        balsamwind.objects.ObjectVersion
            Record in the store. The claim succeeded if its operation is
            that of `record`.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The record was not created, or its write may still be applied.
            The operation must not be sent on the strength of the record.
        """
        expected_revision = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                return await self._store.put(
                    kind, name, record, expected_revision
                )
            except exceptions.Conflict as conflict:
                existing = conflict.current
            except exceptions.StoreError:
                existing = await self._read_back(
                    kind, name, record, expected_revision
                )
            if existing is None:
                expected_revision = 0
            elif self._may_replace(existing.value, time_to_live):
                expected_revision = existing.revision
            else:
                return existing
        self.abandon(record.operation)
        raise exceptions.StoreError(
            f'{name}: record not claimed, as it changed during each attempt'
        )

    async def _read_back(self, kind, name, record, expected_revision):
        """Read the record after a write whose answer was lost.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The read failed, or the write is not visible and may still be
            applied. The operation is abandoned: this entry must never
            send it.
        """
        try:
            existing = await self._store.get(kind, name)
        except exceptions.StoreError:
            self.abandon(record.operation)
            raise
        if (existing.revision if existing else 0) == expected_revision:
            self.abandon(record.operation)
            raise exceptions.StoreError(
                f'{name}: record write failed and may still be applied'
            )
        return existing

    def _may_replace(self, existing, time_to_live):
        if existing.operation in self._abandoned_operations:
            return True
        return existing.expired(self._clock.time(), time_to_live)

    def abandon(self, operation):
        """Remember that this entry will never send an operation.

        Parameters
        ----------
        operation : str
            Id of the operation.
        """
        self._abandoned_operations[operation] = True
        if len(self._abandoned_operations) > MAX_ABANDONED_OPERATIONS:
            self._abandoned_operations.popitem(last=False)

    async def store_answer(self, stored, answer, max_kept):
        """Add the answer to a record, so that repeated calls receive it.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Record of the call.
        answer : balsamwind.objects.Answer or None
            Answer of the backend server; None if it was too large to read.
        max_kept : int
            Largest body to store, before base64 encoding (bytes). For a
            larger body the record only states that the call was answered.

        Returns
        -------
        bool
            False if no attempt to write succeeded. A conflict counts as
            success, as it means that the record changed: an earlier
            attempt may have been applied without an answer.
        """
        kept_answer = answer
        # The body is base64 text: 4 characters encode 3 bytes.
        if answer is not None and len(answer.body) * 3 // 4 > max_kept:
            kept_answer = None
        record = dataclasses.replace(
            stored.value, answer=kept_answer, answered=True
        )
        return await self._write_with_retries(
            lambda: self._store.put(
                stored.kind, stored.name, record, stored.revision
            )
        )

    async def delete_unexecuted(self, stored):
        """Delete the record of a call that certainly was not executed.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Record of the call; its operation is abandoned.

        Returns
        -------
        bool
            False if no attempt to delete succeeded.
        """
        self.abandon(stored.value.operation)
        return await self._write_with_retries(lambda: self._delete(stored))

    async def delete_abandoned(self, kind, name, operation):
        """Delete the record of an abandoned operation if it appears.

        The write that creates the record may still be applied, so the
        store is read repeatedly until the record is found or the delays
        of `BACKGROUND_RETRY_DELAYS` are used up.

        Parameters
        ----------
        kind : str
            One of :data:`balsamwind.objects.CALL_KINDS`.
        name : str
            Name of the record.
        operation : str
            Id of the abandoned operation.
        """
        for delay in BACKGROUND_RETRY_DELAYS:
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            try:
                existing = await self._store.get(kind, name)
                if (
                    existing is not None
                    and existing.value.operation == operation
                ):
                    await self._delete(existing)
                    return
            except exceptions.Conflict:
                return
            except exceptions.StoreError:
                continue

    async def delete_expired(self, kind, time_to_live):
        """Delete the expired records of one kind.

        Parameters
        ----------
        kind : str
            One of :data:`balsamwind.objects.CALL_KINDS`.
        time_to_live : callable
            Maps the name of a service to the time for which its records
            are kept (seconds).

        Returns
        -------
        int
            Records deleted (count).
        """
        snapshot = await self._store.list((kind,))
        now = self._clock.time()
        deleted_count = 0
        for stored in snapshot.items:
            record = stored.value
            if record.expired(now, time_to_live(record.service)):
                await self._delete(stored)
                deleted_count += 1
        return deleted_count

    async def _delete(self, stored):
        await self._store.delete(stored.kind, stored.name, stored.revision)

    async def _write_with_retries(self, write):
        for delay in BACKGROUND_RETRY_DELAYS:
            try:
                await write()
            except exceptions.Conflict:
                return True
            except exceptions.StoreError:
                await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            else:
                return True
        return False


def make_record_key(customer, service, idempotency_key):
    """Derive the kind and the name of a call's record.

    Records are spread over the kinds of
    :data:`balsamwind.objects.CALL_KINDS` by hash, and a sweep lists one
    kind at a time.

    Parameters
    ----------
    customer : str
        Customer that makes the call.
    service : str
        Service that is called.
    idempotency_key : str
        The caller's idempotency key.

    Returns
    -------
    kind : str
        Kind of the record in the object API.
    name : str
        Name of the record in the object API.
    """
    text = '\n'.join((customer, service, idempotency_key))
    digest = hashlib.sha256(text.encode('utf-8')).hexdigest()
    kind_index = int(digest[:8], 16) % len(objects.CALL_KINDS)
    return objects.CALL_KINDS[
        kind_index
    ], f'{customer}.{service}.{digest[:40]}'


def make_request_hash(call):
    """Hash the method, path and body of a call.

    Parameters
    ----------
    call : balsamwind.ports.ServiceCall
        The call.

    Returns
    -------
    str
        SHA-256 digest in hexadecimal.
    """
    digest = hashlib.sha256()
    for part in (call.method, call.path):
        digest.update(part.encode('utf-8') + b'\n')
    digest.update(call.body)
    return digest.hexdigest()


def get_recorded_answer(existing, record):
    """Return the answer to a repeated call from the first call's record.

    Parameters
    ----------
    existing : balsamwind.objects.CallRecord
        Record of the first call.
    record : balsamwind.objects.CallRecord
        Record that the repeated call tried to create.

    Returns
    -------
    balsamwind.objects.Answer

    Raises
    ------
    balsamwind.exceptions.KeyReused
        The first call with the idempotency key had another method, path
        or body.
    balsamwind.exceptions.AnswerNotKept
        The call was executed, but its answer was too large to store.
    balsamwind.exceptions.OutcomeUnknown
        The call may have been executed; no answer is recorded.
    """
    if existing.request_hash != record.request_hash:
        raise exceptions.KeyReused(
            'idempotency key was used with another method, path or body'
        )
    if existing.answer is not None:
        return existing.answer
    if existing.answered:
        raise exceptions.AnswerNotKept(
            'call was already executed; its answer was too large to store'
        )
    raise exceptions.OutcomeUnknown(
        'call was already sent; no answer is recorded, outcome unknown',
        retry_after=1.0,
    )
