"""What holds for every plan, whatever the fleet looks like."""

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
def fleets(draw):
    """Fleets with groups of 2 and 4, some of them broken."""
    domains = draw(DOMAINS)
    made = fleet.Fleet(domains, stranded_weight=draw(st.sampled_from([0, 1])))
    conditions = draw(CONDITIONS)
    left = {
        key: [f'{key}-{index}' for index in range(count)]
        for key, count in domains.items()
    }
    for index in range(draw(st.integers(0, 5))):
        size = draw(st.sampled_from([2, 4]))
        name = f'c{index}'
        split = {'a': draw(st.integers(0, 2)), 'b': draw(st.integers(0, 1))}
        made.contract(
            name, draw(st.integers(0, 3)), sum(split.values()), split, size
        )
        key = draw(st.sampled_from(sorted(left)))
        if len(left[key]) >= size:
            vms, left[key] = left[key][:size], left[key][size:]
            state = draw(st.sampled_from(list(State)))
            made.group(f'g{index}', name, vms, state=state)
    for vm, condition in zip(sorted(made.listed), conditions):
        match condition:
            case 'new':
                made.report(vm, 2.0)
            case 'old':
                made.report(vm, 500.0)
            case 'leaving':
                made.leave(vm)
            case 'unknown':
                made.observations.update(vm, True, None, 'x', 0.0)
    return made


def check_members(made, group, before):
    """New members are free, up, and of the group's fabric domain."""
    view = made.view()
    old = before.get(group.name, ())
    for vm in group.vms:
        row = made.listed[vm]
        assert row.data_centre == group.data_centre == 'a'
        assert row.fabric_domain == group.fabric_domain
        if vm not in old:
            assert view.observations.is_up(vm, fleet.NOW)
            assert row.state.value == 'live'
            assert view.catalogue.get('claim', vm) is None


@hypothesis.given(fleets())
@hypothesis.settings(max_examples=300)
def test_every_plan(made):
    stored = made.view().catalogue.items('group')
    before = {item.name: item.value.vms for item in stored}
    written = made.groups()
    assert written == made.groups()
    after = {
        item.name: item.value
        for item in stored
        if item.value.state is not State.RELEASING
    }
    after.update(written)
    used = []
    for group in after.values():
        if group.name in written:
            check_members(made, group, before)
        if group.state is not State.RELEASING:
            used.extend(group.vms)
    assert len(used) == len(set(used))


@hypothesis.given(fleets())
@hypothesis.settings(max_examples=100)
def test_nothing_is_decided_twice(made):
    """No group gets two different writes in one round."""
    decisions = control.plan_groups(made.view(), 'a', 1)
    names = [
        decision.name
        for decision in decisions
        if isinstance(decision, control.PutObject) and decision.kind == 'group'
    ]
    assert len(names) == len(set(names))


@hypothesis.given(fleets())
@hypothesis.settings(max_examples=100)
def test_every_allocation(made):
    """No data centre gets more than fits, and priority goes first."""
    known = {
        item.name: item.value
        for item in made.view().catalogue.items('allocation')
    }
    known.update(made.allocations())
    contracts = made.view().catalogue.items('contract')
    room = {}
    for row in made.listed.values():
        lost = made.observations.down_for(row.name, fleet.NOW) > 60.0
        if row.state.value == 'live' and not lost:
            key = row.data_centre, row.fabric_domain
            room[key] = room.get(key, 0) + 1
    used = {}
    for item in contracts:
        terms = item.value.models[0]
        for place, count in known[item.name].replicas['m'].items():
            used[place] = used.get(place, 0) + count * terms.group_size
    for place, count in used.items():
        assert count <= sum(
            value for key, value in room.items() if key[0] == place
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


@hypothesis.given(fleets())
@hypothesis.settings(max_examples=100)
def test_allocation_is_stable(made):
    """A second round over the same fleet changes nothing."""
    for name, value in made.allocations().items():
        made.put('allocation', name, value)
    assert made.allocations() == {}
