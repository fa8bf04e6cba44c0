"""A group serves only on evidence that is whole, fresh and its own."""

import pytest

from balsamwind import catalogue
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

VMS = ('v0', 'v1')
STALE_AFTER = 3.0


def make_record(revision=1, generation=1, state=objects.GroupState.READY):
    members = tuple(objects.Member(vm, f'{vm}:1') for vm in VMS)
    group = objects.Group(
        'g', 'c', 'm', '1', 'dc', 'd', members, generation, state
    )
    return objects.Stored('group', 'g', revision, group)


def make_report(vm, generation=1, state=ports.EngineState.READY):
    return ports.EngineReport(vm, state, 'g', generation, 'm', '1')


class Table:
    """A group table, and what it is made from."""

    def __init__(self):
        self.catalogue = catalogue.Catalogue()
        self.observations = membership.Observations(STALE_AFTER)
        self.groups = membership.GroupTable(self.catalogue, self.observations)
        self.catalogue.apply(make_record(), 0.0)
        for vm in VMS:
            self.see(vm, 0.0)

    def see(self, vm, now, reachable=True, **report):
        report = make_report(vm, **report)
        self.observations.update(vm, reachable, report, 'a', now)

    def serves(self, now):
        return bool(self.groups.serving('c', 'm', now))


def go_on(table):
    """Nothing happens."""


def mark_down(table):
    table.groups.mark_down('g', 1, 'seen', 1.0)


def change_record(table):
    table.catalogue.apply(make_record(2, 2), 1.0)
    table.groups.invalidate()


def drain_record(table):
    table.catalogue.apply(
        make_record(2, state=objects.GroupState.DRAINING), 1.0
    )
    table.groups.invalidate()


def leave(table):
    row = ports.ListedVm('v1', 'v1:1', 'dc', 'd', 2, ports.VmState.LEAVING)
    table.groups.listed = {'v1': row}


def drop(table):
    table.observations.drop('v1', 'a')


@pytest.mark.parametrize(
    'event, serves_at, fails_at',
    [
        (go_on, 2.9, 3.2),
        (lambda t: t.observations.hear('a', 2.0, 0.5), 4.4, 4.7),
        (drop, 2.9, 3.2),
        (mark_down, None, 1.0),
        (change_record, None, 1.0),
        (drain_record, None, 1.0),
        (leave, None, 2.1),
        (lambda t: t.see('v1', 1.0, reachable=False), None, 2.1),
        (lambda t: t.see('v1', 1.0, generation=2), None, 2.1),
        (
            lambda t: t.see('v1', 1.0, state=ports.EngineState.BROKEN),
            None,
            2.1,
        ),
    ],
)
def test_group_stops_serving(event, serves_at, fails_at):
    table = Table()
    assert table.serves(0.0)
    assert table.serves(0.9)
    event(table)
    if serves_at is not None:
        for step in range(10, int(serves_at * 10) + 1):
            assert table.serves(step / 10)
    assert not table.serves(fails_at)


def test_group_serves_again_on_fresh_evidence():
    table = Table()
    assert table.serves(0.0)
    assert not table.serves(4.0)
    table.observations.hear('a', 4.1, 0.2)
    assert table.serves(4.2)
    table.groups.mark_down('g', 1, 'seen', 5.0)
    assert not table.serves(5.0)
    table.see('v0', 5.5)
    assert not table.serves(5.6)
    table.see('v1', 5.6)
    assert table.serves(5.8)
