"""Replay of overload with and without waiting at the placing node.

The nodes of one data centre send more requests than its groups can serve,
under a virtual clock. Callers that are rejected come back at the time they
are told, until their deadline.

Run it with ``python -m benchmarks.group_overload``; it prints a table.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from balsamwind import relay
from benchmarks import group_load

OBJECTIVE = 0.35
"""Latency objective, counted from the first try (seconds)."""

DEADLINE = 7.0
"""Time from the first try in which an answer is complete (seconds)."""

MAX_TRIES = 4
"""Times that a caller sends its request (count)."""

REPORT_DELAY = 0.1
"""Time from the start of a request to the report of the load (seconds)."""

LOADS = (0.8, 1.3, 2.0)
"""Work that is asked for, by the capacity of the groups."""

CENTRES = (1, 3)
"""Data centres that share the groups (count)."""

WORK_PER_REQUEST = (
    0.9 * group_load.SHORT_PROMPT_TOKENS + 0.1 * group_load.LONG_PROMPT_TOKENS
) / group_load.PROFILE.prefill_rate + group_load.OUTPUT_TOKENS * (
    group_load.PROFILE.step_time
    + group_load.PROFILE.step_time_per_request * group_load.PROFILE.slots
)
"""Mean time for which a request occupies a slot (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Shares of the requests, by their outcome.

    Parameters
    ----------
    in_time : float
        Share whose first event came within the latency objective.
    late : float
        Share that was answered later.
    rejected : float
        Share that was rejected, or not complete at its deadline.
    """

    in_time: float
    late: float
    rejected: float


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """Request of a caller, over all of its tries."""

    first_try_at: float
    key: str
    prompt_tokens: int
    session: relay.PlacementSession
    tries: int = 0
    number: int = 0


class _Clock:
    """Virtual clock."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class _Table:
    """Backends of one placing node."""

    def __init__(self, groups, centres):
        self.backends = list(group_load._Table(groups).backends.values())
        for number, backend in enumerate(self.backends):
            backend.record = dataclasses.replace(
                backend.record, data_centre=f'z{number % centres}'
            )

    def get_by_service(self, service):
        return self.backends


class _Replay:
    """Runs one load, with or without waiting."""

    def __init__(self, load, waits, centres, reports, duration, random_state):
        self._reports = reports
        self._rate = (
            load
            * group_load.GROUPS
            * group_load.PROFILE.slots
            / WORK_PER_REQUEST
        )
        self._waits = waits
        self._duration = duration
        self._rng = random.Random(random_state)
        self._clock = _Clock()
        self._events = []
        self._count = itertools.count()
        self._outcomes = collections.Counter()
        self._groups = {
            group.key: group
            for group in map(group_load._Group, range(group_load.GROUPS))
        }
        self._sessions = [
            self._open_session(f'z{number}', centres)
            for number in range(centres)
        ]

    def _open_session(self, data_centre, centres):
        """Open a session with the placing node of a data centre."""
        table = _Table(self._groups.values(), centres)
        limits = relay.ServerLimits()
        room = relay.WaitingRoom(
            table, data_centre, self._rng, limits, (), self._clock
        )
        room.call_later = self._call_later
        return relay.PlacementSession(
            table, data_centre, self._rng, limits, (), room
        )

    def run(self):
        """Run the load and return the `Result`."""
        self._schedule(0.0, self._arrive)
        while self._events:
            self._clock.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        total = self._outcomes.total()
        return Result(
            *(
                self._outcomes[outcome] / total
                for outcome in ('in_time', 'late', 'rejected')
            )
        )

    def _schedule(self, time, action, *arguments):
        heapq.heappush(
            self._events, (time, next(self._count), action, arguments)
        )

    def _call_later(self, delay, callback):
        self._schedule(self._clock.now + delay, callback)

    def _arrive(self):
        now = self._clock.now
        if now < self._duration:
            self._schedule(
                now + self._rng.expovariate(self._rate), self._arrive
            )
        long_prompt = self._rng.random() < 0.1
        call = _Call(
            now,
            str(next(self._count)),
            group_load.LONG_PROMPT_TOKENS
            if long_prompt
            else group_load.SHORT_PROMPT_TOKENS,
            self._rng.choice(self._sessions),
        )
        self._try(call)

    def _try(self, call):
        now = self._clock.now
        call.tries += 1
        call.number = next(self._count)
        time_left = call.first_try_at + DEADLINE - now
        requirements = relay.RequestRequirements(
            'm',
            call.prompt_tokens,
            group_load.OUTPUT_TOKENS,
            time_left,
            0,
            '',
            'ask',
            # A node does not know that a caller comes back.
            OBJECTIVE,
            call.key,
        )
        placed = call.session.place(
            call.number,
            group_load.SERVICE,
            requirements,
            (),
            now,
            max_wait=time_left if self._waits else 0.0,
            reply=lambda placed: self._go_on(call, placed),
        )
        if not isinstance(placed, relay.WaitingRequest):
            self._go_on(call, placed)

    def _go_on(self, call, placed):
        if isinstance(placed, relay.NoBackendAvailable):
            self._come_back(call, placed.retry_after)
            return
        group = self._groups[dataclasses.astuple(placed.key)]
        if len(group.queue) >= group_load.QUEUE_LENGTH:
            call.session.end(
                call.number, relay.Outcome.REFUSED, group.load, self._clock.now
            )
            self._come_back(call, 0.25)
            return
        group.queue.append(call)
        self._start_next(group)

    def _come_back(self, call, retry_after):
        time = self._clock.now + retry_after
        deadline = call.first_try_at + DEADLINE - WORK_PER_REQUEST
        if call.tries >= MAX_TRIES or time > deadline:
            self._outcomes['rejected'] += 1
            return
        self._schedule(time, self._try, call)

    def _start_next(self, group):
        now = self._clock.now
        while group.queue and group.running < group_load.PROFILE.slots:
            call = group.queue.pop(0)
            group.running += 1
            if self._reports:
                self._schedule(
                    now + REPORT_DELAY, self._report_load, call, group.load
                )
            end = now + group.find_service_time(call.prompt_tokens)
            first_event_at = (
                now
                + call.prompt_tokens / group_load.PROFILE.prefill_rate
                + group_load.PROFILE.steps_per_pass
                * group_load.PROFILE.step_time
            )
            self._schedule(end, self._finish, group, call, first_event_at)

    def _report_load(self, call, load):
        now = self._clock.now
        # Groups of the model start at full pace: the time is as predicted.
        call.session.report_progress(call.number, 0.0, load, now)

    def _finish(self, group, call, first_event_at):
        now = self._clock.now
        group.running -= 1
        if now > call.first_try_at + DEADLINE:
            outcome = 'rejected'
        elif first_event_at <= call.first_try_at + OBJECTIVE:
            outcome = 'in_time'
        else:
            outcome = 'late'
        self._outcomes[outcome] += 1
        call.session.end(call.number, relay.Outcome.ANSWERED, None, now)
        self._start_next(group)


def replay(
    load, waits, duration=30.0, random_state=1, centres=1, reports=False
):
    """Replay a load.

    Parameters
    ----------
    load : float
        Work that is asked for, by the capacity of the groups.
    waits : bool
        Whether requests wait at the placing node.
    duration : float
        Length of the replay (seconds, virtual time).
    random_state : int
        Seed.
    centres : int
        Data centres, whose placing nodes don't know each other's requests
        (count).
    reports : bool
        Whether the placing node learns of the load that each answer reports.

    Returns
    -------
    Result
    """
    return _Replay(load, waits, centres, reports, duration, random_state).run()


def main():
    """Print a table of all loads, with and without waiting."""
    print('| data centres | load | waiting | in time | late | rejected |')
    print('| --- | --- | --- | --- | --- | --- |')
    for centres, load, waits in itertools.product(
        CENTRES, LOADS, (False, True)
    ):
        result = replay(load, waits, centres=centres, reports=centres > 1)
        print(
            f'| {centres} | {load} | {"yes" if waits else "no"} |'
            f' {result.in_time:.3f} | {result.late:.3f} |'
            f' {result.rejected:.3f} |'
        )


if __name__ == '__main__':
    main()
