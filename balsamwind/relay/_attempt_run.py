"""One attempt of a request: its backend, and the answer that it gives."""

import asyncio
import contextlib

from balsamwind import exceptions
from balsamwind.relay import _attempt_sender
from balsamwind.relay import _attempts
from balsamwind.relay import _backend_selection
from balsamwind.relay import _carried_attempts
from balsamwind.relay import _direct_path
from balsamwind.relay import _paths
from balsamwind.relay import _placement
from balsamwind.relay import _progress_watch

DISCARD_TIMEOUT = 0.05
"""Longest wait for more of a response that is not relayed (seconds)."""

MAX_DISCARD_TIME = 0.25
"""Longest time in which such a response is read (seconds)."""

MAX_DISCARDED_BYTES = 1 << 16
"""Size up to which it is read (bytes)."""


async def _discard_body(response):
    """Read a short response to its end, so that its connection is reused.

    A longer one is not kept: its server may never end it. `_send` closes the
    connection that can't be reused.
    """
    size = 0
    with contextlib.suppress(exceptions.TransportError, TimeoutError):
        async with asyncio.timeout(MAX_DISCARD_TIME):
            while chunk := await response.read(DISCARD_TIMEOUT):
                size += len(chunk)
                if size > MAX_DISCARDED_BYTES:
                    return


