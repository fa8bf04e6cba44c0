"""One call of a plain service; at most once where it must be."""

import base64
import dataclasses
import hashlib

from balsamwind import exceptions
from balsamwind import objects

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
"""Methods that may be repeated."""


class ServiceCalls:
    """Runs calls of plain services.

    A call that may take effect only once is recorded in the object API
    before its first byte leaves: the record is created only if there is
    none, so of all entries at most one sends the call. A record without an
    answer means that the outcome is unknown, and is never sent again.

    Parameters
    ----------
    service : balsamwind.ports.PlainService
        Backend servers.
    store : balsamwind.ports.ObjectStore
        The platform's object API.
    budget : balsamwind.admission.RetryBudget
        Retries allowed.
    node : balsamwind.settings.NodeSettings
        This node.
    clock : balsamwind.ports.Clock
        Source of time.
    make_id : callable
        Makes operation ids.
    """

    __slots__ = (
        '_budget',
        '_clock',
        '_make_id',
        '_node',
        '_service',
        '_store',
    )

    def __init__(self, service, store, budget, node, clock, make_id):
        self._service = service
        self._store = store
        self._budget = budget
        self._node = node
        self._clock = clock
        self._make_id = make_id

    async def run(self, contract, service, call, deadline):
        """Run one call.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        service : balsamwind.settings.ServiceSettings
            Service to call.
        call : balsamwind.ports.ServiceCall
            The call.
        deadline : float
            Monotonic time at which the caller gives up (seconds).

        Returns
        -------
        balsamwind.objects.Answer
        """
        self._budget.note_first_try()
        if call.method in IDEMPOTENT_METHODS:
            return await self._send(service, call, deadline, repeat=True)
        if not call.idempotency_key:
            return await self._send(service, call, deadline, repeat=False)
        return await self._run_recorded(contract, service, call, deadline)

    async def _run_recorded(self, contract, service, call, deadline):
        name = _record_name(contract, service, call)
        record = objects.CallRecord(
            customer=contract.customer,
            service=service.name,
            request_hash=_request_hash(call),
            node=self._node.name,
            operation=self._make_id(),
            created_at=self._clock.time(),
        )
        try:
            stored = await self._create(name, record)
        except exceptions.StoreError as error:
            if not service.deduplicates_by_key:
                raise exceptions.StoreUnavailable(
                    f'the call was not recorded: {error}', retry_after=1.0
                ) from error
            return await self._send(service, call, deadline, repeat=False)
        if stored.value.operation != record.operation:
            return _replay(stored.value, record)
        try:
            answer = await self._send(service, call, deadline, repeat=False)
        except exceptions.RequestNotRun:
            await self._forget(stored)
            raise
        await self._finish(stored, answer)
        return answer

    async def _create(self, name, record):
        try:
            return await self._store.put('call', name, record, 0)
        except exceptions.Conflict as conflict:
            if conflict.current is not None:
                return conflict.current
            raise exceptions.StoreError('lost the call record') from None
        except exceptions.StoreError:
            stored = await self._store.get('call', name)
            if stored is None:
                raise
            return stored

    async def _finish(self, stored, answer):
        record = dataclasses.replace(stored.value, answer=answer)
        try:
            await self._store.put('call', stored.name, record, stored.revision)
        except exceptions.BalsamwindError:
            # A repeat is told that the outcome is unknown, which is safe.
            return

    async def _forget(self, stored):
        try:
            await self._store.delete('call', stored.name, stored.revision)
        except exceptions.BalsamwindError:
            return

    async def _send(self, service, call, deadline, repeat):
        error = None
        for number, backend in enumerate(self._order(service)):
            left = deadline - self._clock.monotonic()
            if left <= 0 or (number and not self._budget.take()):
                break
            try:
                return await self._service.call(
                    backend.address,
                    call,
                    min(left, service.timeout),
                    backend.tls,
                )
            except exceptions.BackendRefused as refused:
                error = refused
            except exceptions.TransportError as broken:
                if broken.sent and not repeat:
                    raise exceptions.OutcomeUnknown(
                        f'{service.name}: sent, no answer: {broken}'
                    ) from broken
                error = broken
        raise exceptions.NoCapacity(
            f'{service.name}: no backend server took the call: {error}',
            retry_after=1.0,
        )

    def _order(self, service):
        local = self._node.data_centre
        return sorted(
            service.backends,
            key=lambda backend: (backend.data_centre != local, backend.name),
        )


def _record_name(contract, service, call):
    digest = hashlib.sha256(call.idempotency_key.encode('utf-8')).hexdigest()
    return f'{contract.customer}.{service.name}.{digest[:40]}'


def _request_hash(call):
    digest = hashlib.sha256()
    for part in (call.method, call.path):
        digest.update(part.encode('utf-8') + b'\n')
    digest.update(call.body)
    return digest.hexdigest()


def _replay(known, record):
    if known.request_hash != record.request_hash:
        raise exceptions.KeyReused('the key belongs to another request')
    if known.answer is None:
        raise exceptions.OutcomeUnknown(
            'the call was sent before and its outcome is not known',
            retry_after=1.0,
        )
    return known.answer


def load_body(answer):
    """Bytes of an answer's body."""
    return base64.b64decode(answer.body)
