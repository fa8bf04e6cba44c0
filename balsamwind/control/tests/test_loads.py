"""Order in which loads get tickets of the weight store."""

import asyncio

import pytest

from balsamwind.control import _decisions
from balsamwind.control import _loads
from balsamwind.control.tests import fleet
from balsamwind import exceptions
from balsamwind import ports


class FakeLease:
    """Lease that is held until the time `until`."""

    def __init__(self, until=1e9):
        self.until = until

    def holds(self, now):
        """Whether the lease is held at time `now`."""
        return now < self.until


class FakeClock:
    """Clock whose time does not advance."""

    now = 0.0

    def monotonic(self):
        """Monotonic time (seconds)."""
        return self.now


class FakeWeights:
    """Weight store that returns or raises the items of a list."""

    def __init__(self, answers):
        self.answers = answers
        self.calls = 0

    async def take_ticket(self, model, version):
        """Return the next wait (seconds), or raise the next error."""
        self.calls += 1
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_queue(loads):
    """Make a queue of load orders.

    Parameters
    ----------
    loads : list of (str, int)
        Group and rank of the member of each order. The contract of a group
        whose name starts with ``g<n>`` has priority n.
    """
    vm_fleet = fleet.Fleet({'a-d0': 20})
    queue = _loads.LoadQueue(vm_fleet.catalogue)
    for name in sorted({group for group, _ in loads}):
        priority = int(name[1])
        vm_fleet.put_contract(f'c{name}', priority, 1)
        vm_fleet.put_group(name, f'c{name}', ['a-d0-0', 'a-d0-1'])
    for group, rank in loads:
        order = ports.Order('load', group, 1, 1, 'm', 'v1', rank=rank)
        decision = _decisions.SendOrder(f'a-d0-{rank}', 'h:1', order, True)
        queue.add(f'{group}-{rank}', decision, FakeLease(), 0.0)
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
def test_order_of_loads(loads, expected):
    queue = make_queue(loads)
    actual = []
    while (chosen := queue.peek(0.0)) is not None:
        actual.append(chosen[0])
        queue.remove(chosen[0])
    assert actual == expected


def test_no_request_before_the_time_named_by_the_store():
    queue = make_queue([('g1', 0)])
    queue.defer(2.0, 0.0)
    assert queue.peek(1.9) is None
    assert queue.peek(2.0) is not None


@pytest.mark.parametrize(
    'manager, now', [(FakeLease(), 5.1), (FakeLease(1.0), 1.0)]
)
def test_expired_orders_are_dropped(manager, now):
    queue = make_queue([('g1', 0)])
    _, decision, _ = queue.peek(0.0)
    queue.add('g1-0', decision, manager, 0.0)
    assert queue.peek(now) is None
    assert len(queue) == 0


@pytest.mark.parametrize(
    'order, wanted',
    [
        (ports.Order('load', 'g1', 1, 1), True),
        (ports.Order('load', 'g1', 2, 1), False),
        (ports.Order('load', 'preload/m@v1', 0, 1), False),
    ],
)
def test_orders_for_changed_groups_are_dropped(order, wanted):
    """An order is dropped if its group or the claim of its VM has changed.

    Otherwise a VM that has been claimed in the meantime would load other
    weights.
    """
    queue = make_queue([('g1', 0)])
    queue.remove('g1-0')
    decision = _decisions.SendOrder('a-d0-0', 'h:1', order, True)
    queue.add('new', decision, FakeLease(), 0.0)
    assert (queue.peek(0.0) is not None) is wanted


@pytest.mark.parametrize(
    'answers, given, calls, errors',
    [
        ([0.0, 0.0], ['g9-0', 'g1-0'], 2, 0),
        ([0.0, 3.0], ['g9-0'], 2, 0),
        ([3.0], [], 1, 0),
        ([0.0, exceptions.StoreError('down')], ['g9-0'], 2, 1),
    ],
)
def test_dispatcher(answers, given, calls, errors):
    queue = make_queue([('g1', 0), ('g9', 0)])
    weights = FakeWeights(list(answers))
    actual = []
    failed = []

    async def run():
        dispatcher = _loads.LoadDispatcher(
            queue,
            weights,
            FakeClock(),
            lambda target, decision, manager: actual.append(target),
            failed.append,
        )
        for _ in range(20):
            dispatcher.start()
            await asyncio.sleep(0)
        await dispatcher.close()

    asyncio.run(run())
    assert (actual, weights.calls, len(failed)) == (given, calls, errors)


def test_loading_member_gets_no_second_order():
    """Repeating the order would use a second ticket for the same load."""
    vm_fleet = fleet.Fleet({'a-d0': 4})
    vms = [f'a-d0-{index}' for index in range(4)]
    vm_fleet.put_contract('c', 5, 1, {'a': 1})
    vm_fleet.put_group('g', 'c', vms, state=fleet.objects.GroupState.LOADING)
    vm_fleet.record_observation(
        vms[0], state=ports.EngineState.LOADING, group='g', generation=1
    )
    vm_fleet.record_observation(vms[1])
    decisions = fleet.control.plan_groups(vm_fleet.view(), 'a', 1)
    assert [decision.vm for decision in decisions] == [vms[1]]
