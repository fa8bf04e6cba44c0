"""Attempts of one request, until its answer has been relayed."""

import asyncio

from balsamwind import exceptions
from balsamwind.relay import _attempts
from balsamwind.relay import _backends
from balsamwind.relay import _event_stream
from balsamwind.relay import _header_filter
from balsamwind.relay import _load_balancing
from balsamwind.relay import _metadata
from balsamwind import traffic

POLL = 0.1
"""How often a silent answer is looked at (seconds)."""

CONNECT_TIMEOUT = 0.35
"""Longest wait for a connection to a backend server (seconds)."""

MAX_CONNECTS = 3
"""Connections that may fail before the request is rejected (count)."""

DRAIN_TIMEOUT = 0.05
"""Longest wait for the rest of an answer that is not relayed (seconds)."""

MAX_BUFFERED = 1 << 18
"""Part of an answer that is held back until it is known to be whole
(bytes)."""

TOKENS_GUESS = 150
"""Tokens of an answer of which nothing is known (count)."""


async def _drain(response):
    """Read a short answer to its end, so that its connection is kept."""
    try:
        await response.read_all(DRAIN_TIMEOUT)
    except exceptions.TransportError:
        # The caller of this closes the connection.
        return


def _close_answer(task):
    """Close an answer that nobody waits for any more."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


class Exchange:
    """One request and its attempts.

    Parameters
    ----------
    relay : Relay
        Request path of the node.
    request : IncomingRequest
        The request.
    terms : RequestTerms
        What its headers say.
    responder : balsamwind.adapters.Responder
        Takes the answer.
    route, service, account
        What it was matched to.
    limit : float
        Time from its arrival to the final answer (seconds).
    """

    __slots__ = (
        '_account',
        '_budget',
        '_connects',
        '_deadline',
        '_doubt',
        '_events',
        '_passed',
        '_place',
        '_relay',
        '_request',
        '_responder',
        '_route',
        '_sends',
        '_service',
        '_started',
        '_terms',
        '_tried',
    )

    def __init__(
        self, relay, request, terms, responder, route, service, account, limit
    ):
        self._relay = relay
        self._request = request
        self._terms = terms
        self._responder = responder
        self._route = route
        self._service = service
        self._account = account
        self._deadline = request.received_at + limit
        self._budget = relay.budget(service.name)
        self._tried = set()
        self._sends = 0
        self._connects = 0
        self._started = False
        self._place = None
        self._doubt = None
        self._events = _event_stream.EventStreamBuffer()
        self._passed = _header_filter.filter_request_headers(
            request.headers, request.host, relay.codec.replaced
        )

    @property
    def _is_stream(self):
        return self._route.kind is traffic.RequestKind.STREAM

    def _time_left(self):
        return self._deadline - self._relay.clock.monotonic()

    def make_timeout(self):
        """Error for a request whose time is up; where it was is logged."""
        if self._place is not None or self._doubt is not None:
            error = exceptions.DeadlineExceeded('time is up')
            if self._place is not None:
                self._relay.journal.note_attempt(
                    self._terms.request_id,
                    self._place,
                    _attempts.Failure(error),
                )
            return error
        return exceptions.Overloaded('no place became free in time')

    async def run(self):
        """Send until an answer has been relayed.

        Raises
        ------
        balsamwind.exceptions.BalsamwindError
            The request was given up.
        """
        while True:
            place = self._place = self._choose()
            with place.track(self._terms.prompt_tokens) as note_read:
                failure = await self._attempt(place, note_read)
            if failure is None:
                return
            self._place = None
            self._note_failure(place, failure)
            if not self._may_go_on(failure):
                raise self._make_final(failure)

    def _demand(self):
        return _load_balancing.RequestRequirements(
            model=self._terms.model if self._service.engine else '',
            prompt_tokens=self._terms.prompt_tokens,
            output_tokens=self._terms.expected_output or TOKENS_GUESS,
            time_left=self._time_left(),
        )

    def _choose(self):
        now = self._relay.clock.monotonic()
        chosen = _load_balancing.choose_backend(
            self._relay.places.of_service(self._service),
            self._service.engine,
            self._demand(),
            self._relay.data_centre,
            self._tried,
            now,
            self._relay.rng,
        )
        if not isinstance(chosen, _load_balancing.NoBackendAvailable):
            return chosen
        if self._doubt is not None:
            raise self._doubt.error
        raise exceptions.NoCapacity(chosen.reason, chosen.retry_after)

    def _note_failure(self, place, failure):
        now = self._relay.clock.monotonic()
        self._tried.add(place.key)
        if failure.sent:
            self._sends += 1
        else:
            self._connects += 1
        if failure.error.run != exceptions.NOT_RUN:
            self._doubt = failure
        if failure.stalled:
            place.record_stall(now)
        elif failure.counts_for_ejection:
            place.record_failure(now)
        self._relay.journal.note_attempt(
            self._terms.request_id, place, failure
        )

    def _may_go_on(self, failure):
        if self._time_left() <= 0:
            return False
        if self._started and not self._is_stream:
            return False
        if not failure.sent:
            return self._connects < MAX_CONNECTS
        if not _attempts.may_retry(self._route, self._sends, failure):
            return False
        return self._budget.try_consume(self._relay.clock.monotonic())

    def _make_final(self, failure):
        if self._doubt is not None:
            return self._doubt.error
        return failure.error

    async def _attempt(self, place, note_read):
        """Send once; None if the answer was relayed, else a `Failure`."""
        response = None
        try:
            response = await self._open(place)
            answer = self._relay.codec.decode_answer(response.headers)
            now = self._relay.clock.monotonic()
            if answer.load is not None:
                place.update_load(answer.load, now)
            failure = _attempts.check_response_headers(response.status, answer)
            if failure is not None:
                await _drain(response)
                return failure
            place.record_progress(now)
            if self._should_try_elsewhere(response.status):
                await _drain(response)
                return _attempts.Failure(
                    exceptions.BadAnswer(f'status {response.status}'),
                    counts_for_ejection=response.status != 504,
                )
            if self._is_stream and response.status == 200:
                return await self._relay_events(place, response, note_read)
            await self._relay_body(response)
            return None
        except exceptions.TransportError as error:
            return _attempts.Failure(error, sent=error.sent)
        except _attempts.GroupStalled:
            error = exceptions.AnswerTimeout('the group stands still')
            return _attempts.Failure(error, stalled=True)
        finally:
            if response is not None:
                response.close()

    def _should_try_elsewhere(self, status):
        """Whether a server's own failure is better tried elsewhere."""
        return (
            status >= 500
            and not self._started
            and self._route.repeatable
            and self._sends + 1 < self._route.max_attempts
            and self._time_left() > self._route.objective / 2
        )

    async def _open(self, place):
        task = asyncio.ensure_future(
            self._relay.client.open(
                self._request.method,
                f'http://{place.record.address}{self._request.target}',
                headers=self._make_headers(place),
                body=self._request.body,
                timeout=max(self._time_left(), 0.0) + 1.0,
                connect_timeout=CONNECT_TIMEOUT,
                matches=self._is_own_answer,
            )
        )
        sent_at = self._relay.clock.monotonic()
        patience = self._find_patience(place, sent_at)
        try:
            while True:
                started = self._relay.clock.monotonic()
                done, _ = await asyncio.wait({task}, timeout=POLL)
                if done:
                    return task.result()
                sent_at = self._skip_pause(started, sent_at)
                self._check_progress(place, sent_at, patience)
        except BaseException:
            task.add_done_callback(_close_answer)
            task.cancel()
            raise

    def _skip_pause(self, started, sent_at):
        """Do not hold this node's own pause against a place."""
        now = self._relay.clock.monotonic()
        return now if now - started > 3 * POLL else sent_at

    def _is_own_answer(self, headers):
        answer = self._relay.codec.decode_answer(headers)
        return answer.request_id in ('', self._terms.request_id)

    def _make_headers(self, place):
        last = self._events.last_event
        send = _metadata.Send(
            server_id=place.record.server_id,
            time_budget=max(self._time_left(), 0.001),
            account=None if self._account is None else self._account.name,
            last_event=self._terms.last_event if last < 0 else str(last),
        )
        return [*self._passed, *self._relay.codec.encode_request(send)]

    def _find_patience(self, place, now):
        """Silences that raise doubt, and that count as a stall (seconds)."""
        if self._service.engine is None:
            return (
                _backends.FIRST_EVENT_STALL_MARGIN,
                _backends.FIRST_EVENT_STALL_MARGIN,
            )
        predicted = _load_balancing.predict_time_to_first_event(
            place, self._service.engine, self._demand(), now
        )
        return (
            _backends.FIRST_EVENT_SUSPECT_MARGIN + predicted,
            _backends.FIRST_EVENT_STALL_MARGIN + 2.0 * predicted,
        )

    def _check_progress(self, place, sent_at, patience=None):
        """Give up on a group that stands still, if that helps.

        Raises
        ------
        GroupStalled
            The request goes on elsewhere.
        """
        if self._service.engine is None:
            return
        doubt, stall = patience or (
            _backends.STALL_TIMEOUT,
            _backends.STALL_TIMEOUT,
        )
        now = self._relay.clock.monotonic()
        if not place.is_stalled(sent_at, now, doubt):
            return
        place.record_stall(now)
        if not place.is_stalled(sent_at, now, stall):
            return
        self._relay.client.forget(place.record.address)
        if not self._route.repeatable:
            return
        if self._sends + 1 < self._route.max_attempts:
            raise _attempts.GroupStalled

    async def _relay_events(self, place, response, note_read):
        self._events.discard_partial()
        begun_at = self._relay.clock.monotonic()
        while True:
            started = self._relay.clock.monotonic()
            if not await response.wait(POLL):
                begun_at = self._skip_pause(started, begun_at)
                self._check_progress(place, begun_at)
                continue
            chunk = await response.read(1.0)
            if not chunk:
                break
            note_read()
            place.record_progress(self._relay.clock.monotonic())
            whole = self._events.feed(chunk)
            if whole:
                self._start(response, with_content_length=False)
                await self._responder.write(whole)
        self._start(response, with_content_length=False)
        rest = self._events.finish()
        if rest:
            await self._responder.write(rest)
        self._responder.finish()
        return None

    async def _relay_body(self, response):
        parts = []
        size = 0
        while chunk := await response.read(max(self._time_left(), 0.0) + 1.0):
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED:
                self._start(response, with_content_length=True)
                await self._responder.write(b''.join(parts))
                parts.clear()
        self._start(response, with_content_length=True)
        if parts:
            await self._responder.write(b''.join(parts))
        self._responder.finish()

    def _start(self, response, with_content_length):
        if self._started:
            return
        self._started = True
        kept = _header_filter.filter_response_headers(
            response.headers, with_content_length
        )
        self._responder.start(response.status, kept)
