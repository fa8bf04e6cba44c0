"""Every unit has one observer, and the load of each node is bounded."""

import pytest

from balsamwind import membership


def make_unit_sizes(groups, size, free):
    unit_sizes = {f'group-{number}': size for number in range(groups)}
    unit_sizes.update({f'vm-{number}': 1 for number in range(free)})
    return unit_sizes


def sum_loads(unit_sizes, assignment):
    loads = {}
    for unit, node in assignment.items():
        loads[node] = loads.get(node, 0) + unit_sizes[unit]
    return loads


@pytest.mark.parametrize(
    'nodes, groups, size, free, most',
    [
        (46, 25, 16, 0, 16),
        (46, 24, 16, 16, 16),
        (2, 10, 2, 3, 15),
        (2, 0, 1, 20, 13),
        (1, 5, 16, 4, 84),
        (3, 1, 16, 0, 16),
        (46, 0, 16, 0, 0),
    ],
)
def test_load_is_bounded(nodes, groups, size, free, most):
    names = [f'n{number}' for number in range(nodes)]
    unit_sizes = make_unit_sizes(groups, size, free)
    assignment = membership.plan_observers(unit_sizes, names)
    assert set(assignment) == set(unit_sizes)
    assert max(sum_loads(unit_sizes, assignment).values(), default=0) <= most
    repeated = membership.plan_observers(
        dict(reversed(unit_sizes.items())), names[::-1]
    )
    assert repeated == assignment


def test_loss_of_a_node_moves_few_units_of_other_nodes():
    names = [f'n{number}' for number in range(46)]
    unit_sizes = make_unit_sizes(25, 16, 40)
    before = membership.plan_observers(unit_sizes, names)
    moved = 0
    for lost in names:
        remaining = [name for name in names if name != lost]
        after = membership.plan_observers(unit_sizes, remaining)
        moved += sum(
            before[unit] not in (lost, after[unit]) for unit in unit_sizes
        )
    assert moved / len(names) < 3
