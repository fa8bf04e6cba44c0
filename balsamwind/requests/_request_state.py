"""State of one completion request, and the choice of its next step."""

from balsamwind import exceptions
from balsamwind.requests import _resume

RETRY_AFTER = 2.0
"""Delay that a caller is told to wait before a retry (seconds).

Used if the last error carries no delay of its own.
"""


def plan_next_step(state, serving_groups, router, rates, now):
    """Find the candidate groups of a request and choose its next step.

    Parameters
    ----------
    state : RequestState
        State of the request.
    serving_groups : sequence of balsamwind.objects.Group
        Groups that serve the model of the request.
    router : balsamwind.routing.Router
        Chooses among the groups and estimates their waits.
    rates : ResumeCostParameters
        Parameters of the cost estimates.
    now : float
        Current monotonic time (seconds).

    Returns
    -------
    Prefill, Reattach, ImportCache, Wait or GiveUp
    """
    choice = router.choose(
        serving_groups, state.blocks, now, state.attempted_groups
    )
    target = choice and _resume.Candidate(choice.group, choice.wait)
    source = None
    may_export = state.may_export
    if state.source_group is not None and state.failure is not None:
        # An engine that no longer serves the group may still export.
        if may_export or state.source_group in serving_groups:
            wait = router.estimate_wait(state.source_group, (), now)
            source = _resume.Candidate(state.source_group, wait)
    can_export = source is not None and may_export
    return _resume.choose_next_step(
        state.make_progress(now), target, source, can_export, rates
    )


class RequestState:
    """State of one completion request over all its attempts.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    blocks : tuple of int
        Hashes of the leading blocks of the prompt.

    Attributes
    ----------
    attempted_groups : list of str
        Names of the groups of all attempts, in order.
    cache_transfer_failed : bool
        Whether a KV cache export or import failed since the last token.
    failure : FailureKind or None
        Kind of the last failure; None if no attempt has failed.
    failures : int
        Consecutive failed attempts without a new token (count).
    last_error : Exception or None
        Error of the last failed attempt.
    delivered_tokens : list of str
        Tokens that were sent to the caller.
    sent : bool
        Whether an engine may have started to run the request.
    source_group : balsamwind.objects.Group or None
        Group that sent the last token.
    total_failures : int
        Failed attempts since the request arrived (count).
    waiting_since : float or None
        Monotonic time of the first check that found no serving group
        (seconds); None while the request is not waiting for a group.
    """

    __slots__ = (
        'attempted_groups',
        'blocks',
        'cache_transfer_failed',
        'delivered_tokens',
        'failure',
        'failures',
        'last_error',
        'request',
        'sent',
        'source_group',
        'total_failures',
        'waiting_since',
    )

    def __init__(self, request, blocks):
        self.request = request
        self.blocks = blocks
        self.delivered_tokens = []
        self.attempted_groups = []
        self.source_group = None
        self.sent = False
        self.last_error = None
        self.failure = None
        self.failures = 0
        self.total_failures = 0
        self.waiting_since = None
        self.cache_transfer_failed = False

    @property
    def may_export(self):
        """bool : Whether the source engine may still export the KV cache."""
        if self.cache_transfer_failed or not self.delivered_tokens:
            return False
        return self.failure in (
            _resume.FailureKind.NOT_SERVING,
            _resume.FailureKind.TIMED_OUT,
            _resume.FailureKind.BAD_ANSWER,
        )

    def record_attempt(self, group):
        """Record the start of an attempt.

        Parameters
        ----------
        group : str
            Name of the group that runs the attempt.

        Returns
        -------
        int
            Number of the attempt, from 1.
        """
        self.attempted_groups.append(group)
        return len(self.attempted_groups)

    def record_tokens(self, tokens, group):
        """Record tokens that are sent to the caller.

        Parameters
        ----------
        tokens : list of str
            New tokens of the answer.
        group : balsamwind.objects.Group
            Group that generated them.
        """
        self.delivered_tokens.extend(tokens)
        self.source_group = group
        self.sent = True
        self.failures = 0
        self.cache_transfer_failed = False

    def record_failure(self, error):
        """Record the failure of an attempt.

        Parameters
        ----------
        error : Exception
            Error that ended the attempt.
        """
        self.last_error = error
        self.failure = _resume.classify_failure(error)
        self.failures += 1
        self.total_failures += 1
        if isinstance(error, exceptions.TransportError) and error.sent:
            self.sent = True

    def start_waiting(self, now):
        """Record that no group serves; keeps the start of a running wait.

        Parameters
        ----------
        now : float
            Current monotonic time (seconds).
        """
        if self.waiting_since is None:
            self.waiting_since = now

    def make_progress(self, now):
        """Summarise the state for the choice of the next step.

        Parameters
        ----------
        now : float
            Current monotonic time (seconds).

        Returns
        -------
        Progress
        """
        group_wait = 0.0
        if self.waiting_since is not None:
            group_wait = now - self.waiting_since
        return _resume.Progress(
            tokens=len(self.delivered_tokens),
            prompt_tokens=(
                len(self.request.prompt) / _resume.CHARACTERS_PER_TOKEN
            ),
            failures=self.failures,
            total_failures=self.total_failures,
            sent=self.sent,
            failure=self.failure,
            time_left=self.request.deadline - now,
            group_wait=group_wait,
        )

    def make_error(self, error_class):
        """Make the error that ends the request.

        Parameters
        ----------
        error_class : type
            Class of the error, as :class:`GiveUp` names it.

        Returns
        -------
        balsamwind.exceptions.BalsamwindError
            Carries a retry delay only if the request was not run. If the
            caller has received tokens, the error says that the request
            took effect.
        """
        if self.last_error is None:
            message = (
                f'no replica group currently serves model {self.request.model}'
            )
        else:
            message = (
                f'request failed after {len(self.attempted_groups)} attempts; '
                f'last error: {self.last_error}'
            )
        retry_after = (
            getattr(self.last_error, 'retry_after', None) or RETRY_AFTER
        )
        if not issubclass(error_class, exceptions.RequestNotRun):
            retry_after = None
        error = error_class(message, retry_after)
        if self.delivered_tokens:
            error.run = exceptions.RUN
        return error
