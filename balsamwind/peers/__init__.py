"""Messages that entries exchange, and the state that a node keeps of peers."""

from balsamwind.peers._group_status import LOAD_FIELDS
from balsamwind.peers._group_status import make_digest
from balsamwind.peers._group_status import make_group_status
from balsamwind.peers._group_status import quantise
from balsamwind.peers._messages import GroupDown
from balsamwind.peers._messages import GroupStatus
from balsamwind.peers._messages import Heartbeat
from balsamwind.peers._messages import Hello
from balsamwind.peers._messages import ObjectChanges
from balsamwind.peers._messages import Observation
from balsamwind.peers._messages import ObservationChanges
from balsamwind.peers._messages import VmListUpdate
from balsamwind.peers._publisher import Publisher
from balsamwind.peers._registry import CATCH_UP_FALLBACK_AFTER
from balsamwind.peers._registry import PeerRegistry
from balsamwind.peers._registry import PeerState
from balsamwind.peers._registry import VM_LIST_MAX_AGE
from balsamwind.peers._registry import VM_LIST_MIN_AGE_GAIN
from balsamwind.peers._status_resolver import GroupStatusResolver
from balsamwind.peers._status_resolver import MemberReports
from balsamwind.peers._wire import decode_frame
from balsamwind.peers._wire import encode_frame

__all__ = [
    'CATCH_UP_FALLBACK_AFTER',
    'LOAD_FIELDS',
    'VM_LIST_MAX_AGE',
    'VM_LIST_MIN_AGE_GAIN',
    'GroupDown',
    'GroupStatus',
    'GroupStatusResolver',
    'Heartbeat',
    'Hello',
    'MemberReports',
    'ObjectChanges',
    'Observation',
    'ObservationChanges',
    'PeerRegistry',
    'PeerState',
    'Publisher',
    'VmListUpdate',
    'decode_frame',
    'encode_frame',
    'make_digest',
    'make_group_status',
    'quantise',
]
