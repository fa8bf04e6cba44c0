"""Call records in the object API: claimed once, finished, swept."""

import asyncio
import collections
import dataclasses
import hashlib

from balsamwind import exceptions
from balsamwind import objects

MAX_CLAIM_TRIES = 3
"""Conditional writes tried for one claim (count)."""

RETRY_DELAYS = (0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Waits between the tries of a write that no caller waits for (seconds)."""

MAX_ABANDONED = 10000
"""Operations remembered as never to be sent (count)."""


class CallRecords:
    """At most one owner for each call, over all entries.

    Parameters
    ----------
    store : balsamwind.ports.ObjectStore
        The platform's object API.
    clock : balsamwind.ports.Clock
        Source of time.
    rng : random.Random
        Jitter of repeated writes.

    Notes
    -----
    A record is created only if there is none, and names the operation that
    may send the call. An operation that this entry has given up without
    sending is remembered as abandoned: if its record is seen, however
    late its write arrived, this entry may replace or delete it.
    """

    __slots__ = ('_abandoned', '_clock', '_rng', '_store')

    def __init__(self, store, clock, rng):
        self._store = store
        self._clock = clock
        self._rng = rng
        self._abandoned = collections.OrderedDict()

    async def claim(self, kind, name, record, time_to_live):
        """Create the record, or find the one that another operation made.

        Returns
        -------
        balsamwind.objects.Stored
            Its operation is the caller's own if the claim succeeded.

        Raises
        ------
        balsamwind.exceptions.StoreError
            The record was not created, or it may be created later; the
            operation must not be sent on its account.
        """
        expected = 0
        for _ in range(MAX_CLAIM_TRIES):
            try:
                return await self._store.put(kind, name, record, expected)
            except exceptions.Conflict as conflict:
                known = conflict.current
            except exceptions.StoreError:
                known = await self._read_back(kind, name, record, expected)
            if known is None:
                expected = 0
            elif self._replaceable(known.value, time_to_live):
                expected = known.revision
            else:
                return known
        self.abandon(record.operation)
        raise exceptions.StoreError(f'{name}: the record keeps changing')

    async def _read_back(self, kind, name, record, expected):
        """The record after a write whose answer was lost.

        Raises if the write may still arrive: then this entry must never
        send the operation.
        """
        try:
            known = await self._store.get(kind, name)
        except exceptions.StoreError:
            self.abandon(record.operation)
            raise
        if (known.revision if known else 0) == expected:
            self.abandon(record.operation)
            raise exceptions.StoreError(f'{name}: the write was not seen')
        return known

    def _replaceable(self, known, time_to_live):
        if known.operation in self._abandoned:
            return True
        return known.expired(self._clock.time(), time_to_live)

    def abandon(self, operation):
        """Note that this entry will never send an operation."""
        self._abandoned[operation] = True
        if len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    async def finish(self, stored, answer, max_kept):
        """Store the answer, so that repeats get it.

        Returns
        -------
        bool
            Whether the store is known to hold it.
        """
        kept = answer
        if answer is not None and len(answer.body) * 3 // 4 > max_kept:
            kept = None
        record = dataclasses.replace(stored.value, answer=kept, answered=True)
        return await self._persist(
            lambda: self._store.put(
                stored.kind, stored.name, record, stored.revision
            )
        )

    async def forget(self, stored):
        """Delete the record of a call that was not run."""
        self.abandon(stored.value.operation)
        return await self._persist(lambda: self._delete(stored))

    async def resolve(self, kind, name, operation):
        """Delete the record of an abandoned operation if it appears."""
        for delay in RETRY_DELAYS:
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            try:
                known = await self._store.get(kind, name)
                if known is not None and known.value.operation == operation:
                    await self._delete(known)
                    return
            except exceptions.Conflict:
                return
            except exceptions.StoreError:
                continue

    async def sweep(self, kind, time_to_live):
        """Delete records of one kind that have expired.

        Parameters
        ----------
        kind : str
            One of :data:`balsamwind.objects.CALL_KINDS`.
        time_to_live : callable
            Service -> how long its records are kept (seconds).

        Returns
        -------
        int
            Records deleted (count).
        """
        snapshot = await self._store.list((kind,))
        now = self._clock.time()
        deleted = 0
        for stored in snapshot.items:
            record = stored.value
            if record.expired(now, time_to_live(record.service)):
                await self._delete(stored)
                deleted += 1
        return deleted

    async def _delete(self, stored):
        await self._store.delete(stored.kind, stored.name, stored.revision)

    async def _persist(self, write):
        for delay in RETRY_DELAYS:
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
    """Kind and name of the record of a call."""
    text = '\n'.join((customer, service, idempotency_key))
    digest = hashlib.sha256(text.encode('utf-8')).hexdigest()
    number = int(digest[:8], 16) % len(objects.CALL_KINDS)
    return objects.CALL_KINDS[number], f'{customer}.{service}.{digest[:40]}'


def make_request_hash(call):
    """Hash of what a call asks for."""
    digest = hashlib.sha256()
    for part in (call.method, call.path):
        digest.update(part.encode('utf-8') + b'\n')
    digest.update(call.body)
    return digest.hexdigest()


def check_replay(known, record):
    """Answer for a repeat, from the record of the first request.

    Raises
    ------
    balsamwind.exceptions.KeyReused
        The key belongs to another request.
    balsamwind.exceptions.AnswerNotKept
        The call was run; its answer was too large.
    balsamwind.exceptions.OutcomeUnknown
        The call may have been run.
    """
    if known.request_hash != record.request_hash:
        raise exceptions.KeyReused('the key belongs to another request')
    if known.answer is not None:
        return known.answer
    if known.answered:
        raise exceptions.AnswerNotKept(
            'the call was run before; its answer was too large to keep'
        )
    raise exceptions.OutcomeUnknown(
        'the call was sent before and its outcome is not known',
        retry_after=1.0,
    )
