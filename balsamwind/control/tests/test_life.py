"""Next step of one group, by what is seen of it."""

import pytest

from balsamwind import control
from balsamwind.control.tests import fleet
from balsamwind import objects
from balsamwind import ports

State = objects.GroupState
Engine = ports.EngineState
VMS = [f'a-d0-{index}' for index in range(4)]


def make_fleet(state, **changes):
    made = fleet.Fleet({'a-d0': 4})
    made.contract('c', 5, 1, {'a': 1})
    made.group('g', 'c', VMS, state=state, **changes)
    return made


def see(made, vm, state=Engine.READY, seen_at=fleet.NOW, **fields):
    """Let a member report; what is not said is as it should be."""
    fields = {
        'group': 'g',
        'generation': 1,
        'model': 'm',
        'version': 'v1',
        'cached': ('m@v1',),
        **fields,
    }
    report = ports.EngineReport(vm=vm, state=state, **fields)
    made.observations.update(vm, True, report, 'n', seen_at)


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
def test_drained_group_is_released_when_idle(
    running, in_flight, seen_ago, down, state
):
    made = make_fleet(State.DRAINING)
    made.group_in_flight = {'g': in_flight}
    made.observations = type(made.observations)(3.0)
    see(made, VMS[0], running=running, seen_at=fleet.NOW - seen_ago)
    if down:
        made.report(VMS[1], 2.0)
    written = made.groups().get('g')
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
def test_ready_group_is_loaded_anew(member, other_down, state):
    """A loss costs one generation, not one for its echo and one more."""
    made = make_fleet(State.READY)
    see(made, VMS[0], **member)
    see(made, VMS[0], **{**member, 'seen_at': fleet.NOW})
    if other_down:
        made.report(VMS[1], 0.5)
    written = made.groups().get('g')
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
def test_group_that_never_served_is_dropped_if_unwanted(
    state, version, state_after
):
    made = make_fleet(state)
    group = made.catalogue.value('group', 'g')
    made.put(
        'group',
        'g',
        type(group)(**{**_fields(group), 'version': version}),
    )
    assert made.groups()['g'].state is state_after


def _fields(group):
    return {name: getattr(group, name) for name in group.__slots__}


@pytest.mark.parametrize('down, planned', [(1, True), (3, True), (4, False)])
def test_nothing_is_done_in_a_dark_data_centre(down, planned):
    made = make_fleet(State.READY)
    for vm in VMS[:down]:
        made.report(vm, 900.0)
    decisions = control.plan_groups(made.view(), 'a', 1)
    assert bool(decisions) is planned


@pytest.mark.parametrize(
    'waiting, lost',
    [([], []), (VMS[:1], VMS[:1]), (VMS, [])],
)
def test_straggler_is_replaced_unless_all_wait(waiting, lost):
    made = make_fleet(State.LOADING)
    for vm in waiting:
        see(made, vm, Engine.LOADING)
    members = control.MemberStatus(made.view())
    group = made.catalogue.value('group', 'g')
    assert members.find_lost(group, 599.0) == []
    assert members.find_lost(group, 601.0) == lost


def test_group_yields_a_vm_that_another_has_claimed():
    made = make_fleet(State.FORMING)
    made.put('claim', VMS[2], objects.Claim(VMS[2], 'h'))
    written = made.groups()['g']
    assert written.state is State.RELEASING
    assert VMS[2] in written.reason


@pytest.mark.parametrize(
    'holder, age, deleted',
    [('g', 60.0, False), ('h', 60.0, True), ('h', 1.0, False)],
)
def test_claim_without_its_group_is_deleted(holder, age, deleted):
    made = fleet.Fleet({'a-d0': 5})
    made.contract('c', 5, 1, {'a': 1})
    made.group('g', 'c', VMS)
    spare = 'a-d0-4'
    vm = VMS[0] if holder == 'g' else spare
    claim = objects.Claim(vm, holder)
    made.revision += 1
    made.catalogue.apply(
        objects.Stored('claim', vm, made.revision, claim), fleet.NOW - age
    )
    decisions = control.plan_groups(made.view(), 'a', 1)
    gone = [d for d in decisions if isinstance(d, control.DeleteObject)]
    assert [d.name for d in gone] == ([spare] if deleted else [])
