"""Forwarding of one request, with retries, until its response is relayed."""

import asyncio
import contextlib
import functools

from balsamwind import exceptions
from balsamwind.relay import _attempt_sender
from balsamwind.relay import _attempts
from balsamwind.relay import _backend_selection
from balsamwind.relay import _carried_attempts
from balsamwind.relay import _direct_path
from balsamwind.relay import _fingerprint
from balsamwind.relay import _header_filter
from balsamwind.relay import _paths
from balsamwind.relay import _placement
from balsamwind.relay import _progress_watch
from balsamwind.relay import _request_terms
from balsamwind.relay import _response_relay

MAX_UNRUN_ATTEMPTS = 4
"""Attempts that certainly did not run after which the request is rejected
(count)."""

DISCARD_TIMEOUT = 0.05
"""Longest wait for the rest of a response that is not relayed (seconds)."""


async def _discard_body(response):
    """Read a short response to its end, so that its connection is reused."""
    try:
        await response.read_all(DISCARD_TIMEOUT)
    except exceptions.TransportError:
        # The connection is not reusable; `_attempt` closes it.
        return


def _make_quarantine_error(quarantine):
    if _fingerprint.is_fingerprint(quarantine.part):
        return exceptions.RequestQuarantined(
            f'{quarantine.crashes} servers crashed as they ran the same'
            ' request',
            quarantine.time_left,
        )
    return exceptions.PromptQuarantined(
        f'{quarantine.crashes} engines crashed as they began to answer'
        f' prompts with the part {quarantine.part}',
        quarantine.time_left,
    )


