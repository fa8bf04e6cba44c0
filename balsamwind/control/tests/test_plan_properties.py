"""Properties that hold for the plans of any fleet."""

import hypothesis
from hypothesis import strategies as st

from balsamwind import control
from balsamwind.control.tests import fleet
from balsamwind import objects

State = objects.GroupState

DOMAINS = st.dictionaries(
    st.sampled_from(['a-d0', 'a-d1', 'a-d2', 'b-d0']),
    st.integers(0, 11),
    min_size=1,
)
CONDITIONS = st.lists(
    st.sampled_from(['up', 'up', 'up', 'new', 'old', 'leaving', 'unknown']),
    min_size=11,
    max_size=44,
)


@st.composite
def fleet_strategy(draw):
    """Generate fleets with groups of 2 and 4 VMs, some of them broken."""
    domains = draw(DOMAINS)
    vm_fleet = fleet.Fleet(
        domains, stranded_weight=draw(st.sampled_from([0, 1]))
    )
    conditions = draw(CONDITIONS)
    unused_vms = {
        key: [f'{key}-{index}' for index in range(count)]
        for key, count in domains.items()
    }
    for index in range(draw(st.integers(0, 5))):
        size = draw(st.sampled_from([2, 4]))
        name = f'c{index}'
        split = {'a': draw(st.integers(0, 2)), 'b': draw(st.integers(0, 1))}
        vm_fleet.put_contract(
            name, draw(st.integers(0, 3)), sum(split.values()), split, size
        )
        key = draw(st.sampled_from(sorted(unused_vms)))
        if len(unused_vms[key]) >= size:
            vms, unused_vms[key] = (
                unused_vms[key][:size],
                unused_vms[key][size:],
            )
            state = draw(st.sampled_from(list(State)))
            vm_fleet.put_group(f'g{index}', name, vms, state=state)
    for vm, condition in zip(sorted(vm_fleet.listed), conditions):
        match condition:
            case 'new':
                vm_fleet.record_observation(vm, 2.0)
            case 'old':
                vm_fleet.record_observation(vm, 500.0)
            case 'leaving':
                vm_fleet.mark_leaving(vm)
            case 'unknown':
                vm_fleet.observations.update(vm, True, None, 'x', 0.0)
    return vm_fleet


def check_members(vm_fleet, group, before):
    """Check that new members are free, up and in the group's fabric domain."""
    view = vm_fleet.view()
    old = before.get(group.name, ())
    for vm in group.vms:
        row = vm_fleet.listed[vm]
        assert row.data_centre == group.data_centre == 'a'
        assert row.fabric_domain == group.fabric_domain
        if vm not in old:
            assert view.observations.is_up(vm, fleet.NOW)
            assert row.state.value == 'live'
            assert view.catalogue.get('claim', vm) is None


@hypothesis.given(fleet_strategy())
@hypothesis.settings(max_examples=300)
def test_members_of_planned_groups(vm_fleet):
    stored = vm_fleet.view().catalogue.list_objects('group')
    before = {item.name: item.value.vms for item in stored}
    written = vm_fleet.plan_group_writes()
    assert written == vm_fleet.plan_group_writes()
    after = {
        item.name: item.value
        for item in stored
        if item.value.state is not State.RELEASING
    }
    after.update(written)
    occupied = []
    for group in after.values():
        if group.name in written:
            check_members(vm_fleet, group, before)
        if group.state is not State.RELEASING:
            occupied.extend(group.vms)
    assert len(occupied) == len(set(occupied))


@hypothesis.given(fleet_strategy())
@hypothesis.settings(max_examples=100)
def test_group_is_written_once_per_round(vm_fleet):
    """No group is written twice in one round."""
    decisions = control.plan_groups(vm_fleet.view(), 'a', 1)
    names = [
        decision.name
        for decision in decisions
        if isinstance(decision, control.PutObject) and decision.kind == 'group'
    ]
    assert len(names) == len(set(names))


@hypothesis.given(fleet_strategy())
@hypothesis.settings(max_examples=100)
def test_allocation_fits_and_respects_priority(vm_fleet):
    """No data centre exceeds its capacity, and priority is respected.

    While a contract is short of replicas, no contract with a lower priority
    and groups of at least its size has any.
    """
    known = {
        item.name: item.value
        for item in vm_fleet.view().catalogue.list_objects('allocation')
    }
    known.update(vm_fleet.plan_allocation_writes())
    contracts = vm_fleet.view().catalogue.list_objects('contract')
    usable = {}
    for row in vm_fleet.listed.values():
        lost = vm_fleet.observations.down_duration(row.name, fleet.NOW) > 60.0
        if row.state.value == 'live' and not lost:
            key = row.data_centre, row.fabric_domain
            usable[key] = usable.get(key, 0) + 1
    occupied = {}
    for item in contracts:
        terms = item.value.models[0]
        for place, count in known[item.name].replicas['m'].items():
            occupied[place] = occupied.get(place, 0) + count * terms.group_size
    for place, count in occupied.items():
        assert count <= sum(
            value for key, value in usable.items() if key[0] == place
        )
    for short in contracts:
        for other in contracts:
            size = other.value.models[0].group_size
            if (
                known[short.name].short
                and other.value.priority < short.value.priority
                and size >= short.value.models[0].group_size
            ):
                assert not known[other.name].total('m')


@hypothesis.given(fleet_strategy())
@hypothesis.settings(max_examples=100)
def test_allocation_is_stable(vm_fleet):
    """A second round over an unchanged fleet writes no allocation."""
    for name, value in vm_fleet.plan_allocation_writes().items():
        vm_fleet.put('allocation', name, value)
    assert vm_fleet.plan_allocation_writes() == {}
