"""Attempts that this node carries for others, over its own path only."""

import dataclasses

from balsamwind import exceptions
from balsamwind.relay import _attempts
from balsamwind.relay import _carried_attempts
from balsamwind.relay import _direct_path
from balsamwind.relay import _fingerprint

CONNECT_TIMEOUT = 0.2
"""Longest wait for a connection to a backend server (seconds). The sender
waits for it, too."""

MAX_ATTEMPTS_PER_CORE = 150
"""Attempts that a node carries at the same time (count per core)."""

_CAUSES = {
    exceptions.AnswerTimeout: _carried_attempts.CarryFailure.TIMED_OUT,
    exceptions.BadAnswer: _carried_attempts.CarryFailure.MALFORMED,
}


def plan_refusal(is_draining, open_attempts, max_attempts, is_open, is_usable):
    """Decide why an attempt of another node is not carried.

    Parameters
    ----------
    is_draining : bool
        Whether this node is about to stop.
    open_attempts, max_attempts : int
        Attempts that it carries, and that it carries at most (count).
    is_open : bool
        Whether its own path to the service is open.
    is_usable : bool
        Whether it may send requests to the backend.

    Returns
    -------
    CarryFailure or None
        None if the attempt is carried.
    """
    if is_draining:
        return _carried_attempts.CarryFailure.DRAINING
    if not is_open:
        return _carried_attempts.CarryFailure.NO_PATH
    if open_attempts >= max_attempts:
        return _carried_attempts.CarryFailure.FULL
    if not is_usable:
        return _carried_attempts.CarryFailure.NOT_USABLE
    return None


class AttemptCarrier:
    """Sends attempts of other nodes to backend servers.

    The other node has admitted the request, chosen the backend and decides on
    retries. This node looks at what it alone can know: whether it reaches the
    server, and whether the server wants requests of this node.

    Parameters
    ----------
    relay : Relay
        Request path of this node.
    cores : float
        Processor time of this node (cores).

    Attributes
    ----------
    is_draining : bool
        Whether no further attempts are carried.
    open_attempts : int
        Attempts that are carried at the moment (count).
    """

    __slots__ = ('_max_attempts', '_relay', 'is_draining', 'open_attempts')

    def __init__(self, relay, cores):
        self._relay = relay
        self._max_attempts = max(1, round(MAX_ATTEMPTS_PER_CORE * cores))
        self.is_draining = False
        self.open_attempts = 0

    async def carry(self, attempt, send, check_before_send):
        """Send an attempt, and pass on its answer.

        Parameters
        ----------
        attempt : OutgoingAttempt
            The attempt.
        send : callable
            Coroutine function that sends a message to the other node.
        check_before_send : callable
            Called without arguments immediately before the attempt is sent;
            raises if the other node is gone.
        """
        now = self._relay.clock.monotonic()
        with self._relay.held_bytes.hold(len(attempt.body), now) as has_room:
            await self._carry(attempt, send, check_before_send, has_room)

    async def _carry(self, attempt, send, check_before_send, has_room):
        backend = self._find_backend(attempt.backend)
        # A node without room for the body is as full as one without a place.
        open_attempts = self.open_attempts if has_room else self._max_attempts
        refusal = plan_refusal(
            self.is_draining,
            open_attempts,
            self._max_attempts,
            self._relay.paths.is_open(attempt.backend.service),
            backend is not None,
        )
        if refusal is not None:
            await send(_carried_attempts.AttemptFailed(refusal))
            return
        self.open_attempts += 1
        try:
            await self._pass_answer(backend, attempt, send, check_before_send)
        finally:
            self.open_attempts -= 1

    def _find_backend(self, key):
        """Find a backend that this node may send requests to."""
        relay = self._relay
        service = relay.configuration.find_service(key.service)
        if service is None:
            return None
        backend = relay.backends.find(service, dataclasses.astuple(key))
        if backend is None or relay.server_statements.forbids(
            backend.record, relay.clock.monotonic()
        ):
            return None
        return backend

    async def _pass_answer(self, backend, attempt, send, check_before_send):
        clock = self._relay.clock
        deadline = clock.monotonic() + attempt.time_left
        progress = _attempts.AttemptProgress(sent_at=clock.monotonic())
        response = None

        def check_attempt():
            now = clock.monotonic()
            self._relay.server_statements.check_rules(backend.record, now)
            age = now - progress.sent_at
            if attempt.is_cold and age > _carried_attempts.MAX_COLD_CARRY_TIME:
                raise exceptions.ChoiceExpired(
                    'the cold backend was chosen too long ago'
                )
            self._check_quarantine(attempt, now)
            check_before_send()

        try:
            response = await _direct_path.open_directly(
                self._relay,
                backend,
                attempt,
                check_attempt,
                CONNECT_TIMEOUT,
            )
            await self._pass_head(backend, response, progress, send)
            while True:
                time_left = max(deadline - clock.monotonic(), 0.0)
                chunk = await response.read(
                    time_left + _direct_path.READ_MARGIN
                )
                if not chunk:
                    break
                now = clock.monotonic()
                progress.record_events(now)
                self._relay.paths.record_heard(attempt.backend.service, now)
                await send(_carried_attempts.AnswerData(chunk))
            await send(_carried_attempts.AnswerEnd())
        except exceptions.TransportError as error:
            await send(await self._handle_failure(backend, attempt, error))
            self._report_broken(backend, attempt, error, progress)
        finally:
            if response is not None:
                response.close()

    def _check_quarantine(self, attempt, now):
        """Check that this node knows nothing against the request.

        Raises
        ------
        balsamwind.exceptions.SendForbidden
            It is quarantined, which the other node may not know yet.
        """
        quarantine = self._relay.crash_quarantine
        if not quarantine.has_suspects:
            return
        fingerprint = _fingerprint.make_fingerprint(attempt, attempt.account)
        parts = (*attempt.shared_parts, fingerprint)
        if quarantine.find(attempt.backend.service, parts, now) is not None:
            raise exceptions.SendForbidden('the request is quarantined')

    async def _pass_head(self, backend, response, progress, send):
        relay = self._relay
        now = relay.clock.monotonic()
        metadata = relay.header_codec.decode_response(response.headers)
        relay.server_statements.handle_answer(
            backend, response.status, metadata, progress.sent_at, now
        )
        if 200 <= response.status < 300:
            progress.began_at = now
        await send(
            _carried_attempts.AnswerHead(
                response.status,
                tuple(response.headers.get_all()),
                response.has_marked_end,
            )
        )

    async def _handle_failure(self, backend, attempt, error):
        """Find out whether a failure shows something of the server."""
        service = attempt.backend.service
        if isinstance(error, exceptions.SendPrevented):
            return _carried_attempts.AttemptFailed(
                _carried_attempts.CarryFailure.NOT_USABLE, error.message
            )
        if not error.sent:
            is_open = await self._relay.settle_path(service)
            cause = (
                _carried_attempts.CarryFailure.UNREACHABLE
                if is_open
                else _carried_attempts.CarryFailure.NO_PATH
            )
            return _carried_attempts.AttemptFailed(cause, error.message)
        cause = _CAUSES.get(type(error), _carried_attempts.CarryFailure.BROKEN)
        return _carried_attempts.AttemptFailed(cause, error.message)

    def _report_broken(self, backend, attempt, error, progress):
        """Report an answer that was broken off; only this node saw it."""
        if not _attempts.Failure(error, sent=error.sent).broken_off:
            return
        self._relay.crash_reporter.report_broken_answer(
            backend,
            attempt.backend.service,
            attempt.shared_parts,
            _fingerprint.make_fingerprint(attempt, attempt.account),
            progress,
        )
