"""A model of groups under load, for the choice of a group only.

Each group prefills prompts one after another, keeps an LRU cache of prompt
blocks, and holds a slot for each answer until its last token. Reports are
made every `REPORT_INTERVAL` and known `REPORT_LAG` later, the same at all
nodes; cache events come with them, to one node only, and some are lost.
"""

import collections
import dataclasses
import heapq
import random

from balsamwind import objects
from balsamwind import ports

REPORT_INTERVAL = 1.0
"""Time between reports of one group (seconds)."""

REPORT_LAG = 0.5
"""Age of a report when it becomes known (seconds)."""

PREFILL_RATE = 4000.0
"""Tokens prefilled a second (1/s)."""

TOKEN_GAP = 0.03
"""Time between tokens of an answer (seconds)."""

SLOTS = 32
"""Answers generated at once by a group (count)."""

CACHE_BLOCKS = 300
"""Prompt blocks in the cache of a group (count)."""

BLOCK_TOKENS = 256
"""Tokens of a block (count)."""

EVENT_LOSS = 0.05
"""Share of reports whose cache events are lost."""

PLACES = ('tbilisi-a', 'tbilisi-b', 'tbilisi-c')

ROUND_TRIP = 0.002
"""Round trip to another data centre (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of the trace.

    Parameters
    ----------
    at : float
        Time (seconds).
    node : int
        Entry that gets it.
    blocks : tuple of int
        Prompt blocks.
    tokens : int
        Length of the answer (count).
    """

    at: float
    node: int
    blocks: tuple
    tokens: int


def make_trace(seed, rate, duration, nodes=6, prefixes=200):
    """Record a trace of requests with hot prefixes.

    Parameters
    ----------
    seed : int
        Seed.
    rate : float
        Requests a second (1/s).
    duration : float
        Length (seconds).
    """
    rng = random.Random(seed)
    lengths = [rng.randint(4, 24) for _ in range(prefixes)]
    weights = [1.0 / (rank + 1) for rank in range(prefixes)]
    arrivals = []
    at = 0.0
    while at < duration:
        at += rng.expovariate(rate)
        (prefix,) = rng.choices(range(prefixes), weights)
        own = rng.randint(1, 3)
        blocks = [
            *(prefix * 1000 + n + 1 for n in range(lengths[prefix])),
            *(rng.getrandbits(60) for _ in range(own)),
        ]
        # Spread over 52 bits as hashes are.
        blocks = tuple(b * 0x9E3779B97F4A7C15 % (1 << 52) for b in blocks)
        tokens = 1 + int(rng.expovariate(1 / 100))
        arrivals.append(Arrival(at, rng.randrange(nodes), blocks, tokens))
    return arrivals


