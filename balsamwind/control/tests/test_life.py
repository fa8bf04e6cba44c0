"""Next step of one group, by its state and the reports of its members."""

import pytest

from balsamwind import control
from balsamwind.control.tests import fleet
from balsamwind import objects
from balsamwind import ports

State = objects.GroupState
Engine = ports.EngineState
VMS = [f'a-d0-{index}' for index in range(4)]


def make_fleet(state, **changes):
    vm_fleet = fleet.Fleet({'a-d0': 4})
    vm_fleet.put_contract('c', 5, 1, {'a': 1})
    vm_fleet.put_group('g', 'c', VMS, state=state, **changes)
    return vm_fleet


def observe_member(
    vm_fleet, vm, state=Engine.READY, seen_at=fleet.NOW, **fields
):
    """Record a report of a member; `fields` differ from the expected ones."""
    fields = {
        'group': 'g',
        'generation': 1,
        'model': 'm',
        'version': 'v1',
        'cached': ('m@v1',),
        **fields,
    }
    report = ports.EngineReport(vm=vm, state=state, **fields)
    vm_fleet.observations.update(vm, True, report, 'n', seen_at)


@pytest.mark.parametrize(
    'running, in_flight, seen_ago, down, state',
    [
        (0, 0, 0.0, False, State.RELEASING),
        (1, 0, 0.0, False, None),
        (0, 1, 0.0, False, None),
        (0, 0, 9.0, False, None),
        (1, 1, 0.0, True, State.RELEASING),
    ],
)
def test_draining_group_is_released_when_idle(
    running, in_flight, seen_ago, down, state
):
    vm_fleet = make_fleet(State.DRAINING)
    vm_fleet.group_in_flight = {'g': in_flight}
    vm_fleet.observations = type(vm_fleet.observations)(3.0)
    observe_member(
        vm_fleet, VMS[0], running=running, seen_at=fleet.NOW - seen_ago
    )
    if down:
        vm_fleet.record_observation(VMS[1], 2.0)
    written = vm_fleet.plan_group_writes().get('g')
    assert (written.state if written else None) is state


@pytest.mark.parametrize(
    'member, other_down, state',
    [
        ({'state': Engine.EMPTY}, False, State.LOADING),
        ({'generation': 0}, False, State.LOADING),
        ({'group': 'h'}, False, State.LOADING),
        ({'version': 'v0'}, False, State.LOADING),
        ({'state': Engine.BROKEN}, False, None),
        ({'state': Engine.BROKEN, 'seen_at': 900.0}, False, State.LOADING),
        ({'state': Engine.BROKEN, 'seen_at': 900.0}, True, None),
        ({'state': Engine.LOADING}, False, None),
        ({'state': Engine.LOADING, 'seen_at': 300.0}, False, State.LOADING),
    ],
)
def test_ready_group_reloads_after_lost_state(member, other_down, state):
    """A member that lost its state causes one new generation, not two.

    The other members also report a broken group, which must not raise the
    generation a second time.
    """
    vm_fleet = make_fleet(State.READY)
    observe_member(vm_fleet, VMS[0], **member)
    observe_member(vm_fleet, VMS[0], **{**member, 'seen_at': fleet.NOW})
    if other_down:
        vm_fleet.record_observation(VMS[1], 0.5)
    written = vm_fleet.plan_group_writes().get('g')
    assert (written.state if written else None) is state
    assert written is None or written.generation == 2


@pytest.mark.parametrize(
    'state, version, state_after',
    [
        (State.FORMING, 'v1', State.LOADING),
        (State.FORMING, 'v0', State.RELEASING),
        (State.LOADING, 'v1', State.READY),
        (State.LOADING, 'v0', State.RELEASING),
    ],
)
def test_group_without_matching_terms_is_released_before_serving(
    state, version, state_after
):
    vm_fleet = make_fleet(state)
    group = vm_fleet.catalogue.get_value('group', 'g')
    vm_fleet.put(
        'group',
        'g',
        type(group)(**{**_fields(group), 'version': version}),
    )
    assert vm_fleet.plan_group_writes()['g'].state is state_after


def _fields(group):
    return {name: getattr(group, name) for name in group.__slots__}


@pytest.mark.parametrize('down, planned', [(1, True), (3, True), (4, False)])
def test_no_decisions_for_partitioned_data_centre(down, planned):
    vm_fleet = make_fleet(State.READY)
    for vm in VMS[:down]:
        vm_fleet.record_observation(vm, 900.0)
    decisions = control.plan_groups(vm_fleet.view(), 'a', 1)
    assert bool(decisions) is planned


@pytest.mark.parametrize(
    'waiting, lost',
    [([], []), (VMS[:1], VMS[:1]), (VMS, [])],
)
def test_straggler_is_replaced_unless_no_member_is_ready(waiting, lost):
    vm_fleet = make_fleet(State.LOADING)
    for vm in waiting:
        observe_member(vm_fleet, vm, Engine.LOADING)
    member_status = control.MemberStatus(vm_fleet.view())
    group = vm_fleet.catalogue.get_value('group', 'g')
    assert member_status.find_lost(group, 599.0) == []
    assert member_status.find_lost(group, 601.0) == lost


def test_forming_group_is_released_if_vm_is_claimed():
    vm_fleet = make_fleet(State.FORMING)
    vm_fleet.put('claim', VMS[2], objects.Claim(VMS[2], 'h'))
    written = vm_fleet.plan_group_writes()['g']
    assert written.state is State.RELEASING
    assert VMS[2] in written.reason


@pytest.mark.parametrize(
    'holder, age, deleted',
    [('g', 60.0, False), ('h', 60.0, True), ('h', 1.0, False)],
)
def test_orphaned_claim_is_deleted(holder, age, deleted):
    vm_fleet = fleet.Fleet({'a-d0': 5})
    vm_fleet.put_contract('c', 5, 1, {'a': 1})
    vm_fleet.put_group('g', 'c', VMS)
    spare = 'a-d0-4'
    vm = VMS[0] if holder == 'g' else spare
    claim = objects.Claim(vm, holder)
    vm_fleet.revision += 1
    vm_fleet.catalogue.apply(
        objects.ObjectVersion('claim', vm, vm_fleet.revision, claim),
        fleet.NOW - age,
    )
    decisions = control.plan_groups(vm_fleet.view(), 'a', 1)
    deletions = [d for d in decisions if isinstance(d, control.DeleteObject)]
    assert [d.name for d in deletions] == ([spare] if deleted else [])
