"""A request on its way to backends, as all of its attempts see it."""

from balsamwind.relay import _direct_path
from balsamwind.relay import _fingerprint
from balsamwind.relay import _header_filter
from balsamwind.relay import _request_terms


class ForwardedRequest:
    """A request, what was decided on it, and its deadline.

    Parameters
    ----------
    relay : Relay
        Request path of the node.
    request : IncomingRequest
        Request of the caller.
    metadata : RequestMetadata
        Decoded headers of the request.
    responder : balsamwind.adapters.Responder
        Writes the response to the caller.
    route : balsamwind.traffic.Route
        Route that matches the request.
    service : balsamwind.traffic.Service
        Service that the request is sent to.
    account : balsamwind.traffic.ClientAccount or None
        Client account of the caller; None if no API key is required.
    timeout : float
        Time from the arrival of the request to its deadline (seconds).
    data_centres : tuple of str or None
        Data centres in which the request may run; None for all.
    states_priority : bool
        Whether the rank of the request is stated to the engine.

    Attributes
    ----------
    account_name : str or None
        Name of the client account; None if no API key is required.
    terms : RequestTerms
        Terms on which the request competes with others.
    priority : int or None
        Scheduling priority for the engine, 0 to 9; None if not stated.
    headers : tuple of (str, str)
        Headers that are forwarded, without those that the sender adds.
    """

    __slots__ = (
        '_deadline',
        '_known_fingerprint',
        'account_name',
        'data_centres',
        'headers',
        'metadata',
        'priority',
        'relay',
        'request',
        'responder',
        'route',
        'service',
        'terms',
    )

    def __init__(
        self,
        relay,
        request,
        metadata,
        responder,
        route,
        service,
        account,
        timeout,
        data_centres=None,
        states_priority=False,
    ):
        self.relay = relay
        self.request = request
        self.metadata = metadata
        self.responder = responder
        self.route = route
        self.service = service
        self.account_name = None if account is None else account.name
        self.data_centres = data_centres
        self.terms = _request_terms.make_terms(
            route, account, service, request.received_at
        )
        self.priority = (
            _request_terms.make_priority(self.terms.rank)
            if states_priority
            else None
        )
        self.headers = tuple(
            _header_filter.filter_request_headers(
                request.headers,
                request.host,
                relay.header_codec.stripped_names,
            )
        )
        self._deadline = request.received_at + timeout
        self._known_fingerprint = None

    @property
    def time_left(self):
        """Time until the deadline; negative after it (seconds)."""
        return self._deadline - self.relay.clock.monotonic()

    def find_time_left(self):
        """Return `time_left`, for those who ask later."""
        return self.time_left

    def find_read_timeout(self):
        """Return the longest wait for more of an answer (seconds)."""
        return max(self.time_left, 0.0) + _direct_path.READ_MARGIN

    def make_fingerprint(self):
        """Make what identifies the request over its repeats, once."""
        if self._known_fingerprint is None:
            self._known_fingerprint = _fingerprint.make_fingerprint(
                self.request, self.account_name
            )
        return self._known_fingerprint

    def make_key(self):
        """Make the key of the request, see `RequestRequirements`."""
        return _request_terms.make_key(self.make_fingerprint())
