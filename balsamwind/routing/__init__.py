"""Selection of a replica group for a request."""

from balsamwind.routing._health import OutlierDetector
from balsamwind.routing._loads import LoadEstimator
from balsamwind.routing._pool import GroupPool
from balsamwind.routing._prefixes import hash_blocks
from balsamwind.routing._prefixes import PrefixIndex
from balsamwind.routing._router import Choice
from balsamwind.routing._router import make_router
from balsamwind.routing._router import Router

__all__ = [
    'Choice',
    'GroupPool',
    'LoadEstimator',
    'OutlierDetector',
    'PrefixIndex',
    'Router',
    'hash_blocks',
    'make_router',
]
