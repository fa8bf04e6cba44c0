"""Orders that engines leave unanswered and may carry out late."""

import asyncio
import dataclasses
import types

import pytest

from balsamwind import exceptions
from balsamwind.node import _action_executor
from balsamwind.node.tests import doubles
from balsamwind import pool
from balsamwind import traffic

JOIN = pool.Join('m.z1.2', 2, 'm', ('e1', 'e2'))

GROUP = ('m.z1.1', 1)

READY = pool.MemberState.READY

CLOSE = pool.Close('m.z1.1', 1, True)


class _Lease:
    """Lease that is held."""

    held = True
    fencing = 4

    def step_down(self, reason):
        self.held = False


class _Platform:
    """Engines that answer orders by script."""

    def __init__(self, results):
        self._results = list(results)

    membership = None

    async def fetch_engine_report(self, record, timeout):
        return pool.ServerReport(1, 7, membership=self.membership)

    async def send_order(self, record, order, fencing, sequence, timeout):
        return self._results.pop(0)


def _make_executor(results, clock):
    executor = _action_executor.ActionExecutor(
        'z1',
        _Platform(results),
        pool.ServerRegistry(),
        _Lease(),
        None,
        clock,
        doubles.Log(),
    )
    return executor, pool.ServerRecord('e1', 'llm', 'x:1', 'z1', born=1)


UNKNOWN = pool.OrderResult.UNKNOWN
BEGUN = pool.OrderResult.BEGUN


@pytest.mark.parametrize(
    ('orders', 'results', 'wait', 'late'),
    [
        pytest.param([JOIN], [UNKNOWN], 12.0, True, id='no answer'),
        pytest.param([JOIN], [UNKNOWN], 14.0, False, id='too late to begin'),
        pytest.param([JOIN], [BEGUN], 0.0, False, id='begun'),
        pytest.param(
            [JOIN, JOIN], [UNKNOWN, BEGUN], 0.0, False, id='begun at last'
        ),
        pytest.param(
            [JOIN, CLOSE],
            [UNKNOWN, BEGUN],
            0.0,
            False,
            id='a later order makes it fail',
        ),
        pytest.param(
            [CLOSE], [UNKNOWN], 0.0, False, id='a close takes nobody away'
        ),
    ],
)
def test_unanswered_join_is_remembered(orders, results, wait, late):
    clock = doubles.Clock()
    executor, record = _make_executor(results, clock)

    async def send_orders():
        for order in orders:
            await executor.orders.send(record, order)

    asyncio.run(send_orders())
    clock.now += wait
    found = executor.orders.find_unanswered(pool.Join)
    assert found == frozenset({'e1'} if late else ())


def test_unanswered_open_is_remembered_apart_from_a_join():
    clock = doubles.Clock()
    executor, record = _make_executor([UNKNOWN, BEGUN], clock)
    asyncio.run(executor.orders.send(record, pool.Open('m.z1.1', 1)))
    assert executor.orders.find_unanswered(pool.Open) == {'e1'}
    assert executor.orders.find_unanswered(pool.Join) == frozenset()
    asyncio.run(executor.orders.send(record, CLOSE))
    assert executor.orders.find_unanswered(pool.Open) == frozenset()


def test_number_from_an_earlier_lease_stood_for_the_state_of_an_engine():
    # Another leader had opened the group that this one formed, which the
    # number of a member does not show; its entry was that of a spare (TWO).
    executor, record = _make_executor([BEGUN, BEGUN], doubles.Clock())
    orders = executor.orders
    asyncio.run(orders.send(record, JOIN))
    orders._platform.membership = pool.Membership(
        JOIN.group, JOIN.epoch, 0, pool.MemberState.OPEN
    )
    orders._lease.fencing += 2
    later = pool.Join('m.z1.3', 3, 'm', ('e1', 'e2'))
    with pytest.raises(exceptions.Conflict):
        asyncio.run(orders.send(record, later))


@pytest.mark.parametrize('first', [pool.Stage('m'), CLOSE])
def test_report_read_for_another_order_stood_for_a_join(first):
    # Its number was remembered, and what else it said was not looked at: a
    # spare by its entry was ordered out of the group that it was in (TWO).
    executor, record = _make_executor([BEGUN, BEGUN], doubles.Clock())
    executor.orders._platform.membership = pool.Membership(
        'm.z1.1', 1, 1, READY
    )
    asyncio.run(executor.orders.send(record, first))
    with pytest.raises(exceptions.Conflict):
        asyncio.run(executor.orders.send(record, JOIN))


