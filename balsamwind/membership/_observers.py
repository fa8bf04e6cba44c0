"""Choice of the node that observes a VM."""

import math

import xxhash

MAX_LOAD = 1.25
"""Largest share of VMs of one node, as a multiple of the average."""


def choose_observer(unit, nodes):
    """Node that observes `unit`, by rendezvous hashing.

    Parameters
    ----------
    unit : str
        Group whose members are observed together, or a free VM.
    nodes : sequence of str
        Names of the nodes that may observe.

    Returns
    -------
    str

    References
    ----------
    D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return max(nodes, key=lambda node: (_weight(unit, node), node))


def _weight(unit, node):
    return xxhash.xxh64_intdigest(f'{node}/{unit}'.encode())


def plan_observers(units, nodes):
    """Assign every unit to a node, none of them far above the average.

    The heaviest units choose first, each the first node of its own order
    that has room. All nodes that know the same units and nodes come to the
    same assignment.

    Parameters
    ----------
    units : dict of str to int
        Unit -> its VMs (count).
    nodes : sequence of str
        Names of the nodes that may observe.

    Returns
    -------
    dict of str to str
        Unit -> node.

    References
    ----------
    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with
    bounded loads", SODA 2018.
    """
    if not units:
        return {}
    average = sum(units.values()) / len(nodes)
    room = max(max(units.values()), math.ceil(average * MAX_LOAD))
    free = dict.fromkeys(nodes, room)
    chosen = {}
    for unit in sorted(units, key=lambda unit: (-units[unit], unit)):
        order = sorted(free, key=lambda node: (_weight(unit, node), node))
        fitting = [node for node in order if free[node] >= units[unit]]
        node = fitting[-1] if fitting else max(order, key=free.get)
        free[node] -= units[unit]
        chosen[unit] = node
    return chosen
