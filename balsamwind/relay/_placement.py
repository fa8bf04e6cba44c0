"""Placement of the requests of several nodes by one of them.

Load pattern: many nodes send few requests each to many groups with few slots.
A node that only knows its own requests, and learns of the others from load
reports that are as old as a request lasts, fills some groups while others
are idle. One node of a data centre therefore chooses the groups for all of
them and counts every request from the choice to its end.
"""

import contextlib
import dataclasses
import enum
import heapq

from balsamwind.relay import _load_balancing
from balsamwind.relay import _quiet_servers
from balsamwind.relay import _server_limits
from balsamwind.relay import _waiting_room


class Outcome(enum.Enum):
    """How an attempt at a placed backend ended.

    Attributes
    ----------
    ANSWERED
        The backend answered.
    REFUSED
        The backend stated that it did not run the request, or the caller
        left: nothing is known of its health.
    FAILED
        The attempt failed in a way that counts towards an ejection.
    STALLED
        The backend made no progress. The attempt may still go on.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    STALLED = 'stalled'

    @classmethod
    def _missing_(cls, value):
        """Decode an outcome of a newer build.

        It shows nothing of the backend's health, but the attempt has ended:
        ignored, it would occupy its slot until the connection ends.
        """
        return cls.REFUSED if isinstance(value, str) else None


@dataclasses.dataclass(slots=True, frozen=True)
class BackendKey:
    """Identity of a backend, see `Backend`.

    Parameters
    ----------
    service : str
        Name of the service.
    name : str
        Name of the replica group, or id of the backend server.
    number : int
        Epoch of the group, or start of the backend server.
    """

    service: str
    name: str
    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A backend that was chosen and counted for one attempt.

    Parameters
    ----------
    number : int
        Identifies the attempt at the node that sends it.
    key : BackendKey
        Backend that the attempt is sent to.
    chosen_at : float
        When the backend was chosen, or a lower bound of it (seconds, boot
        clock).
    """

    number: int
    key: BackendKey
    chosen_at: float = float('-inf')


