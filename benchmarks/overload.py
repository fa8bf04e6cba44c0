"""Load shedding under overload: priorities, fairness and rejection time.

Offers three times the capacity of the slots to the request queue, and to two
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
"""Maximum number of running requests (count)."""

MAX_WAITING = 40
"""Maximum number of waiting requests (count)."""

MAX_WAIT = 2.0
"""Longest expected wait with which a request is queued (seconds)."""

SERVICE_TIME = 0.5
"""Mean of the exponential service time of a request (seconds)."""

DURATION = 120.0
"""Time over which requests arrive (seconds)."""

CUSTOMERS = (
    # Name, priority, requests a second; the slots serve 40 a second.
    ('counter', 7, 15.0),
    ('heavy', 5, 60.0),
    ('light', 5, 15.0),
    ('middle', 5, 20.0),
    ('batch', 2, 10.0),
)


@dataclasses.dataclass(slots=True)
class RunSummary:
    """Result of one run.

    Parameters
    ----------
    served_by_priority : dict of int to float
        Priority -> share of requests served.
    jain : float
        Jain's fairness index of the requests served for the customers of
        priority 5; all three ask for more than an equal part.
    reject_p95 : float
        95th percentile of the time from the arrival of a request to its
        rejection (seconds).
    wait_p95 : float
        95th percentile of the wait of the requests that ran (seconds).
    """

    served_by_priority: dict
    jain: float
    reject_p95: float
    wait_p95: float


class FifoQueue:
    """First-in first-out queue that ignores priorities and deadlines.

    It has the interface of `balsamwind.admission.RequestQueue`.

    Parameters
    ----------
    depth : int
        Maximum number of waiting requests (count).
    """

    def __init__(self, depth):
        self._queue = collections.deque()
        self._depth = depth
        self._running = 0

    def offer(self, request, now):
        """Start, queue or shed a request that arrives.

        Parameters
        ----------
        request : balsamwind.admission.QueuedRequest
            The request.
        now : float
            Time (seconds); not used.

        Returns
        -------
        list of balsamwind.admission.Start or balsamwind.admission.Shed
            Decisions; empty if the request waits.
        """
        if self._running < SLOTS:
            self._running += 1
            return [admission.Start(request)]
        if len(self._queue) >= self._depth:
            return [admission.Shed(request, 1.0)]
        self._queue.append(request)
        return []

    def finish(self, started_at, now):
        """Free the slot of a request that ended, or start the next one in it.

        Parameters
        ----------
        started_at : float
            Time at which the request started (seconds); not used.
        now : float
            Time (seconds); not used.

        Returns
        -------
        list of balsamwind.admission.Start
            Decisions; empty if no request waits.
        """
        if not self._queue:
            self._running -= 1
            return []
        return [admission.Start(self._queue.popleft())]

    def expire(self, now):
        """Shed no request, as deadlines are ignored.

        Parameters
        ----------
        now : float
            Time (seconds); not used.

        Returns
        -------
        list
            Always empty.
        """
        return []


def make_policy(policy_name):
    """Create a policy.

    Parameters
    ----------
    policy_name : str
        ``queue`` for the request queue, ``fifo`` for a first-in first-out
        queue of the same depth, ``none`` for slots without a queue.

    Returns
    -------
    balsamwind.admission.RequestQueue or FifoQueue
    """
    match policy_name:
        case 'queue':
            return admission.RequestQueue(SLOTS, MAX_WAITING, MAX_WAIT)
        case 'fifo':
            return FifoQueue(MAX_WAITING)
        case 'none':
            return FifoQueue(0)


def make_arrivals(rng):
    """Generate the requests of all customers.

    Parameters
    ----------
    rng : random.Random
        Source of the times between arrivals.

    Returns
    -------
    list of balsamwind.admission.QueuedRequest
        Requests in the order of arrival, each with a deadline of 10 seconds.
    """
    requests = []
    for customer, priority, rate in CUSTOMERS:
        at = 0.0
        while at < DURATION:
            at += rng.expovariate(rate)
            requests.append(
                admission.QueuedRequest(customer, priority, at + 10, at)
            )
    return sorted(requests, key=lambda request: request.arrived_at)


def run(policy_name, seed):
    """Simulate one policy under overload.

    Parameters
    ----------
    policy_name : str
        Name of the policy, as for `make_policy`.
    seed : int
        Seed of arrivals and service times.

    Returns
    -------
    RunSummary
    """
    rng = random.Random(seed)
    policy = make_policy(policy_name)
    arrivals = make_arrivals(rng)
    sequence = itertools.count()
    events = [(t.arrived_at, next(sequence), t, None) for t in arrivals]
    heapq.heapify(events)
    waits = {}
    rejection_times = []
    while events:
        now, _, request, started_at = heapq.heappop(events)
        decisions = policy.expire(now)
        if started_at is None:
            decisions += policy.offer(request, now)
        else:
            decisions += policy.finish(started_at, now)
        for decision in decisions:
            match decision:
                case admission.Start(request=started):
                    waits[started] = now - started.arrived_at
                    end = now + rng.expovariate(1 / SERVICE_TIME)
                    event = (end, next(sequence), started, now)
                    heapq.heappush(events, event)
                case admission.Shed(request=shed):
                    rejection_times.append(now - shed.arrived_at)
    return _summarize(arrivals, waits, rejection_times)


def _summarize(arrivals, waits, rejection_times):
    offered = collections.Counter(t.priority for t in arrivals)
    served = collections.Counter(t.priority for t in waits)
    served_by_customer = collections.Counter(
        t.customer for t in waits if t.priority == 5
    )
    counts = list(served_by_customer.values())
    jain = sum(counts) ** 2 / (len(counts) * sum(c * c for c in counts))
    return RunSummary(
        {p: served[p] / offered[p] for p in sorted(offered)},
        jain,
        _quantile(rejection_times, 0.95),
        _quantile(list(waits.values()), 0.95),
    )


def _quantile(values, fraction):
    values = sorted(values)
    return values[int(fraction * (len(values) - 1))] if values else 0.0


def main():
    """Print one line for each policy and seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    for policy_name in ('queue', 'fifo', 'none'):
        for seed in range(1, options.seeds + 1):
            summary = run(policy_name, seed)
            served = ' '.join(
                f'p{priority} {share:.3f}'
                for priority, share in summary.served_by_priority.items()
            )
            print(
                f'{policy_name:5s} seed {seed} served {served}'
                f' jain {summary.jain:.3f}'
                f' reject p95 {summary.reject_p95:.2f} s'
                f' wait p95 {summary.wait_p95:.2f} s'
            )


if __name__ == '__main__':
    main()
