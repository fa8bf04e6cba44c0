"""Replay of a trace of the request path.

The header ``{"trace": "requests", "data_centre": ..., "seed": ...}`` is
followed by events and expected outcomes in the order of their time ``at``.
Routing to a group, resumption after a failure and validation of the token
stream use the production code.
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
class GroupUpdate:
    """Change of a replica group's availability and load.

    Parameters
    ----------
    group : str
        Name of the group.
    data_centre : str
        Data centre of the group.
    serving : bool
        Whether the group serves.
    running : int
        Requests that run in the group (count).
    waiting : int
        Requests that wait in the group (count).
    slots : int
        Requests that can run at once (count).
    prefill_rate : float
        Prefill throughput (tokens per second).
    """

    group: str
    data_centre: str = 'a'
    serving: bool = True
    running: int = 0
    waiting: int = 0
    slots: int = 32
    prefill_rate: float = 4000.0


@dataclasses.dataclass(slots=True, frozen=True)
class CacheUpdate:
    """Arrival of cache events from the head of a group.

    Parameters
    ----------
    group : str
        Name of the group.
    events : tuple of balsamwind.ports.CacheEvent
        Changes of the prompt prefixes in the cache.
    generation : int
        Generation of the group.
    """

    group: str
    events: tuple[ports.CacheEvent, ...]
    generation: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrival:
    """Arrival of a request, for which the first step is planned.

    Parameters
    ----------
    id : str
        Id of the request.
    prompt_tokens : int
        Length of the prompt (count of tokens).
    blocks : tuple of int
        Hashes of the prompt's blocks.
    timeout : float
        Time until the deadline of the request (seconds).
    """

    id: str
    prompt_tokens: int = 100
    blocks: tuple[int, ...] = ()
    timeout: float = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class TokenArrival:
    """Arrival of a token from an attempt.

    Parameters
    ----------
    id : str
        Id of the request.
    attempt : int
        Number of the attempt, from 1.
    index : int
        Index of the token in the whole answer, from 0.
    """

    id: str
    attempt: int
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class FinishArrival:
    """Arrival of the finish mark of an attempt.

    Parameters
    ----------
    id : str
        Id of the request.
    attempt : int
        Number of the attempt, from 1.
    tokens : int
        Tokens in the whole answer according to the engine (count).
    """

    id: str
    attempt: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Failure of the current attempt, after which the next step is planned.

    Parameters
    ----------
    id : str
        Id of the request.
    failure : balsamwind.requests.FailureKind
        How the attempt failed.
    """

    id: str
    failure: requests.FailureKind


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingRetry:
    """Another search for a group by a request that waits for one.

    Parameters
    ----------
    id : str
        Id of the request.
    """

    id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectedOutcome:
    """Expected outcome of a request; fields that are None are not compared.

    Parameters
    ----------
    id : str
        Id of the request.
    step : str or None
        Name of the class of its last step.
    group : str or None
        Name of the group to which it was sent last.
    error : str or None
        Code of the error that the caller gets.
    run : str or None
        What that error says about the execution of the request.
    tokens : int or None
        Tokens delivered to the caller (count).
    late : int or None
        Events dropped because they came from an earlier attempt (count).
    whole : bool or None
        Whether the caller has the complete answer.
    """

    id: str
    step: str | None = None
    group: str | None = None
    error: str | None = None
    run: str | None = None
    tokens: int | None = None
    late: int | None = None
    whole: bool | None = None


EVENT_CLASSES = {
    'group': GroupUpdate,
    'cache': CacheUpdate,
    'request': RequestArrival,
    'token': TokenArrival,
    'finish': FinishArrival,
    'failure': AttemptFailure,
    'look': RoutingRetry,
}
"""Event name -> data class of the event."""

_ERRORS_BY_FAILURE = {
    requests.FailureKind.NOT_SERVING: exceptions.BackendRefused(
        '', 'draining'
    ),
    requests.FailureKind.OVERLOADED: exceptions.BackendRefused('', 'full'),
    requests.FailureKind.UNREACHABLE: exceptions.TransportError('', False),
    requests.FailureKind.CONNECTION_LOST: exceptions.TransportError(''),
    requests.FailureKind.TIMED_OUT: exceptions.AnswerTimeout(''),
    requests.FailureKind.BAD_ANSWER: exceptions.BadAnswer(''),
}


def replay_requests(lines):
    """Replay a trace of the request path.

    Parameters
    ----------
    lines : list of TraceLine
        Header, followed by events and expected outcomes.

    Returns
    -------
    list of balsamwind.settings.Finding
        Expected outcomes that were not met.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The trace is malformed.
    """
    header = lines[0].data
    request_replay = _RequestReplay(
        header.get('data_centre', 'a'), header.get('seed', 1)
    )
    for step in _trace.build_steps(lines[1:], EVENT_CLASSES, ExpectedOutcome):
        request_replay.apply_step(step.place, step.at, step.payload)
    return request_replay.findings


class _RequestState:
    """State of one request of the trace.

    Parameters
    ----------
    run : balsamwind.requests.RequestState
        Attempts of the request and the tokens received so far.
    """

    __slots__ = ('checker', 'error', 'group', 'late', 'run', 'step', 'whole')

    def __init__(self, run):
        self.run = run
        self.checker = None
        self.step = None
        self.group = None
        self.error = None
        self.late = 0
        self.whole = False


