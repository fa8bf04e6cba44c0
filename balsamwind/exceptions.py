"""Errors with codes, and what they say about the request.

Every error that can reach a caller has a code, an HTTP status and a `run`
field: whether the request took effect at a backend server.
"""

NOT_RUN = 'not_run'
"""No byte of the request can have reached a backend server."""

OUTCOME_UNKNOWN = 'outcome_unknown'
"""The request may have taken effect."""

RUN = 'run'
"""The request took effect, in whole or in part."""


class BalsamwindError(Exception):
    """Base of all errors.

    Parameters
    ----------
    message : str
        What was got, what is allowed, and where.
    retry_after : float or None
        When to come back (seconds), if that is known.
    """

    code = 'internal_error'
    status = 500
    run = OUTCOME_UNKNOWN

    def __init__(self, message='', retry_after=None):
        super().__init__(message or self.code)
        self.message = message or self.code
        self.retry_after = retry_after


class RequestNotRun(BalsamwindError):
    """The request was rejected before it was sent anywhere."""

    code = 'not_run'
    status = 503
    run = NOT_RUN


class BadRequest(RequestNotRun):
    """The caller's request is malformed."""

    code = 'bad_request'
    status = 400


class NoSuchPath(RequestNotRun):
    """The path is not one that callers may use."""

    code = 'no_such_path'
    status = 404


class BodyTooLarge(RequestNotRun):
    """The caller's body is over the limit."""

    code = 'body_too_large'
    status = 413


class BadKey(RequestNotRun):
    """No contract holds the API key."""

    code = 'bad_key'
    status = 401


class ContractEnded(RequestNotRun):
    """The customer's contract is not in force now."""

    code = 'contract_not_in_force'
    status = 403


class UnknownModel(RequestNotRun):
    """The contract does not name the model."""

    code = 'unknown_model'
    status = 404


class UnknownService(RequestNotRun):
    """The contract or the settings do not name the service."""

    code = 'unknown_service'
    status = 404


class LimitReached(RequestNotRun):
    """A limit of the contract is used up."""

    code = 'limit_reached'
    status = 429


class Overloaded(RequestNotRun):
    """The request could not start before its deadline."""

    code = 'overloaded'
    status = 503


class NoCapacity(RequestNotRun):
    """No complete replica group serves the model now."""

    code = 'no_capacity'
    status = 503


class Draining(RequestNotRun):
    """This entry is shutting down."""

    code = 'draining'
    status = 503


class StoreUnavailable(RequestNotRun):
    """The call could not be recorded, so it was not sent."""

    code = 'store_unavailable'
    status = 503


class KeyReused(RequestNotRun):
    """The idempotency key was used with another request."""

    code = 'idempotency_key_reused'
    status = 422


class NotConfigured(RequestNotRun):
    """This node knows no configuration yet."""

    code = 'not_configured'
    status = 503


class KeysUnproved(RequestNotRun):
    """Keys may have been taken away since the last proof."""

    code = 'keys_unproved'
    status = 503


class HeadersTooLarge(RequestNotRun):
    """The caller's header block is over the limit."""

    code = 'headers_too_large'
    status = 431


class OutcomeUnknown(BalsamwindError):
    """The request was sent and no answer came."""

    code = 'outcome_unknown'
    status = 504
    run = OUTCOME_UNKNOWN


class AnswerNotKept(BalsamwindError):
    """The call was run before; its answer was too large to keep."""

    code = 'answer_not_kept'
    status = 409
    run = RUN


class AnswerTooLarge(BalsamwindError):
    """The backend server's answer is over the limit."""

    code = 'answer_too_large'
    status = 502
    run = RUN


class StreamBroken(BalsamwindError):
    """The answer broke off and could not be resumed."""

    code = 'stream_broken'
    status = 502
    run = RUN


class DeadlineExceeded(BalsamwindError):
    """The caller's deadline passed after the request was sent."""

    code = 'deadline_exceeded'
    status = 504
    run = OUTCOME_UNKNOWN


class TransportError(BalsamwindError):
    """A connection to a backend server, a peer or the platform failed.

    Parameters
    ----------
    message : str
        What failed, and at which address.
    sent : bool
        Whether a byte of the request may have left.
    """

    code = 'transport_error'
    status = 502

    def __init__(self, message='', sent=True):
        super().__init__(message)
        self.sent = sent

    @property
    def run(self):
        """Whether the request may have taken effect."""
        return OUTCOME_UNKNOWN if self.sent else NOT_RUN


class AnswerTimeout(TransportError):
    """A backend server was silent for too long; its connection holds."""

    code = 'answer_timeout'
    status = 504


class BadAnswer(TransportError):
    """An answer is malformed, or not the one that was expected."""

    code = 'bad_answer'


class BackendRefused(BalsamwindError):
    """A backend server itself says that it did not run the request."""

    code = 'backend_refused'
    status = 503
    run = NOT_RUN

    def __init__(self, message='', reason='', retry_after=None):
        super().__init__(message, retry_after)
        self.reason = reason

    @property
    def overloaded(self):
        """Whether another try would only add to the load."""
        return self.reason == 'overloaded'


class Conflict(BalsamwindError):
    """A conditional update lost: the object has another version.

    Parameters
    ----------
    message : str
        What was expected.
    current : balsamwind.objects.Stored or None
        The object as the store holds it.
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


class HistoryGone(BalsamwindError):
    """The object API no longer holds the revision a watch asked for."""

    code = 'history_gone'
    status = 410


class InvalidInput(BalsamwindError):
    """A file or an object has findings.

    Parameters
    ----------
    findings : list of balsamwind.settings.Finding
        All that is wrong, each with its place.
    """

    code = 'invalid_input'
    status = 400
    run = NOT_RUN

    def __init__(self, findings):
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings
