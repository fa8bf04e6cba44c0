"""Servers that have left, of which other nodes were never told (DRAIN).

A node reads the store and passes on what it reads; others rely on it as long
as they hear from it. Its own path to the store fails, the store forgets its
history or comes back from an older copy, nodes start again, and another node
becomes the publisher.
"""

import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from balsamwind import exceptions
from balsamwind.node.tests import update_fleet

QUIET_TIME = 12.0
"""Time after the last trouble in which all nodes come to agree (seconds)."""


def _list_anew(fleet):
    """Read the list as a leader does that takes over."""
    node = fleet.nodes['n0']

    async def read():
        with contextlib.suppress(exceptions.StoreError):
            revision, records = await node.path.list_servers(0.8)
            if not node.registry.is_outdated(revision):
                now = fleet.clock.monotonic()
                node.registry.apply_full_list(records, now, revision)
                node.publisher.publish_news()

    fleet.loop.run_until_complete(read())


@pytest.mark.parametrize(
    'trouble', ['second outage', 'history gone', 'take-over']
)
@pytest.mark.parametrize('fault', ['refused', 'silent'])
@pytest.mark.parametrize('joins', [False, True])
def test_removal_in_the_grace_of_a_publisher_was_never_told(
    trouble, fault, joins
):
    # Only the first list after an outage was told; another list while the
    # publisher kept what it missed told nobody what it lacked (review/11).
    with update_fleet.open_fleet() as fleet:
        path = fleet.nodes['n0'].path
        path.fault = fault
        update_fleet.run(fleet, 3.0)
        path.fault = ''
        update_fleet.run(fleet, 1.2)
        if trouble == 'second outage':
            path.fault = fault
        fleet.store.remove('s0', fleet.clock.monotonic())
        match trouble:
            case 'history gone':
                fleet.store.forget_history()
            case 'take-over':
                _list_anew(fleet)
        update_fleet.run(fleet, 0.3)
        path.fault = ''
        if joins:
            fleet.loop.call_soon(fleet.start_node, 3)
        update_fleet.run(fleet, QUIET_TIME)
        assert fleet.violations == []
        for node in fleet.nodes.values():
            assert node.listed == set(fleet.store.entries)


def test_node_that_missed_a_restore_listed_again_what_had_left():
    # It distrusts the store from an older copy later than the others did, and
    # told them of a server whose removal it had never heard of (DRAIN).
    with update_fleet.open_fleet() as fleet:
        path = fleet.nodes['n0'].path
        path.fault = 'refused'
        update_fleet.run(fleet, 3.0)
        fleet.store.remove('s0', fleet.clock.monotonic())
        update_fleet.run(fleet, 2.0)
        fleet.restore()
        update_fleet.run(fleet, 8.0)
        path.fault = ''
        relisted = []
        for _ in range(140):
            update_fleet.run(fleet, 0.05)
            relisted += [
                (fleet.clock.monotonic(), node.name)
                for node in list(fleet.nodes.values())[1:]
                if 's0' in node.listed
            ]
        assert relisted == []
        assert all(
            node.listed == set(fleet.store.entries)
            for node in fleet.nodes.values()
        )


@pytest.mark.parametrize('learned_after', [0.6, 1.5, 3.0])
@pytest.mark.parametrize('changed_after', [0.0, 0.4, 1.2, 2.4])
@pytest.mark.parametrize('change', ['put', 'removed'])
def test_change_of_a_publisher_that_is_not_believed_was_lost(
    learned_after, changed_after, change
):
    # Nodes ignore its updates for as long as it distrusts a restored store
    # and they no longer do.
    with update_fleet.open_fleet() as fleet:
        fleet.nodes['n0'].path.fault = 'refused'
        update_fleet.run(fleet, 0.2)
        fleet.restore()
        update_fleet.run(fleet, learned_after)
        fleet.nodes['n0'].path.fault = ''
        distrust_left = update_fleet.RESTORE_GRACE - learned_after
        update_fleet.run(fleet, distrust_left + changed_after)
        if change == 'put':
            fleet.store.put('s9')
        else:
            fleet.store.remove('s0', fleet.clock.monotonic())
        update_fleet.run(fleet, update_fleet.DRAIN_TIME)
        for node in fleet.nodes.values():
            assert node.listed == set(fleet.store.entries)


class _UntoldRemovals(stateful.RuleBasedStateMachine):
    """Trouble in any order; what it drops must be told all the same."""

    def __init__(self):
        super().__init__()
        self._stack = contextlib.ExitStack()
        self._fleet = self._stack.enter_context(update_fleet.open_fleet())

    @stateful.rule(
        fault=strategies.sampled_from(['refused', 'silent', '']),
        seconds=strategies.sampled_from([0.1, 0.4, 1.0, 2.0, 3.5]),
    )
    def set_path(self, fault, seconds):
        self._fleet.nodes['n0'].path.fault = fault
        update_fleet.run(self._fleet, seconds)

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def pass_time(self, seconds):
        update_fleet.run(self._fleet, seconds)

    @stateful.rule(server_id=strategies.sampled_from(update_fleet.SERVER_IDS))
    def remove_server(self, server_id):
        self._fleet.store.remove(server_id, self._fleet.clock.monotonic())

    @stateful.rule(server_id=strategies.sampled_from(update_fleet.SERVER_IDS))
    def put_server(self, server_id):
        self._fleet.store.put(server_id)

    @stateful.rule()
    def forget_history(self):
        self._fleet.store.forget_history()

    @stateful.rule()
    def copy_store(self):
        self._fleet.store.copy = dict(self._fleet.store.entries)

    @stateful.rule()
    def restore_store(self):
        self._fleet.restore()

    @stateful.rule()
    def take_over(self):
        _list_anew(self._fleet)

    @stateful.rule(rank=strategies.integers(0, len(update_fleet.NODES) - 1))
    def start_node_again(self, rank):
        self._fleet.loop.call_soon(self._fleet.start_node, rank)
        update_fleet.run(self._fleet, 0.1)

    def teardown(self):
        fleet = self._fleet
        fleet.nodes['n0'].path.fault = ''
        update_fleet.run(fleet, QUIET_TIME)
        listed = {node.name: node.listed for node in fleet.nodes.values()}
        violations = fleet.violations
        self._stack.close()
        assert violations == []
        assert listed == dict.fromkeys(
            update_fleet.NODES, set(fleet.store.entries)
        )


_UntoldRemovals.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=12, deadline=None
)

TestUntoldRemovals = _UntoldRemovals.TestCase