def test_head_that_this_leader_has_closed_was_asked_again():
    # Its report is some hundred ms old: it still said that the group was
    # open, and the members waited for the next plans.
    executor, record = _make_executor([BEGUN, BEGUN], doubles.Clock())
    executor.orders._platform.membership = pool.Membership(
        *GROUP, 0, pool.MemberState.OPEN
    )
    head = dataclasses.replace(
        record, membership=pool.Membership(*GROUP, 0, READY)
    )
    asyncio.run(executor.orders.send(head, CLOSE))
    assert asyncio.run(executor.orders.send(head, JOIN)) is BEGUN


def test_head_of_a_group_that_was_opened_again_is_asked():
    """Its entry may be out of date for as long as it is cut off."""
    clock = doubles.Clock()
    executor, record = _make_executor([BEGUN], clock)
    executor._closed_groups.add(('m.z1.1', 1))

    async def wait_state(head, key, states, timeout):
        return 'open'

    executor._wait_state = wait_state
    profile = traffic.EngineProfile((traffic.ModelProfile('m', 2),))
    asyncio.run(executor._open_group(record, 'm.z1.1', 1, profile))
    assert ('m.z1.1', 1) not in executor._closed_groups


def test_staged_engine_passed_for_free_while_it_joined_a_group():
    # It was ordered to join the next group as well (TWO).
    executor, record = _make_executor([], doubles.Clock())

    async def scenario():
        joined, staged = asyncio.Event(), asyncio.Event()
        executor._form_group = lambda action, profile: joined.wait()
        executor._stage_model = lambda engine, model: staged.wait()
        executor.start(pool.FormGroup('m', (record,)), None)
        executor.start(pool.StageModel(record, 'n'), None)
        busy = []
        for event in (staged, joined):
            event.set()
            await asyncio.sleep(0.01)
            busy.append('e1' in executor.busy)
        return busy

    assert asyncio.run(scenario()) == [True, False]


def test_head_closed_under_an_earlier_lease_was_not_asked_again():
    # Another leader had opened its group again; the entry that this one had
    # kept said otherwise, and a member was ordered elsewhere (TWO).
    executor, record = _make_executor([], doubles.Clock())
    executor._prober = types.SimpleNamespace(down=frozenset())
    head = dataclasses.replace(
        record, membership=pool.Membership(*GROUP, 0, READY)
    )
    member = dataclasses.replace(
        record, server_id='e2', membership=pool.Membership(*GROUP, 1, READY)
    )
    for entry in (head, member):
        executor._registry.apply_entry(entry, 0.0)
    # Under its present lease, a head that it has closed is not asked.
    executor._lease.fencing += 2
    executor._closed_groups.add(GROUP)
    assert executor._find_last_heads([member], {}) == []
    executor._lease.fencing += 2
    assert executor._find_last_heads([member], {}) == [head]


@pytest.mark.parametrize(
    ('evidence', 'is_asked'),
    [
        pytest.param(pool.HeadNotServing('e1', READY), True, id='ready'),
        pytest.param(
            pool.HeadNotServing('e1', pool.MemberState.BROKEN),
            False,
            id='broken',
        ),
        pytest.param(pool.HeadSilent('e1', 5.0, 3), False, id='silent'),
    ],
)
def test_head_that_fell_silent_after_the_plan_was_not_asked(
    evidence, is_asked
):
    # Its entry said that it was ready; it had been opened a moment before,
    # and its member was ordered into another group (TWO).
    executor, record = _make_executor([], doubles.Clock())
    executor._prober = types.SimpleNamespace(down=frozenset({'e1'}))
    head = dataclasses.replace(
        record, membership=pool.Membership(*GROUP, 0, READY)
    )
    member = dataclasses.replace(
        record, server_id='e2', membership=pool.Membership(*GROUP, 1, READY)
    )
    executor._registry.apply_entry(head, 0.0)
    found = executor._find_last_heads([member], {'e2': evidence})
    assert found == ([head] if is_asked else [])


@pytest.mark.parametrize('order', [JOIN, CLOSE, pool.Open(*GROUP)])
def test_plan_of_an_earlier_lease_was_carried_out_under_a_later_one(order):
    # What it stood on was judged before another leader led (TWO).
    executor, record = _make_executor([BEGUN], doubles.Clock())
    executor._form_group = lambda action, profile: lose_lease()
    failures = []
    executor._log = types.SimpleNamespace(
        warning=lambda event, **fields: failures.append(event)
    )

    async def lose_lease():
        executor._lease.fencing += 2
        await executor.orders.send(record, order)

    async def scenario():
        executor.start(pool.FormGroup('m', (record,)), None)
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert failures == ['action_failed']