def _close_response(task):
    """Close the response of a cancelled task if it arrived nevertheless."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


class RequestForwarder:
    """Sends one request to backends until a response has been relayed.

    Parameters
    ----------
    relay : Relay
        Request path of the node.
    request : IncomingRequest
        Request of the caller.
    metadata : RequestMetadata
        Decoded headers of the request.
    responder : balsamwind.adapters.Responder
        Writes the response to the caller.
    route : balsamwind.traffic.Route
        Route that matches the request.
    service : balsamwind.traffic.Service
        Service that the request is sent to.
    account : balsamwind.traffic.ClientAccount or None
        Client account of the caller; None if no API key is required.
    timeout : float
        Time from the arrival of the request to its deadline (seconds).
    data_centres : tuple of str or None
        Data centres in which the request may run; None for all.
    states_priority : bool
        Whether the rank of the request is stated to the engine.
    """

    __slots__ = (
        '_account',
        '_ambiguous_failure',
        '_possible_runs',
        '_backend',
        '_connect_failures',
        '_data_centres',
        '_unrun_attempts',
        '_deadline',
        '_forwarded_headers',
        '_known_fingerprint',
        '_priority',
        '_progress',
        '_relay',
        '_request',
        '_request_metadata',
        '_responder',
        '_response',
        '_retry_budget',
        '_route',
        '_selector',
        '_sender',
        '_service',
    )

    def __init__(
        self,
        relay,
        request,
        metadata,
        responder,
        route,
        service,
        account,
        timeout,
        data_centres=None,
        states_priority=False,
    ):
        self._relay = relay
        self._data_centres = data_centres
        self._request = request
        self._request_metadata = metadata
        self._responder = responder
        self._route = route
        self._service = service
        self._account = account
        self._deadline = request.received_at + timeout
        self._retry_budget = relay.get_retry_budget(service.name)
        self._possible_runs = 0
        self._unrun_attempts = 0
        self._response = _response_relay.ResponseRelay(responder, route)
        self._known_fingerprint = None
        self._backend = None
        self._progress = None
        terms = _request_terms.make_terms(
            route, account, service, request.received_at
        )
        self._selector = _backend_selection.BackendSelector(
            relay,
            service,
            metadata,
            self._time_left,
            terms,
            self._make_key,
            data_centres,
        )
        self._priority = (
            _request_terms.make_priority(terms.rank)
            if states_priority
            else None
        )
        self._sender = _attempt_sender.AttemptSender(relay)
        self._ambiguous_failure = None
        self._forwarded_headers = tuple(
            _header_filter.filter_request_headers(
                request.headers,
                request.host,
                relay.header_codec.stripped_names,
            )
        )

    @property
    def _account_name(self):
        return None if self._account is None else self._account.name

    def _time_left(self):
        return self._deadline - self._relay.clock.monotonic()

    def _find_read_timeout(self):
        return max(self._time_left(), 0.0) + _direct_path.READ_MARGIN

    def make_timeout_error(self, is_ending=False):
        """Make the error for a request that has run out of time.

        An attempt that is under way is logged, so that the log names the
        backend at which the request was waiting.

        Parameters
        ----------
        is_ending : bool
            Whether this node ends, before the deadline of the request.

        Returns
        -------
        balsamwind.exceptions.BalsamwindError
            `DeadlineExceeded` if the request may have run, else `Overloaded`,
            or `Draining` if this node ends.
        """
        cause = 'this node ended' if is_ending else 'the deadline passed'
        may_have_run = self._sender.may_be_sent or (
            self._ambiguous_failure is not None
        )
        if may_have_run:
            error = exceptions.DeadlineExceeded(
                f'{cause} after a backend server may have received the request'
            )
            if self._backend is not None:
                self._log_failed_attempt(
                    self._backend, _attempts.Failure(error)
                )
            return error
        if is_ending:
            return exceptions.Draining(
                f'{cause} before a backend server accepted the request',
                retry_after=0.0,
            )
        return exceptions.Overloaded(
            f'{cause} before a backend server accepted the request'
        )

    async def run(self):
        """Send the request until a response has been relayed.

        Raises
        ------
        balsamwind.exceptions.BalsamwindError
            No backend was available, or no further attempt is allowed.
        """
        quarantine = self._find_quarantine()
        if quarantine is not None:
            raise _make_quarantine_error(quarantine)
        while True:
            async with self._reserve_backend() as backend:
                self._backend = backend
                self._sender.may_be_sent = False
                with backend.track(
                    self._request_metadata.prompt_tokens
                ) as mark_prompt_processed:
                    failure = await self._attempt(
                        backend, mark_prompt_processed
                    )
                self._selector.outcome = _attempts.find_outcome(failure)
            self._relay.waiting_room.advance(
                self._relay.clock.monotonic(), backend
            )
            if failure is None:
                self._record_answer()
                return
            self._backend = None
            self._sender.may_be_sent = False
            self._record_failure(backend, failure)
            if not self._may_retry(failure):
                raise self._select_final_error(failure)

    @contextlib.asynccontextmanager
    async def _reserve_backend(self):
        """Reserve a backend; that there is none must not hide a failure."""
        async with contextlib.AsyncExitStack() as stack:
            try:
                backend = await stack.enter_async_context(
                    self._selector.reserve()
                )
            except exceptions.NoCapacity:
                if self._ambiguous_failure is None:
                    raise
                raise self._ambiguous_failure.error from None
            yield backend

    def _find_quarantine(self):
        quarantine = self._relay.crash_quarantine
        if not quarantine.has_suspects:
            return None
        return quarantine.find(
            self._service.name,
            (*self._request_metadata.shared_parts, self._make_fingerprint()),
            self._relay.clock.monotonic(),
        )

    def _record_answer(self):
        """Record that a server gave a whole answer to the request."""
        parts = ()
        if self._progress.first_event_at is not None:
            parts = self._request_metadata.shared_parts
        if self._relay.crash_quarantine.has_suspects:
            parts = (*parts, self._make_fingerprint())
        if parts:
            self._relay.crash_reporter.record_answer(self._service.name, parts)

    def _record_failure(self, backend, failure):
        if failure.error.run == exceptions.NOT_RUN:
            self._unrun_attempts += 1
        else:
            self._possible_runs += 1
            self._ambiguous_failure = failure
        if failure.fault is _attempts.Fault.SERVER:
            self._blame_server(backend, failure)
        self._log_failed_attempt(backend, failure)

    def _blame_server(self, backend, failure):
        now = self._relay.clock.monotonic()
        self._selector.tried.add(backend.key)
        if failure.stalled:
            backend.record_stall(now)
        elif failure.counts_for_ejection:
            backend.record_failure(now)
        # A node that carried the attempt reports what it saw itself.
        if failure.broken_off and not self._sender.through_peer:
            self._relay.crash_reporter.report_broken_answer(
                backend,
                self._service.name,
                self._request_metadata.shared_parts,
                self._make_fingerprint(),
                self._progress,
            )

    def _log_failed_attempt(self, backend, failure):
        self._relay.request_log.record_failed_attempt(
            self._request_metadata,
            backend,
            failure,
            self._progress,
            self._make_fingerprint() if failure.broken_off else None,
        )

    def _make_fingerprint(self):
        if self._known_fingerprint is None:
            self._known_fingerprint = _fingerprint.make_fingerprint(
                self._request, self._account_name
            )
        return self._known_fingerprint

    def _make_key(self):
        return _request_terms.make_key(self._make_fingerprint())

    def _may_retry(self, failure):
        if self._time_left() <= 0:
            return False
        if not self._response.may_be_continued:
            return False
        if self._find_quarantine() is not None:
            return False
        if self._unrun_attempts >= MAX_UNRUN_ATTEMPTS:
            return False
        if not _attempts.may_retry(self._route, self._possible_runs, failure):
            return False
        # Without a sent byte, the next attempt is the first that a server
        # receives, and no retry.
        if not failure.sent:
            return True
        return self._retry_budget.try_consume(self._relay.clock.monotonic())

    def _select_final_error(self, failure):
        # A later refusal must not hide that an earlier attempt may have run.
        if self._ambiguous_failure is not None:
            return self._ambiguous_failure.error
        if not failure.sent:
            # The caller may send the request again, whatever its kind.
            return exceptions.NoCapacity(failure.error.message)
        return failure.error

    def _check_before_send(self, backend):
        """Check that somebody still waits, and that the server may be used.

        On a slow node, the caller may have left, its deadline may have
        passed, or the server may have left or its data centre be evacuated,
        while the request waited for the event loop or a connection.

        Parameters
        ----------
        backend : Backend
            Backend that the request is about to be sent to.

        Raises
        ------
        asyncio.CancelledError
            The caller has left.
        balsamwind.exceptions.TransportError
            The deadline has passed, a rule forbids the server, or it is cold
            and was chosen too long ago; nothing was sent.
        """
        if self._responder.is_caller_gone():
            raise asyncio.CancelledError
        if self._time_left() <= 0:
            raise exceptions.DeadlinePassed(
                'the deadline passed before the request was sent'
            )
        backends = self._relay.backends
        if backends.find(self._service, backend.key) is not backend:
            raise exceptions.SendForbidden('the server may have left')
        if not self._selector.is_home(backend):
            raise exceptions.SendForbidden(
                f'the request may not run in {backend.record.data_centre}'
            )
        self._relay.server_statements.check_rules(
            backend.record, self._relay.clock.monotonic()
        )
        send_delay = self._selector.find_send_delay(backend)
        if send_delay is None:
            return
        if self._sender.through_peer:
            send_delay -= _carried_attempts.MAX_COLD_CARRY_TIME
        if send_delay < 0.0:
            raise exceptions.ChoiceExpired(
                'the cold backend was chosen too long ago'
            )

    async def _attempt(self, backend, mark_prompt_processed):
        """Send the request once.

        Returns
        -------
        Failure or None
            None if the response was relayed.
        """
        response = None
        watch = self._make_progress_watch(backend)
        sent_at = self._relay.clock.monotonic()
        self._progress = _attempts.AttemptProgress(sent_at=sent_at)
        try:
            response = await self._open_response(backend, watch)
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
            failure = _attempts.check_response_headers(
                response.status, metadata
            )
            if failure is not None:
                backend.record_rejection()
                await _discard_body(response)
                return failure
            backend.record_progress(now)
            if 200 <= response.status < 300:
                self._progress.began_at = now
            if self._should_retry_server_error(response.status):
                await _discard_body(response)
                return _attempts.Failure(
                    exceptions.BadAnswer(
                        'the backend server failed with status'
                        f' {response.status}'
                    ),
                    counts_for_ejection=response.status != 504
                    and not self._selector.is_forbidden(backend),
                )
            if not self._response.can_follow(response):
                await _discard_body(response)
                return _attempts.Failure(
                    exceptions.BadAnswer(
                        'the backend server did not resume the stream: status'
                        f' {response.status}'
                    ),
                    counts_for_ejection=response.status != 504,
                )
            if self._response.is_event_stream(response):
                await self._relay_events(
                    backend,
                    response,
                    watch,
                    mark_prompt_processed,
                    metadata.load,
                )
                return None
            await self._response.relay_body(response, self._find_read_timeout)
            return None
        except exceptions.ChoiceExpired as error:
            return _attempts.Failure(
                error, sent=False, fault=_attempts.Fault.PEER
            )
        except exceptions.TransportError as error:
            return await self._explain_failure(backend, error)
        except _attempts.GroupStalled:
            error = exceptions.AnswerTimeout(
                'the replica group made no progress within the stall timeout',
                sent=self._sender.may_be_sent,
            )
            return self._make_failure(error, sent=error.sent, stalled=True)
        finally:
            if response is not None:
                response.close()

    async def _explain_failure(self, backend, error):
        """Find what a failure is blamed on.

        A connection that fails looks the same whether the server or the path
        has ended, which other connections show at once.
        """
        if not self._sender.through_peer:
            if error.sent:
                _direct_path.record_failure(self._relay, backend, error)
            await self._relay.settle_path(self._service.name)
        return self._make_failure(error, sent=error.sent)

    def _make_failure(self, error, **values):
        fault = _attempts.find_fault(
            error,
            self._sender.through_peer,
            self._relay.paths.is_open(self._service.name),
        )
        if isinstance(error, exceptions.EmptyContinuation):
            values['counts_for_ejection'] = False
        return _attempts.Failure(error, fault=fault, **values)

    def _assess_path(self, backend, waiting_since, timeout):
        """Return the state of the path that the attempt has taken."""
        if self._sender.through_peer:
            return _paths.PathState.OPEN
        paths = self._relay.paths
        paths.record_silence(
            self._service.name,
            backend.record.server_id,
            waiting_since,
            timeout,
            self._relay.clock.monotonic(),
        )
        return paths.find_state(self._service.name)

    def _make_progress_watch(self, backend):
        def handle_long_stall():
            # New connections may work although idle ones are dead.
            self._relay.client.close_idle_connections(backend.record.address)
            return (
                self._route.repeatable
                and self._possible_runs + 1 < self._route.max_attempts
            )

        return _progress_watch.ProgressWatch(
            backend,
            self._service.engine,
            self._relay.clock,
            self._selector.report_stall,
            handle_long_stall,
            functools.partial(self._assess_path, backend),
        )

    def _should_retry_server_error(self, status):
        """Tell whether to retry a server error instead of relaying it."""
        return (
            status >= 500
            and not self._response.started
            and self._route.repeatable
            and self._possible_runs + 1 < self._route.max_attempts
            and self._time_left() > self._route.latency_objective / 2
        )

    async def _open_response(self, backend, watch):
        task = asyncio.ensure_future(
            self._sender.open(
                backend,
                self._make_outgoing_attempt(backend),
                functools.partial(self._check_before_send, backend),
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

    def _make_outgoing_attempt(self, backend):
        last_event_id = self._response.events.last_event_id
        return _carried_attempts.OutgoingAttempt(
            request_id=self._request_metadata.request_id,
            backend=_placement.BackendKey(*backend.key),
            method=self._request.method,
            target=self._request.target,
            host=self._request.host,
            headers=self._forwarded_headers,
            body=self._request.body,
            time_left=max(self._time_left(), 0.0),
            account=self._account_name,
            last_event_id=(
                self._request_metadata.last_event_id
                if last_event_id < 0
                else str(last_event_id)
            ),
            shared_parts=self._request_metadata.shared_parts,
            data_centres=self._data_centres,
            priority=self._priority,
            is_cold=self._selector.find_send_delay(backend) is not None,
        )

    async def _relay_events(
        self, backend, response, watch, mark_prompt_processed, load
    ):
        events = self._response.events
        events.start_attempt()
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
            now = self._relay.clock.monotonic()
            backend.record_progress(now)
            if not self._sender.through_peer:
                self._relay.paths.record_heard(self._service.name, now)
            complete_events = events.feed(chunk)
            if complete_events:
                if self._progress.first_event_at is None:
                    self._report_first_event(backend, watch, load, now)
                self._progress.record_events(now)
                await self._response.write_events(response, complete_events)
        self._record_stream_end(backend, response)
        await self._response.finish_events(response)

    def _report_first_event(self, backend, watch, load, now):
        """Report the time to the first event, and the load of the backend."""
        measured_time = now - self._progress.sent_at
        if watch.predicted_time is not None:
            backend.record_first_event(
                measured_time, watch.predicted_time, now
            )
            self._selector.report_progress(measured_time, load)

    def _record_stream_end(self, backend, response):
        self._relay.request_log.record_stream_end(
            self._request_metadata.request_id,
            backend,
            response.framing_name,
            self._response.events.unfinished_bytes,
        )
