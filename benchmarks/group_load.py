"""Replay of load patterns against the choice of replica groups.

The nodes of one data centre send requests to its groups under a virtual
clock. Three ways to choose are compared by the same decision code: each node
chooses from what it has seen itself, one node places the requests of all of
them, and an all-knowing chooser that sees the true counts without delay.

Run it with ``python -m benchmarks.group_load``; it prints a table.
"""

import dataclasses
import enum
import heapq
import random

from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic

NODES = 39
"""Nodes of the data centre (count)."""

GROUPS = 26
"""Groups of the data centre (count)."""

MESSAGE_DELAY = 0.002
"""Time from the request for a placement to its answer (seconds)."""

QUEUE_LENGTH = 7
"""Requests that a group queues before it refuses more (count)."""

LATE_AFTER = 0.15
"""Wait for a slot after which an answer is late (seconds)."""

PROFILE = traffic.EngineProfile(
    (traffic.ModelProfile('m', 8),),
    slots=7,
    step_time=0.0078,
    step_time_per_request=0.00018,
    prefill_rate=45900.0,
    steps_per_pass=8,
)

SERVICE = traffic.Service('llm', engine=PROFILE)


class Chooser(enum.Enum):
    """Who chooses the group of a request."""

    EACH_NODE = 'each node'
    ONE_NODE = 'one node'
    ALL_KNOWING = 'all-knowing'


@dataclasses.dataclass(slots=True, frozen=True)
class Pattern:
    """Load over time.

    Parameters
    ----------
    name : str
        Name of the pattern.
    utilisation : float
        Share of the slots that is busy without the other fields (0 to 1).
    burst : float
        Factor of the arrivals in the middle third of the time.
    long_prompts : float
        Share of requests with a prompt of `LONG_PROMPT_TOKENS` in that third.
    lost_groups : int
        Groups that are lost in that third (count).
    slow_groups : int
        Groups that are five times slower in that third (count).
    """

    name: str
    utilisation: float = 0.76
    burst: float = 1.0
    long_prompts: float = 0.1
    lost_groups: int = 0
    slow_groups: int = 0


PATTERNS = (
    Pattern('calm', utilisation=0.5),
    Pattern('steady'),
    Pattern('wave', utilisation=0.6, burst=1.5),
    Pattern('burst in all', utilisation=0.5, burst=1.7),
    Pattern('burst in long prompts', utilisation=0.6, long_prompts=0.5),
    Pattern('a sixth of the groups lost', utilisation=0.7, lost_groups=4),
    Pattern('a slow group', utilisation=0.6, slow_groups=1),
)

SHORT_PROMPT_TOKENS = 700
"""Length of most prompts (tokens)."""

LONG_PROMPT_TOKENS = 2000
"""Length of a long prompt (tokens)."""

OUTPUT_TOKENS = 100
"""Length of an output (tokens)."""

