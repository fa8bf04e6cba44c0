"""Order in which the nodes of a data centre take on shared work.

Publishing updates, leading a shard and probing engines cost processor time
and link rate, so the nodes with most of both come first.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RegisteredNode:
    """Node as it has registered in the store.

    Parameters
    ----------
    name : str
        Name of the node.
    address : str
        Address where it publishes updates, ``host:port``.
    capacity : float
        Capacity for shared work, see `balsamwind.node.NodeSettings`.
    """

    name: str
    address: str
    capacity: float = 0.0


def rank_nodes(nodes):
    """Order nodes by capacity, then by name.

    Parameters
    ----------
    nodes : iterable of RegisteredNode
        Nodes of one data centre.

    Returns
    -------
    list of RegisteredNode
        The node that takes on shared work first comes first.
    """
    return sorted(nodes, key=lambda node: (-node.capacity, node.name))


def find_rank(ranked, name):
    """Find the rank of a node.

    Parameters
    ----------
    ranked : list of RegisteredNode
        Result of `rank_nodes`.
    name : str
        Name of the node.

    Returns
    -------
    int or None
        None if the node is not listed.
    """
    for rank, node in enumerate(ranked):
        if node.name == name:
            return rank
    return None
