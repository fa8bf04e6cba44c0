"""Every unit has one observer, and no node has too many VMs."""

import pytest

from balsamwind import membership


def make_units(groups, size, free):
    units = {f'group-{number}': size for number in range(groups)}
    units.update({f'vm-{number}': 1 for number in range(free)})
    return units


def loads(units, chosen):
    total = {}
    for unit, node in chosen.items():
        total[node] = total.get(node, 0) + units[unit]
    return total


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
    units = make_units(groups, size, free)
    chosen = membership.plan_observers(units, names)
    assert set(chosen) == set(units)
    assert max(loads(units, chosen).values(), default=0) <= most
    again = membership.plan_observers(
        dict(reversed(units.items())), names[::-1]
    )
    assert again == chosen


def test_loss_of_a_node_moves_few_others():
    names = [f'n{number}' for number in range(46)]
    units = make_units(25, 16, 40)
    before = membership.plan_observers(units, names)
    moved = 0
    for lost in names:
        rest = [name for name in names if name != lost]
        after = membership.plan_observers(units, rest)
        moved += sum(before[unit] not in (lost, after[unit]) for unit in units)
    assert moved / len(names) < 3
