"""Assignment of VMs to the nodes that observe them."""

import math

import xxhash

MAX_LOAD_FACTOR = 1.25
"""Largest number of VMs of one node, as a multiple of the average."""


def choose_node(key, nodes):
    """Choose the node that is responsible for a key, by rendezvous hashing.

    All nodes that know the same candidates choose the same node. If a
    candidate is removed, only the keys that it was responsible for move.

    Parameters
    ----------
    key : str
        Name of what the node is responsible for.
    nodes : sequence of str
        Names of the candidates; at least one.

    Returns
    -------
    str
        Name of the chosen node.

    References
    ----------
    D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return max(nodes, key=lambda node: (_rendezvous_weight(key, node), node))


def _rendezvous_weight(key, node):
    return xxhash.xxh64_intdigest(f'{node}/{key}'.encode())


def plan_observers(unit_sizes, nodes):
    """Assign units of VMs to nodes, by rendezvous hashing with bounded load.

    A unit is a set of VMs that one node observes together: the members of
    a replica group, or a single VM that is in no group. The largest units
    are assigned first, each to the node of highest rendezvous weight that
    still has capacity for it. If no node has, the unit goes to the node
    with the most capacity left. All nodes that know the same units and
    nodes compute the same assignment.

    Parameters
    ----------
    unit_sizes : dict of str to int
        Number of VMs of each unit (count).
    nodes : sequence of str
        Names of the nodes that may observe; at least one.

    Returns
    -------
    dict of str to str
        Name of the observing node, by unit.

    References
    ----------
    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with
    bounded loads", SODA 2018.
    """
    if not unit_sizes:
        return {}
    average_load = sum(unit_sizes.values()) / len(nodes)
    # The capacity is never below the largest unit, as units are not split.
    capacity = max(
        max(unit_sizes.values()), math.ceil(average_load * MAX_LOAD_FACTOR)
    )
    remaining = dict.fromkeys(nodes, capacity)
    assignment = {}
    for unit in sorted(unit_sizes, key=lambda unit: (-unit_sizes[unit], unit)):
        ranked = sorted(
            remaining, key=lambda node: (_rendezvous_weight(unit, node), node)
        )
        fitting = [
            node for node in ranked if remaining[node] >= unit_sizes[unit]
        ]
        node = fitting[-1] if fitting else max(ranked, key=remaining.get)
        remaining[node] -= unit_sizes[unit]
        assignment[unit] = node
    return assignment
