"""Decision after a failed attempt: resume, start again, wait or give up."""

import dataclasses
import enum

from balsamwind import exceptions
from balsamwind import objects

MAX_FAILURES = 4
"""Consecutive failed attempts without a new token until giving up (count)."""

MAX_TOTAL_FAILURES = 16
"""Failed attempts of one request until giving up (count)."""

MAX_GROUP_WAIT = 3.0
"""Longest wait for a serving group after a request was sent (seconds)."""

GROUP_POLL_INTERVAL = 0.1
"""Time between two checks for a serving group during that wait (seconds)."""

CHARACTERS_PER_TOKEN = 4.0
"""Estimated length of a token of the prompt (characters)."""

NOT_SERVING_REASONS = frozenset(
    ('wrong_group', 'draining', 'empty', 'loading')
)
"""Refusal reasons that mean that the engine does not serve the group."""


class FailureKind(enum.Enum):
    """Kind of failure of an attempt.

    Attributes
    ----------
    NOT_SERVING
        The engine refused the request as it does not serve the group: it
        is draining, broken, without the model, or in another group.
    OVERLOADED
        The engine refused the request for any other reason.
    UNREACHABLE
        The connection failed before any byte of the request was sent.
    CONNECTION_LOST
        The connection failed after a byte of the request may have been
        sent.
    TIMED_OUT
        No token arrived in time, while the connection stayed open.
    BAD_ANSWER
        The answer was malformed or out of order, or it ended without the
        finish event.
    """

    NOT_SERVING = 'left'
    OVERLOADED = 'overloaded'
    UNREACHABLE = 'unreachable'
    CONNECTION_LOST = 'cut'
    TIMED_OUT = 'silent'
    BAD_ANSWER = 'bad_answer'

    @property
    def takes_group_down(self):
        """bool : Whether the failure proves that the group cannot serve."""
        return self in (
            FailureKind.NOT_SERVING,
            FailureKind.UNREACHABLE,
            FailureKind.CONNECTION_LOST,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class ResumeCostParameters:
    """Parameters of the cost estimates for resuming a request.

    Parameters
    ----------
    prefill_rate : float
        Prefill throughput of an engine (tokens/s).
    kv_bytes_per_token : float
        Size of the KV cache of one token (bytes).
    transfer_rate : float
        Throughput of a KV cache transfer between two engines (bytes/s).
    transfer_overhead : float
        Time that an export and import take in addition to the transfer of
        the bytes (seconds).
    """

    prefill_rate: float = 4000.0
    kv_bytes_per_token: float = 160000.0
    transfer_rate: float = 1.5e9
    transfer_overhead: float = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """Group that could run the next attempt.

    Parameters
    ----------
    group : balsamwind.objects.Group
        The group.
    wait : float
        Expected wait at the group until the prefill begins (seconds).
    """

    group: objects.Group
    wait: float


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """State of a request from which its next step is chosen.

    Parameters
    ----------
    tokens : int
        Tokens of the answer that the caller has received (count).
    prompt_tokens : float
        Estimated length of the prompt (tokens).
    failures : int
        Consecutive failed attempts without a new token (count).
    total_failures : int
        Failed attempts since the request arrived (count).
    sent : bool
        Whether an engine may have started to run the request.
    failure : FailureKind or None
        Kind of the last failure; None if no attempt has failed.
    time_left : float
        Time until the caller's deadline (seconds).
    group_wait : float
        Time since the first check that found no serving group (seconds);
        0 if the request is not waiting for a group.
    """

    tokens: int
    prompt_tokens: float
    failures: int = 0
    total_failures: int = 0
    sent: bool = False
    failure: FailureKind | None = None
    time_left: float = 120.0
    group_wait: float = 0.0


# The class names of the steps are values of the `step` key of request traces
# and, for the steps that send an attempt, of a metric label.


@dataclasses.dataclass(slots=True, frozen=True)
class Prefill:
    """Send the prompt and the received tokens to a group for prefill.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Group that runs the attempt.
    cost : float
        Expected time until the next token (seconds).
    """

    group: objects.Group
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class Reattach:
    """Continue at the engine that still holds the request, by token offset.

    An engine that has sent tokens of the request needs no second prefill.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Group of the last attempt.
    cost : float
        Expected time until the next token (seconds).
    """

    group: objects.Group
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class ImportCache:
    """Continue at a group after it imports the request's KV cache.

    Parameters
    ----------
    source : balsamwind.objects.Group
        Group of the last attempt, whose engine exports the cache.
    group : balsamwind.objects.Group
        Group that imports the cache and runs the attempt.
    cost : float
        Expected time until the next token (seconds).
    """

    source: objects.Group
    group: objects.Group
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Wait and check again for a serving group.

    Parameters
    ----------
    delay : float
        Time until the next check (seconds).
    """

    delay: float


@dataclasses.dataclass(slots=True, frozen=True)
class GiveUp:
    """Return an error to the caller without another attempt.

    Parameters
    ----------
    error : type
        Class of the error.
    """

    error: type


def classify_failure(error):
    """Classify a failed attempt by the error that ended it.

    Parameters
    ----------
    error : Exception
        Error of the engine or of the connection to it.

    Returns
    -------
    FailureKind
    """
    match error:
        case exceptions.BackendRefused(reason=reason):
            not_serving = reason in NOT_SERVING_REASONS or reason == 'broken'
            return (
                FailureKind.NOT_SERVING
                if not_serving
                else FailureKind.OVERLOADED
            )
        case exceptions.AnswerTimeout():
            return FailureKind.TIMED_OUT
        case exceptions.BadAnswer():
            return FailureKind.BAD_ANSWER
        case exceptions.TransportError(sent=False):
            return FailureKind.UNREACHABLE
    return FailureKind.CONNECTION_LOST


def choose_next_step(progress, target, source, can_export, rates):
    """Choose the next step of a request.

    Parameters
    ----------
    progress : Progress
        State of the request.
    target : Candidate or None
        Best group other than `source`; None if no group serves.
    source : Candidate or None
        Group of the last attempt, if its engine may still be asked.
    can_export : bool
        Whether the engine of `source` may still export the KV cache.
    rates : ResumeCostParameters
        Parameters of the cost estimates.

    Returns
    -------
    Prefill, Reattach, ImportCache, Wait or GiveUp

    Notes
    -----
    The cost of an attempt is the expected time until the next token. The
    cheapest attempt is chosen. If tokens were received and the cheapest
    attempt does not fit into the time left, the request is given up.
    """
    if progress.time_left <= 0 or _limit_reached(progress):
        return GiveUp(choose_error_class(progress))
    attempts = _list_attempts(progress, target, source, can_export, rates)
    if not attempts:
        if progress.sent and progress.group_wait < MAX_GROUP_WAIT:
            return Wait(min(GROUP_POLL_INTERVAL, progress.time_left))
        return GiveUp(choose_error_class(progress))
    cheapest = min(attempts, key=lambda attempt: attempt.cost)
    if progress.tokens and cheapest.cost > progress.time_left:
        return GiveUp(exceptions.DeadlineExceeded)
    return cheapest


def _limit_reached(progress):
    return (
        progress.failures >= MAX_FAILURES
        or progress.total_failures >= MAX_TOTAL_FAILURES
    )


def _list_attempts(progress, target, source, can_export, rates):
    length = progress.prompt_tokens + progress.tokens
    prefill_time = length / rates.prefill_rate
    attempts = []
    if source is not None and _may_reattach(progress):
        cost = source.wait if progress.tokens else source.wait + prefill_time
        attempts.append(Reattach(source.group, cost))
    if target is None:
        return attempts
    attempts.append(Prefill(target.group, target.wait + prefill_time))
    if source is not None and can_export and progress.tokens:
        transfer_time = length * rates.kv_bytes_per_token / rates.transfer_rate
        cost = target.wait + transfer_time + rates.transfer_overhead
        attempts.append(ImportCache(source.group, target.group, cost))
    return attempts


def _may_reattach(progress):
    """Return whether to try the engine of the last attempt again.

    It is tried again only after the first failure since the last token,
    and not if it refused the request, stopped sending or was unreachable.
    """
    if progress.failures > 1:
        return False
    return progress.failure in (
        FailureKind.CONNECTION_LOST,
        FailureKind.BAD_ANSWER,
    )


def choose_error_class(progress):
    """Choose the class of the error that ends a request.

    Parameters
    ----------
    progress : Progress
        State of the request.

    Returns
    -------
    type
        Subclass of :class:`balsamwind.exceptions.BalsamwindError`.
    """
    if progress.time_left <= 0:
        if progress.sent:
            return exceptions.DeadlineExceeded
        return exceptions.Overloaded
    if progress.tokens:
        return exceptions.StreamBroken
    if progress.sent:
        return exceptions.OutcomeUnknown
    if progress.failure is FailureKind.OVERLOADED:
        return exceptions.Overloaded
    return exceptions.NoCapacity
