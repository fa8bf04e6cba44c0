"""Exceptions of the package, with their codes and request outcomes.

Each exception class has an error code, an HTTP status and an attribute `run`,
which states whether the request took effect at a backend server.
"""

NOT_RUN = 'not_run'
"""No byte of the request can have reached a backend server."""

OUTCOME_UNKNOWN = 'outcome_unknown'
"""The request may have taken effect."""

RUN = 'run'
"""The request took effect, completely or partially."""


class BalsamwindError(Exception):
    """Base class of all exceptions of this package.

    Parameters
    ----------
    message : str
        Description of the error: the value, where it was found and what is
        allowed there. The error code is used if it is empty.
    retry_after : float or None
        Time after which the caller may retry (seconds), or None if that is
        not known.

    Attributes
    ----------
    code : str
        Error code sent to the caller.
    status : int
        HTTP status sent to the caller.
    run : str
        Outcome of the request: `NOT_RUN`, `OUTCOME_UNKNOWN` or `RUN`.
    """

    code = 'internal_error'
    status = 500
    run = OUTCOME_UNKNOWN

    def __init__(self, message='', retry_after=None):
        super().__init__(message or self.code)
        self.message = message or self.code
        self.retry_after = retry_after


class RequestNotRun(BalsamwindError):
    """The request was rejected before it was sent to a backend server."""

    code = 'not_run'
    status = 503
    run = NOT_RUN


class BadRequest(RequestNotRun):
    """The caller's request is malformed."""

    code = 'bad_request'
    status = 400


class NoSuchPath(RequestNotRun):
    """The request path is not part of the API for callers."""

    code = 'no_such_path'
    status = 404


class BodyTooLarge(RequestNotRun):
    """The request body is larger than the limit."""

    code = 'body_too_large'
    status = 413


class BodyTimeout(RequestNotRun):
    """The body of a request does not come on."""

    code = 'body_timeout'
    status = 408


class NoMemory(RequestNotRun):
    """The process has no room for the body of a request."""

    code = 'no_memory'
    status = 503


class InvalidApiKey(RequestNotRun):
    """The API key does not belong to any contract."""

    code = 'bad_key'
    status = 401


class ContractNotInForce(RequestNotRun):
    """The customer's contract is not in force at the moment."""

    code = 'contract_not_in_force'
    status = 403


class UnknownModel(RequestNotRun):
    """The contract does not include the model."""

    code = 'unknown_model'
    status = 404


class UnknownService(RequestNotRun):
    """The contract or the settings do not include the service."""

    code = 'unknown_service'
    status = 404


class LimitReached(RequestNotRun):
    """A limit of the contract is exhausted, such as requests per second."""

    code = 'limit_reached'
    status = 429


class Overloaded(RequestNotRun):
    """The request could not be started before its deadline."""

    code = 'overloaded'
    status = 503


class NoCapacity(RequestNotRun):
    """No complete replica group serves the model at the moment."""

    code = 'no_capacity'
    status = 503


class PromptQuarantined(RequestNotRun):
    """A part of the prompt has crashed the engines that answered it."""

    code = 'prompt_quarantined'
    status = 503


class RequestQuarantined(RequestNotRun):
    """The servers that ran this request before have crashed."""

    code = 'request_quarantined'
    status = 503


class Draining(RequestNotRun):
    """The entry is draining before it shuts down."""

    code = 'draining'
    status = 503


class StoreUnavailable(RequestNotRun):
    """The call was not sent because it could not be recorded in the store."""

    code = 'store_unavailable'
    status = 503


class KeyReused(RequestNotRun):
    """The idempotency key was already used for a different request."""

    code = 'idempotency_key_reused'
    status = 422


class NotConfigured(RequestNotRun):
    """The node has not received a configuration yet."""

    code = 'not_configured'
    status = 503


class KeysUnproved(RequestNotRun):
    """API keys may be out of date.

    The node has not confirmed recently enough that its configuration is the
    newest, so a key that it knows may have been revoked since.
    """

    code = 'keys_unproved'
    status = 503


class HeadersTooLarge(RequestNotRun):
    """The request headers are larger than the limit."""

    code = 'headers_too_large'
    status = 431


class OutcomeUnknown(BalsamwindError):
    """The request was sent and no response was received."""

    code = 'outcome_unknown'
    status = 504
    run = OUTCOME_UNKNOWN


class AnswerNotKept(BalsamwindError):
    """The call was already run, but its response was too large to keep."""

    code = 'answer_not_kept'
    status = 409
    run = RUN


