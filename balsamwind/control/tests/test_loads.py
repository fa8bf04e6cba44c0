"""Loads go through the weight store in the order of what they restore."""

import asyncio

import pytest

from balsamwind.control import _decisions
from balsamwind.control import _loads
from balsamwind.control.tests import fleet
from balsamwind import exceptions
from balsamwind import ports


class FakeKeeper:
    """Lease that is held until some time."""

    def __init__(self, until=1e9):
        self.until = until

    def holds(self, now):
        """Whether it is held."""
        return now < self.until


class FakeClock:
    """Clock that stands still."""

    now = 0.0

    def monotonic(self):
        """Monotonic time (seconds)."""
        return self.now


class FakeWeights:
    """Weight store that gives the answers of a list."""

    def __init__(self, answers):
        self.answers = answers
        self.calls = 0

    async def take_ticket(self, model, version):
        """Next answer."""
        self.calls += 1
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_queue(loads):
    """Queue of (group, rank) pairs; g<n> is of a contract of priority n."""
    made = fleet.Fleet({'a-d0': 20})
    queue = _loads.LoadQueue(made.catalogue)
    for name in sorted({group for group, _ in loads}):
        priority = int(name[1])
        made.contract(f'c{name}', priority, 1)
        made.group(name, f'c{name}', ['a-d0-0', 'a-d0-1'])
    for group, rank in loads:
        order = ports.Order('load', group, 1, 1, 'm', 'v1', rank=rank)
        decision = _decisions.SendOrder(f'a-d0-{rank}', 'h:1', order, True)
        queue.offer(f'{group}-{rank}', decision, FakeKeeper(), 0.0)
    return queue


@pytest.mark.parametrize(
    'loads, expected',
    [
        ([('g1', 0), ('g9', 0), ('g5', 0)], ['g9-0', 'g5-0', 'g1-0']),
        ([('g9', 1), ('g9', 0), ('g1', 0)], ['g9-0', 'g9-1', 'g1-0']),
        (
            [('g5a', 0), ('g5a', 1), ('g5b', 0)],
            ['g5b-0', 'g5a-0', 'g5a-1'],
        ),
    ],
)
def test_order(loads, expected):
    queue = make_queue(loads)
    got = []
    while (chosen := queue.next(0.0)) is not None:
        got.append(chosen[0])
        queue.done(chosen[0])
    assert got == expected


def test_no_question_before_the_store_said_so():
    queue = make_queue([('g1', 0)])
    queue.defer(2.0, 0.0)
    assert queue.next(1.9) is None
    assert queue.next(2.0) is not None


@pytest.mark.parametrize(
    'keeper, now', [(FakeKeeper(), 5.1), (FakeKeeper(1.0), 1.0)]
)
def test_old_orders_are_dropped(keeper, now):
    queue = make_queue([('g1', 0)])
    _, decision, _ = queue.next(0.0)
    queue.offer('g1-0', decision, keeper, 0.0)
    assert queue.next(now) is None
    assert len(queue) == 0


@pytest.mark.parametrize(
    'order, wanted',
    [
        (ports.Order('load', 'g1', 1, 1), True),
        (ports.Order('load', 'g1', 2, 1), False),
        (ports.Order('load', 'preload/m@v1', 0, 1), False),
    ],
)
def test_outdated_orders_are_dropped(order, wanted):
    """A VM that was claimed since must not be loaded with other weights."""
    queue = make_queue([('g1', 0)])
    queue.done('g1-0')
    decision = _decisions.SendOrder('a-d0-0', 'h:1', order, True)
    queue.offer('new', decision, FakeKeeper(), 0.0)
    assert (queue.next(0.0) is not None) is wanted


@pytest.mark.parametrize(
    'answers, given, calls, errors',
    [
        ([0.0, 0.0], ['g9-0', 'g1-0'], 2, 0),
        ([0.0, 3.0], ['g9-0'], 2, 0),
        ([3.0], [], 1, 0),
        ([0.0, exceptions.StoreError('down')], ['g9-0'], 2, 1),
    ],
)
def test_pump(answers, given, calls, errors):
    queue = make_queue([('g1', 0), ('g9', 0)])
    weights = FakeWeights(list(answers))
    got = []
    failed = []

    async def run():
        pump = _loads.LoadDispatcher(
            queue,
            weights,
            FakeClock(),
            lambda target, decision, keeper: got.append(target),
            failed.append,
        )
        for _ in range(20):
            pump.start()
            await asyncio.sleep(0)
        await pump.close()

    asyncio.run(run())
    assert (got, weights.calls, len(failed)) == (given, calls, errors)


def test_loading_member_gets_no_second_order():
    """A repeated order would take a second ticket for the same load."""
    made = fleet.Fleet({'a-d0': 4})
    vms = [f'a-d0-{index}' for index in range(4)]
    made.contract('c', 5, 1, {'a': 1})
    made.group('g', 'c', vms, state=fleet.objects.GroupState.LOADING)
    made.report(
        vms[0], state=ports.EngineState.LOADING, group='g', generation=1
    )
    made.report(vms[1])
    decisions = fleet.control.plan_groups(made.view(), 'a', 1)
    assert [decision.vm for decision in decisions] == [vms[1]]
