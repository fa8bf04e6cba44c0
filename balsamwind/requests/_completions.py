"""Execution of completion requests, resumed after a failed attempt."""

import asyncio
import contextlib
import dataclasses

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.requests import _answers
from balsamwind.requests import _request_state
from balsamwind.requests import _resume

CACHE_TRANSFER_TIMEOUT = 2.0
"""Timeout of one export or import of a KV cache (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionRequest:
    """Completion request of a caller.

    Parameters
    ----------
    request_id : str
        Id of the request.
    contract : balsamwind.objects.Contract
        Contract of the caller.
    model : str
        Name of the model or adapter.
    prompt : str
        Text to continue.
    max_tokens : int
        Maximum length of the answer (tokens).
    deadline : float
        Monotonic time at which the caller stops waiting (seconds).
    """

    request_id: str
    contract: objects.Contract
    model: str
    prompt: str
    max_tokens: int
    deadline: float


class CompletionRunner:
    """Run completions on replica groups and resume them after failures.

    Parameters
    ----------
    engine : balsamwind.ports.Engine
        Client of the model engines.
    groups : balsamwind.membership.GroupTable
        Table of the replica groups and whether they serve.
    router : balsamwind.routing.Router
        Chooses among the serving groups.
    budget : balsamwind.admission.RetryBudget
        Budget that retries are taken from, except after a failure that
        takes the group down.
    settings : balsamwind.settings.RequestSettings
        Timeouts of the first token and of each further token.
    clock : balsamwind.ports.Clock
        Source of the monotonic time.
    listener : object
        Receives events of the request path through its methods
        ``handle_group_down(group, reason)``, ``count_late_events(count)`` and
        ``count_resumption(step_name)``.
    rates : ResumeCostParameters or None
        Parameters of the cost estimates; None for the defaults.
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
        self._rates = rates or _resume.ResumeCostParameters()

    async def run(self, request):
        """Run a completion and yield the tokens of its answer.

        Parameters
        ----------
        request : CompletionRequest
            Request to run.

        Yields
        ------
        list of str
            Next tokens of the answer. Each token is yielded once and in
            order, over all attempts.

        Raises
        ------
        balsamwind.exceptions.RequestNotRun
            Nothing was sent to an engine.
        balsamwind.exceptions.BalsamwindError
            The answer is incomplete and cannot be resumed. If the
            generator ends without an error, the answer is complete.
        """
        state = _request_state.RequestState(
            request, self._router.hash_prompt(request)
        )
        self._budget.record_first_attempt()
        while True:
            choice = await self._choose_group(state)
            attempt = self._run_attempt(choice, state)
            try:
                async with contextlib.aclosing(attempt) as batches:
                    async for batch in batches:
                        state.record_tokens(batch, choice.group)
                        yield batch
                return
            except (
                exceptions.BackendRefused,
                exceptions.TransportError,
            ) as error:
                state.record_failure(error)
                self._report_failure(choice.group, state.failure, error)

    async def _choose_group(self, state):
        """Choose the group of the next attempt, after waiting if none serves.

        Raises
        ------
        balsamwind.exceptions.BalsamwindError
            The request is given up.
        """
        while True:
            step = self._plan_next_step(state)
            match step:
                case _resume.GiveUp(error=error_class):
                    raise state.make_error(error_class)
                case _resume.Wait(delay=delay):
                    state.start_waiting(self._clock.monotonic())
                    await asyncio.sleep(delay)
                    continue
                case _resume.ImportCache(source=source, group=group):
                    await self._transfer_cache(state, source, group)
            if state.failure is not None:
                self._spend_retry(state)
                self._listener.count_resumption(type(step).__name__)
            state.waiting_since = None
            return self._router.assign(step.group, state.blocks)

    def _plan_next_step(self, state):
        now = self._clock.monotonic()
        request = state.request
        serving_groups = self._groups.find_serving_groups(
            request.contract.customer, request.model, now
        )
        return _request_state.plan_next_step(
            state, serving_groups, self._router, self._rates, now
        )

    def _spend_retry(self, state):
        """Take a retry from the budget unless the failure took a group down.

        Raises
        ------
        balsamwind.exceptions.BalsamwindError
            The budget is used up; the request is given up.
        """
        if state.failure.takes_group_down:
            return
        if not self._budget.try_consume():
            progress = state.make_progress(self._clock.monotonic())
            raise state.make_error(_resume.choose_error_class(progress))

    async def _transfer_cache(self, state, source, group):
        request_id = state.request.request_id
        time_left = state.request.deadline - self._clock.monotonic()
        timeout = min(CACHE_TRANSFER_TIMEOUT, time_left)
        try:
            export = await self._engine.export_kv(
                source.head.address, request_id, timeout
            )
            await self._engine.import_kv(
                group.head.address, request_id, export, timeout
            )
        except exceptions.BalsamwindError:
            # The attempt still goes to the group: its engine prefills the
            # tokens that it could not import.
            state.cache_transfer_failed = True

    async def _run_attempt(self, choice, state):
        request = state.request
        group = choice.group
        number = state.record_attempt(group.name)
        attempt_id = f'{request.request_id}.{number}'
        checker = _answers.AnswerChecker(
            attempt_id, len(state.delivered_tokens)
        )
        now = self._clock.monotonic()
        time_left = request.deadline - now
        call = ports.GenerateRequest(
            request_id=request.request_id,
            attempt_id=attempt_id,
            group=group.name,
            generation=group.generation,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.contract.priority,
            resume=tuple(state.delivered_tokens),
            timeout=time_left,
        )
        first_token_timeout = self._settings.first_token_timeout + choice.wait
        token_deadline = min(now + first_token_timeout, request.deadline)
        with self._router.track(choice, now) as tracker:
            stream = await self._engine.generate(
                group.head.address, call, token_deadline - now
            )
            try:
                batches = self._read_tokens(
                    stream, checker, request, token_deadline, tracker
                )
                async for batch in batches:
                    yield batch
            finally:
                if checker.late_events:
                    self._listener.count_late_events(checker.late_events)
                stream.close()

    async def _read_tokens(
        self, stream, checker, request, token_deadline, tracker
    ):
        clock = self._clock.monotonic
        while checker.finish_event is None:
            now = clock()
            # Events of other attempts do not extend the token deadline.
            if now >= token_deadline:
                raise exceptions.AnswerTimeout(
                    'engine sent no token before the token timeout'
                )
            events = await stream.read(token_deadline - now)
            if not events:
                raise exceptions.BadAnswer(
                    'engine closed the response before the finish event'
                )
            batch = checker.accept(events)
            if batch:
                now = clock()
                tracker.record_tokens(len(batch), now)
                token_deadline = min(
                    now + self._settings.token_timeout, request.deadline
                )
                yield batch

    def _report_failure(self, group, failure, error):
        self._router.record_failure(group, self._clock.monotonic())
        if failure.takes_group_down:
            self._listener.handle_group_down(group, str(error))
