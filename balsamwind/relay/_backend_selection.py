"""Selection of the backend of one attempt."""

import asyncio
import contextlib
import dataclasses

from balsamwind import exceptions
from balsamwind.relay import _load_balancing
from balsamwind.relay import _placement
from balsamwind.relay import _request_terms
from balsamwind.relay import _waiting_room
from balsamwind import servers

DEFAULT_OUTPUT_TOKENS = 150
"""Expected length of an output if the caller gives no estimate (tokens)."""


class BackendSelector:
    """Reserves a backend for one attempt of a request.

    Parameters
    ----------
    relay : Relay
        Request path of the node.
    service : balsamwind.traffic.Service
        Service that the request is sent to.
    metadata : RequestMetadata
        Decoded headers of the request.
    find_time_left : callable
        Returns the time until the deadline of the request (seconds).
    terms : RequestTerms
        Terms on which the request competes with others.
    find_key : callable
        Returns the key of the request, see `RequestRequirements`.
    data_centres : tuple of str or None
        Data centres in which the request may run; None for all.
    tried : container of tuple
        Keys of the backends that earlier attempts used.
    may_wait : bool
        Whether the attempt may wait for room. Only the first one of a
        request may: others belong to requests that have begun, which do not
        wait behind new ones.

    Attributes
    ----------
    outcome : Outcome
        How the attempt ended, for a node that placed it.
    reported_load : ReportedLoad or None
        Load that the backend reported as it rejected the attempt.
    """

    __slots__ = (
        '_data_centres',
        '_find_key',
        '_chosen_at',
        '_find_time_left',
        '_has_waited',
        '_may_wait',
        '_metadata',
        '_placement_number',
        '_relay',
        '_service',
        '_terms',
        '_tried',
        '_wait_began_at',
        'outcome',
        'reported_load',
    )

    def __init__(
        self,
        relay,
        service,
        metadata,
        find_time_left,
        terms=_request_terms.RequestTerms(),
        find_key=str,
        data_centres=None,
        tried=(),
        may_wait=True,
    ):
        self._data_centres = data_centres
        self._tried = tried
        self._may_wait = may_wait and terms.objective_at is not None
        self._relay = relay
        self._service = service
        self._metadata = metadata
        self._find_time_left = find_time_left
        self._terms = terms
        self._find_key = find_key
        self._placement_number = None
        self._wait_began_at = None
        self._has_waited = False
        self._chosen_at = float('-inf')
        self.outcome = _placement.Outcome.REFUSED
        self.reported_load = None

    @contextlib.asynccontextmanager
    async def reserve(self):
        """Reserve the backend of the attempt until the block ends.

        Another node places the attempt if one does so for this node.
        Otherwise, and if that node names a backend that is not known here
        yet, this node chooses.

        Yields
        ------
        Backend

        Raises
        ------
        balsamwind.exceptions.NoCapacity
            No backend can serve the request in time.
        """
        self._chosen_at = self._relay.clock.monotonic()
        backend = await self._find_backend()
        try:
            yield backend
        finally:
            if self._placement_number is not None:
                self._relay.placement.end(
                    self._placement_number, self.outcome, self.reported_load
                )

    async def _find_backend(self):
        """Find the backend of an attempt, and record how long that took."""
        if not self._may_wait:
            return await self._find_placed_backend(0.0) or self._choose()
        self._wait_began_at = self._relay.clock.monotonic()
        outcome = 'caller_gone'
        try:
            max_wait = max(self._find_time_left(), 0.0)
            backend = await self._find_placed_backend(max_wait)
            if backend is None:
                backend = await self._wait_for_backend()
            outcome = 'started'
            return backend
        except exceptions.NoCapacity:
            outcome = 'rejected'
            raise
        finally:
            if self._has_waited:
                self._record_wait(outcome)

    def _record_wait(self, outcome):
        self._relay.request_log.record_wait(
            self._metadata.request_id,
            self._terms.rank,
            self._terms.account,
            self._find_waited(),
            outcome,
        )

    def _find_waited(self):
        return self._relay.clock.monotonic() - self._wait_began_at

    def _note_wait(self):
        self._has_waited = True

    def report_stall(self):
        """Tell the placing node of a stall, once for each."""
        if self.outcome is _placement.Outcome.STALLED:
            return
        self.outcome = _placement.Outcome.STALLED
        if self._placement_number is not None:
            self._relay.placement.report_stall(self._placement_number)

    def withdraw_stall(self, time_since_send):
        """Tell the placing node that a backend that stalled goes on.

        Parameters
        ----------
        time_since_send : float
            Time since the attempt was sent (seconds).
        """
        if self.outcome is not _placement.Outcome.STALLED:
            return
        self.outcome = _placement.Outcome.REFUSED
        self.report_progress(time_since_send, None)

    def report_progress(self, time_to_first_event, load):
        """Tell the placing node of the first event of the answer.

        Parameters
        ----------
        time_to_first_event : float
            Time from the send to the first event (seconds).
        load : ReportedLoad or None
            Load that the backend reported with the answer.
        """
        if self._placement_number is not None:
            self._relay.placement.report_progress(
                self._placement_number, time_to_first_event, load
            )

    def make_requirements(self):
        """Make the `RequestRequirements` of the attempt."""
        terms = self._terms
        return _load_balancing.RequestRequirements(
            model=self._metadata.model if self._service.engine else '',
            prompt_tokens=self._metadata.prompt_tokens,
            output_tokens=(
                self._metadata.expected_output_tokens or DEFAULT_OUTPUT_TOKENS
            ),
            time_left=self._find_time_left(),
            data_centres=self._data_centres,
            rank=terms.rank,
            account=terms.account,
            route=terms.route,
            latency_objective=terms.find_latency_objective(
                self._relay.clock.monotonic()
            ),
            key='' if terms.objective_at is None else self._find_key(),
        )

    def is_home(self, backend):
        """Tell whether the request may run at a backend.

        Parameters
        ----------
        backend : Backend
            The backend.

        Returns
        -------
        bool
        """
        return (
            self._data_centres is None
            or backend.record.data_centre in self._data_centres
        )

    def is_forbidden(self, backend):
        """Tell whether a backend gets no requests of this node now.

        Parameters
        ----------
        backend : Backend
            The backend.

        Returns
        -------
        bool
        """
        return self._relay.server_statements.forbids(
            backend.record, self._relay.clock.monotonic()
        )

    def find_send_delay(self, backend):
        """Find for how long the attempt may still be sent.

        Parameters
        ----------
        backend : Backend
            Backend that was chosen.

        Returns
        -------
        float or None
            Time (seconds); None if the backend is not cold, so that the
            attempt has not spent a token that comes to nothing later.
        """
        now = self._relay.clock.monotonic()
        cold = self._relay.server_statements.limits.cold
        if not cold.is_cold(backend.record, now):
            return None
        return self._chosen_at + servers.MAX_SEND_DELAY - now

    async def _find_placed_backend(self, max_wait):
        """Return the backend that another node has placed the attempt at.

        A placement at a backend that is not known here is given back at once:
        what becomes of the attempt elsewhere says nothing of that backend. So
        is one outside the homes of the request, which nodes of older builds
        don't know.
        """
        placement = await self._place(max_wait)
        if placement is None:
            return None
        backend = self._relay.backends.find(
            self._service, dataclasses.astuple(placement.key)
        )
        if (
            backend is None
            or not self.is_home(backend)
            or self.is_forbidden(backend)
        ):
            self._relay.placement.end(
                placement.number, _placement.Outcome.REFUSED, None
            )
            return None
        self._placement_number = placement.number
        # After a wait, the choice is newer than the request for it.
        self._chosen_at = max(self._chosen_at, placement.chosen_at)
        return backend

    async def _place(self, max_wait):
        if not self._may_be_placed():
            return None
        placement = await self._relay.placement.place(
            self._service,
            self.make_requirements(),
            self._tried,
            self._relay.server_statements.pauses,
            max_wait=max_wait,
            on_waiting=self._note_wait,
        )
        if isinstance(placement, _load_balancing.NoBackendAvailable):
            raise _make_rejection(placement)
        return placement

    def _may_be_placed(self):
        """Tell whether another node places requests to the service.

        It places those to model engines, and it spends the limits of servers
        for all nodes that it places requests for.
        """
        if self._service.engine is not None:
            return True
        limits = self._relay.server_statements.limits
        now = self._relay.clock.monotonic()
        return limits.is_active(now) and any(
            limits.is_limited(backend.record, now)
            for backend in self._relay.backends.get_by_service(self._service)
        )

    async def _wait_for_backend(self):
        """Choose a backend of this node's own, as soon as one has room."""
        relay = self._relay
        room = relay.waiting_room
        reserved = asyncio.get_running_loop().create_future()

        def deliver(result, now):
            if reserved.cancelled():
                # The caller has left in this turn of the event loop.
                return
            # It is counted now, as another request may be placed before this
            # one goes on.
            tracking = contextlib.ExitStack()
            if isinstance(result, _load_balancing.NoBackendAvailable):
                reserved.set_result((result, tracking))
                return
            self._chosen_at = now
            relay.server_statements.limits.take(result.record)
            tracking.enter_context(result.track(0))
            reserved.set_result((result, tracking))

        now = relay.clock.monotonic()
        placed = room.place(
            self._service,
            self.make_requirements(),
            self._tried,
            relay.server_statements.pauses,
            now,
            max(self._find_time_left(), 0.0),
            self._find_waited(),
            deliver,
        )
        if not isinstance(placed, _waiting_room.WaitingRequest):
            return self._use(placed)
        self._note_wait()
        try:
            backend, tracking = await reserved
        except asyncio.CancelledError:
            room.leave(placed)
            if reserved.done() and not reserved.cancelled():
                backend, tracking = reserved.result()
                tracking.close()
                room.advance(relay.clock.monotonic())
            raise
        tracking.close()
        if isinstance(backend, _load_balancing.NoBackendAvailable):
            raise _make_rejection(backend)
        return backend

    def _choose(self):
        statements = self._relay.server_statements
        chosen = _load_balancing.choose_backend(
            self._relay.backends.get_by_service(self._service),
            self._service.engine,
            self.make_requirements(),
            self._relay.data_centre,
            self._tried,
            self._relay.clock.monotonic(),
            self._relay.rng,
            statements.restrictions,
        )
        return self._use(chosen)

    def _use(self, chosen):
        if isinstance(chosen, _load_balancing.NoBackendAvailable):
            raise _make_rejection(chosen)
        self._relay.server_statements.limits.take(chosen.record)
        return chosen


def _make_rejection(unavailable):
    return exceptions.NoCapacity(unavailable.reason, unavailable.retry_after)
