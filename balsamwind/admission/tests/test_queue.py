"""Tests of the request queue: order, shedding and fairness."""

import collections

from hypothesis import given
from hypothesis import strategies
import pytest

from balsamwind import admission
from benchmarks import overload


def make_request(customer='a', priority=5, deadline=100.0, arrived_at=0.0):
    return admission.QueuedRequest(customer, priority, deadline, arrived_at)


def make_queue(max_running=1, max_waiting=10, max_wait=50.0):
    return admission.RequestQueue(max_running, max_waiting, max_wait)


def collect_start_order(queue, count):
    """End `count` requests; return what starts, as (customer, priority)."""
    order = []
    for _ in range(count):
        for decision in queue.finish(0.0, 1.0):
            order.append(
                (decision.request.customer, decision.request.priority)
            )
    return order


def test_request_starts_at_once_below_max_running():
    queue = make_queue(max_running=2)
    kinds = [type(queue.offer(make_request(), 0.0)[0]) for _ in range(3)]
    assert kinds == [admission.Start, admission.Start, admission.Enqueue]


@pytest.mark.parametrize(
    'waiting, order',
    [
        ([('a', 3), ('a', 7), ('b', 5)], [('a', 7), ('b', 5), ('a', 3)]),
        (
            [('a', 5), ('a', 5), ('a', 5), ('b', 5), ('c', 5)],
            [('a', 5), ('b', 5), ('c', 5), ('a', 5), ('a', 5)],
        ),
    ],
)
def test_priority_then_round_robin_order(waiting, order):
    queue = make_queue()
    queue.offer(make_request('first'), 0.0)
    for customer, priority in waiting:
        queue.offer(make_request(customer, priority), 0.0)
    assert collect_start_order(queue, len(waiting)) == order


@pytest.mark.parametrize(
    'priority, customer, victim',
    [
        (9, 'c', ('a', 2)),
        (2, 'c', ('a', 2)),
        (2, 'a', ('a', 2)),
        (1, 'c', ('c', 1)),
    ],
)
def test_full_queue_sheds_lowest_priority(priority, customer, victim):
    queue = make_queue(max_waiting=3)
    queue.offer(make_request('first'), 0.0)
    for waiting in (('a', 2), ('a', 2), ('b', 2)):
        queue.offer(make_request(*waiting), 0.0)
    decisions = queue.offer(make_request(customer, priority), 0.0)
    shed = [d for d in decisions if isinstance(d, admission.Shed)]
    assert [(d.request.customer, d.request.priority) for d in shed] == [victim]
    assert shed[0].retry_after > 0.0
    assert queue.waiting == 3


@pytest.mark.parametrize(
    'deadline, max_wait, kind',
    [
        (10.0, 50.0, admission.Enqueue),
        (2.5, 50.0, admission.Shed),
        (10.0, 2.5, admission.Shed),
    ],
)
def test_request_is_shed_on_arrival_if_expected_wait_is_too_long(
    deadline, max_wait, kind
):
    queue = make_queue(max_wait=max_wait)
    queue.offer(make_request(), 0.0)
    for _ in range(2):
        queue.offer(make_request(), 0.0)
    decisions = queue.offer(make_request(deadline=deadline), 0.0)
    assert [type(decision) for decision in decisions] == [kind]


def test_waiting_request_is_shed_at_its_deadline():
    queue = make_queue()
    queue.offer(make_request(), 0.0)
    queue.offer(make_request('late', deadline=3.0), 0.0)
    assert queue.expire(2.9) == []
    assert queue.expire(3.0)[0].request.customer == 'late'
    assert queue.waiting == 0
    assert queue.finish(0.0, 4.0) == []


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('offer', 'finish', 'cancel', 'expire')),
            strategies.sampled_from('abc'),
            strategies.integers(0, 3),
        ),
        max_size=80,
    )
)
def test_every_request_gets_one_outcome(steps):
    # A request that is both started and shed would be answered twice; one
    # that leaves the queue without an outcome would wait forever.
    queue = make_queue(max_running=3, max_waiting=4, max_wait=6.0)
    outcomes = collections.Counter()
    offered = []
    running = 0
    for now, (action, customer, priority) in enumerate(steps):
        decisions = []
        if action == 'offer':
            request = make_request(customer, priority, now + 8.0, float(now))
            offered.append(request)
            decisions = queue.offer(request, float(now))
        elif action == 'finish' and running:
            running -= 1
            decisions = queue.finish(now - 1.0, float(now))
        elif action == 'cancel' and offered:
            if queue.cancel(offered[-1]):
                outcomes[offered[-1]] += 1
        elif action == 'expire':
            decisions = queue.expire(float(now))
        for decision in decisions:
            if not isinstance(decision, admission.Enqueue):
                outcomes[decision.request] += 1
            running += isinstance(decision, admission.Start)
        assert queue.running == running <= 3
        assert queue.waiting <= 4
    assert all(count == 1 for count in outcomes.values())
    assert len(offered) == len(outcomes) + queue.waiting


@pytest.mark.parametrize('seed', [1, 2])
def test_fairness_and_fast_rejection_under_overload(seed):
    figures = overload.run('queue', seed)
    served = figures.served_by_priority
    assert served[7] >= 0.99
    assert served[2] <= served[5] <= served[7]
    assert figures.jain >= 0.95
    assert figures.reject_p95 <= 2.0
