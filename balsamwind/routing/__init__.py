"""Choice of a replica group for a request."""

from balsamwind.routing._health import HealthTable
from balsamwind.routing._loads import LoadTable
from balsamwind.routing._pool import Pool
from balsamwind.routing._prefixes import hash_blocks
from balsamwind.routing._prefixes import PrefixIndex
from balsamwind.routing._router import Choice
from balsamwind.routing._router import make_router
from balsamwind.routing._router import Router

__all__ = [
    'Choice',
    'HealthTable',
    'LoadTable',
    'Pool',
    'PrefixIndex',
    'Router',
    'hash_blocks',
    'make_router',
]
