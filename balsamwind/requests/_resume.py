"""What to do after an attempt failed: resume, start again, or give up."""

import dataclasses
import enum

from balsamwind import exceptions
from balsamwind import objects

MAX_FAILURES = 4
"""Failed attempts in a row without a new token (count)."""

MAX_RESUMPTIONS = 16
"""Failed attempts of one request (count)."""

RESUME_WAIT = 3.0
"""Longest wait of a request that was sent for a group to serve (seconds)."""

RESUME_INTERVAL = 0.1
"""Time between two looks for a group meanwhile (seconds)."""

CHARACTERS_PER_TOKEN = 4.0
"""Prompt characters counted as one token."""

LEAVING_REASONS = frozenset(('wrong_group', 'draining', 'empty', 'loading'))
"""Refusals that say the engine is not, or no longer, of the group."""


class Failure(enum.Enum):
    """How an attempt failed."""

    LEFT = 'left'
    OVERLOADED = 'overloaded'
    UNREACHABLE = 'unreachable'
    CUT = 'cut'
    SILENT = 'silent'
    BAD_ANSWER = 'bad_answer'

    @property
    def takes_group_down(self):
        """Whether it proves that the group can't serve."""
        return self in (Failure.LEFT, Failure.UNREACHABLE, Failure.CUT)


@dataclasses.dataclass(slots=True, frozen=True)
class EngineRates:
    """What the cost of a resumption is worked out from.

    Parameters
    ----------
    prefill_rate : float
        Tokens prefilled a second (1/s).
    cache_size : float
        KV cache of one token (bytes).
    transfer_rate : float
        Cache moved between two engines (bytes/s).
    transfer_delay : float
        Export and import beside the bytes (seconds).
    """

    prefill_rate: float = 4000.0
    cache_size: float = 160000.0
    transfer_rate: float = 1.5e9
    transfer_delay: float = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A group that may take the request.

    Parameters
    ----------
    group : balsamwind.objects.Group
        The group.
    wait : float
        Expected wait there until prefilling begins (seconds).
    """

    group: objects.Group
    wait: float


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """Where a request stands.

    Parameters
    ----------
    tokens : int
        Tokens that the caller has (count).
    prompt_tokens : float
        Estimated length of the prompt (count).
    failures : int
        Failed attempts in a row without a new token (count).
    resumptions : int
        Failed attempts in all (count).
    sent : bool
        Whether an engine may have begun on it.
    failure : Failure or None
        How the last attempt failed.
    time_left : float
        Until the caller's deadline (seconds).
    waited : float
        Since a group was first looked for in vain (seconds).
    """

    tokens: int
    prompt_tokens: float
    failures: int = 0
    resumptions: int = 0
    sent: bool = False
    failure: Failure | None = None
    time_left: float = 120.0
    waited: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Prefill:
    """Send prompt and tokens so far to a group, which prefills them."""

    group: objects.Group
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class Reattach:
    """Go on at the engine that still holds the request, by offset."""

    group: objects.Group
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class ImportCache:
    """Have a group import the KV cache that the old engine exports."""

    source: objects.Group
    group: objects.Group
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Look for a group again after some time (seconds)."""

    delay: float


@dataclasses.dataclass(slots=True, frozen=True)
class GiveUp:
    """Answer the caller with an error now.

    Parameters
    ----------
    error : type
        Class of the error.
    """

    error: type


def classify_failure(error):
    """How an attempt failed, from the error that ended it."""
    match error:
        case exceptions.BackendRefused(reason=reason):
            left = reason in LEAVING_REASONS or reason == 'broken'
            return Failure.LEFT if left else Failure.OVERLOADED
        case exceptions.AnswerTimeout():
            return Failure.SILENT
        case exceptions.BadAnswer():
            return Failure.BAD_ANSWER
        case exceptions.TransportError(sent=False):
            return Failure.UNREACHABLE
    return Failure.CUT


def plan_attempt(progress, target, source, can_export, rates):
    """Decide on the next attempt of a request.

    Parameters
    ----------
    progress : Progress
        Where the request stands.
    target : Candidate or None
        Best group beside `source`.
    source : Candidate or None
        Group of the last attempt, if its engine still answers.
    can_export : bool
        Whether the cache at `source` may be asked for.
    rates : EngineRates
        What the costs are worked out from.

    Returns
    -------
    Prefill, Reattach, ImportCache, Wait or GiveUp

    Notes
    -----
    The cheapest way that fits into the time left is taken; the cost of a
    way is the expected time until the next token.
    """
    if progress.time_left <= 0 or _used_up(progress):
        return GiveUp(choose_error(progress))
    ways = _make_ways(progress, target, source, can_export, rates)
    if not ways:
        if progress.sent and progress.waited < RESUME_WAIT:
            return Wait(min(RESUME_INTERVAL, progress.time_left))
        return GiveUp(choose_error(progress))
    best = min(ways, key=lambda way: way.cost)
    if progress.tokens and best.cost > progress.time_left:
        return GiveUp(exceptions.DeadlineExceeded)
    return best


def _used_up(progress):
    return (
        progress.failures >= MAX_FAILURES
        or progress.resumptions >= MAX_RESUMPTIONS
    )


def _make_ways(progress, target, source, can_export, rates):
    length = progress.prompt_tokens + progress.tokens
    prefill = length / rates.prefill_rate
    ways = []
    if source is not None and _may_reattach(progress):
        cost = source.wait if progress.tokens else source.wait + prefill
        ways.append(Reattach(source.group, cost))
    if target is None:
        return ways
    ways.append(Prefill(target.group, target.wait + prefill))
    if source is not None and can_export and progress.tokens:
        transfer = length * rates.cache_size / rates.transfer_rate
        cost = target.wait + transfer + rates.transfer_delay
        ways.append(ImportCache(source.group, target.group, cost))
    return ways


def _may_reattach(progress):
    """Whether the same engine is worth another attempt.

    Only the first failure without a new token may go back, and not to an
    engine that said it left or that went silent.
    """
    if progress.failures > 1:
        return False
    return progress.failure in (Failure.CUT, Failure.BAD_ANSWER)


def choose_error(progress):
    """Class of the error for a caller whose request is given up."""
    if progress.time_left <= 0:
        if progress.sent:
            return exceptions.DeadlineExceeded
        return exceptions.Overloaded
    if progress.tokens:
        return exceptions.StreamBroken
    if progress.sent:
        return exceptions.OutcomeUnknown
    if progress.failure is Failure.OVERLOADED:
        return exceptions.Overloaded
    return exceptions.NoCapacity
