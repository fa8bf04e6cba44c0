"""Adapters: implementations of the ports over real protocols and libraries."""

from balsamwind.adapters._caller_server import make_caller_server
from balsamwind.adapters._clock import BootClock
from balsamwind.adapters._clock import SystemClock
from balsamwind.adapters._control_metrics import ControlCollector
from balsamwind.adapters._engine import HttpEngine
from balsamwind.adapters._http_client import HttpClient
from balsamwind.adapters._metrics import Metrics
from balsamwind.adapters._node_pages import make_metrics_server
from balsamwind.adapters._node_pages import make_readiness_server
from balsamwind.adapters._object_store import HttpObjectStore
from balsamwind.adapters._operator_server import make_operator_server
from balsamwind.adapters._peer_link import PeerLinks
from balsamwind.adapters._plain_service import HttpPlainService
from balsamwind.adapters._platform import HttpVmList
from balsamwind.adapters._platform import HttpWeightStore
from balsamwind.adapters._relay_server import RelayServer
from balsamwind.adapters._relay_server import Responder
from balsamwind.adapters._tls import make_tls_contexts
from balsamwind.adapters._tls import TlsContexts
from balsamwind.adapters._update_link import open_update_connection
from balsamwind.adapters._update_link import receive_frame
from balsamwind.adapters._update_link import send_frame
from balsamwind.adapters._update_link import UpdateServer

__all__ = [
    'BootClock',
    'ControlCollector',
    'HttpClient',
    'HttpEngine',
    'HttpObjectStore',
    'HttpPlainService',
    'HttpVmList',
    'HttpWeightStore',
    'Metrics',
    'PeerLinks',
    'RelayServer',
    'Responder',
    'SystemClock',
    'TlsContexts',
    'UpdateServer',
    'make_caller_server',
    'make_metrics_server',
    'make_operator_server',
    'make_readiness_server',
    'make_tls_contexts',
    'open_update_connection',
    'receive_frame',
    'send_frame',
]
