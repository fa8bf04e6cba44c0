"""Shedding under overload: by priority, fairly, and at once.

Offers three times what the slots can take to the queue, and to two
baselines: a first-in first-out queue of the same depth, and slots without
a queue. Run: ``python -m benchmarks.overload``.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random

from balsamwind import admission

SLOTS = 20
"""Requests that run at one time (count)."""

DEPTH = 40
"""Requests that wait (count)."""

MAX_WAIT = 2.0
"""Longest expected wait (seconds)."""

SERVICE_TIME = 0.5
"""Mean time of a request (seconds)."""

SECONDS = 120.0
"""Length of the run (seconds)."""

CUSTOMERS = (
    # Name, priority, requests a second; 40 a second can be served.
    ('counter', 7, 15.0),
    ('heavy', 5, 60.0),
    ('light', 5, 15.0),
    ('middle', 5, 20.0),
    ('batch', 2, 10.0),
)


@dataclasses.dataclass(slots=True)
class Figures:
    """Outcome of one run.

    Parameters
    ----------
    served_by_priority : dict of int to float
        Priority -> share of requests served.
    jain : float
        Fairness among the customers of priority 5, of requests served
        where all three ask for more than an equal part.
    reject_p95 : float
        Time until a rejected request had its final answer (seconds).
    wait_p95 : float
        Wait of those that ran (seconds).
    """

    served_by_priority: dict
    jain: float
    reject_p95: float
    wait_p95: float


class FirstIn:
    """First in, first out, without a look at priority or deadline."""

    def __init__(self, depth):
        self._queue = collections.deque()
        self._depth = depth
        self._running = 0

    def offer(self, ticket, now):
        """Take in a request."""
        if self._running < SLOTS:
            self._running += 1
            return [admission.Start(ticket)]
        if len(self._queue) >= self._depth:
            return [admission.Shed(ticket, 1.0)]
        self._queue.append(ticket)
        return []

    def finish(self, started_at, now):
        """Note the end of a request."""
        if not self._queue:
            self._running -= 1
            return []
        return [admission.Start(self._queue.popleft())]

    def expire(self, now):
        """Shed nothing."""
        return []


def make_policy(name):
    """Policy by its name."""
    match name:
        case 'queue':
            return admission.RequestQueue(SLOTS, DEPTH, MAX_WAIT)
        case 'fifo':
            return FirstIn(DEPTH)
        case 'none':
            return FirstIn(0)


def make_arrivals(rng):
    """Tickets in the order of their arrival."""
    tickets = []
    for customer, priority, rate in CUSTOMERS:
        at = 0.0
        while at < SECONDS:
            at += rng.expovariate(rate)
            tickets.append(admission.Ticket(customer, priority, at + 10, at))
    return sorted(tickets, key=lambda ticket: ticket.arrived_at)


def run(name, seed):
    """Figures of one policy."""
    rng = random.Random(seed)
    policy = make_policy(name)
    arrivals = make_arrivals(rng)
    numbers = itertools.count()
    events = [(t.arrived_at, next(numbers), t, None) for t in arrivals]
    heapq.heapify(events)
    waits = {}
    rejects = []
    while events:
        now, _, ticket, started_at = heapq.heappop(events)
        decisions = policy.expire(now)
        if started_at is None:
            decisions += policy.offer(ticket, now)
        else:
            decisions += policy.finish(started_at, now)
        for decision in decisions:
            match decision:
                case admission.Start(ticket=started):
                    waits[started] = now - started.arrived_at
                    end = now + rng.expovariate(1 / SERVICE_TIME)
                    event = (end, next(numbers), started, now)
                    heapq.heappush(events, event)
                case admission.Shed(ticket=shed):
                    rejects.append(now - shed.arrived_at)
    return _make_figures(arrivals, waits, rejects)


def _make_figures(arrivals, waits, rejects):
    offered = collections.Counter(t.priority for t in arrivals)
    served = collections.Counter(t.priority for t in waits)
    middle = collections.Counter(t.customer for t in waits if t.priority == 5)
    counts = list(middle.values())
    jain = sum(counts) ** 2 / (len(counts) * sum(c * c for c in counts))
    return Figures(
        {p: served[p] / offered[p] for p in sorted(offered)},
        jain,
        _quantile(rejects, 0.95),
        _quantile(list(waits.values()), 0.95),
    )


def _quantile(values, part):
    values = sorted(values)
    return values[int(part * (len(values) - 1))] if values else 0.0


def main():
    """Print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    for name in ('queue', 'fifo', 'none'):
        for seed in range(1, options.seeds + 1):
            figures = run(name, seed)
            served = ' '.join(
                f'p{priority} {share:.3f}'
                for priority, share in figures.served_by_priority.items()
            )
            print(
                f'{name:5s} seed {seed} served {served}'
                f' jain {figures.jain:.3f}'
                f' reject p95 {figures.reject_p95:.2f} s'
                f' wait p95 {figures.wait_p95:.2f} s'
            )


if __name__ == '__main__':
    main()