SLOW_FACTOR = 5.0
"""Factor of the times of a slow group."""


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What callers saw.

    Parameters
    ----------
    late : float
        Share of requests that waited for a slot for more than `LATE_AFTER`
        or were refused.
    refused : float
        Share of requests that the group refused because it was full.
    p99 : float
        99th percentile of the wait for a slot (seconds).
    """

    late: float
    refused: float
    p99: float


class _Group:
    """Slots and queue of one group."""

    def __init__(self, number):
        self.key = ('llm', f'm.z1.{number}', number)
        self.running = 0
        self.queue = []
        self.lost = False
        self.slow_factor = 1.0

    def find_service_time(self, prompt_tokens):
        step_time = (
            PROFILE.step_time + PROFILE.step_time_per_request * self.running
        )
        return self.slow_factor * (
            prompt_tokens / PROFILE.prefill_rate + OUTPUT_TOKENS * step_time
        )

    @property
    def load(self):
        return relay.ReportedLoad(self.running, len(self.queue), PROFILE.slots)


class _Table:
    """Backends of one node, in place of a `BackendTable`."""

    def __init__(self, groups):
        self.backends = {
            group.key: relay.Backend(
                group.key,
                pool.ServerRecord(group.key[1], 'llm', 'x', 'z1'),
                PROFILE.slots,
                'm',
            )
            for group in groups
        }
        self.lost = set()

    def get_by_service(self, service):
        return [
            backend
            for key, backend in self.backends.items()
            if key not in self.lost
        ]


class _Replay:
    """Runs one pattern with one chooser."""

    def __init__(self, pattern, chooser, duration, random_state):
        self._pattern = pattern
        self._chooser = chooser
        self._duration = duration
        self._rng = random.Random(random_state)
        self._groups = [_Group(number) for number in range(GROUPS)]
        self._by_key = {group.key: group for group in self._groups}
        shared = chooser is not Chooser.EACH_NODE
        table_count = 1 if shared else NODES
        self._tables = [_Table(self._groups) for _ in range(table_count)]
        self._sessions = [
            relay.PlacementSession(
                self._tables[0 if shared else node], 'z1', self._rng
            )
            for node in range(NODES)
        ]
        self._weights = [self._rng.uniform(0.2, 1.2) for _ in range(NODES)]
        self._events = []
        self._count = 0
        self._waits = []
        self._refused = 0

    def run(self):
        """Run the pattern and return the `Result`."""
        self._schedule(0.0, self._arrive)
        self._schedule(self._duration / 3, self._begin_trouble)
        self._schedule(self._duration * 2 / 3, self._end_trouble)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now > self._duration:
                break
            action(now, *arguments)
        waits = sorted(self._waits)
        count = len(waits) + self._refused
        late = sum(wait > LATE_AFTER for wait in waits) + self._refused
        return Result(
            late / count,
            self._refused / count,
            waits[int(0.99 * len(waits))],
        )

    def _schedule(self, time, action, *arguments):
        self._count += 1
        heapq.heappush(self._events, (time, self._count, action, arguments))

    def _in_trouble(self, now):
        return self._duration / 3 <= now < self._duration * 2 / 3

    def _begin_trouble(self, now):
        for group in self._groups[: self._pattern.lost_groups]:
            group.lost = True
            for table in self._tables:
                table.lost.add(group.key)
        for group in self._groups[: self._pattern.slow_groups]:
            group.slow_factor = SLOW_FACTOR

    def _end_trouble(self, now):
        for group in self._groups:
            group.lost = False
            group.slow_factor = 1.0
        for table in self._tables:
            table.lost.clear()

    def _arrive(self, now):
        trouble = self._in_trouble(now)
        usual_time = OUTPUT_TOKENS * (
            PROFILE.step_time + PROFILE.step_time_per_request * PROFILE.slots
        )
        rate = self._pattern.utilisation * GROUPS * PROFILE.slots / usual_time
        if trouble:
            rate *= self._pattern.burst
        self._schedule(now + self._rng.expovariate(rate), self._arrive)
        node = self._rng.choices(range(NODES), self._weights)[0]
        long_share = self._pattern.long_prompts if trouble else 0.1
        prompt_tokens = (
            LONG_PROMPT_TOKENS
            if self._rng.random() < long_share
            else SHORT_PROMPT_TOKENS
        )
        delay = MESSAGE_DELAY if self._chooser is Chooser.ONE_NODE else 0.0
        self._schedule(now + delay, self._send, now, node, prompt_tokens)

    def _send(self, now, arrived_at, node, prompt_tokens):
        if self._chooser is Chooser.ALL_KNOWING:
            for key, backend in self._tables[0].backends.items():
                group = self._by_key[key]
                backend.in_flight = group.running + len(group.queue)
        requirements = relay.RequestRequirements(
            'm', prompt_tokens, OUTPUT_TOKENS, 6.0
        )
        self._count += 1
        number = self._count
        session = self._sessions[node]
        placed = session.place(number, SERVICE, requirements, (), now)
        if not isinstance(placed, relay.Placement):
            self._refused += 1
            return
        group = self._by_key[dataclasses.astuple(placed.key)]
        if len(group.queue) >= QUEUE_LENGTH:
            self._refused += 1
            session.end(number, relay.Outcome.REFUSED, group.load, now)
            return
        group.queue.append((arrived_at, session, number, prompt_tokens))
        self._start_next(now, group)

    def _start_next(self, now, group):
        while group.queue and group.running < PROFILE.slots:
            arrived_at, session, number, prompt_tokens = group.queue.pop(0)
            group.running += 1
            self._waits.append(now - arrived_at)
            end = now + group.find_service_time(prompt_tokens)
            self._schedule(end, self._finish, group, session, number)

    def _finish(self, now, group, session, number):
        group.running -= 1
        load = group.load if self._chooser is Chooser.EACH_NODE else None
        session.end(number, relay.Outcome.ANSWERED, load, now)
        self._start_next(now, group)


def replay(pattern, chooser, duration=60.0, random_state=1):
    """Replay a load pattern.

    Parameters
    ----------
    pattern : Pattern
        Load pattern.
    chooser : Chooser
        Who chooses the groups.
    duration : float
        Length of the replay (seconds, virtual time).
    random_state : int
        Seed.

    Returns
    -------
    Result
    """
    return _Replay(pattern, chooser, duration, random_state).run()


def main():
    """Print a table of all patterns and choosers."""
    print('| load pattern | chooser | late | refused | p99 of the wait, s |')
    print('| --- | --- | --- | --- | --- |')
    for pattern in PATTERNS:
        for chooser in Chooser:
            result = replay(pattern, chooser)
            print(
                f'| {pattern.name} | {chooser.value} | {result.late:.3f} |'
                f' {result.refused:.3f} | {result.p99:.2f} |'
            )


if __name__ == '__main__':
    main()