class PlacementSession:
    """Attempts that one node has placed and not ended.

    Parameters
    ----------
    backends : BackendTable
        Backends of all services, with the counts of all sessions.
    data_centre : str
        Data centre of the nodes.
    rng : random.Random
        Source of the jitter of the choice.
    limits : ServerLimits
        Limits of backend servers, which all sessions spend together.
    rules : sequence
        Further facts that forbid requests, see `Restrictions`.
    waiting_room : WaitingRoom or None
        Where the requests of all sessions wait; None for one of its own.
    """

    __slots__ = (
        '_attempts',
        '_limits',
        '_prompts',
        '_waiting',
        '_waiting_room',
    )

    def __init__(
        self,
        backends,
        data_centre,
        rng,
        limits=_server_limits.NO_LIMITS,
        rules=(),
        waiting_room=None,
    ):
        self._limits = limits
        if waiting_room is None:
            waiting_room = _waiting_room.WaitingRoom(
                backends, data_centre, rng, limits, rules, None
            )
        self._waiting_room = waiting_room
        self._waiting = {}
        self._attempts = {}
        self._prompts = []

    def place(
        self,
        number,
        service,
        requirements,
        tried,
        now,
        quiet=_quiet_servers.NOTHING_QUIET,
        max_wait=0.0,
        waited=0.0,
        reply=None,
        notify=None,
    ):
        """Choose a backend and count the attempt there until `end`.

        If no backend has room and the request may wait, this is done later.

        Parameters
        ----------
        number : int
            Identifies the attempt in this session.
        service : balsamwind.traffic.Service
            Service that the request is sent to.
        requirements : RequestRequirements
            What the request needs.
        tried : container of tuple
            Keys of the backends that earlier attempts of the request used.
        now : float
            Current time (seconds, boot clock).
        quiet : QuietServers
            Servers that get no requests of the sending node for a while.
        max_wait : float
            Longest wait (seconds); 0 if the request may not wait.
        waited : float
            Age of the request (seconds).
        reply : callable or None
            Called with the `Placement` or `NoBackendAvailable` of a request
            that has waited.
        notify : callable or None
            Called regularly with the expected wait (seconds) until then.

        Returns
        -------
        Placement, NoBackendAvailable or WaitingRequest
        """
        self._finish_prompts(now)

        def deliver(result, now):
            self._waiting.pop(number, None)
            reply(self._count(number, result, service, requirements, now))

        placed = self._waiting_room.place(
            service,
            requirements,
            tried,
            quiet,
            now,
            max_wait,
            waited,
            deliver,
            notify,
        )
        if isinstance(placed, _waiting_room.WaitingRequest):
            self._waiting[number] = placed
            return placed
        return self._count(number, placed, service, requirements, now)

    def _count(self, number, backend, service, requirements, now):
        """Count an attempt at the backend that was chosen, if one was."""
        if isinstance(backend, _load_balancing.NoBackendAvailable):
            return backend
        self._limits.take(backend.record)
        # The node does not say when the prompt was read; the prediction does.
        prompt_time = _load_balancing.predict_time_to_first_event(
            backend, service.engine, requirements, now
        )
        tracking = contextlib.ExitStack()
        mark_prompt_processed = tracking.enter_context(
            backend.track(requirements.prompt_tokens)
        )
        self._attempts[number] = (backend, tracking, prompt_time)
        heapq.heappush(
            self._prompts, (now + prompt_time, number, mark_prompt_processed)
        )
        return Placement(number, BackendKey(*backend.key))

    def _finish_prompts(self, now):
        while self._prompts and self._prompts[0][0] <= now:
            _, _, mark_prompt_processed = heapq.heappop(self._prompts)
            mark_prompt_processed()

    def report_stall(self, number, now):
        """Record that the backend of an attempt makes no progress.

        Parameters
        ----------
        number : int
            Number of the attempt; one that is not placed is ignored.
        now : float
            Current time (seconds, boot clock).
        """
        attempt = self._attempts.get(number)
        if attempt is not None:
            attempt[0].record_stall(now)

    def report_progress(self, number, measured_time, load, now):
        """Record that the answer to an attempt has begun, or goes on.

        An ejection for a stall ends.

        Parameters
        ----------
        number : int
            Number of the attempt; one that is not placed is ignored.
        measured_time : float
            Time from the send to the first event (seconds).
        load : ReportedLoad or None
            Load of the backend, including the attempt; None if not reported.
        now : float
            Current time (seconds, boot clock).
        """
        attempt = self._attempts.get(number)
        if attempt is None:
            return
        backend, tracking, predicted_time = attempt
        backend.record_progress(now)
        if predicted_time is not None:
            backend.record_first_event(measured_time, predicted_time, now)
            self._attempts[number] = (backend, tracking, None)
        if load is not None:
            backend.update_load(load, now)
        self._waiting_room.advance(now, backend)

    def end(self, number, outcome, load, now):
        """End an attempt; the backend takes its outcome into account.

        Parameters
        ----------
        number : int
            Number of the attempt; one that is not placed is ignored.
        outcome : Outcome
            How the attempt ended.
        load : ReportedLoad or None
            Load that the backend reported last; None if it reported none.
        now : float
            Current time (seconds, boot clock).
        """
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            self._waiting_room.leave(waiting)
        attempt = self._attempts.pop(number, None)
        if attempt is None:
            return
        backend, tracking, predicted_time = attempt
        tracking.close()
        match outcome:
            case Outcome.ANSWERED:
                backend.record_progress(now)
                # A node of an earlier version has not reported it.
                if predicted_time is not None:
                    backend.record_first_event(
                        predicted_time, predicted_time, now
                    )
            case Outcome.REFUSED if load is not None:
                backend.record_rejection()
            case Outcome.FAILED:
                backend.record_failure(now)
            case Outcome.STALLED:
                backend.record_stall(now)
        if load is not None:
            backend.update_load(load, now)
        self._waiting_room.advance(now, backend)

    def close(self):
        """End all attempts, as the node is no longer connected."""
        for waiting in self._waiting.values():
            self._waiting_room.leave(waiting)
        self._waiting.clear()
        for _, tracking, _ in self._attempts.values():
            tracking.close()
        self._attempts.clear()
        self._prompts.clear()


class NoPlacementService:
    """Stands in where no other node places requests: each one chooses."""

    __slots__ = ()

    async def place(self, service, requirements, tried, quiet, **values):
        """Return None: the caller chooses a backend itself."""
        return None

    def report_stall(self, number):
        """Do nothing, as nothing was placed."""

    def report_progress(self, number, time_to_first_event, load):
        """Do nothing, as nothing was placed."""

    def end(self, number, outcome, load):
        """Do nothing, as nothing was placed."""
