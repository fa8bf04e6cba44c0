"""Messages that entries exchange, and the state that a node keeps of peers."""

from balsamwind.peers._group_status import LOAD_FIELDS
from balsamwind.peers._group_status import make_digest
from balsamwind.peers._group_status import make_status
from balsamwind.peers._group_status import quantise
from balsamwind.peers._messages import GroupDown
from balsamwind.peers._messages import GroupStatus
from balsamwind.peers._messages import Heartbeat
from balsamwind.peers._messages import Hello
from balsamwind.peers._messages import ObjectChanges
from balsamwind.peers._messages import Observation
from balsamwind.peers._messages import Reports
from balsamwind.peers._messages import VmRows
from balsamwind.peers._publisher import Publisher
from balsamwind.peers._registry import CATCH_UP_FALLBACK_AFTER
from balsamwind.peers._registry import PeerRegistry
from balsamwind.peers._registry import PeerState
from balsamwind.peers._registry import VM_LIST_GAIN
from balsamwind.peers._registry import VM_LIST_STALE
from balsamwind.peers._status_resolver import MemberReports
from balsamwind.peers._status_resolver import StatusBook
from balsamwind.peers._wire import decode_frame
from balsamwind.peers._wire import encode_frame

__all__ = [
    'CATCH_UP_FALLBACK_AFTER',
    'LOAD_FIELDS',
    'VM_LIST_GAIN',
    'VM_LIST_STALE',
    'GroupDown',
    'GroupStatus',
    'Heartbeat',
    'Hello',
    'MemberReports',
    'ObjectChanges',
    'Observation',
    'PeerRegistry',
    'PeerState',
    'Publisher',
    'Reports',
    'StatusBook',
    'VmRows',
    'decode_frame',
    'encode_frame',
    'make_digest',
    'make_status',
    'quantise',
]
