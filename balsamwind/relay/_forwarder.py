"""Forwarding of one request, by as many attempts as it takes.

Failure pattern: sound servers fall silent for a second and go on, all groups
of a model at the same moment. A server that is gone looks the same at first.
So an attempt at a silent server goes on while another one is made, and the
first that has something for the caller answers the request.
"""

import asyncio

from balsamwind import exceptions
from balsamwind.relay import _attempt_run
from balsamwind.relay import _attempts
from balsamwind.relay import _quarantine_gate
from balsamwind.relay import _repeats
from balsamwind.relay import _response_relay

MAX_UNRUN_ATTEMPTS = 4
"""Attempts that certainly did not run after which the request is rejected
(count)."""

SUCCESSION_INTERVAL = 0.2
"""Time from a search for a further backend that found none to the next one
(seconds)."""


class RequestForwarder:
    """Sends one request to backends until a response has been relayed.

    Parameters
    ----------
    forwarded : ForwardedRequest
        The request.
    """

    __slots__ = (
        '_ambiguous_failure',
        '_changed',
        '_ending',
        '_forwarded',
        '_gate',
        '_has_paid_retry',
        '_is_first',
        '_logged_silences',
        '_next_succession_at',
        '_possible_runs',
        '_relay',
        '_repeats',
        '_response',
        '_retry_budget',
        '_running',
        '_tried',
        '_unrun_attempts',
    )

    def __init__(self, forwarded):
        relay = self._relay = forwarded.relay
        self._forwarded = forwarded
        self._response = _response_relay.ResponseRelay(
            forwarded.responder, forwarded.route
        )
        self._gate = _quarantine_gate.QuarantineGate(forwarded)
        self._retry_budget = relay.get_retry_budget(forwarded.service.name)
        self._has_paid_retry = False
        self._repeats = _repeats.Repeats()
        self._possible_runs = 0
        self._unrun_attempts = 0
        self._ambiguous_failure = None
        self._tried = set()
        self._is_first = True
        self._running = {}
        self._ending = set()
        self._changed = asyncio.Event()
        self._next_succession_at = float('-inf')
        self._logged_silences = set()

    def make_timeout_error(self, is_ending=False):
        """Make the error for a request that has run out of time.

        Attempts that are under way are logged, so that the log names the
        backends at which the request was waiting.

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
        sent = [attempt for attempt in self._running if attempt.may_be_sent]
        if sent or self._ambiguous_failure is not None:
            error = exceptions.DeadlineExceeded(
                f'{cause} after a backend server may have received the request'
            )
            for attempt in self._running:
                if attempt.backend is not None:
                    self._log_failed_attempt(attempt, _attempts.Failure(error))
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
        error = self._gate.find_error()
        if error is not None:
            raise error
        self._start_attempt()
        with self._gate.watch(self._changed.set):
            try:
                while not await self._advance():
                    continue
            finally:
                await self._end_attempts()
                self._record_repeats()

    async def _advance(self):
        """Wait for a change of an attempt, and do what it calls for.

        Returns
        -------
        bool
            Whether a response has been relayed.
        """
        await self._changed.wait()
        self._changed.clear()
        for attempt, task in list(self._running.items()):
            if task.done() and self._handle_end(attempt, task):
                return True
        self._check_waiting()
        if all(attempt.is_silent for attempt in self._running):
            self._succeed_silent_attempts()
        return False

    def _start_attempt(self, is_paid=False):
        attempt = _attempt_run.AttemptRun(
            self._forwarded,
            self._response,
            self._tried,
            self._is_first,
            is_paid,
            self,
        )
        self._is_first = False
        task = asyncio.ensure_future(attempt.run())
        task.add_done_callback(self._note_end)
        self._running[attempt] = task

    def _note_end(self, task):
        # The outcome of an attempt that others have ended is not used.
        if not task.cancelled():
            task.exception()
        self._changed.set()

    def _handle_end(self, attempt, task):
        """Take over the outcome of an attempt; tell whether it was relayed."""
        del self._running[attempt]
        self._settle_attempt(attempt)
        try:
            failure = task.result()
        except exceptions.NoCapacity as error:
            self._handle_no_capacity(error)
            return False
        if failure is None:
            self._record_answer(attempt)
            self._possible_runs += 1
            return True
        self._record_failure(attempt, failure)
        if self._running:
            self._pause_succession(failure)
            return False
        if not self._may_retry(failure):
            raise self._select_final_error(failure)
        self._start_attempt(is_paid=failure.sent)
        return False

    def _record_repeats(self):
        self._repeats.runs = self._possible_runs
        self._repeats.max_runs = self._forwarded.route.max_attempts
        self._relay.request_log.record_repeats(
            self._forwarded.service.name, self._repeats
        )

    def _settle_attempt(self, attempt):
        """Count an ended attempt; keep the payment if it reached no server."""
        self._repeats.record_attempt(attempt.may_be_sent, attempt.is_paid)
        if attempt.is_paid and not attempt.may_be_sent:
            self._has_paid_retry = True

    def _pause_succession(self, failure=None):
        """Let backends that have no room get some, if that is what failed."""
        if failure is None or failure.error.run == exceptions.NOT_RUN:
            self._next_succession_at = (
                self._relay.clock.monotonic() + SUCCESSION_INTERVAL
            )

    def _handle_no_capacity(self, error):
        """Go on with the silent attempts; a failure must not be hidden."""
        if self._running:
            self._pause_succession()
            return
        if self._ambiguous_failure is None:
            raise error
        raise self._ambiguous_failure.error from None

    def _succeed_silent_attempts(self):
        """Make another attempt beside those whose servers are silent."""
        if self._relay.clock.monotonic() < self._next_succession_at:
            return
        is_sent = any(attempt.may_be_sent for attempt in self._running)
        obstacle = self._find_obstacle()
        if not obstacle and is_sent and not self._pay_retry():
            obstacle = 'no_budget'
        self._log_silence(obstacle)
        if obstacle:
            return
        for attempt in self._running:
            if attempt.make_silence_failure().fault is _attempts.Fault.SERVER:
                self._tried.add(attempt.backend.key)
        self._start_attempt(is_paid=is_sent)

    def _find_obstacle(self):
        """Find why no attempt is made beside the silent ones, but for budget.

        Returns
        -------
        str
            Empty if there is no obstacle.
        """
        route = self._forwarded.route
        if not route.repeatable:
            return 'not_repeatable'
        if self._possible_runs + len(self._running) >= route.max_attempts:
            return 'no_attempt_left'
        return self._find_ban()

    def _find_ban(self):
        """Find what forbids any further attempt; empty if nothing does."""
        if self._forwarded.time_left <= 0:
            return 'no_time_left'
        if not self._response.may_be_continued:
            return 'not_resumable'
        if self._unrun_attempts >= MAX_UNRUN_ATTEMPTS:
            return 'refused_too_often'
        if self._gate.find_error() is not None:
            return 'quarantined'
        return ''

    def _pay_retry(self):
        if self._has_paid_retry:
            self._has_paid_retry = False
            return True
        if self._retry_budget.try_consume(self._relay.clock.monotonic()):
            return True
        self._repeats.refused = 1
        return False

    def _log_silence(self, obstacle):
        for attempt in self._running:
            logged = (attempt, obstacle)
            if logged not in self._logged_silences:
                self._logged_silences.add(logged)
                self._relay.request_log.record_silence(
                    self._forwarded.metadata, attempt.backend, obstacle
                )

    def handle_silence(self):
        """Find out, soon, whether another attempt is made."""
        self._changed.set()

    def is_alone(self):
        """Tell whether no more than one attempt is under way."""
        return len(self._running) == 1

    def claim(self, winner):
        """End all other attempts, as one has something for the caller.

        Parameters
        ----------
        winner : AttemptRun
            The attempt; no other one writes to the caller from now on.
        """
        if self.is_alone():
            return
        for attempt, task in list(self._running.items()):
            if attempt is winner:
                continue
            del self._running[attempt]
            self._settle_attempt(attempt)
            self._ending.add(task)
            task.add_done_callback(self._ending.discard)
            task.cancel()
            if attempt.is_silent:
                self._record_failure(attempt, attempt.make_silence_failure())
            elif attempt.may_be_sent:
                self._possible_runs += 1
                self._watch_abandoned(attempt)

    def _watch_abandoned(self, attempt):
        """Find out whether a server ends of an attempt that is ended here."""
        if attempt.may_be_sent:
            self._gate.watch_abandoned(attempt.backend, attempt.progress)

    async def _end_attempts(self):
        for attempt in self._running:
            self._watch_abandoned(attempt)
            self._settle_attempt(attempt)
            self._possible_runs += attempt.may_be_sent
        tasks = {*self._running.values(), *self._ending}
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def may_follow(self):
        """Tell whether a server error may be followed by another answer."""
        if not self.is_alone():
            return True
        route = self._forwarded.route
        return (
            not self._response.started
            and route.repeatable
            and self._possible_runs + 1 < route.max_attempts
            and self._forwarded.time_left > route.latency_objective / 2
        )

    def check_before_send(self, attempt):
        """Check that an attempt may still be sent, and is paid for.

        Of two attempts that were made while none had been sent, the second to
        be sent is a repeat.

        Parameters
        ----------
        attempt : AttemptRun
            The attempt.

        Raises
        ------
        balsamwind.exceptions.SendForbidden
            It may not be sent; nothing was sent.
        """
        self._gate.check_before_send(attempt)
        if attempt.is_paid or not self._is_other_sent(attempt):
            return
        if not self._pay_retry():
            raise exceptions.SendForbidden('no retry is left for the repeat')
        attempt.is_paid = True

    def _is_other_sent(self, attempt):
        return self._repeats.sent > 0 or any(
            other.may_be_sent
            for other in self._running
            if other is not attempt
        )

    def _check_waiting(self):
        """End a request that waits to be sent, and would not be."""
        if self._ambiguous_failure is not None or any(
            attempt.may_be_sent for attempt in self._running
        ):
            return
        error = self._gate.find_error()
        if error is not None:
            raise error

    def _record_answer(self, attempt):
        """Record that a server gave a whole answer to the request.

        The last one of several that may have run it shows nothing: it may
        have had little left to do.
        """
        if self._possible_runs:
            return
        self._gate.record_answer(attempt.progress)

    def _record_failure(self, attempt, failure):
        if failure.error.run == exceptions.NOT_RUN:
            self._unrun_attempts += 1
        else:
            self._possible_runs += 1
            self._ambiguous_failure = failure
        if failure.fault is _attempts.Fault.SERVER:
            self._blame_server(attempt, failure)
        self._look_for_end(attempt, failure)
        self._log_failed_attempt(attempt, failure)

    def _look_for_end(self, attempt, failure):
        """Find out whether an unfinished answer was the end of its server.

        Ended servers may look like a lost path, so the fault does not matter.
        """
        if failure.error.run == exceptions.NOT_RUN or not failure.sent:
            return
        # A node that carried the attempt reports what it saw itself.
        if failure.broken_off and not attempt.through_peer:
            self._gate.report_broken_answer(attempt.backend, attempt.progress)
        else:
            self._gate.watch_abandoned(attempt.backend, attempt.progress)

    def _blame_server(self, attempt, failure):
        now = self._relay.clock.monotonic()
        backend = attempt.backend
        # One that is full for a moment may be asked again for a stream that
        # waits for a silent server.
        if failure.error.run != exceptions.NOT_RUN or not self._running:
            self._tried.add(backend.key)
        if failure.stalled:
            backend.record_stall(now)
        elif failure.counts_for_ejection:
            backend.record_failure(now)

    def _log_failed_attempt(self, attempt, failure):
        self._relay.request_log.record_failed_attempt(
            self._forwarded.metadata,
            attempt.backend,
            failure,
            attempt.progress,
            self._forwarded.make_fingerprint() if failure.broken_off else None,
        )

    def _may_retry(self, failure):
        if self._find_ban():
            return False
        if not _attempts.may_retry(
            self._forwarded.route, self._possible_runs, failure
        ):
            return False
        # Without a sent byte, the next attempt is the first that a server
        # receives, and no retry.
        return not failure.sent or self._pay_retry()

    def _select_final_error(self, failure):
        # A later refusal must not hide that an earlier attempt may have run.
        if self._ambiguous_failure is not None:
            return self._ambiguous_failure.error
        if not failure.sent:
            quarantine_error = self._gate.find_error()
            if quarantine_error is not None:
                return quarantine_error
            # The caller may send the request again, whatever its kind.
            return exceptions.NoCapacity(failure.error.message)
        return failure.error
