"""Forwarding of one request, with retries, until its response is relayed."""

import asyncio
import contextlib
import dataclasses

from balsamwind import exceptions
from balsamwind.relay import _attempts
from balsamwind.relay import _backends
from balsamwind.relay import _event_stream
from balsamwind.relay import _fingerprint
from balsamwind.relay import _header_filter
from balsamwind.relay import _load_balancing
from balsamwind.relay import _metadata
from balsamwind.relay import _placement
from balsamwind import traffic

POLL_INTERVAL = 0.1
"""Time between two checks of a backend that sends nothing (seconds)."""

CONNECT_TIMEOUT = 0.35
"""Longest wait for a connection to a backend server (seconds)."""

MAX_CONNECT_FAILURES = 3
"""Connection failures after which the request is rejected (count)."""

DISCARD_TIMEOUT = 0.05
"""Longest wait for the rest of a response that is not relayed (seconds)."""

MAX_BUFFERED_BYTES = 1 << 18
"""Size up to which a response body is held back until it is complete, so that
the request can still be retried if the body is cut (bytes)."""

DEFAULT_OUTPUT_TOKENS = 150
"""Expected length of an output if the caller gives no estimate (tokens)."""

EVENT_STREAM_TYPE = 'text/event-stream'
"""Media type of event streams; a stream route may also answer without one."""


async def _discard_body(response):
    """Read a short response to its end, so that its connection is reused."""
    try:
        await response.read_all(DISCARD_TIMEOUT)
    except exceptions.TransportError:
        # The connection is not reusable; `_attempt` closes it.
        return


