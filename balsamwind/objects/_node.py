"""Registration of an entry node in the store."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """Registration of an entry node, with the address for its peers.

    Parameters
    ----------
    name : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    peer_address : str
        ``host:port`` at which other entries reach the node.
    incarnation : str
        Id that is generated at each start of the process.
    """

    name: str
    data_centre: str
    peer_address: str
    incarnation: str
