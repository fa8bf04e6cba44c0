"""Messages between entries, and the state a node keeps of its peers."""

from balsamwind.peers._messages import decode_message
from balsamwind.peers._messages import encode_message
from balsamwind.peers._messages import GroupDown
from balsamwind.peers._messages import Heartbeat
from balsamwind.peers._messages import Hello
from balsamwind.peers._messages import ObjectChanges
from balsamwind.peers._messages import Observation
from balsamwind.peers._messages import Reports
from balsamwind.peers._messages import VmRows
from balsamwind.peers._registry import PeerRegistry
from balsamwind.peers._registry import PeerState

__all__ = [
    'GroupDown',
    'Heartbeat',
    'Hello',
    'ObjectChanges',
    'Observation',
    'PeerRegistry',
    'PeerState',
    'Reports',
    'VmRows',
    'decode_message',
    'encode_message',
]
