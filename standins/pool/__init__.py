"""Stand-in of the users' platform: its store, engines and plain services.

It speaks the published formats over loopback sockets and keeps a record of
what ran, by which promises of the system can be checked.
"""

from standins.pool._engine import Engine
from standins.pool._platform import PoolPlatform
from standins.pool._store import Store
from standins.pool._times import Times
from standins.pool._witness import Run
from standins.pool._witness import Witness

__all__ = ['Engine', 'PoolPlatform', 'Run', 'Store', 'Times', 'Witness']
