"""Decisions about backend servers: which may be sent requests, and when."""

from balsamwind.servers._cold import Allowance
from balsamwind.servers._cold import ColdBound
from balsamwind.servers._cold import ColdServers
from balsamwind.servers._cold import find_allowance
from balsamwind.servers._cold import MAX_SEND_DELAY
from balsamwind.servers._cold import NO_ALLOWANCE
from balsamwind.servers._cold import Role
from balsamwind.servers._evacuations import Evacuations
from balsamwind.servers._evacuations import EvacuationState
from balsamwind.servers._evacuations import merge_states
from balsamwind.servers._evacuations import split_names
from balsamwind.servers._pace import INITIAL_WINDOW
from balsamwind.servers._pace import MAX_RAMP_TIME
from balsamwind.servers._pace import Pace

__all__ = [
    'Allowance',
    'ColdBound',
    'ColdServers',
    'EvacuationState',
    'Evacuations',
    'INITIAL_WINDOW',
    'MAX_RAMP_TIME',
    'MAX_SEND_DELAY',
    'NO_ALLOWANCE',
    'Pace',
    'Role',
    'find_allowance',
    'merge_states',
    'split_names',
]
