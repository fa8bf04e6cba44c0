"""Groups that are kept up to date entry by entry."""

import hypothesis
from hypothesis import strategies as st
import pytest

from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic

PROFILE = traffic.EngineProfile((traffic.ModelProfile('m', 2),), slots=4)

OTHER_PROFILE = traffic.EngineProfile((traffic.ModelProfile('m', 3),), slots=5)

MEMBERSHIPS = st.none() | st.builds(
    pool.Membership,
    st.sampled_from(['m.z1.1', 'm.z1.2', 'x.z1.3']),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(list(pool.MemberState)),
)


def _make_record(name, service, membership, revision):
    return pool.ServerRecord(
        name,
        service,
        f'10.0.0.1:{len(name)}',
        'z1',
        membership=membership,
        revision=revision,
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['e1', 'e2', 'e3', 'e4']),
        st.sampled_from(['llm', 'llm', 'llm', 'app']),
        MEMBERSHIPS,
        st.sampled_from(['entry', 'entry', 'removal', 'eviction']),
        st.booleans(),
    ),
    max_size=30,
)


@hypothesis.given(STEPS)
@hypothesis.settings(derandomize=True, max_examples=300)
def test_index_agrees_with_a_pass_over_all_entries(steps):
    registry = pool.ServerRegistry()
    index = pool.GroupIndex('llm', registry)
    table = relay.BackendTable(registry, pool.GroupIndex)
    service = traffic.Service('llm', engine=PROFILE)
    groups = {}
    now = 0.0
    for revision, (name, of_service, membership, kind, read) in enumerate(
        steps, 1
    ):
        if kind == 'entry':
            record = _make_record(name, of_service, membership, revision)
            registry.apply_entry(record, now)
        elif kind == 'removal':
            removed = pool.RemovedServer(name, revision)
            registry.apply_removal(removed, now)
        else:
            now += 100.0
            registry.evict_expired(now)
        if read:
            _check(registry, index, groups, table, service)
    _check(registry, index, groups, table, service)


def _check(registry, index, groups, table, service):
    for key, group in index.take_changes(PROFILE).items():
        if group is None:
            groups.pop(key, None)
        else:
            groups[key] = group
    expected = pool.find_groups(registry.get_by_service('llm'), PROFILE)
    assert groups.keys() == expected.keys()
    for key, group in expected.items():
        assert set(groups[key].members) == set(group.members)
        assert groups[key].serving == group.serving
    serving = {
        ('llm', *key) for key, group in expected.items() if group.serving
    }
    assert {item.key for item in table.get_by_service(service)} == serving


def test_only_the_changed_group_is_found_anew():
    registry = pool.ServerRegistry()
    index = pool.GroupIndex('llm', registry)
    for number in range(6):
        membership = pool.Membership(
            f'm.z1.{number // 2}', 1, number % 2, pool.MemberState.READY
        )
        registry.apply_entry(
            _make_record(f'e{number}', 'llm', membership, 1), 0.0
        )
    assert len(index.take_changes(PROFILE)) == 3
    assert index.take_changes(PROFILE) == {}
    registry.apply_entry(_make_record('e0', 'llm', None, 2), 0.0)
    assert list(index.take_changes(PROFILE)) == [('m.z1.0', 1)]
    assert len(index.take_changes(OTHER_PROFILE)) == 3


@pytest.mark.parametrize('engine', [None, PROFILE])
def test_backend_keeps_its_load_and_takes_new_slots(engine):
    registry = pool.ServerRegistry()
    table = relay.BackendTable(registry, pool.GroupIndex)
    for rank in range(2):
        membership = engine and pool.Membership(
            'm.z1.1',
            1,
            rank,
            pool.MemberState.READY if rank else pool.MemberState.OPEN,
        )
        registry.apply_entry(
            _make_record(f'e{rank}', 'llm', membership, 1), 0.0
        )
    service = traffic.Service('llm', engine=engine)
    backend = table.get_by_service(service)[0]
    backend.in_flight = 3
    record = registry.get('e0')
    registry.apply_entry(_make_record('e0', 'llm', record.membership, 2), 0.0)
    assert table.get_by_service(service)[0] is backend
    assert backend.record.revision == 2
    assert backend.in_flight == 3
