"""Discrete-event simulation of groups under load, for routing policies.

Each group prefills prompts one after another, keeps an LRU cache of prompt
blocks, and holds a slot for each answer until its last token. Load reports
are made every `REPORT_INTERVAL` and reach all nodes `REPORT_LAG` later. The
cache events of a report reach one node only, and some are lost.
"""

import collections
import dataclasses
import heapq
import random

from balsamwind import objects
from balsamwind import ports

REPORT_INTERVAL = 1.0
"""Time between load reports of one group (seconds)."""

REPORT_LAG = 0.5
"""Age of a load report when the nodes receive it (seconds)."""

PREFILL_RATE = 4000.0
"""Prompt tokens that a group prefills a second (1/s)."""

TOKEN_GAP = 0.03
"""Time between tokens of an answer (seconds)."""

SLOTS = 32
"""Answers that a group generates concurrently (count)."""

CACHE_BLOCKS = 300
"""Capacity of the prefix cache of a group (prompt blocks)."""

BLOCK_TOKENS = 256
"""Tokens of a prompt block (count)."""

EVENT_LOSS = 0.05
"""Share of reports whose cache events are lost."""

DATA_CENTRES = ('tbilisi-a', 'tbilisi-b', 'tbilisi-c')

ROUND_TRIP = 0.002
"""Round trip to another data centre (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of the trace.

    Parameters
    ----------
    arrived_at : float
        Time of arrival (seconds).
    node : int
        Number of the entry that receives it.
    blocks : tuple of int
        Hashes of the prompt blocks.
    answer_tokens : int
        Length of the answer (count).
    """

    arrived_at: float
    node: int
    blocks: tuple
    answer_tokens: int


def make_trace(seed, rate, duration, nodes=6, prefixes=200):
    """Generate a trace of requests whose prompts share prefixes.

    The popularity of a prefix is inversely proportional to its rank.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    rate : float
        Requests a second (1/s).
    duration : float
        Duration of the trace (seconds).
    nodes : int
        Entries that receive requests (count).
    prefixes : int
        Shared prefixes (count).

    Returns
    -------
    list of Arrival
        Requests in the order of time.
    """
    rng = random.Random(seed)
    prefix_lengths = [rng.randint(4, 24) for _ in range(prefixes)]
    weights = [1.0 / (rank + 1) for rank in range(prefixes)]
    arrivals = []
    at = 0.0
    while at < duration:
        at += rng.expovariate(rate)
        (prefix,) = rng.choices(range(prefixes), weights)
        unique = rng.randint(1, 3)
        blocks = [
            *(prefix * 1000 + n + 1 for n in range(prefix_lengths[prefix])),
            *(rng.getrandbits(60) for _ in range(unique)),
        ]
        # The multiplication spreads the values over 52 bits, as hashes are.
        blocks = tuple(b * 0x9E3779B97F4A7C15 % (1 << 52) for b in blocks)
        tokens = 1 + int(rng.expovariate(1 / 100))
        arrivals.append(Arrival(at, rng.randrange(nodes), blocks, tokens))
    return arrivals


