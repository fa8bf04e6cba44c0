"""Entry point of the request path: routing, then forwarding of a request."""

import asyncio
import contextlib
import dataclasses
import math
import random

from balsamwind import admission
from balsamwind import exceptions
from balsamwind.relay import _attempt_sender
from balsamwind.relay import _backend_selection
from balsamwind.relay import _crash_quarantine
from balsamwind.relay import _crash_reporter
from balsamwind.relay import _forwarded_request
from balsamwind.relay import _forwarder
from balsamwind.relay import _model_demand
from balsamwind.relay import _paths
from balsamwind.relay import _placement
from balsamwind.relay import _refusals
from balsamwind.relay import _retry_budget
from balsamwind.relay import _server_statements
from balsamwind.relay import _start_wait
from balsamwind.relay import _waiting_room
from balsamwind import traffic

RESPONSE_GRACE = 0.1
"""Time after the deadline in which the response of a backend server is still
accepted (seconds)."""

DEFAULT_NODE_COUNT = 100
"""Nodes among which the fixed part of the retry budget is divided until their
number is known (count)."""

NODE_COUNT_MARGIN = 4
"""Nodes that may start before the number of nodes is updated again
(count)."""

DEFAULT_HELD_BYTES = 256 << 20
"""Bytes of bodies that a process holds unless its memory is stated."""

