"""A node, which relays requests to a pool of engines and plain services."""

from balsamwind.node._process import open_node
from balsamwind.node._process import Process
from balsamwind.node._process import run_node
from balsamwind.node._ranking import RegisteredNode
from balsamwind.node._settings import Bounds
from balsamwind.node._settings import NodeSettings

__all__ = [
    'Bounds',
    'NodeSettings',
    'Process',
    'RegisteredNode',
    'open_node',
    'run_node',
]
