"""A lease has one holder, and its fencing number only grows."""

import pytest

from balsamwind import control
from balsamwind import objects


def make_keeper(node, extra_wait=0.0):
    return control.LeaseKeeper('s', node, 10.0, 1.0, extra_wait)


def test_successor_waits_out_the_holder():
    first, second = make_keeper('a'), make_keeper('b')
    write = first.plan(None, 0.0, 0.0, 'op1')
    first.accept(write.value, sent_at=0.0)
    stored = objects.Stored('lease', 's', 1, write.value)
    assert second.plan(stored, 10.9, 10.9, 'op2') is None
    assert not first.holds(10.9)
    taken = second.plan(stored, 11.0, 11.0, 'op3')
    assert taken.expected == 1
    assert taken.value.fencing == 2


def test_paused_holder_takes_a_new_fencing_number():
    keeper = make_keeper('a')
    write = keeper.plan(None, 0.0, 0.0, 'op1')
    keeper.accept(write.value, sent_at=0.0)
    stored = objects.Stored('lease', 's', 1, write.value)
    assert not keeper.holds(60.0)
    assert keeper.plan(stored, 60.0, 60.0, 'op2').value.fencing == 2


@pytest.mark.parametrize(
    'holder, age, now, allowed',
    [
        (None, 0.0, 100.0, True),
        ('a', 30.0, 100.0, False),
        ('a', 30.0, 112.9, False),
        ('a', 30.0, 113.0, True),
        ('', 30.0, 102.9, False),
        ('', 30.0, 103.0, True),
    ],
)
def test_orders_wait_for_those_of_the_previous_holder(
    holder, age, now, allowed
):
    keeper = make_keeper('b')
    stored = None
    if holder is not None:
        lease = objects.Lease('s', holder, 4, 10.0)
        stored = objects.Stored('lease', 's', 1, lease)
    write = keeper.plan(stored, age, 100.0, 'op1')
    keeper.accept(write.value, 100.0, 2)
    keeper.accept(write.value, now, 3)
    assert keeper.may_order(now, 3.0) is allowed
    assert keeper.revision == 2


def test_keeper_that_backs_off_does_not_write():
    keeper = make_keeper('a')
    keeper.back_off(5.0)
    assert keeper.plan(None, 0.0, 4.9, 'op1') is None
    assert keeper.plan(None, 0.0, 5.0, 'op2') is not None