class AnswerTooLarge(BalsamwindError):
    """The response of the backend server is larger than the limit."""

    code = 'answer_too_large'
    status = 502
    run = RUN


class StreamBroken(BalsamwindError):
    """The response stream was interrupted and could not be resumed."""

    code = 'stream_broken'
    status = 502
    run = RUN


class DeadlineExceeded(BalsamwindError):
    """The deadline expired after the request was sent."""

    code = 'deadline_exceeded'
    status = 504
    run = OUTCOME_UNKNOWN


class TransportError(BalsamwindError):
    """A connection to a backend server, a peer or the platform failed.

    Parameters
    ----------
    message : str
        Operation that failed and the address of the remote end.
    sent : bool
        Whether any byte of the request may have been sent.
    """

    code = 'transport_error'
    status = 502

    def __init__(self, message='', sent=True):
        super().__init__(message)
        self.sent = sent

    @property
    def run(self):
        """Outcome of the request: `OUTCOME_UNKNOWN` or `NOT_RUN`."""
        return OUTCOME_UNKNOWN if self.sent else NOT_RUN


class ConnectionRefused(TransportError):
    """Nothing listens at the address, as after a crash of the server."""


class ConnectionClosed(TransportError):
    """The remote end closed a connection; all that it had sent was read."""


class SendPrevented(TransportError):
    """The check right before the send failed; nothing was sent."""

    def __init__(self, message=''):
        super().__init__(message, sent=False)


class DeadlinePassed(SendPrevented):
    """The deadline passed before anything was sent."""


class SendForbidden(SendPrevented):
    """A rule forbade the server right before anything was sent."""


class ChoiceExpired(SendPrevented):
    """The backend was chosen too long ago for what it may be sent now."""


class PeerUnavailable(TransportError):
    """Another node did not carry an attempt, or broke it off.

    Parameters
    ----------
    message : str
        Description of the error.
    sent : bool
        Whether the attempt may have been sent to the server.
    cause : balsamwind.relay.CarryFailure or None
        Why the node carries nothing; None if it did not say.
    """

    code = 'peer_unavailable'

    def __init__(self, message='', sent=True, cause=None):
        super().__init__(message, sent)
        self.cause = cause


class AnswerTimeout(TransportError):
    """A backend server did not answer in time on an open connection."""

    code = 'answer_timeout'
    status = 504


class BadAnswer(TransportError):
    """A response is malformed or does not match the request."""

    code = 'bad_answer'


class EmptyContinuation(BadAnswer):
    """A stream that was resumed has no further event."""


class BackendRefused(BalsamwindError):
    """A backend server reports that it did not run the request.

    Parameters
    ----------
    message : str
        Description of the error.
    reason : str
        Reason that the backend server gave, such as ``overloaded``; empty if
        it gave none.
    retry_after : float or None
        Time after which the request may be retried (seconds), or None if
        that is not known.
    """

    code = 'backend_refused'
    status = 503
    run = NOT_RUN

    def __init__(self, message='', reason='', retry_after=None):
        super().__init__(message, retry_after)
        self.reason = reason

    @property
    def overloaded(self):
        """Whether the server is overloaded; a retry would add to its load."""
        return self.reason == 'overloaded'


class Conflict(BalsamwindError):
    """A conditional update failed: the object has a different revision.

    Parameters
    ----------
    message : str
        Description of the update, with the expected revision.
    current : balsamwind.objects.ObjectVersion or None
        Current version of the object in the store, or None if it is not
        known.
    """

    code = 'conflict'
    status = 409
    run = NOT_RUN

    def __init__(self, message='', current=None):
        super().__init__(message)
        self.current = current


class StoreError(BalsamwindError):
    """The object API failed; a write may or may not have taken effect."""

    code = 'store_error'
    status = 503


class MalformedValue(BalsamwindError, ValueError):
    """A value that another program has written can't be used."""

    code = 'malformed_value'
    status = 502
    run = NOT_RUN


class HistoryGone(BalsamwindError):
    """The object API no longer has the history that a watch starts from."""

    code = 'history_gone'
    status = 410


class InvalidInput(BalsamwindError):
    """A file or an object failed validation.

    Parameters
    ----------
    findings : list of balsamwind.settings.Finding
        All validation errors, each with its location.
    """

    code = 'invalid_input'
    status = 400
    run = NOT_RUN

    def __init__(self, findings):
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings
