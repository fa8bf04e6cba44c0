"""One completion: choose a group, relay its tokens, resume if it breaks."""

import contextlib
import dataclasses

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.requests import _answers

RETRY_AFTER = 2.0
"""When a caller may come back if no group serves (seconds)."""

MAX_ATTEMPTS = 4
"""Attempts for one request (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionRequest:
    """What a caller asks for.

    Parameters
    ----------
    request_id : str
        Id of the request.
    contract : balsamwind.objects.Contract
        Contract of the caller.
    model : str
        Model or adapter.
    prompt : str
        Text to continue.
    max_tokens : int
        Longest answer (count).
    deadline : float
        Monotonic time at which the caller gives up (seconds).
    """

    request_id: str
    contract: objects.Contract
    model: str
    prompt: str
    max_tokens: int
    deadline: float


class Completions:
    """Runs completions on replica groups.

    Parameters
    ----------
    engine : balsamwind.ports.Engine
        Model engines.
    groups : balsamwind.membership.GroupTable
        Groups that may serve.
    chooser : balsamwind.routing.Chooser
        Choice among them.
    reported_load : callable
        Group -> requests there as last reported (count).
    budget : balsamwind.admission.RetryBudget
        Retries allowed.
    settings : balsamwind.settings.RequestSettings
        Time-outs.
    clock : balsamwind.ports.Clock
        Source of time.
    note_down : callable
        Called with (group, reason) when a group proves broken.
    """

    __slots__ = (
        '_budget',
        '_chooser',
        '_clock',
        '_engine',
        '_groups',
        '_note_down',
        '_reported_load',
        '_settings',
        'late_events',
    )

    def __init__(
        self,
        engine,
        groups,
        chooser,
        reported_load,
        budget,
        settings,
        clock,
        note_down,
    ):
        self._engine = engine
        self._groups = groups
        self._chooser = chooser
        self._reported_load = reported_load
        self._budget = budget
        self._settings = settings
        self._clock = clock
        self._note_down = note_down
        self.late_events = 0

    async def run(self, request):
        """Generate the answer.

        Yields
        ------
        list of str
            Tokens, each once and in order.

        Raises
        ------
        balsamwind.exceptions.RequestNotRun
            Nothing was sent to an engine.
        balsamwind.exceptions.BalsamwindError
            The answer is not whole and can not be resumed. If the
            generator ends without an error, the answer is whole.
        """
        received = []
        tried = []
        sent = False
        error = None
        self._budget.note_first_try()
        while True:
            group = self._choose(request, tried)
            if group is None or len(tried) >= MAX_ATTEMPTS:
                raise self._give_up(request, received, sent, error)
            if tried and not self._budget.take():
                raise self._give_up(request, received, sent, error)
            tried.append(group.name)
            attempt = self._attempt(group, request, received, len(tried))
            try:
                async with contextlib.aclosing(attempt) as batches:
                    async for batch in batches:
                        sent = True
                        received.extend(batch)
                        yield batch
                return
            except exceptions.BackendRefused as refused:
                error = refused
            except exceptions.TransportError as broken:
                sent = sent or broken.sent
                error = broken
            self._note_failure(group, error)

    def _choose(self, request, tried):
        now = self._clock.monotonic()
        if now >= request.deadline:
            return None
        serving = self._groups.serving(
            request.contract.customer, request.model, now
        )
        return self._chooser.choose(serving, self._reported_load, tried)

    async def _attempt(self, group, request, received, number):
        attempt_id = f'{request.request_id}.{number}'
        checker = _answers.AnswerChecker(attempt_id, len(received))
        left = request.deadline - self._clock.monotonic()
        call = ports.Generate(
            request_id=request.request_id,
            attempt_id=attempt_id,
            group=group.name,
            generation=group.generation,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.contract.priority,
            resume=tuple(received),
            timeout=left,
        )
        timeout = min(self._settings.first_token_timeout, left)
        with self._chooser.track(group.name):
            stream = await self._engine.generate(
                group.head.address, call, timeout
            )
            try:
                async for tokens in self._relay(stream, checker, request):
                    yield tokens
            finally:
                self.late_events += checker.late
                stream.close()

    async def _relay(self, stream, checker, request):
        timeout = self._settings.first_token_timeout
        while True:
            left = request.deadline - self._clock.monotonic()
            if left <= 0:
                raise exceptions.DeadlineExceeded('the deadline has passed')
            events = await stream.read(min(timeout, left))
            if not events:
                break
            tokens = checker.accept(events)
            if tokens:
                yield tokens
            timeout = self._settings.token_timeout
        if checker.finished is None:
            raise exceptions.TransportError('body ended before the answer')

    def _note_failure(self, group, error):
        match error:
            case exceptions.BackendRefused(reason='wrong_group'):
                self._note_down(group, str(error))
            case exceptions.TransportError():
                self._note_down(group, str(error))

    def _give_up(self, request, received, sent, error):
        if received:
            return exceptions.StreamBroken(f'answer broke off: {error}')
        if self._clock.monotonic() >= request.deadline:
            return exceptions.DeadlineExceeded('no answer in time')
        if sent:
            return exceptions.OutcomeUnknown(f'no answer: {error}')
        return exceptions.NoCapacity(
            f'no replica group serves {request.model} now',
            retry_after=RETRY_AFTER,
        )
