"""Admission of requests, and their way to a final answer."""

import asyncio
import dataclasses
import random

from balsamwind import exceptions
from balsamwind.relay import _exchange
from balsamwind.relay import _model_demand
from balsamwind.relay import _retry_budget

ANSWER_GRACE = 0.1
"""Time that a backend server's own answer may come after the deadline
(seconds)."""

NODES_ASSUMED = 100
"""Nodes over which the fixed part of the resend budget is split until their
number is known (count)."""

SPARE_NODES = 4
"""Nodes that may start before the next count (count)."""

RETRY_AFTER = 0.1
"""When to come back after a rejection that names no time (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """A caller's request, read as a whole.

    Parameters
    ----------
    method, target, host : str
        Method, path with query, and host as they came.
    headers : tornado.httputil.HTTPHeaders
        Headers.
    body : bytes
        Body.
    received_at : float
        When its header block had come (seconds, boot time).
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
    """Request path of a node.

    Parameters
    ----------
    data_centre : str
        Where the node is.
    bounds : balsamwind.node.Bounds
        Promised figures.
    book : balsamwind.traffic.ConfigurationBook
        Configuration in force.
    places : PlaceBook
        Places where requests can run.
    client : balsamwind.adapters.HttpClient
        Connections to backend servers.
    codec : object
        Translates headers.
    clock : balsamwind.ports.Clock
        Boot time.
    journal : balsamwind.node.Journal
        Log of decisions, and counters.
    random_state : int or None
        Seed.
    """

    def __init__(
        self,
        data_centre,
        bounds,
        book,
        places,
        client,
        codec,
        clock,
        journal,
        random_state=None,
    ):
        self.data_centre = data_centre
        self.book = book
        self.places = places
        self.client = client
        self.codec = codec
        self.clock = clock
        self.journal = journal
        self.rng = random.Random(random_state)
        self._bounds = bounds
        self._budgets = {}
        self._nodes = NODES_ASSUMED
        self.demand = _model_demand.DemandMeter()
        self.open_requests = 0
        self.seen_requests = 0

    def set_bounds(self, bounds):
        """Take other promised figures."""
        self._bounds = bounds
        self._budgets.clear()

    def set_node_count(self, count):
        """Split the fixed part of the resend budget over `count` nodes."""
        self._nodes = count + SPARE_NODES
        for budget in self._budgets.values():
            budget.fixed_allowance = self._bounds.retry_extra / self._nodes

    def budget(self, service):
        """Resend budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = _retry_budget.RetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_window,
                self._bounds.retry_extra / self._nodes,
            )
        return budget

    async def run(self, request, responder):
        """Bring a request to its final answer.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        responder : balsamwind.adapters.Responder
            Takes the answer.
        """
        self.open_requests += 1
        self.seen_requests += 1
        terms = self.codec.decode_request(request.headers)
        try:
            await self._serve(request, terms, responder)
        except exceptions.BalsamwindError as error:
            self._fail(request, terms, responder, error)
        except asyncio.CancelledError:
            self.journal.note_request(request, terms, 'caller_gone')
            raise
        except Exception as error:
            self.journal.log.exception('request_crashed', id=terms.request_id)
            responder.fail(exceptions.BalsamwindError(repr(error)))
        finally:
            self.open_requests -= 1

    def _fail(self, request, terms, responder, error):
        self.journal.note_request(request, terms, error.code, str(error))
        if error.run == exceptions.NOT_RUN and error.retry_after is None:
            error.retry_after = RETRY_AFTER
        responder.fail(error)

    async def _serve(self, request, terms, responder):
        route = self.book.find_route(request.host, request.path)
        account = self.book.authenticate(
            route, terms.key, self.clock.monotonic()
        )
        service = self._choose_service(route)
        limit = route.timeout
        if terms.time_budget is not None:
            limit = min(limit, terms.time_budget)
        exchange = _exchange.Exchange(
            self, request, terms, responder, route, service, account, limit
        )
        self._count(service, terms)
        left = request.received_at + limit - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left) + ANSWER_GRACE):
                await exchange.run()
        except TimeoutError:
            raise exchange.make_timeout() from None
        self.journal.note_request(request, terms, 'ok')

    def _count(self, service, terms):
        now = self.clock.monotonic()
        self.budget(service.name).record_request(now)
        if service.engine is None:
            return
        output = terms.expected_output or _exchange.TOKENS_GUESS
        seconds = _model_demand.predict_service_time(
            service.engine, terms.model, terms.prompt_tokens, output
        )
        self.demand.record_arrival(terms.model, seconds, now)

    def _choose_service(self, route):
        targets = route.targets
        weights = [target.weight for target in targets]
        if len(targets) > 1 and sum(weights) > 0:
            name = self.rng.choices(targets, weights)[0].service
        else:
            name = targets[0].service
        service = self.book.find_service(name)
        if service is None:
            raise exceptions.NoCapacity(f'{name}: no such service')
        return service
