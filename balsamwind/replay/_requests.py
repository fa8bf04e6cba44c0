"""Replay of a trace of the request path.

The header ``{"trace": "requests", "data_centre": ..., "seed": ...}`` is
followed by events and stated outcomes in the order of time ``at``. Choice of
a group, resumption and the check of the answer are the code that serves.
"""

import dataclasses
import random

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.replay import _trace
from balsamwind import requests
from balsamwind import routing
from balsamwind.settings import Finding


@dataclasses.dataclass(slots=True, frozen=True)
class GroupSeen:
    """A group serves or not, with a load report."""

    group: str
    data_centre: str = 'a'
    serving: bool = True
    running: int = 0
    waiting: int = 0
    slots: int = 32
    prefill_rate: float = 4000.0


@dataclasses.dataclass(slots=True, frozen=True)
class CacheSeen:
    """Cache events of a group arrive."""

    group: str
    events: tuple[ports.CacheEvent, ...]
    generation: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Asked:
    """A request arrives; its next step is planned."""

    id: str
    prompt_tokens: int = 100
    blocks: tuple[int, ...] = ()
    timeout: float = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class TokenSeen:
    """A token of an attempt arrives."""

    id: str
    attempt: int
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class FinishSeen:
    """A finish mark of an attempt arrives."""

    id: str
    attempt: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """The attempt fails; the next step is planned."""

    id: str
    failure: requests.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class Looked:
    """A waiting request looks for a group again."""

    id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Expect:
    """Stated outcome of a request; what is None is not compared.

    Parameters
    ----------
    id : str
        The request.
    step : str or None
        Kind of its last step.
    group : str or None
        Where that step sent it.
    error, run : str or None
        Code of the caller's error, and what it says of the run.
    tokens, late : int or None
        Tokens delivered, events dropped (count).
    whole : bool or None
        Whether the caller has the whole answer.
    """

    id: str
    step: str | None = None
    group: str | None = None
    error: str | None = None
    run: str | None = None
    tokens: int | None = None
    late: int | None = None
    whole: bool | None = None


EVENTS = {
    'group': GroupSeen,
    'cache': CacheSeen,
    'request': Asked,
    'token': TokenSeen,
    'finish': FinishSeen,
    'failure': Failed,
    'look': Looked,
}
"""Event -> data class."""

_ERRORS = {
    requests.Failure.LEFT: exceptions.BackendRefused('', 'draining'),
    requests.Failure.OVERLOADED: exceptions.BackendRefused('', 'full'),
    requests.Failure.UNREACHABLE: exceptions.TransportError('', False),
    requests.Failure.CUT: exceptions.TransportError(''),
    requests.Failure.SILENT: exceptions.AnswerTimeout(''),
    requests.Failure.BAD_ANSWER: exceptions.BadAnswer(''),
}


def replay_requests(lines):
    """Replay a trace of the request path.

    Parameters
    ----------
    lines : list of Line
        Header, events and stated outcomes.

    Returns
    -------
    list of balsamwind.settings.Finding
        Outcomes that were not met.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The trace is malformed.
    """
    header = lines[0].data
    replay = _Replay(header.get('data_centre', 'a'), header.get('seed', 1))
    for step in _trace.check_steps(lines[1:], EVENTS, Expect):
        replay.carry_out(step.place, step.at, step.what)
    return replay.findings


class _Answer:
    """One request of the trace."""

    __slots__ = ('checker', 'error', 'group', 'late', 'run', 'step', 'whole')

    def __init__(self, run):
        self.run = run
        self.checker = None
        self.step = None
        self.group = None
        self.error = None
        self.late = 0
        self.whole = False