DEFAULT_RETRY_AFTER = 0.1
"""Retry delay for callers after a rejection that states none (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """Request of a caller, received completely.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path with the query, as received.
    host : str
        Value of the ``Host`` header, as received.
    headers : tornado.httputil.HTTPHeaders
        All headers.
    body : bytes
        Body; empty if none.
    received_at : float
        When the header block was complete (seconds, boot clock).
    """

    method: str
    target: str
    host: str
    headers: object
    body: bytes
    received_at: float

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition('?')[0]


class Relay:
    """Request path of a node: forwards requests and relays the responses.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    bounds : balsamwind.node.Bounds
        Limits of the deployment; those of the retry budget are used.
    configuration : balsamwind.traffic.ConfigurationCache
        Holder of the configuration in force.
    backends : BackendTable
        Backends of all services.
    client : balsamwind.adapters.HttpClient
        Client with the connections to backend servers.
    header_codec : object
        Translates between the headers of the platform and `RequestMetadata`,
        `ForwardedMetadata` and `ResponseMetadata`.
    clock : balsamwind.ports.Clock
        Source of the time (boot clock).
    request_log : balsamwind.node.RequestLog
        Log and metrics of requests and attempts.
    random_state : int or None
        Seed for the choice of services and backends.

    Attributes
    ----------
    predecessor_until : float
        Time until which another process may have been this node (seconds,
        boot clock), see `RetryBudget`.
    demand_meter : DemandMeter
        Work that callers request of each model.
    placement : object
        Places requests for this node, see `NoPlacementService`.
    server_statements : ServerStatements
        What backend servers say of themselves in their answers.
    waiting_room : WaitingRoom
        Where the requests wait that this node places, of all nodes.
    paths : PathTable
        Whether this node itself reaches the servers of each service.
    peers : object
        Sends attempts through other nodes, see `NoPeerService`.
    settle_path : callable
        Coroutine function that takes the name of a service, waits until its
        path is not in doubt, and returns whether it is open.
    crash_quarantine : CrashQuarantine
        Prompt parts and requests that are not sent to servers.
    crash_reporter : CrashReporter
        Tells the quarantine of engines that crashed.
    start_wait : StartWait
        Wait of requests for what a node must know to serve them.
    is_starting : callable
        Returns whether this node does not know it yet.
    homes : balsamwind.traffic.Homes
        Data centres in which requests may run.
    held_bytes : balsamwind.admission.HeldBytes
        Account of the bodies that this process holds.
    refuses_new : bool
        Whether requests that arrive are refused, as this node stops.
    open_requests : int
        Requests that have no final response yet (count).
    requests_received : int
        Requests received since the start (count).
    """

    def __init__(
        self,
        data_centre,
        bounds,
        configuration,
        backends,
        client,
        header_codec,
        clock,
        request_log,
        random_state=None,
    ):
        self.data_centre = data_centre
        self.configuration = configuration
        self.backends = backends
        self.client = client
        self.header_codec = header_codec
        self.clock = clock
        self.request_log = request_log
        self.rng = random.Random(random_state)
        self._bounds = bounds
        self._retry_budgets = {}
        self._node_count = DEFAULT_NODE_COUNT
        self.predecessor_until = -math.inf
        self.demand_meter = _model_demand.DemandMeter()
        self.placement = _placement.NoPlacementService()
        self.server_statements = _server_statements.ServerStatements(
            request_log
        )
        self.waiting_room = _waiting_room.WaitingRoom(
            backends,
            data_centre,
            self.rng,
            self.server_statements.limits,
            self.server_statements.rules,
            clock,
        )
        self.waiting_room.on_rejection = request_log.record_rejection
        self.paths = _paths.PathTable()
        self.peers = _attempt_sender.NoPeerService()
        self.settle_path = self._find_path
        self.crash_quarantine = _crash_quarantine.CrashQuarantine(data_centre)
        self.crash_quarantine.on_change = request_log.record_quarantine
        self.crash_reporter = _crash_reporter.CrashReporter(
            self.crash_quarantine,
            client,
            clock,
            request_log.log,
            self._judge_refusal,
        )
        self.crash_reporter.on_verdict = request_log.record_server_end
        self.start_wait = _start_wait.StartWait(clock, request_log.log)
        self.is_starting = self._lacks_configuration
        self.homes = traffic.Homes({})
        self.held_bytes = admission.HeldBytes(DEFAULT_HELD_BYTES)
        self.refuses_new = False
        self.open_requests = 0
        self.requests_received = 0
        self._timeouts = set()
        self._is_ending = False

    def _lacks_configuration(self):
        """Stand in where entries of servers are not awaited."""
        return self.configuration.configuration is None

    async def _find_path(self, service):
        """Stand in where no path is probed."""
        return self.paths.is_open(service)

    async def _judge_refusal(self, record):
        """Find whether a server refuses connections of all nodes.

        Returns
        -------
        EndVerdict
        """
        is_path_open = await self.settle_path(record.service)
        if is_path_open:
            opinions = [await self.peers.ask(record, wants_report=False)]
        else:
            opinions = await self.peers.find_refusals(
                record, _refusals.MAX_WITNESSES
            )
        return _refusals.judge_refusal(is_path_open, opinions)

    def set_bounds(self, bounds):
        """Replace the limits, also of the retry budgets in use.

        Parameters
        ----------
        bounds : balsamwind.node.Bounds
            New limits.
        """
        self._bounds = bounds
        for budget in self._retry_budgets.values():
            budget.ratio = bounds.retry_ratio
            budget.window = bounds.retry_window
            budget.fixed_allowance = bounds.retry_extra / self._node_count

    def set_node_count(self, count):
        """Divide the fixed part of the retry budget among the nodes.

        Parameters
        ----------
        count : int
            Nodes that are known now (count).
        """
        self._node_count = count + NODE_COUNT_MARGIN
        for budget in self._retry_budgets.values():
            budget.fixed_allowance = (
                self._bounds.retry_extra / self._node_count
            )

    def get_retry_budget(self, service):
        """Return the retry budget of a service; create it on first use.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        RetryBudget
        """
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = _retry_budget.RetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_window,
                self._bounds.retry_extra / self._node_count,
                self.predecessor_until,
            )
        return budget

    def open_placement_session(self):
        """Open a session in which this node places another one's requests.

        Returns
        -------
        PlacementSession
        """
        return _placement.PlacementSession(
            self.backends,
            self.data_centre,
            self.rng,
            self.server_statements.limits,
            self.server_statements.rules,
            self.waiting_room,
        )

    async def run(self, request, responder):
        """Process a request until the caller has its final response.

        Parameters
        ----------
        request : IncomingRequest
            Request of the caller.
        responder : balsamwind.adapters.Responder
            Writes the response to the caller.
        """
        self.open_requests += 1
        self.requests_received += 1
        metadata = self.header_codec.decode_request(request.headers)
        try:
            await self._forward(request, metadata, responder)
        except exceptions.BalsamwindError as error:
            self._fail(request, metadata, responder, error)
        except asyncio.CancelledError:
            self.request_log.record_request(request, metadata, 'caller_gone')
            raise
        except Exception as error:
            self.request_log.log.exception(
                'request_crashed', id=metadata.request_id
            )
            responder.fail(exceptions.BalsamwindError(repr(error)))
        finally:
            self.open_requests -= 1

    def _fail(self, request, metadata, responder, error):
        self.request_log.record_request(
            request, metadata, error.code, str(error)
        )
        if error.run == exceptions.NOT_RUN and error.retry_after is None:
            error.retry_after = DEFAULT_RETRY_AFTER
        responder.fail(error)

    def end_open_requests(self):
        """Give all open requests their final response, as this node ends.

        A response that has begun is cut. One that has not says whether the
        request may have run.
        """
        self._is_ending = True
        self.start_wait.end()
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    async def _forward(self, request, metadata, responder):
        if self.refuses_new:
            raise exceptions.Draining('this node stops', retry_after=0.0)
        if not self.start_wait.is_over and self.is_starting():
            await self.start_wait.wait(metadata.time_budget)
            if self._is_ending:
                raise exceptions.Draining('this node ended', retry_after=0.0)
        route = self.configuration.find_route(request.host, request.path)
        account = self.configuration.authenticate(
            route, metadata.api_key, self.clock.monotonic()
        )
        service = self._choose_service(route)
        timeout = route.timeout
        if metadata.time_budget is not None:
            timeout = min(timeout, metadata.time_budget)
        forwarded = _forwarded_request.ForwardedRequest(
            self,
            request,
            metadata,
            responder,
            route,
            service,
            account,
            timeout,
            self.homes.find(route, account),
            self.configuration.has_ranks(service.name),
        )
        forwarder = _forwarder.RequestForwarder(forwarded)
        self._record_arrival(service, metadata)
        try:
            async with self._limit_time(forwarded.time_left):
                await forwarder.run()
        except TimeoutError:
            raise forwarder.make_timeout_error(self._is_ending) from None
        self.request_log.record_request(request, metadata, 'ok')

    @contextlib.asynccontextmanager
    async def _limit_time(self, time_left):
        """End the block some time after the deadline, or with this node."""
        async with asyncio.timeout(
            max(0.0, time_left) + RESPONSE_GRACE
        ) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def _record_arrival(self, service, metadata):
        now = self.clock.monotonic()
        self.get_retry_budget(service.name).record_request(now)
        if service.engine is None:
            return
        output_tokens = (
            metadata.expected_output_tokens
            or _backend_selection.DEFAULT_OUTPUT_TOKENS
        )
        service_time = _model_demand.predict_service_time(
            service.engine,
            metadata.model,
            metadata.prompt_tokens,
            output_tokens,
        )
        self.demand_meter.record_arrival(metadata.model, service_time, now)

    def _choose_service(self, route):
        targets = route.targets
        weights = [target.weight for target in targets]
        if len(targets) > 1 and sum(weights) > 0:
            name = self.rng.choices(targets, weights)[0].service
        else:
            name = targets[0].service
        service = self.configuration.find_service(name)
        if service is None:
            raise exceptions.NoCapacity(
                f'service {name}, a target of the route, is not configured'
            )
        return service