def _close_response(task):
    """Close the response of a cancelled task if it arrived nevertheless."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


class AttemptRun:
    """One attempt, which may run beside others of the same request.

    The one that has something for the caller claims the response first.

    Parameters
    ----------
    forwarded : ForwardedRequest
        The request.
    response : ResponseRelay
        Response to the caller, over all attempts.
    tried : container of tuple
        Keys of the backends that earlier attempts used.
    is_first : bool
        Whether it is the first attempt of the request.
    is_paid : bool
        Whether the retry budget has paid for it.
    forwarder : RequestForwarder
        Decides on attempts: its ``handle_silence()`` is called after each
        check that finds the backend silent for long, ``claim(attempt)``
        before anything is written to the caller, which ends all others.
        ``may_follow()`` and ``is_alone()`` tell of other attempts, and
        ``check_before_send(attempt)`` raises if the request may not be sent.

    Attributes
    ----------
    backend : Backend or None
        Backend that was reserved; None before.
    progress : AttemptProgress or None
        How far the attempt has come; None before it was made.
    is_paid : bool
        As given.
    is_silent : bool
        Whether the backend has sent nothing for long.
    """

    __slots__ = (
        '_forwarded',
        '_forwarder',
        '_relay',
        '_response',
        '_selector',
        '_sender',
        'backend',
        'is_paid',
        'is_silent',
        'progress',
    )

    def __init__(
        self, forwarded, response, tried, is_first, is_paid, forwarder
    ):
        self._forwarded = forwarded
        self._relay = forwarded.relay
        self._response = response
        self._forwarder = forwarder
        self._sender = _attempt_sender.AttemptSender(forwarded.relay)
        self._selector = _backend_selection.BackendSelector(
            forwarded.relay,
            forwarded.service,
            forwarded.metadata,
            forwarded.find_time_left,
            forwarded.terms,
            forwarded.make_key,
            forwarded.data_centres,
            tried,
            is_first,
        )
        self.backend = None
        self.is_paid = is_paid
        self.progress = None
        self.is_silent = False

    @property
    def may_be_sent(self):
        """Whether any byte of the attempt may have been sent."""
        return self._sender.may_be_sent

    @property
    def through_peer(self):
        """Whether another node carries the attempt."""
        return self._sender.through_peer

    async def run(self):
        """Send the request to a backend, and relay its answer.

        Returns
        -------
        Failure or None
            None if the response was relayed.

        Raises
        ------
        balsamwind.exceptions.NoCapacity
            No backend can serve the request in time.
        """
        async with self._selector.reserve() as backend:
            self.backend = backend
            try:
                with backend.track(
                    self._forwarded.metadata.prompt_tokens
                ) as mark_prompt_processed:
                    failure = await self._send(mark_prompt_processed)
            finally:
                self._relay.waiting_room.advance(
                    self._relay.clock.monotonic(), backend
                )
            self._selector.outcome = _attempts.find_outcome(failure)
            return failure

    def make_silence_failure(self):
        """Make the failure of an attempt that another one has overtaken."""
        error = exceptions.AnswerTimeout(
            'the replica group made no progress within the stall timeout',
            sent=self.may_be_sent,
        )
        return self._make_failure(error, sent=error.sent, stalled=True)

    async def _send(self, mark_prompt_processed):
        response = None
        backend = self.backend
        watch = self._make_progress_watch()
        sent_at = self._relay.clock.monotonic()
        self.progress = _attempts.AttemptProgress(sent_at=sent_at)
        try:
            response = await self._open_response(watch)
            metadata = self._relay.header_codec.decode_response(
                response.headers
            )
            now = self._relay.clock.monotonic()
            if metadata.load is not None:
                backend.update_load(metadata.load, now)
                if metadata.not_run:
                    self._selector.reported_load = metadata.load
            self._relay.server_statements.handle_answer(
                backend, response.status, metadata, sent_at, now
            )
            failure = self._check_head(response, metadata)
            if failure is not None:
                await _discard_body(response)
                return failure
            if self._response.is_event_stream(response):
                await self._relay_events(
                    response, watch, mark_prompt_processed, metadata.load
                )
                return None
            await self._response.relay_body(
                response,
                self._forwarded.find_read_timeout,
                self._claim_response,
            )
            return None
        except exceptions.ChoiceExpired as error:
            return _attempts.Failure(
                error, sent=False, fault=_attempts.Fault.PEER
            )
        except exceptions.TransportError as error:
            return await self._explain_failure(error)
        finally:
            if response is not None:
                response.close()

    def _check_head(self, response, metadata):
        """Find why a response is not relayed; None if it is."""
        status = response.status
        failure = _attempts.check_response_headers(status, metadata)
        if failure is not None:
            self.backend.record_rejection()
            return failure
        self._record_progress()
        if 200 <= status < 300:
            self.progress.began_at = self._relay.clock.monotonic()
        if status >= 500 and self._forwarder.may_follow():
            return _attempts.Failure(
                exceptions.BadAnswer(
                    f'the backend server failed with status {status}'
                ),
                counts_for_ejection=status != 504
                and not self._selector.is_forbidden(self.backend),
            )
        if not self._response.can_follow(response):
            return _attempts.Failure(
                exceptions.BadAnswer(
                    'the backend server did not resume the stream: status'
                    f' {status}'
                ),
                counts_for_ejection=status != 504,
            )
        return None

    def _record_progress(self):
        now = self._relay.clock.monotonic()
        self.is_silent = False
        self.backend.record_progress(now)
        self._selector.withdraw_stall(now - self.progress.sent_at)

    def _claim_response(self):
        self._forwarder.claim(self)

    async def _explain_failure(self, error):
        """Find what a failure is blamed on.

        A connection that fails looks the same whether the server or the path
        has ended, which other connections show at once.
        """
        if not self.through_peer:
            if error.sent:
                _direct_path.record_failure(self._relay, self.backend, error)
            await self._relay.settle_path(self._forwarded.service.name)
        return self._make_failure(error, sent=error.sent)

    def _make_failure(self, error, **values):
        fault = _attempts.find_fault(
            error,
            self.through_peer,
            self._relay.paths.is_open(self._forwarded.service.name),
        )
        if isinstance(error, exceptions.EmptyContinuation):
            values['counts_for_ejection'] = False
        return _attempts.Failure(error, fault=fault, **values)

    def _make_progress_watch(self):
        return _progress_watch.ProgressWatch(
            self.backend,
            self._forwarded.service.engine,
            self._relay.clock,
            self._selector.report_stall,
            self._handle_long_silence,
            self._assess_path,
        )

    def _assess_path(self, waiting_since, timeout):
        """Return the state of the path that the attempt has taken."""
        if self.through_peer:
            return _paths.PathState.OPEN
        service = self._forwarded.service.name
        paths = self._relay.paths
        paths.record_silence(
            service,
            self.backend.record.server_id,
            waiting_since,
            timeout,
            self._relay.clock.monotonic(),
        )
        return paths.find_state(service)

    def _handle_long_silence(self):
        if not self.is_silent:
            # New connections may work although idle ones are dead.
            self._relay.client.close_idle_connections(
                self.backend.record.address
            )
        self.is_silent = True
        self._forwarder.handle_silence()

    async def _open_response(self, watch):
        task = asyncio.ensure_future(
            self._sender.open(
                self.backend, self._make_outgoing(), self._check_before_send
            )
        )
        watch.expect_first_event(self._selector.make_requirements())
        try:
            while True:
                watch.start_poll()
                done, _ = await asyncio.wait(
                    {task}, timeout=_progress_watch.POLL_INTERVAL
                )
                if done:
                    return task.result()
                watch.check_progress()
        except BaseException:
            task.add_done_callback(_close_response)
            task.cancel()
            raise

    def _make_outgoing(self):
        forwarded = self._forwarded
        request, metadata = forwarded.request, forwarded.metadata
        last_event_id = self._response.events.last_event_id
        return _carried_attempts.OutgoingAttempt(
            request_id=metadata.request_id,
            backend=_placement.BackendKey(*self.backend.key),
            method=request.method,
            target=request.target,
            host=request.host,
            headers=forwarded.headers,
            body=request.body,
            time_left=max(forwarded.time_left, 0.0),
            account=forwarded.account_name,
            last_event_id=(
                metadata.last_event_id
                if last_event_id < 0
                else str(last_event_id)
            ),
            shared_parts=metadata.shared_parts,
            data_centres=forwarded.data_centres,
            priority=forwarded.priority,
            is_cold=self._selector.find_send_delay(self.backend) is not None,
        )

    def _check_before_send(self):
        """Check that somebody still waits, and that the server may be used.

        On a slow node, the caller may have left, its deadline may have
        passed, the server may have left or its data centre be evacuated, or
        the request be quarantined, while it waited for the event loop or a
        connection.

        Raises
        ------
        asyncio.CancelledError
            The caller has left.
        balsamwind.exceptions.TransportError
            The deadline has passed, a rule forbids the server, or it is cold
            and was chosen too long ago; nothing was sent.
        """
        backend = self.backend
        if self._forwarded.responder.is_caller_gone():
            raise asyncio.CancelledError
        if self._forwarded.time_left <= 0:
            raise exceptions.DeadlinePassed(
                'the deadline passed before the request was sent'
            )
        backends = self._relay.backends
        if backends.find(self._forwarded.service, backend.key) is not backend:
            raise exceptions.SendForbidden('the server may have left')
        if not self._selector.is_home(backend):
            raise exceptions.SendForbidden(
                f'the request may not run in {backend.record.data_centre}'
            )
        self._forwarder.check_before_send(self)
        self._relay.server_statements.check_rules(
            backend.record, self._relay.clock.monotonic()
        )
        send_delay = self._selector.find_send_delay(backend)
        if send_delay is None:
            return
        if self.through_peer:
            send_delay -= _carried_attempts.MAX_COLD_CARRY_TIME
        if send_delay < 0.0:
            raise exceptions.ChoiceExpired(
                'the cold backend was chosen too long ago'
            )

    async def _relay_events(
        self, response, watch, mark_prompt_processed, load
    ):
        events = self._response.events.open_attempt()
        held_back = b''
        watch.expect_events()
        while True:
            watch.start_poll()
            if not await response.wait_for_data(_progress_watch.POLL_INTERVAL):
                watch.check_progress()
                continue
            chunk = await response.read(1.0)
            if not chunk:
                break
            mark_prompt_processed()
            self._record_progress()
            now = self._relay.clock.monotonic()
            if not self.through_peer:
                self._relay.paths.record_heard(
                    self._forwarded.service.name, now
                )
            held_back += events.feed(chunk)
            # Comments alone are no reason to end another attempt.
            if held_back and (
                events.has_new_events or self._forwarder.is_alone()
            ):
                complete_events, held_back = held_back, b''
                self._claim_response()
                if self.progress.first_event_at is None:
                    self._report_first_event(watch, load, now)
                self.progress.record_events(now)
                await self._response.write_events(response, complete_events)
        self._record_stream_end(response, events)
        rest = held_back + events.finish(response.has_marked_end)
        self._claim_response()
        await self._response.finish_events(response, rest)

    def _report_first_event(self, watch, load, now):
        """Report the time to the first event, and the load of the backend."""
        measured_time = now - self.progress.sent_at
        if watch.predicted_time is not None:
            self.backend.record_first_event(
                measured_time, watch.predicted_time, now
            )
            self._selector.report_progress(measured_time, load)

    def _record_stream_end(self, response, events):
        self._relay.request_log.record_stream_end(
            self._forwarded.metadata.request_id,
            self.backend,
            response.framing_name,
            events.unfinished_bytes,
        )
