"""Cache of the objects in the store; the newest version always wins."""

from balsamwind.catalogue._catalogue import MAX_TOMBSTONES
from balsamwind.catalogue._catalogue import ObjectCache
from balsamwind.catalogue._catalogue import TOMBSTONE_RETENTION
from balsamwind.catalogue._restore_detector import MAX_REPLICA_LAG
from balsamwind.catalogue._restore_detector import StoreState

__all__ = [
    'MAX_REPLICA_LAG',
    'MAX_TOMBSTONES',
    'TOMBSTONE_RETENTION',
    'ObjectCache',
    'StoreState',
]
