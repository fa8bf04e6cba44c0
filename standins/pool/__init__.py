"""Stand-in for the users' platform: its store, engines and plain services.

It uses the published formats over loopback sockets. It records what ran, so
that the guarantees of the system can be checked.
"""

from standins.pool._deadly import DeadlyEnding
from standins.pool._deadly import DeadlyRun
from standins.pool._deadly import UNSIGNED_HEAD
from standins.pool._engine import Engine
from standins.pool._platform import FakePlatform
from standins.pool._store import RawJson
from standins.pool._store import Store
from standins.pool._times import Times
from standins.pool._trace import Run
from standins.pool._trace import Trace

__all__ = [
    'DeadlyEnding',
    'DeadlyRun',
    'Engine',
    'FakePlatform',
    'RawJson',
    'Run',
    'Store',
    'Times',
    'Trace',
    'UNSIGNED_HEAD',
]