class _Replay:
    """Carries out the steps of one trace."""

    __slots__ = (
        '_answers',
        '_groups',
        '_rates',
        '_reports',
        '_router',
        'findings',
    )

    def __init__(self, data_centre, seed):
        self._groups = {}
        self._reports = {}
        self._answers = {}
        self._rates = requests.EngineRates()
        seed = random.Random(seed).getrandbits(64)
        self._router = routing.make_router(
            data_centre, lambda group: self._reports.get(group.name), seed
        )
        self.findings = []

    def carry_out(self, place, now, step):
        """Carry out one step."""
        match step:
            case GroupSeen():
                self._see(step)
            case CacheSeen(group=group, generation=generation, events=events):
                prefixes = self._router.prefixes
                prefixes.apply_events(group, generation, events)
            case Asked():
                self._ask(step, now)
            case TokenSeen(id=name, attempt=number, index=index):
                attempt = f'{name}.{number}'
                self._take(name, ports.Token(attempt, index, 't'), now)
            case FinishSeen(id=name, attempt=number, tokens=count):
                attempt = f'{name}.{number}'
                self._take(name, ports.Finished(attempt, 'stop', count), now)
            case Failed(id=name, failure=failure):
                self._fail(self._answers[name], _ERRORS[failure], now)
            case Looked(id=name):
                self._plan(self._answers[name], now)
            case Expect():
                self._compare(place, step)

    def _see(self, seen):
        group = objects.Group(
            name=seen.group,
            contract='c',
            model='m',
            version='1',
            data_centre=seen.data_centre,
            fabric_domain=seen.data_centre,
            members=(objects.Member(f'vm-{seen.group}', 'x:1'),),
            generation=1,
            state=objects.GroupState.READY,
        )
        self._groups.pop(seen.group, None)
        if seen.serving:
            self._groups[seen.group] = group
        self._reports[seen.group] = ports.EngineReport(
            group.head.vm,
            ports.EngineState.READY,
            running=seen.running,
            waiting=seen.waiting,
            slots=seen.slots,
            prefill_rate=seen.prefill_rate,
        )

    def _ask(self, asked, now):
        request = requests.CompletionRequest(
            asked.id,
            None,
            'm',
            'x' * int(asked.prompt_tokens * requests.CHARACTERS_PER_TOKEN),
            1000,
            now + asked.timeout,
        )
        answer = _Answer(requests.Run(request, asked.blocks))
        self._answers[asked.id] = answer
        self._plan(answer, now)

    def _plan(self, answer, now):
        run = answer.run
        serving = tuple(self._groups.values())
        step = requests.plan_next(run, serving, self._router, self._rates, now)
        answer.step = type(step).__name__
        match step:
            case requests.GiveUp(error=error):
                answer.error = run.make_error(error)
            case requests.Wait():
                run.start_waiting(now)
            case _:
                run.waiting_since = None
                answer.group = step.group
                self._router.admit(step.group, run.blocks)
                number = run.begin(step.group.name)
                answer.checker = requests.AnswerChecker(
                    f'{run.request.request_id}.{number}', len(run.received)
                )

    def _take(self, name, event, now):
        answer = self._answers[name]
        late = answer.checker.late
        try:
            tokens = answer.checker.accept([event])
        except exceptions.BadAnswer as error:
            self._fail(answer, error, now)
            return
        answer.late += answer.checker.late - late
        answer.whole = answer.checker.finished is not None
        if tokens:
            answer.run.take(tokens, answer.group)

    def _fail(self, answer, error, now):
        answer.run.fail(error)
        self._router.note_failure(answer.group, now)
        if answer.run.failure.takes_group_down:
            self._groups.pop(answer.group.name, None)
        self._plan(answer, now)

    def _compare(self, place, expect):
        answer = self._answers[expect.id]
        error = answer.error
        got = {
            'step': answer.step,
            'group': answer.group and answer.group.name,
            'error': error and error.code,
            'run': error and error.run,
            'tokens': len(answer.run.received),
            'late': answer.late,
            'whole': answer.whole,
        }
        for field, value in got.items():
            wanted = getattr(expect, field)
            if wanted is not None and wanted != value:
                self.findings.append(
                    Finding(place, f'/expect/{field}', value, repr(wanted))
                )
