"""One completion: choose a group, relay its tokens, resume if it breaks."""

import asyncio
import contextlib
import dataclasses

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.requests import _answers
from balsamwind.requests import _resume
from balsamwind.requests import _run

CACHE_TIMEOUT = 2.0
"""Time-out of one export or import of a KV cache (seconds)."""


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
    router : balsamwind.routing.Router
        Choice among them.
    budget : balsamwind.admission.RetryBudget
        Retries allowed.
    settings : balsamwind.settings.RequestSettings
        Time-outs.
    clock : balsamwind.ports.Clock
        Source of time.
    listener : object
        Told of what is seen: ``note_group_down(group, reason)``,
        ``note_late_events(count)`` and ``note_resumption(way)``.
    rates : EngineRates
        What the cost of a resumption is worked out from.
    """

    __slots__ = (
        '_budget',
        '_clock',
        '_engine',
        '_groups',
        '_listener',
        '_rates',
        '_router',
        '_settings',
    )

    def __init__(
        self,
        engine,
        groups,
        router,
        budget,
        settings,
        clock,
        listener,
        rates=None,
    ):
        self._engine = engine
        self._groups = groups
        self._router = router
        self._budget = budget
        self._settings = settings
        self._clock = clock
        self._listener = listener
        self._rates = rates or _resume.EngineRates()

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
        run = _run.Run(request, self._router.hash_prompt(request))
        self._budget.note_first_try()
        while True:
            choice = await self._next_choice(run)
            attempt = self._attempt(choice, run)
            try:
                async with contextlib.aclosing(attempt) as batches:
                    async for batch in batches:
                        run.take(batch, choice.group)
                        yield batch
                return
            except (
                exceptions.BackendRefused,
                exceptions.TransportError,
            ) as error:
                run.fail(error)
                self._note_failure(choice.group, run.failure, error)

    async def _next_choice(self, run):
        """Group of the next attempt; raises if the request is given up."""
        while True:
            step = self._plan(run)
            match step:
                case _resume.GiveUp(error=error):
                    raise run.make_error(error)
                case _resume.Wait(delay=delay):
                    run.start_waiting(self._clock.monotonic())
                    await asyncio.sleep(delay)
                    continue
                case _resume.ImportCache(source=source, group=group):
                    await self._move_cache(run, source, group)
            if run.failure is not None:
                self._pay(run)
                self._listener.note_resumption(type(step).__name__)
            run.waiting_since = None
            return self._router.admit(step.group, run.blocks)

    def _plan(self, run):
        now = self._clock.monotonic()
        request = run.request
        serving = self._groups.serving(
            request.contract.customer, request.model, now
        )
        return _run.plan_next(run, serving, self._router, self._rates, now)

    def _pay(self, run):
        """Spend a retry, unless the group was lost or left."""
        if run.failure.takes_group_down:
            return
        if not self._budget.take():
            progress = run.progress(self._clock.monotonic())
            raise run.make_error(_resume.choose_error(progress))

    async def _move_cache(self, run, source, group):
        request_id = run.request.request_id
        left = run.request.deadline - self._clock.monotonic()
        timeout = min(CACHE_TIMEOUT, left)
        try:
            export = await self._engine.export_kv(
                source.head.address, request_id, timeout
            )
            await self._engine.import_kv(
                group.head.address, request_id, export, timeout
            )
        except exceptions.BalsamwindError:
            # The group prefills what it could not import.
            run.cache_lost = True

    async def _attempt(self, choice, run):
        request = run.request
        group = choice.group
        number = run.begin(group.name)
        attempt_id = f'{request.request_id}.{number}'
        checker = _answers.AnswerChecker(attempt_id, len(run.received))
        now = self._clock.monotonic()
        left = request.deadline - now
        call = ports.Generate(
            request_id=request.request_id,
            attempt_id=attempt_id,
            group=group.name,
            generation=group.generation,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.contract.priority,
            resume=tuple(run.received),
            timeout=left,
        )
        patience = self._settings.first_token_timeout + choice.wait
        limit = min(now + patience, request.deadline)
        with self._router.track(choice, now) as tracker:
            stream = await self._engine.generate(
                group.head.address, call, limit - now
            )
            try:
                relay = self._relay(stream, checker, request, limit, tracker)
                async for tokens in relay:
                    yield tokens
            finally:
                if checker.late:
                    self._listener.note_late_events(checker.late)
                stream.close()

    async def _relay(self, stream, checker, request, limit, tracker):
        clock = self._clock.monotonic
        while checker.finished is None:
            now = clock()
            if now >= limit:
                raise exceptions.AnswerTimeout('no token of this attempt')
            events = await stream.read(limit - now)
            if not events:
                raise exceptions.BadAnswer('body ended before the answer')
            tokens = checker.accept(events)
            if tokens:
                now = clock()
                tracker.note_tokens(len(tokens), now)
                limit = min(
                    now + self._settings.token_timeout, request.deadline
                )
                yield tokens

    def _note_failure(self, group, failure, error):
        self._router.note_failure(group, self._clock.monotonic())
        if failure.takes_group_down:
            self._listener.note_group_down(group, str(error))