class SimulatedGroup:
    """One group.

    Parameters
    ----------
    number : int
        Number of the group; it decides the name and the data centre.
    speed : float
        Factor of the prefill and generation rates; below 1 for a straggler.
    """

    def __init__(self, number, speed):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f'g{number}'
        self.record = objects.Group(
            name=name,
            contract='c',
            model='m',
            version='1',
            data_centre=data_centre,
            fabric_domain=data_centre,
            members=(objects.Member(f'vm-{name}', 'x:1'),),
            generation=1,
            state=objects.GroupState.READY,
        )
        self.speed = speed
        self.busy_until = 0.0
        self.end_times = []
        self.first_token_times = []
        self.cache = collections.OrderedDict()
        self.cache_events = collections.deque(maxlen=16)
        self.sequence = 0

    def update_cache(self, blocks):
        """Add the blocks of a prompt to the cache and record the cache event.

        Parameters
        ----------
        blocks : tuple of int
            Hashes of the prompt blocks.

        Returns
        -------
        int
            Blocks that were not in the cache and have to be prefilled
            (count).
        """
        missing = [b for b in blocks if b not in self.cache]
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > CACHE_BLOCKS:
            removed.append(self.cache.popitem(last=False)[0])
        if missing or removed:
            self.sequence += 1
            self.cache_events.append(
                ports.CacheEvent(self.sequence, tuple(missing), tuple(removed))
            )
        return len(missing)

    def serve(self, arrival, now):
        """Serve a request.

        Parameters
        ----------
        arrival : Arrival
            The request.
        now : float
            Time at which it reaches the group (seconds).

        Returns
        -------
        tuple
            Time of the first token and of the last one (seconds); prompt
            blocks that were not in the cache (count).
        """
        missing = self.update_cache(arrival.blocks)
        while self.end_times and self.end_times[0] <= now:
            heapq.heappop(self.end_times)
        start = max(now, self.busy_until)
        if len(self.end_times) >= SLOTS:
            start = max(start, sorted(self.end_times)[-SLOTS])
        prefill = missing * BLOCK_TOKENS / (PREFILL_RATE * self.speed)
        first = start + prefill + TOKEN_GAP / self.speed
        self.busy_until = start + prefill
        end = first + arrival.answer_tokens * TOKEN_GAP / self.speed
        heapq.heappush(self.end_times, end)
        heapq.heappush(self.first_token_times, first)
        return first, end, missing

    def report(self, now):
        """Make a load report.

        Parameters
        ----------
        now : float
            Time (seconds).

        Returns
        -------
        balsamwind.ports.EngineReport
        """
        while self.first_token_times and self.first_token_times[0] <= now:
            heapq.heappop(self.first_token_times)
        waiting = len(self.first_token_times)
        count = sum(end > now for end in self.end_times)
        return ports.EngineReport(
            self.record.head.vm,
            ports.EngineState.READY,
            running=count - waiting,
            waiting=waiting,
            slots=SLOTS,
            prefill_rate=PREFILL_RATE,
            cache_events=tuple(self.cache_events),
        )


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of replaying a trace with one policy.

    Parameters
    ----------
    times_to_first_token : list of float
        Time to first token of each request (seconds).
    hit_rate : float
        Share of the prompt blocks that were in the cache of the group.
    """

    times_to_first_token: list
    hit_rate: float

    def percentile(self, share):
        """Compute a percentile of the time to first token.

        Parameters
        ----------
        share : float
            Share of the requests, 0 to 1.

        Returns
        -------
        float
            Time that the given share of the requests does not exceed
            (seconds).
        """
        values = sorted(self.times_to_first_token)
        return values[min(int(share * len(values)), len(values) - 1)]


def replay(trace, make_policy, seed, groups=20, nodes=6, straggler_speed=0.2):
    """Replay a trace with one policy.

    Each node has its own policy object.

    Parameters
    ----------
    trace : list of Arrival
        Requests in the order of time.
    make_policy : callable
        Called with a node number, a function from a group to its last known
        load report or None, and a seed. Returns a policy with
        ``choose(records, arrival, now)``, which returns the record of a group
        and a ticket, ``first(ticket, at)`` and ``end(ticket, at)`` for the
        first and the last token of an answer, and ``report(record, report)``
        for the cache events of a group.
    seed : int
        Seed of lost cache events and of the policies.
    groups : int
        Groups (count).
    nodes : int
        Nodes (count).
    straggler_speed : float
        Speed of group 7, as a factor; the other groups have 1.

    Returns
    -------
    Outcome
    """
    rng = random.Random(seed)
    simulated_groups = [
        SimulatedGroup(n, straggler_speed if n == 7 else 1.0)
        for n in range(groups)
    ]
    by_name = {group.record.name: group for group in simulated_groups}
    known_reports = {}
    policies = [
        make_policy(
            node, lambda g: known_reports.get(g.name), seed * 100 + node
        )
        for node in range(nodes)
    ]
    events = [(a.arrived_at, 0, n, 'arrive', a) for n, a in enumerate(trace)]
    sequence = len(events)
    end = trace[-1].arrived_at
    for number, group in enumerate(simulated_groups):
        at = number / groups * REPORT_INTERVAL
        while at < end:
            sequence += 1
            events.append((at, 1, sequence, 'make', group))
            at += REPORT_INTERVAL
    heapq.heapify(events)
    times_to_first_token, missing_blocks, total_blocks = [], 0, 0
    while events:
        now, _, _, kind, item = heapq.heappop(events)
        sequence += 1
        match kind:
            case 'arrive':
                policy = policies[item.node]
                records = [group.record for group in simulated_groups]
                record, ticket = policy.choose(records, item, now)
                group = by_name[record.name]
                data_centre = DATA_CENTRES[item.node % len(DATA_CENTRES)]
                round_trip = (
                    ROUND_TRIP if record.data_centre != data_centre else 0.0
                )
                first, last, missing = group.serve(item, now + round_trip / 2)
                times_to_first_token.append(first + round_trip / 2 - now)
                missing_blocks += missing
                total_blocks += len(item.blocks)
                for at, event_kind in ((first, 'first'), (last, 'end')):
                    new_item = (policy, ticket, at)
                    heapq.heappush(
                        events, (at, 2, sequence, event_kind, new_item)
                    )
                    sequence += 1
            case 'first' | 'end':
                policy, ticket, at = item
                getattr(policy, kind)(ticket, at)
            case 'make':
                report = item.report(now)
                new_item = (item, report)
                heapq.heappush(
                    events, (now + REPORT_LAG, 1, sequence, 'know', new_item)
                )
            case 'know':
                group, report = item
                name = group.record.name
                if rng.random() >= EVENT_LOSS:
                    observer = policies[int(name[1:]) % nodes]
                    observer.report(group.record, report)
                known_reports[name] = dataclasses.replace(
                    report, cache_events=()
                )
    return Outcome(times_to_first_token, 1.0 - missing_blocks / total_blocks)