class ModelGroup:
    """One group."""

    def __init__(self, number, speed):
        place = PLACES[number % len(PLACES)]
        name = f'g{number}'
        self.record = objects.Group(
            name=name,
            contract='c',
            model='m',
            version='1',
            data_centre=place,
            fabric_domain=place,
            members=(objects.Member(f'vm-{name}', 'x:1'),),
            generation=1,
            state=objects.GroupState.READY,
        )
        self.speed = speed
        self.busy_until = 0.0
        self.ends = []
        self.firsts = []
        self.cache = collections.OrderedDict()
        self.events = collections.deque(maxlen=16)
        self.sequence = 0

    def take(self, blocks):
        """Blocks that have to be prefilled (count)."""
        missing = [b for b in blocks if b not in self.cache]
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > CACHE_BLOCKS:
            removed.append(self.cache.popitem(last=False)[0])
        if missing or removed:
            self.sequence += 1
            self.events.append(
                ports.CacheEvent(self.sequence, tuple(missing), tuple(removed))
            )
        return len(missing)

    def serve(self, arrival, now):
        """Take a request; (time of the first token, end, missing)."""
        missing = self.take(arrival.blocks)
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        start = max(now, self.busy_until)
        if len(self.ends) >= SLOTS:
            start = max(start, sorted(self.ends)[-SLOTS])
        prefill = missing * BLOCK_TOKENS / (PREFILL_RATE * self.speed)
        first = start + prefill + TOKEN_GAP / self.speed
        self.busy_until = start + prefill
        end = first + arrival.tokens * TOKEN_GAP / self.speed
        heapq.heappush(self.ends, end)
        heapq.heappush(self.firsts, first)
        return first, end, missing

    def report(self, now):
        """Load report."""
        while self.firsts and self.firsts[0] <= now:
            heapq.heappop(self.firsts)
        waiting = len(self.firsts)
        count = sum(end > now for end in self.ends)
        return ports.EngineReport(
            self.record.head.vm,
            ports.EngineState.READY,
            running=count - waiting,
            waiting=waiting,
            slots=SLOTS,
            prefill_rate=PREFILL_RATE,
            cache_events=tuple(self.events),
        )


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a policy made of a trace.

    Parameters
    ----------
    first_tokens : list of float
        Times to the first token (seconds).
    hit_share : float
        Prompt blocks that were in a cache.
    """

    first_tokens: list
    hit_share: float

    def percentile(self, share):
        """Time to the first token not exceeded by `share` (seconds)."""
        values = sorted(self.first_tokens)
        return values[min(int(share * len(values)), len(values) - 1)]


def replay(trace, make_policy, seed, groups=20, nodes=6, straggler=0.2):
    """Run a policy over a trace; an `Outcome`.

    Parameters
    ----------
    make_policy : callable
        (node, load_report, seed) -> policy with ``choose(records, arrival,
        now)``, ``first(name, seconds)``, ``end(name)`` and
        ``report(name, report)``.
    """
    rng = random.Random(seed)
    fleet = [
        ModelGroup(n, straggler if n == 7 else 1.0) for n in range(groups)
    ]
    by_name = {group.record.name: group for group in fleet}
    known = {}
    policies = [
        make_policy(node, lambda g: known.get(g.name), seed * 100 + node)
        for node in range(nodes)
    ]
    events = [(a.at, 0, n, 'arrive', a) for n, a in enumerate(trace)]
    order = len(events)
    end = trace[-1].at
    for number, group in enumerate(fleet):
        at = number / groups * REPORT_INTERVAL
        while at < end:
            order += 1
            events.append((at, 1, order, 'make', group))
            at += REPORT_INTERVAL
    heapq.heapify(events)
    waits, missed, total = [], 0, 0
    while events:
        now, _, _, kind, item = heapq.heappop(events)
        order += 1
        match kind:
            case 'arrive':
                policy = policies[item.node]
                records = [group.record for group in fleet]
                record, ticket = policy.choose(records, item, now)
                group = by_name[record.name]
                place = PLACES[item.node % len(PLACES)]
                trip = ROUND_TRIP if record.data_centre != place else 0.0
                first, done, missing = group.serve(item, now + trip / 2)
                waits.append(first + trip / 2 - now)
                missed += missing
                total += len(item.blocks)
                for at, what in ((first, 'first'), (done, 'end')):
                    entry = (policy, ticket, at)
                    heapq.heappush(events, (at, 2, order, what, entry))
                    order += 1
            case 'first' | 'end':
                policy, ticket, at = item
                getattr(policy, kind)(ticket, at)
            case 'make':
                report = item.report(now)
                entry = (item, report)
                heapq.heappush(
                    events, (now + REPORT_LAG, 1, order, 'know', entry)
                )
            case 'know':
                group, report = item
                name = group.record.name
                if rng.random() >= EVENT_LOSS:
                    observer = policies[int(name[1:]) % nodes]
                    observer.report(group.record, report)
                known[name] = dataclasses.replace(report, cache_events=())
    return Outcome(waits, 1.0 - missed / total)
