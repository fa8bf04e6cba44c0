"""Memory of the store's objects; the newest version always wins."""

from balsamwind.catalogue._catalogue import Catalogue
from balsamwind.catalogue._catalogue import MAX_TOMBSTONES
from balsamwind.catalogue._catalogue import TOMBSTONE_AGE
from balsamwind.catalogue._store_guard import BEHIND_LIMIT
from balsamwind.catalogue._store_guard import StoreState

__all__ = [
    'BEHIND_LIMIT',
    'MAX_TOMBSTONES',
    'TOMBSTONE_AGE',
    'Catalogue',
    'StoreState',
]
