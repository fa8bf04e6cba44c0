"""Lease of a shard: a single holder, and increasing fencing numbers."""

import asyncio
import random

import pytest

from balsamwind import catalogue
from balsamwind import control
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports
from balsamwind import settings


def make_manager(node, extra_takeover_delay=0.0):
    return control.LeaseManager('s', node, 10.0, 1.0, extra_takeover_delay)


def test_candidate_waits_until_the_lease_expires():
    holder, candidate = make_manager('a'), make_manager('b')
    write = holder.plan_write(None, 0.0, 0.0, 'op1')
    holder.confirm_write(write.value, sent_at=0.0)
    stored = objects.ObjectVersion('lease', 's', 1, write.value)
    assert candidate.plan_write(stored, 10.9, 10.9, 'op2') is None
    assert not holder.holds(10.9)
    taken = candidate.plan_write(stored, 11.0, 11.0, 'op3')
    assert taken.expected == 1
    assert taken.value.fencing == 2


def test_paused_holder_reacquires_with_new_fencing_number():
    manager = make_manager('a')
    write = manager.plan_write(None, 0.0, 0.0, 'op1')
    manager.confirm_write(write.value, sent_at=0.0)
    stored = objects.ObjectVersion('lease', 's', 1, write.value)
    assert not manager.holds(60.0)
    assert manager.plan_write(stored, 60.0, 60.0, 'op2').value.fencing == 2


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
def test_orders_wait_until_previous_holder_cannot_order(
    holder, age, now, allowed
):
    manager = make_manager('b')
    stored = None
    if holder is not None:
        lease = objects.Lease('s', holder, 4, 10.0)
        stored = objects.ObjectVersion('lease', 's', 1, lease)
    write = manager.plan_write(stored, age, 100.0, 'op1')
    manager.confirm_write(write.value, 100.0, 2)
    manager.confirm_write(write.value, now, 3)
    assert manager.may_send_orders(now, 3.0) is allowed
    assert manager.revision == 2


def test_no_write_during_backoff():
    manager = make_manager('a')
    manager.back_off(5.0)
    assert manager.plan_write(None, 0.0, 4.9, 'op1') is None
    assert manager.plan_write(None, 0.0, 5.0, 'op2') is not None


@pytest.mark.parametrize('holder', [None, ''])
def test_free_lease_is_left_to_its_own_data_centre(holder):
    local, remote = (
        make_manager('a'),
        make_manager('b', extra_takeover_delay=20.0),
    )
    stored = None
    if holder is not None:
        lease = objects.Lease('s', holder, 4, 10.0)
        stored = objects.ObjectVersion('lease', 's', 7, lease)
    assert remote.plan_write(stored, 0.0, 100.0, 'op') is None
    assert local.plan_write(stored, 0.0, 100.0, 'op') is not None
    assert remote.plan_write(stored, 19.9, 119.9, 'op') is None
    assert remote.plan_write(stored, 20.0, 120.0, 'op') is not None


class FakeExecutor:
    """Executor that writes leases to a catalogue and ignores decisions."""

    def __init__(self, known):
        self.known = known

    async def put(self, decision):
        stored = objects.ObjectVersion(
            'lease', decision.name, decision.expected + 1, decision.value
        )
        self.known.apply(stored, 0.0)
        return stored

    def start(self, decisions, manager):
        pass


@pytest.mark.parametrize('candidate, holder', [(True, ''), (False, 'n')])
def test_remote_shard_is_released_to_a_candidate(candidate, holder):
    known = catalogue.ObjectCache()
    node_settings = settings.check_settings(
        {
            'node': {'name': 'n', 'data_centre': 'here'},
            'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
            'platform': {'url': 'http://h:4'},
        }
    )
    rng = random.Random(1)
    row = ports.ListedVm('v', 'h:5', 'there', 'rack')
    observations = membership.Observations(3.0)
    now = [0.0]

    def make_view():
        return control.View(
            known, observations, {'v': row}, node_settings, now[0], 0.0, rng
        )

    controller = control.Controller(
        make_view,
        FakeExecutor(known),
        node_settings,
        rng,
        lambda data_centre: candidate,
    )
    while now[0] < 40.0 and known.get_value('lease', 'there') is None:
        now[0] += 0.5
        asyncio.run(controller.run_round())
    taken_at = now[0]
    assert known.get_value('lease', 'there').holder == 'n'
    while now[0] < taken_at + 13.0:
        now[0] += 0.5
        asyncio.run(controller.run_round())
    assert known.get_value('lease', 'there').holder == holder
