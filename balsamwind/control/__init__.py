"""Control path: turns contracts into replica groups and engine orders."""

from balsamwind.control._allocation import plan_allocations
from balsamwind.control._controller import Controller
from balsamwind.control._controller import FLEET_SHARD
from balsamwind.control._decisions import DeleteObject
from balsamwind.control._decisions import PutObject
from balsamwind.control._decisions import SendOrder
from balsamwind.control._executor import Executor
from balsamwind.control._groups import plan_groups
from balsamwind.control._lease import LeaseManager
from balsamwind.control._member_status import MemberStatus
from balsamwind.control._view import View

__all__ = [
    'Controller',
    'DeleteObject',
    'Executor',
    'FLEET_SHARD',
    'LeaseManager',
    'MemberStatus',
    'PutObject',
    'SendOrder',
    'View',
    'plan_allocations',
    'plan_groups',
]
