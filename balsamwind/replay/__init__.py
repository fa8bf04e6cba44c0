"""Replay of recorded traces through the decisions, under a virtual clock."""

from balsamwind.replay._control import replay_control
from balsamwind.replay._events import Expect
from balsamwind.replay._loop import open_loop
from balsamwind.replay._loop import VirtualClock
from balsamwind.replay._network import Network
from balsamwind.replay._platform import MemoryPlatform
from balsamwind.replay._platform import MemoryStore
from balsamwind.replay._replay import replay_file
from balsamwind.replay._requests import replay_requests
from balsamwind.replay._trace import check_steps
from balsamwind.replay._trace import Line
from balsamwind.replay._trace import load_lines
from balsamwind.replay._trace import Step
from balsamwind.replay._world import Header
from balsamwind.replay._world import World

__all__ = [
    'Expect',
    'Header',
    'Line',
    'MemoryPlatform',
    'MemoryStore',
    'Network',
    'Step',
    'VirtualClock',
    'World',
    'check_steps',
    'load_lines',
    'open_loop',
    'replay_control',
    'replay_file',
    'replay_requests',
]
