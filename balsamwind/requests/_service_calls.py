"""Execution of plain service calls, at most once if not idempotent."""

import asyncio
import base64
import dataclasses

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.requests import _call_records

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
"""HTTP methods of calls that may be sent more than once."""

RECORD_WRITE_WAIT = 1.0
"""Longest wait of a known outcome for the write of its record (seconds)."""

MAX_LATE_ANSWERS = 256
"""Calls whose answers are awaited beyond the timeout (count)."""


@dataclasses.dataclass(slots=True)
class _RunningCall:
    """Recorded call that this entry is running.

    Parameters
    ----------
    request_hash : str
        Hash of the call's method, path and body.
    task : asyncio.Task
        Task whose result is the answer.
    """

    request_hash: str
    task: asyncio.Task


class ServiceCallRunner:
    """Run calls of plain services.

    A non-idempotent call with an idempotency key is recorded in the
    object API before its first byte is sent. The record is created only
    if none exists, so of all entries at most one sends the call. A record
    without an answer means that the outcome is unknown; its call is never
    sent again.

    Parameters
    ----------
    service_client : balsamwind.ports.PlainService
        Client of the backend servers.
    store : balsamwind.ports.ObjectStore
        Client of the platform's object API.
    budgets : balsamwind.admission.ServiceRetryBudgets
        Retry budgets of the services.
    node : balsamwind.settings.NodeSettings
        Name and data centre of this node.
    clock : balsamwind.ports.Clock
        Source of the monotonic and the wall-clock time.
    make_id : callable
        Returns a new operation id; called without arguments.
    rng : random.Random
        Source of the jitter of retry delays.
    note_retry : callable
        Called with the name of the service before each attempt after the
        first.
    """

    __slots__ = (
        '_background_tasks',
        '_budgets',
        '_clock',
        '_late_answer_count',
        '_make_id',
        '_node',
        '_note_retry',
        '_records',
        '_running_calls',
        '_service_client',
    )

    def __init__(
        self,
        service_client,
        store,
        budgets,
        node,
        clock,
        make_id,
        rng,
        note_retry=lambda service: None,
    ):
        self._service_client = service_client
        self._budgets = budgets
        self._node = node
        self._clock = clock
        self._make_id = make_id
        self._note_retry = note_retry
        self._records = _call_records.CallRecordStore(store, clock, rng)
        self._running_calls = {}
        self._background_tasks = set()
        self._late_answer_count = 0

    @property
    def records(self):
        """CallRecordStore : Records of the calls."""
        return self._records

    @property
    def pending(self):
        """int : Recorded calls and background tasks in progress (count)."""
        return len(self._running_calls) + len(self._background_tasks)

    async def run(self, contract, service, call, deadline):
        """Run one call.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        service : balsamwind.settings.ServiceSettings
            Settings of the service to call.
        call : balsamwind.ports.ServiceCall
            Call to run.
        deadline : float
            Monotonic time at which the caller stops waiting (seconds).

        Returns
        -------
        balsamwind.objects.Answer

        Raises
        ------
        balsamwind.exceptions.RequestNotRun
            The call was not executed.
        balsamwind.exceptions.BalsamwindError
            The call was or may have been executed, but its answer is not
            available.

        Notes
        -----
        A recorded call continues when its caller disconnects, and its
        answer is stored. A concurrent call with the same idempotency key
        waits for the same answer.
        """
        if call.method in IDEMPOTENT_METHODS:
            return await self._send_with_retries(
                service, call, deadline, may_resend=True
            )
        if not call.idempotency_key:
            return await self._send_with_retries(
                service, call, deadline, may_resend=False
            )
        task = self._start_or_join(contract, service, call, deadline)
        time_left = max(0.0, deadline - self._clock.monotonic())
        done, _ = await asyncio.wait({task}, timeout=time_left)
        if not done:
            raise exceptions.OutcomeUnknown(
                f'{service.name}: call not completed before the deadline, '
                'outcome unknown',
                retry_after=1.0,
            )
        return task.result()

    def _start_or_join(self, contract, service, call, deadline):
        """Return the task of a call; start it unless it is running."""
        kind, name = _call_records.make_record_key(
            contract.customer, service.name, call.idempotency_key
        )
        request_hash = _call_records.make_request_hash(call)
        running_call = self._running_calls.get(name)
        if running_call is not None:
            if running_call.request_hash != request_hash:
                raise exceptions.KeyReused(
                    'idempotency key is in use by a running call with '
                    'another method, path or body'
                )
            return running_call.task
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
        self._running_calls[name] = _RunningCall(request_hash, task)
        task.add_done_callback(
            lambda task: self._remove_running_call(name, task)
        )
        return task

    def _remove_running_call(self, name, task):
        del self._running_calls[name]
        if not task.cancelled():
            # Marks the exception as retrieved: the caller may have
            # disconnected, and asyncio would log an unretrieved one.
            task.exception()

    async def _run_recorded(self, kind, name, record, service, call, deadline):
        try:
            stored = await self._records.claim(
                kind, name, record, service.record_time_to_live
            )
        except exceptions.StoreError as error:
            self._start_background_task(
                self._records.delete_abandoned(kind, name, record.operation)
            )
            if not service.deduplicates_by_key:
                raise exceptions.StoreUnavailable(
                    f'call record not written, call not sent: {error}',
                    retry_after=1.0,
                ) from error
            return await self._send_with_retries(
                service, call, deadline, may_resend=False
            )
        if stored.value.operation != record.operation:
            return _call_records.get_recorded_answer(stored.value, record)
        return await self._send_recorded(stored, service, call, deadline)

    async def _send_recorded(self, stored, service, call, deadline):
        try:
            answer = await self._send_with_retries(
                service, call, deadline, may_resend=False, stored=stored
            )
        except exceptions.RequestNotRun:
            await self._wait_for_write(self._records.delete_unexecuted(stored))
            raise
        except exceptions.AnswerTooLarge:
            await self._wait_for_write(
                self._records.store_answer(stored, None, 0)
            )
            raise
        await self._wait_for_write(
            self._records.store_answer(stored, answer, service.max_kept_answer)
        )
        return answer

    async def _wait_for_write(self, write):
        """Wait up to `RECORD_WRITE_WAIT` for a write to a record.

        A slower write continues in the background, so that it delays the
        caller's answer no longer.
        """
        await asyncio.wait(
            {self._start_background_task(write)}, timeout=RECORD_WRITE_WAIT
        )

    def _start_background_task(self, coroutine):
        # The event loop holds only weak references to its tasks.
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    async def _send_with_retries(
        self, service, call, deadline, may_resend, stored=None
    ):
        """Send a call to the backend servers in turn until one answers.

        Parameters
        ----------
        service : balsamwind.settings.ServiceSettings
            Settings of the service.
        call : balsamwind.ports.ServiceCall
            Call to send.
        deadline : float
            Monotonic time after which no attempt is started (seconds).
        may_resend : bool
            Whether the call may be sent again after an attempt that may
            have executed it.
        stored : balsamwind.objects.ObjectVersion or None
            Record of the call; None if it is not recorded.

        Returns
        -------
        balsamwind.objects.Answer
        """
        budget = self._budgets.for_service(service.name)
        budget.record_first_attempt()
        last_error = None
        for retry_number, backend in enumerate(self._order_backends(service)):
            time_left = deadline - self._clock.monotonic()
            if time_left <= 0 or not self._is_fresh(stored, service):
                break
            if retry_number:
                if not budget.try_consume():
                    break
                self._note_retry(service.name)
            try:
                return await self._send_once(
                    backend,
                    service,
                    call,
                    min(time_left, service.timeout),
                    stored,
                )
            except exceptions.BackendRefused as refusal:
                last_error = refusal
                if refusal.overloaded:
                    raise exceptions.Overloaded(
                        str(refusal), refusal.retry_after or 1.0
                    ) from refusal
            except exceptions.TransportError as error:
                if error.sent and not may_resend:
                    raise exceptions.OutcomeUnknown(
                        f'{service.name}: call sent, no answer received: '
                        f'{error}',
                        retry_after=1.0,
                    ) from error
                last_error = error
        raise exceptions.NoCapacity(
            f'{service.name}: no backend server accepted the call; '
            f'last error: {last_error}',
            retry_after=1.0,
        )

    def _is_fresh(self, stored, service):
        """Return whether a call's record is not close to its expiry.

        A call is not sent once its record has reached half of its time to
        live: after the expiry another operation may claim and send it.
        """
        if stored is None:
            return True
        max_age = service.record_time_to_live / 2
        return not stored.value.expired(self._clock.time(), max_age)

    async def _send_once(self, backend, service, call, timeout, stored):
        """Send a call to one backend server.

        The answer to a recorded call is awaited in the background for up
        to `late_answer_wait` beyond the timeout, to complete the record.
        """
        late_wait = 0.0
        if stored is not None and self._late_answer_count < MAX_LATE_ANSWERS:
            late_wait = service.late_answer_wait
        exchange = self._service_client.call(
            backend.address,
            call,
            timeout,
            backend.tls,
            late_wait,
            service.max_answer,
        )
        if not late_wait:
            return await exchange
        task = asyncio.ensure_future(exchange)
        try:
            done, _ = await asyncio.wait({task}, timeout=timeout)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if done:
            return task.result()
        self._start_background_task(
            self._record_late_answer(task, stored, service)
        )
        raise exceptions.TransportError(
            f'{backend.address}: no answer within {timeout:.1f} s'
        )

    async def _record_late_answer(self, task, stored, service):
        """Complete the record of a call with an answer after the timeout."""
        self._late_answer_count += 1
        try:
            answer = await task
        except exceptions.BackendRefused:
            await self._records.delete_unexecuted(stored)
        except exceptions.AnswerTooLarge:
            await self._records.store_answer(stored, None, 0)
        except exceptions.TransportError as error:
            if not error.sent:
                await self._records.delete_unexecuted(stored)
        else:
            await self._records.store_answer(
                stored, answer, service.max_kept_answer
            )
        finally:
            self._late_answer_count -= 1

    def _order_backends(self, service):
        """Sort the backend servers by locality, then by name."""
        local_data_centre = self._node.data_centre
        return sorted(
            service.backends,
            key=lambda backend: (
                backend.data_centre != local_data_centre,
                backend.name,
            ),
        )


def load_body(answer):
    """Decode the body of an answer.

    Parameters
    ----------
    answer : balsamwind.objects.Answer
        Answer of a backend server.

    Returns
    -------
    bytes
        Body of the answer.
    """
    return base64.b64decode(answer.body)
