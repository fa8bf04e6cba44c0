"""Where one request stands, and what its next attempt is."""

from balsamwind import exceptions
from balsamwind.requests import _resume

RETRY_AFTER = 2.0
"""When a caller may come back if no group serves (seconds)."""


def plan_next(run, serving, router, rates, now):
    """Decide on the next attempt of a request.

    Parameters
    ----------
    run : Run
        Where the request stands.
    serving : sequence of balsamwind.objects.Group
        Groups that may serve it.
    router : balsamwind.routing.Router
        Choice among them.
    rates : EngineRates
        What the costs are worked out from.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    Prefill, Reattach, ImportCache, Wait or GiveUp
    """
    choice = router.choose(serving, run.blocks, now, run.tried)
    target = choice and _resume.Candidate(choice.group, choice.wait)
    source = None
    may_export = run.may_export
    if run.source is not None and run.failure is not None:
        if may_export or run.source in serving:
            wait = router.expected_wait(run.source, (), now)
            source = _resume.Candidate(run.source, wait)
    can_export = source is not None and may_export
    return _resume.plan_attempt(
        run.progress(now), target, source, can_export, rates
    )


class Run:
    """Where one request stands.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    blocks : tuple of int
        Hashes of the prompt's leading blocks.
    """

    __slots__ = (
        'blocks',
        'cache_lost',
        'error',
        'failure',
        'failures',
        'received',
        'request',
        'resumptions',
        'sent',
        'source',
        'tried',
        'waiting_since',
    )

    def __init__(self, request, blocks):
        self.request = request
        self.blocks = blocks
        self.received = []
        self.tried = []
        self.source = None
        self.sent = False
        self.error = None
        self.failure = None
        self.failures = 0
        self.resumptions = 0
        self.waiting_since = None
        self.cache_lost = False

    @property
    def may_export(self):
        """Whether the engine of the last tokens may still hold the cache."""
        if self.cache_lost or not self.received:
            return False
        return self.failure in (
            _resume.Failure.LEFT,
            _resume.Failure.SILENT,
            _resume.Failure.BAD_ANSWER,
        )

    def begin(self, group):
        """Note an attempt at `group`; its number."""
        self.tried.append(group)
        return len(self.tried)

    def take(self, tokens, group):
        """Note that the caller gets `tokens` of `group`."""
        self.received.extend(tokens)
        self.source = group
        self.sent = True
        self.failures = 0
        self.cache_lost = False

    def fail(self, error):
        """Note that an attempt ended with `error`."""
        self.error = error
        self.failure = _resume.classify_failure(error)
        self.failures += 1
        self.resumptions += 1
        if isinstance(error, exceptions.TransportError) and error.sent:
            self.sent = True

    def start_waiting(self, now):
        """Note that no group serves."""
        if self.waiting_since is None:
            self.waiting_since = now

    def progress(self, now):
        """What the decision on the next attempt needs."""
        waited = 0.0
        if self.waiting_since is not None:
            waited = now - self.waiting_since
        return _resume.Progress(
            tokens=len(self.received),
            prompt_tokens=(
                len(self.request.prompt) / _resume.CHARACTERS_PER_TOKEN
            ),
            failures=self.failures,
            resumptions=self.resumptions,
            sent=self.sent,
            failure=self.failure,
            time_left=self.request.deadline - now,
            waited=waited,
        )

    def make_error(self, cls):
        """Error of class `cls` for the caller."""
        if self.error is None:
            message = f'no replica group serves {self.request.model} now'
        else:
            message = f'gave up after {len(self.tried)} tries: {self.error}'
        retry_after = getattr(self.error, 'retry_after', None) or RETRY_AFTER
        if not issubclass(cls, exceptions.RequestNotRun):
            retry_after = None
        error = cls(message, retry_after)
        if self.received:
            error.run = exceptions.RUN
        return error
