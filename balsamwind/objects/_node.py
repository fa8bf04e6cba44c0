"""Registration of one entry VM."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """Where peers and operators reach an entry.

    Parameters
    ----------
    name : str
        Name of the node.
    data_centre : str
        Where it runs.
    peer_address : str
        ``host:port`` for peers.
    incarnation : str
        Made anew at each start.
    """

    name: str
    data_centre: str
    peer_address: str
    incarnation: str