def _get_media_type(headers):
    """Return the media type of a body, without parameters."""
    return headers.get('Content-Type', '').partition(';')[0].strip().lower()


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
    """

    __slots__ = (
        '_account',
        '_ambiguous_failure',
        '_attempts_sent',
        '_backend',
        '_connect_failures',
        '_current_attempt_sent',
        '_deadline',
        '_event_buffer',
        '_forwarded_headers',
        '_outcome',
        '_placement_number',
        '_progress',
        '_relay',
        '_reported_load',
        '_request',
        '_request_metadata',
        '_responder',
        '_response_started',
        '_retry_budget',
        '_route',
        '_service',
        '_stream_media_type',
        '_tried',
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
    ):
        self._relay = relay
        self._request = request
        self._request_metadata = metadata
        self._responder = responder
        self._route = route
        self._service = service
        self._account = account
        self._deadline = request.received_at + timeout
        self._retry_budget = relay.get_retry_budget(service.name)
        self._tried = set()
        self._attempts_sent = 0
        self._current_attempt_sent = False
        self._connect_failures = 0
        self._response_started = False
        self._stream_media_type = None
        self._backend = None
        self._placement_number = None
        self._progress = None
        self._outcome = _placement.Outcome.REFUSED
        self._reported_load = None
        self._ambiguous_failure = None
        self._event_buffer = _event_stream.EventStreamBuffer()
        self._forwarded_headers = _header_filter.filter_request_headers(
            request.headers, request.host, relay.header_codec.stripped_names
        )

    @property
    def _may_continue_response(self):
        """Whether another attempt can still complete the response.

        Once the response has started, only an event stream can be continued.
        """
        return not self._response_started or (
            self._stream_media_type is not None
        )

    def _time_left(self):
        return self._deadline - self._relay.clock.monotonic()

    def make_timeout_error(self):
        """Make the error for a request whose deadline has passed.

        An attempt that is under way is logged, so that the log names the
        backend at which the request was waiting.

        Returns
        -------
        balsamwind.exceptions.BalsamwindError
            `DeadlineExceeded` if the request may have run, else `Overloaded`.
        """
        may_have_run = self._current_attempt_sent or (
            self._ambiguous_failure is not None
        )
        if may_have_run:
            error = exceptions.DeadlineExceeded(
                'the deadline passed after a backend server may have received'
                ' the request'
            )
            if self._backend is not None:
                self._log_failed_attempt(
                    self._backend, _attempts.Failure(error)
                )
            return error
        return exceptions.Overloaded(
            'the deadline passed before a backend server accepted the request'
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
                self._current_attempt_sent = False
                with backend.track(
                    self._request_metadata.prompt_tokens
                ) as mark_prompt_processed:
                    failure = await self._attempt(
                        backend, mark_prompt_processed
                    )
                self._outcome = _attempts.find_outcome(failure)
            if failure is None:
                self._record_answer()
                return
            self._backend = None
            self._current_attempt_sent = False
            self._record_failure(backend, failure)
            if not self._may_retry(failure):
                raise self._select_final_error(failure)

    def _find_quarantine(self):
        quarantine = self._relay.prompt_quarantine
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
        if self._relay.prompt_quarantine.has_suspects:
            parts = (*parts, self._make_fingerprint())
        if parts:
            self._relay.crash_reporter.record_answer(self._service.name, parts)

    @contextlib.asynccontextmanager
    async def _reserve_backend(self):
        """Reserve the backend of one attempt until the block ends.

        Another node places the attempt if one does so for this node.
        Otherwise, and if that node names a backend that is not known here
        yet, this node chooses.

        Yields
        ------
        Backend
        """
        self._placement_number = None
        self._outcome = _placement.Outcome.REFUSED
        self._reported_load = None
        placed_backend = await self._find_placed_backend()
        try:
            self._backend = placed_backend or self._choose_backend()
            yield self._backend
        finally:
            if self._placement_number is not None:
                self._relay.placement.end(
                    self._placement_number, self._outcome, self._reported_load
                )

    async def _find_placed_backend(self):
        """Return the backend that another node has placed the attempt at.

        A placement at a backend that is not known here is given back at once:
        what becomes of the attempt elsewhere says nothing of that backend.
        """
        placement = await self._place()
        if placement is None:
            return None
        backend = self._relay.backends.find(
            self._service, dataclasses.astuple(placement.key)
        )
        if backend is None or self._wants_pause(backend):
            self._relay.placement.end(
                placement.number, _placement.Outcome.REFUSED, None
            )
            return None
        self._placement_number = placement.number
        return backend

    def _wants_pause(self, backend):
        return self._relay.server_statements.wants_pause(
            backend.record, self._relay.clock.monotonic()
        )

    async def _place(self):
        if not self._may_be_placed():
            return None
        placement = await self._relay.placement.place(
            self._service,
            self._make_requirements(),
            self._tried,
            self._relay.server_statements.pauses,
        )
        if isinstance(placement, _load_balancing.NoBackendAvailable):
            raise self._make_rejection(placement)
        return placement

    def _may_be_placed(self):
        """Tell whether another node places requests to the service.

        It places those to model engines, and it spends the limits of servers
        for all nodes that it places requests for.
        """
        if self._service.engine is not None:
            return True
        limits = self._relay.server_statements.limits
        return bool(limits) and any(
            limits.is_limited(backend.record)
            for backend in self._relay.backends.get_by_service(self._service)
        )

    def _make_requirements(self):
        return _load_balancing.RequestRequirements(
            model=self._request_metadata.model if self._service.engine else '',
            prompt_tokens=self._request_metadata.prompt_tokens,
            output_tokens=(
                self._request_metadata.expected_output_tokens
                or DEFAULT_OUTPUT_TOKENS
            ),
            time_left=self._time_left(),
        )

    def _choose_backend(self):
        now = self._relay.clock.monotonic()
        chosen = _load_balancing.choose_backend(
            self._relay.backends.get_by_service(self._service),
            self._service.engine,
            self._make_requirements(),
            self._relay.data_centre,
            self._tried,
            now,
            self._relay.rng,
            self._relay.server_statements.restrictions,
        )
        if not isinstance(chosen, _load_balancing.NoBackendAvailable):
            self._relay.server_statements.limits.take(chosen.record)
            return chosen
        raise self._make_rejection(chosen)

    def _make_rejection(self, unavailable):
        if self._ambiguous_failure is not None:
            return self._ambiguous_failure.error
        return exceptions.NoCapacity(
            unavailable.reason, unavailable.retry_after
        )

    def _record_failure(self, backend, failure):
        now = self._relay.clock.monotonic()
        self._tried.add(backend.key)
        if failure.sent:
            self._attempts_sent += 1
        else:
            self._connect_failures += 1
        if failure.error.run != exceptions.NOT_RUN:
            self._ambiguous_failure = failure
        if failure.stalled:
            backend.record_stall(now)
        elif failure.counts_for_ejection:
            backend.record_failure(now)
        self._log_failed_attempt(backend, failure)
        if failure.broken_off:
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
        return _fingerprint.make_fingerprint(self._request, self._account)

    def _may_retry(self, failure):
        if self._time_left() <= 0:
            return False
        if not self._may_continue_response:
            return False
        if self._find_quarantine() is not None:
            return False
        if not failure.sent:
            return self._connect_failures < MAX_CONNECT_FAILURES
        if not _attempts.may_retry(self._route, self._attempts_sent, failure):
            return False
        return self._retry_budget.try_consume(self._relay.clock.monotonic())

    def _select_final_error(self, failure):
        # A later refusal must not hide that an earlier attempt may have run.
        if self._ambiguous_failure is not None:
            return self._ambiguous_failure.error
        if not failure.sent:
            # The caller may send the request again, whatever its kind.
            return exceptions.NoCapacity(failure.error.message)
        return failure.error

    def _check_before_send(self):
        """Check that somebody still waits for the response.

        On a slow node, the caller may have left, or its deadline may have
        passed, while the request waited for the event loop or a connection.

        Raises
        ------
        asyncio.CancelledError
            The caller has left.
        balsamwind.exceptions.TransportError
            The deadline has passed; nothing was sent.
        """
        if self._responder.is_caller_gone():
            raise asyncio.CancelledError
        if self._time_left() <= 0:
            raise exceptions.TransportError(
                'the deadline passed before the request was sent', sent=False
            )
        self._current_attempt_sent = True

    async def _attempt(self, backend, mark_prompt_processed):
        """Send the request once.

        Returns
        -------
        Failure or None
            None if the response was relayed.
        """
        response = None
        sent_at = self._relay.clock.monotonic()
        self._progress = _attempts.AttemptProgress(sent_at=sent_at)
        try:
            response = await self._open_response(backend)
            metadata = self._relay.header_codec.decode_response(
                response.headers
            )
            now = self._relay.clock.monotonic()
            if metadata.load is not None:
                backend.update_load(metadata.load, now)
                if metadata.not_run:
                    self._reported_load = metadata.load
            self._relay.server_statements.handle_answer(
                backend, response.status, metadata, sent_at, now
            )
            failure = _attempts.check_response_headers(
                response.status, metadata
            )
            if failure is not None:
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
                    and not self._wants_pause(backend),
                )
            if self._response_started and not self._continues_stream(response):
                await _discard_body(response)
                return _attempts.Failure(
                    exceptions.BadAnswer(
                        'the backend server did not resume the stream: status'
                        f' {response.status}'
                    ),
                    counts_for_ejection=response.status != 504,
                )
            if self._is_event_stream(response):
                return await self._relay_events(
                    backend, response, mark_prompt_processed
                )
            await self._relay_body(response)
            return None
        except exceptions.TransportError as error:
            return _attempts.Failure(error, sent=error.sent)
        except _attempts.GroupStalled:
            error = exceptions.AnswerTimeout(
                'the replica group made no progress within the stall timeout'
            )
            return _attempts.Failure(error, stalled=True)
        finally:
            if response is not None:
                response.close()

    def _is_event_stream(self, response):
        return (
            self._route.kind is traffic.RequestKind.STREAM
            and response.status == 200
            and _get_media_type(response.headers) in ('', EVENT_STREAM_TYPE)
        )

    def _continues_stream(self, response):
        """Tell whether a response can follow the events relayed so far.

        Any other body would end the response to the caller as if it were
        complete.
        """
        return (
            response.status == 200
            and _get_media_type(response.headers) == self._stream_media_type
        )

    def _should_retry_server_error(self, status):
        """Tell whether to retry a server error instead of relaying it."""
        return (
            status >= 500
            and not self._response_started
            and self._route.repeatable
            and self._attempts_sent + 1 < self._route.max_attempts
            and self._time_left() > self._route.latency_objective / 2
        )

    async def _open_response(self, backend):
        task = asyncio.ensure_future(
            self._relay.client.open(
                self._request.method,
                f'http://{backend.record.address}{self._request.target}',
                headers=self._make_request_headers(backend),
                body=self._request.body,
                timeout=max(self._time_left(), 0.0) + 1.0,
                connect_timeout=CONNECT_TIMEOUT,
                is_own_response=self._is_response_to_request,
                before_send=self._check_before_send,
            )
        )
        waiting_since = self._relay.clock.monotonic()
        timeouts = self._find_first_event_timeouts(backend, waiting_since)
        try:
            while True:
                poll_started_at = self._relay.clock.monotonic()
                done, _ = await asyncio.wait({task}, timeout=POLL_INTERVAL)
                if done:
                    return task.result()
                waiting_since = self._exclude_own_pause(
                    poll_started_at, waiting_since
                )
                self._check_progress(backend, waiting_since, timeouts)
        except BaseException:
            task.add_done_callback(_close_response)
            task.cancel()
            raise

    def _exclude_own_pause(self, poll_started_at, waiting_since):
        """Restart the wait after a pause of this process.

        A poll that takes much longer than its interval shows that this node
        was paused; that time must not count as a stall of the backend.
        """
        now = self._relay.clock.monotonic()
        return (
            now if now - poll_started_at > 3 * POLL_INTERVAL else waiting_since
        )

    def _is_response_to_request(self, headers):
        metadata = self._relay.header_codec.decode_response(headers)
        return metadata.request_id in ('', self._request_metadata.request_id)

    def _make_request_headers(self, backend):
        last_event_id = self._event_buffer.last_event_id
        added = _metadata.ForwardedMetadata(
            server_id=backend.record.server_id,
            time_budget=max(self._time_left(), 0.001),
            account=None if self._account is None else self._account.name,
            last_event_id=(
                self._request_metadata.last_event_id
                if last_event_id < 0
                else str(last_event_id)
            ),
        )
        return [
            *self._forwarded_headers,
            *self._relay.header_codec.encode_request(added),
        ]

    def _find_first_event_timeouts(self, backend, now):
        """Find the timeouts for the headers of a response.

        Returns
        -------
        tuple of (float, float)
            Waits after which the backend is ejected, and after which the
            request is retried at another one (seconds).
        """
        if self._service.engine is None:
            return (
                _backends.FIRST_EVENT_STALL_MARGIN,
                _backends.FIRST_EVENT_STALL_MARGIN,
            )
        predicted_time = _load_balancing.predict_time_to_first_event(
            backend, self._service.engine, self._make_requirements(), now
        )
        return (
            _backends.FIRST_EVENT_EJECTION_MARGIN + predicted_time,
            _backends.FIRST_EVENT_STALL_MARGIN + 2.0 * predicted_time,
        )

    def _check_progress(self, backend, waiting_since, timeouts=None):
        """Check that a replica group makes progress.

        A group that makes none is ejected first. After a longer wait the
        attempt ends, but only if the request can be sent elsewhere: waiting
        on is better than failing.

        Raises
        ------
        GroupStalled
            The attempt ends and the request may be sent elsewhere.
        """
        if self._service.engine is None:
            return
        ejection_timeout, retry_timeout = timeouts or (
            _backends.STALL_TIMEOUT,
            _backends.STALL_TIMEOUT,
        )
        now = self._relay.clock.monotonic()
        if not backend.is_stalled(waiting_since, now, ejection_timeout):
            return
        backend.record_stall(now)
        self._report_stall()
        if not backend.is_stalled(waiting_since, now, retry_timeout):
            return
        # New connections may work although idle ones are dead.
        self._relay.client.close_idle_connections(backend.record.address)
        if not self._route.repeatable:
            return
        if self._attempts_sent + 1 < self._route.max_attempts:
            raise _attempts.GroupStalled

    def _report_stall(self):
        """Tell the placing node of a stall, once for each attempt."""
        if self._outcome is _placement.Outcome.STALLED:
            return
        self._outcome = _placement.Outcome.STALLED
        if self._placement_number is not None:
            self._relay.placement.report_stall(self._placement_number)

    async def _relay_events(self, backend, response, mark_prompt_processed):
        self._event_buffer.start_attempt()
        waiting_since = self._relay.clock.monotonic()
        while True:
            poll_started_at = self._relay.clock.monotonic()
            if not await response.wait_for_data(POLL_INTERVAL):
                waiting_since = self._exclude_own_pause(
                    poll_started_at, waiting_since
                )
                self._check_progress(backend, waiting_since)
                continue
            chunk = await response.read(1.0)
            if not chunk:
                break
            mark_prompt_processed()
            now = self._relay.clock.monotonic()
            backend.record_progress(now)
            complete_events = self._event_buffer.feed(chunk)
            if complete_events:
                self._progress.record_events(now)
                self._start_event_stream(response)
                await self._responder.write(complete_events)
        self._record_stream_end(backend, response)
        rest = self._event_buffer.finish(response.has_marked_end)
        self._start_event_stream(response)
        if rest:
            await self._responder.write(rest)
        self._responder.finish()
        return None

    def _record_stream_end(self, backend, response):
        self._relay.request_log.record_stream_end(
            self._request_metadata.request_id,
            backend,
            response.framing.value,
            self._event_buffer.unfinished_bytes,
        )

    async def _relay_body(self, response):
        chunks = []
        size = 0
        while chunk := await response.read(max(self._time_left(), 0.0) + 1.0):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                self._start_response(response, with_content_length=True)
                await self._responder.write(b''.join(chunks))
                chunks.clear()
        self._start_response(response, with_content_length=True)
        if chunks:
            await self._responder.write(b''.join(chunks))
        self._responder.finish()

    def _start_event_stream(self, response):
        if not self._response_started:
            self._stream_media_type = _get_media_type(response.headers)
        self._start_response(response, with_content_length=False)

    def _start_response(self, response, with_content_length):
        if self._response_started:
            return
        self._response_started = True
        headers = _header_filter.filter_response_headers(
            response.headers, with_content_length
        )
        self._responder.start(response.status, headers)