class _RequestReplay:
    """Runs the steps of one trace of the request path.

    Parameters
    ----------
    data_centre : str
        Data centre of the node that routes.
    seed : int
        Seed of the router's random numbers.

    Attributes
    ----------
    findings : list of balsamwind.settings.Finding
        Expected outcomes that were not met so far.
    """

    __slots__ = (
        '_groups',
        '_rates',
        '_reports',
        '_request_states',
        '_router',
        'findings',
    )

    def __init__(self, data_centre, seed):
        self._groups = {}
        self._reports = {}
        self._request_states = {}
        self._rates = requests.ResumeCostParameters()
        seed = random.Random(seed).getrandbits(64)
        self._router = routing.make_router(
            data_centre, lambda group: self._reports.get(group.name), seed
        )
        self.findings = []

    def apply_step(self, place, now, step):
        """Apply an event, or check an expected outcome.

        Parameters
        ----------
        place : str
            Source location of the step, ``file:line``.
        now : float
            Virtual time of the step (seconds).
        step : object
            Instance of a class in `EVENT_CLASSES` or of `ExpectedOutcome`.
        """
        match step:
            case GroupUpdate():
                self._update_group(step)
            case CacheUpdate(
                group=group, generation=generation, events=events
            ):
                prefixes = self._router.prefix_index
                prefixes.apply_events(group, generation, events)
            case RequestArrival():
                self._start_request(step, now)
            case TokenArrival(
                id=request_id, attempt=attempt_number, index=index
            ):
                attempt_id = f'{request_id}.{attempt_number}'
                self._receive_event(
                    request_id, ports.Token(attempt_id, index, 't'), now
                )
            case FinishArrival(
                id=request_id, attempt=attempt_number, tokens=token_count
            ):
                attempt_id = f'{request_id}.{attempt_number}'
                self._receive_event(
                    request_id,
                    ports.FinishEvent(attempt_id, 'stop', token_count),
                    now,
                )
            case AttemptFailure(id=request_id, failure=failure):
                self._fail_attempt(
                    self._request_states[request_id],
                    _ERRORS_BY_FAILURE[failure],
                    now,
                )
            case RoutingRetry(id=request_id):
                self._plan_next_step(self._request_states[request_id], now)
            case ExpectedOutcome():
                self._check_outcome(place, step)

    def _update_group(self, update):
        group = objects.Group(
            name=update.group,
            contract='c',
            model='m',
            version='1',
            data_centre=update.data_centre,
            fabric_domain=update.data_centre,
            members=(objects.Member(f'vm-{update.group}', 'x:1'),),
            generation=1,
            state=objects.GroupState.READY,
        )
        self._groups.pop(update.group, None)
        if update.serving:
            self._groups[update.group] = group
        self._reports[update.group] = ports.EngineReport(
            group.head.vm,
            ports.EngineState.READY,
            running=update.running,
            waiting=update.waiting,
            slots=update.slots,
            prefill_rate=update.prefill_rate,
        )

    def _start_request(self, arrival, now):
        request = requests.CompletionRequest(
            arrival.id,
            None,
            'm',
            'x' * int(arrival.prompt_tokens * requests.CHARACTERS_PER_TOKEN),
            1000,
            now + arrival.timeout,
        )
        state = _RequestState(requests.RequestState(request, arrival.blocks))
        self._request_states[arrival.id] = state
        self._plan_next_step(state, now)

    def _plan_next_step(self, state, now):
        run = state.run
        serving_groups = tuple(self._groups.values())
        step = requests.plan_next_step(
            run, serving_groups, self._router, self._rates, now
        )
        # Traces state the class name of the expected step.
        state.step = type(step).__name__
        match step:
            case requests.GiveUp(error=error):
                state.error = run.make_error(error)
            case requests.Wait():
                run.start_waiting(now)
            case _:
                run.waiting_since = None
                state.group = step.group
                self._router.assign(step.group, run.blocks)
                attempt_number = run.record_attempt(step.group.name)
                state.checker = requests.AnswerChecker(
                    f'{run.request.request_id}.{attempt_number}',
                    len(run.delivered_tokens),
                )

    def _receive_event(self, request_id, event, now):
        state = self._request_states[request_id]
        late_before = state.checker.late_events
        try:
            tokens = state.checker.accept([event])
        except exceptions.BadAnswer as error:
            self._fail_attempt(state, error, now)
            return
        state.late += state.checker.late_events - late_before
        state.whole = state.checker.finish_event is not None
        if tokens:
            state.run.record_tokens(tokens, state.group)

    def _fail_attempt(self, state, error, now):
        state.run.record_failure(error)
        self._router.record_failure(state.group, now)
        if state.run.failure.takes_group_down:
            self._groups.pop(state.group.name, None)
        self._plan_next_step(state, now)

    def _check_outcome(self, place, expected):
        state = self._request_states[expected.id]
        error = state.error
        actual_values = {
            'step': state.step,
            'group': state.group and state.group.name,
            'error': error and error.code,
            'run': error and error.run,
            'tokens': len(state.run.delivered_tokens),
            'late': state.late,
            'whole': state.whole,
        }
        for field, actual_value in actual_values.items():
            expected_value = getattr(expected, field)
            if expected_value is not None and expected_value != actual_value:
                self.findings.append(
                    Finding(
                        place,
                        f'/expect/{field}',
                        actual_value,
                        repr(expected_value),
                    )
                )
