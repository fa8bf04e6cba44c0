"""Choice of the node that observes a VM."""

import xxhash


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
