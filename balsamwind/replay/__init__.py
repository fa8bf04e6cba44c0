"""Deterministic simulation that replays traces under a virtual clock.

A trace is a file of JSON lines: a header, events and expected outcomes. The
events are replayed against the production decision code of the control path
and of the request path. The platform, the engines, the network and the
periodic tasks of the nodes are simulated.
"""

from balsamwind.replay._control import replay_control
from balsamwind.replay._events import ExpectedOutcome
from balsamwind.replay._loop import open_virtual_loop
from balsamwind.replay._loop import VirtualClock
from balsamwind.replay._network import Network
from balsamwind.replay._platform import MemoryPlatform
from balsamwind.replay._platform import MemoryPlatformPorts
from balsamwind.replay._replay import replay_file
from balsamwind.replay._requests import replay_requests
from balsamwind.replay._trace import build_steps
from balsamwind.replay._trace import load_trace_lines
from balsamwind.replay._trace import Step
from balsamwind.replay._trace import TraceLine
from balsamwind.replay._world import ControlTraceHeader
from balsamwind.replay._world import SimulatedCluster

__all__ = [
    'ControlTraceHeader',
    'ExpectedOutcome',
    'MemoryPlatform',
    'MemoryPlatformPorts',
    'Network',
    'SimulatedCluster',
    'Step',
    'TraceLine',
    'VirtualClock',
    'build_steps',
    'load_trace_lines',
    'open_virtual_loop',
    'replay_control',
    'replay_file',
    'replay_requests',
]
