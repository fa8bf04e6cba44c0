"""One call of a plain service; at most once where it must be."""

import asyncio
import base64
import dataclasses

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.requests import _call_records

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
"""Methods that may be repeated."""

STORE_WAIT = 1.0
"""How long a known outcome waits until it is stored (seconds)."""

MAX_LATE = 256
"""Calls whose late answers are awaited (count)."""


@dataclasses.dataclass(slots=True)
class _Running:
    """A recorded call that this entry is running.

    Parameters
    ----------
    request_hash : str
        Hash of the request.
    task : asyncio.Task
        Ends with the answer.
    """

    request_hash: str
    task: asyncio.Task


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
    budgets : balsamwind.admission.RetryBudgets
        Retries allowed.
    node : balsamwind.settings.NodeSettings
        This node.
    clock : balsamwind.ports.Clock
        Source of time.
    make_id : callable
        Makes operation ids.
    rng : random.Random
        Jitter of repeated writes.
    note_retry : callable
        Called with the name of a service at each attempt after the first.
    """

    __slots__ = (
        '_background',
        '_budgets',
        '_clock',
        '_late',
        '_make_id',
        '_node',
        '_note_retry',
        '_records',
        '_running',
        '_service',
    )

    def __init__(
        self,
        service,
        store,
        budgets,
        node,
        clock,
        make_id,
        rng,
        note_retry=lambda service: None,
    ):
        self._service = service
        self._budgets = budgets
        self._node = node
        self._clock = clock
        self._make_id = make_id
        self._note_retry = note_retry
        self._records = _call_records.CallRecords(store, clock, rng)
        self._running = {}
        self._background = set()
        self._late = 0

    @property
    def records(self):
        """Records of calls."""
        return self._records

    @property
    def pending(self):
        """Calls and records that are not settled yet (count)."""
        return len(self._running) + len(self._background)

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

        Notes
        -----
        A recorded call goes on when its caller goes away, and its answer
        is stored. A second request with the same key waits for it.
        """
        if call.method in IDEMPOTENT_METHODS:
            return await self._send(service, call, deadline, repeat=True)
        if not call.idempotency_key:
            return await self._send(service, call, deadline, repeat=False)
        task = self._join(contract, service, call, deadline)
        left = max(0.0, deadline - self._clock.monotonic())
        done, _ = await asyncio.wait({task}, timeout=left)
        if not done:
            raise exceptions.OutcomeUnknown(
                f'{service.name}: no answer by the deadline', retry_after=1.0
            )
        return task.result()

    def _join(self, contract, service, call, deadline):
        kind, name = _call_records.make_record_key(
            contract.customer, service.name, call.idempotency_key
        )
        request_hash = _call_records.make_request_hash(call)
        running = self._running.get(name)
        if running is not None:
            if running.request_hash != request_hash:
                raise exceptions.KeyReused('the key belongs to another call')
            return running.task
        record = objects.CallRecord(
            customer=contract.customer,
            service=service.name,
            request_hash=request_hash,
            node=self._node.name,
            operation=self._make_id(),
            created_at=self._clock.time(),
        )
        task = asyncio.ensure_future(
            self._run_recorded(kind, name, record, service, call, deadline)
        )
        self._running[name] = _Running(request_hash, task)
        task.add_done_callback(lambda task: self._end(name, task))
        return task

    def _end(self, name, task):
        del self._running[name]
        if not task.cancelled():
            task.exception()

    async def _run_recorded(self, kind, name, record, service, call, deadline):
        try:
            stored = await self._records.claim(
                kind, name, record, service.record_time_to_live
            )
        except exceptions.StoreError as error:
            self._keep(self._records.resolve(kind, name, record.operation))
            if not service.deduplicates_by_key:
                raise exceptions.StoreUnavailable(
                    f'the call was not recorded: {error}', retry_after=1.0
                ) from error
            return await self._send(service, call, deadline, repeat=False)
        if stored.value.operation != record.operation:
            return _call_records.check_replay(stored.value, record)
        return await self._send_recorded(stored, service, call, deadline)

    async def _send_recorded(self, stored, service, call, deadline):
        try:
            answer = await self._send(
                service, call, deadline, repeat=False, stored=stored
            )
        except exceptions.RequestNotRun:
            await self._settle(self._records.forget(stored))
            raise
        except exceptions.AnswerTooLarge:
            await self._settle(self._records.finish(stored, None, 0))
            raise
        await self._settle(
            self._records.finish(stored, answer, service.max_kept_answer)
        )
        return answer

    async def _settle(self, write):
        """Wait a while for a write that goes on in the background."""
        await asyncio.wait({self._keep(write)}, timeout=STORE_WAIT)

    def _keep(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _send(self, service, call, deadline, repeat, stored=None):
        budget = self._budgets.of(service.name)
        budget.note_first_try()
        error = None
        for number, backend in enumerate(self._order(service)):
            left = deadline - self._clock.monotonic()
            if left <= 0 or not self._fresh(stored, service):
                break
            if number:
                if not budget.take():
                    break
                self._note_retry(service.name)
            try:
                return await self._attempt(
                    backend, service, call, min(left, service.timeout), stored
                )
            except exceptions.BackendRefused as refused:
                error = refused
                if refused.overloaded:
                    raise exceptions.Overloaded(
                        str(refused), refused.retry_after or 1.0
                    ) from refused
            except exceptions.TransportError as broken:
                if broken.sent and not repeat:
                    raise exceptions.OutcomeUnknown(
                        f'{service.name}: sent, no answer: {broken}',
                        retry_after=1.0,
                    ) from broken
                error = broken
        raise exceptions.NoCapacity(
            f'{service.name}: no backend server took the call: {error}',
            retry_after=1.0,
        )

    def _fresh(self, stored, service):
        """Whether a record is far from the age at which it expires."""
        if stored is None:
            return True
        half = service.record_time_to_live / 2
        return not stored.value.expired(self._clock.time(), half)

    async def _attempt(self, backend, service, call, timeout, stored):
        late = 0.0
        if stored is not None and self._late < MAX_LATE:
            late = service.late_answer_wait
        exchange = self._service.call(
            backend.address,
            call,
            timeout,
            backend.tls,
            late,
            service.max_answer,
        )
        if not late:
            return await exchange
        task = asyncio.ensure_future(exchange)
        try:
            done, _ = await asyncio.wait({task}, timeout=timeout)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if done:
            return task.result()
        self._keep(self._await_late(task, stored, service))
        raise exceptions.TransportError(
            f'{backend.address}: no answer within {timeout:.1f} s'
        )

    async def _await_late(self, task, stored, service):
        """Complete the record by an answer after the time-out."""
        self._late += 1
        try:
            answer = await task
        except exceptions.BackendRefused:
            await self._records.forget(stored)
        except exceptions.AnswerTooLarge:
            await self._records.finish(stored, None, 0)
        except exceptions.TransportError as broken:
            if not broken.sent:
                await self._records.forget(stored)
        else:
            await self._records.finish(stored, answer, service.max_kept_answer)
        finally:
            self._late -= 1

    def _order(self, service):
        local = self._node.data_centre
        return sorted(
            service.backends,
            key=lambda backend: (backend.data_centre != local, backend.name),
        )


def load_body(answer):
    """Bytes of an answer's body."""
    return base64.b64decode(answer.body)
