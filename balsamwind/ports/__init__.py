"""Interfaces to external systems, as protocols (ports).

The decision logic depends on these protocols only. Each one is implemented by
a module of :mod:`balsamwind.adapters` and by fakes in tests.
"""

from balsamwind.ports._engine import CacheEvent
from balsamwind.ports._engine import Engine
from balsamwind.ports._engine import EngineReport
from balsamwind.ports._engine import EngineState
from balsamwind.ports._engine import EngineStream
from balsamwind.ports._engine import FinishEvent
from balsamwind.ports._engine import GenerateRequest
from balsamwind.ports._engine import KvExport
from balsamwind.ports._engine import Order
from balsamwind.ports._engine import Token
from balsamwind.ports._peer import Metrics
from balsamwind.ports._peer import PeerLinks
from balsamwind.ports._platform import ListedVm
from balsamwind.ports._platform import ObjectStore
from balsamwind.ports._platform import Snapshot
from balsamwind.ports._platform import VmList
from balsamwind.ports._platform import VmState
from balsamwind.ports._platform import WeightStore
from balsamwind.ports._service import PlainService
from balsamwind.ports._service import ServiceCall
from balsamwind.ports._time import Clock

__all__ = [
    'CacheEvent',
    'Clock',
    'Engine',
    'EngineReport',
    'EngineState',
    'EngineStream',
    'FinishEvent',
    'GenerateRequest',
    'KvExport',
    'ListedVm',
    'Metrics',
    'ObjectStore',
    'Order',
    'PeerLinks',
    'PlainService',
    'ServiceCall',
    'Snapshot',
    'Token',
    'VmList',
    'VmState',
    'WeightStore',
]
