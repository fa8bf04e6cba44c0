"""A group serves only while fresh reports of all members match its record.

These tests guard against requests to a group that lacks a member, or whose
members run another generation, model or version.
"""

import pytest

from balsamwind import catalogue
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

MEMBER_VMS = ('v0', 'v1')
STALE_AFTER = 3.0


def make_record(revision=1, generation=1, state=objects.GroupState.READY):
    members = tuple(objects.Member(vm, f'{vm}:1') for vm in MEMBER_VMS)
    group = objects.Group(
        'g', 'c', 'm', '1', 'dc', 'd', members, generation, state
    )
    return objects.ObjectVersion('group', 'g', revision, group)


def make_report(vm, generation=1, state=ports.EngineState.READY):
    return ports.EngineReport(vm, state, 'g', generation, 'm', '1')


class GroupTableHarness:
    """A table of one group with two members, and its inputs."""

    def __init__(self):
        self.catalogue = catalogue.ObjectCache()
        self.observations = membership.Observations(STALE_AFTER)
        self.groups = membership.GroupTable(self.catalogue, self.observations)
        self.catalogue.apply(make_record(), 0.0)
        for vm in MEMBER_VMS:
            self.observe(vm, 0.0)

    def observe(self, vm, now, reachable=True, **report):
        report = make_report(vm, **report)
        self.observations.update(vm, reachable, report, 'a', now)

    def serves(self, now):
        return bool(self.groups.find_serving_groups('c', 'm', now))


def change_nothing(harness):
    """Change nothing, so that the reports become stale."""


def mark_down(harness):
    harness.groups.mark_down('g', 1, 'seen', 1.0)


def change_record(harness):
    harness.catalogue.apply(make_record(2, 2), 1.0)
    harness.groups.invalidate()


def drain_record(harness):
    harness.catalogue.apply(
        make_record(2, state=objects.GroupState.DRAINING), 1.0
    )
    harness.groups.invalidate()


def list_as_leaving(harness):
    listed_vm = ports.ListedVm(
        'v1', 'v1:1', 'dc', 'd', 2, ports.VmState.LEAVING
    )
    harness.groups.listed_vms = {'v1': listed_vm}


def withdraw_view(harness):
    harness.observations.withdraw_view('v1', 'a')


@pytest.mark.parametrize(
    'event, serves_at, fails_at',
    [
        (change_nothing, 2.9, 3.2),
        (
            lambda harness: harness.observations.record_heartbeat(
                'a', 2.0, 0.5
            ),
            4.4,
            4.7,
        ),
        (withdraw_view, 2.9, 3.2),
        (mark_down, None, 1.0),
        (change_record, None, 1.0),
        (drain_record, None, 1.0),
        (list_as_leaving, None, 2.1),
        (
            lambda harness: harness.observe('v1', 1.0, reachable=False),
            None,
            2.1,
        ),
        (lambda harness: harness.observe('v1', 1.0, generation=2), None, 2.1),
        (
            lambda harness: harness.observe(
                'v1', 1.0, state=ports.EngineState.BROKEN
            ),
            None,
            2.1,
        ),
    ],
)
def test_group_stops_serving(event, serves_at, fails_at):
    harness = GroupTableHarness()
    assert harness.serves(0.0)
    assert harness.serves(0.9)
    event(harness)
    if serves_at is not None:
        for step in range(10, int(serves_at * 10) + 1):
            assert harness.serves(step / 10)
    assert not harness.serves(fails_at)


def test_group_serves_again_on_fresh_evidence():
    harness = GroupTableHarness()
    assert harness.serves(0.0)
    assert not harness.serves(4.0)
    harness.observations.record_heartbeat('a', 4.1, 0.2)
    assert harness.serves(4.2)
    harness.groups.mark_down('g', 1, 'seen', 5.0)
    assert not harness.serves(5.0)
    harness.observe('v0', 5.5)
    assert not harness.serves(5.6)
    harness.observe('v1', 5.6)
    assert harness.serves(5.8)
