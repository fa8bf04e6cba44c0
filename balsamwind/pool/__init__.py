"""Replica groups that are formed from a pool of engines."""

from balsamwind.pool._actions import CloseGroup
from balsamwind.pool._actions import DisbandGroup
from balsamwind.pool._actions import FormGroup
from balsamwind.pool._actions import HoldMembers
from balsamwind.pool._actions import OpenGroup
from balsamwind.pool._actions import StageModel
from balsamwind.pool._groups import find_groups
from balsamwind.pool._groups import GroupIndex
from balsamwind.pool._groups import make_group_name
from balsamwind.pool._groups import parse_model_name
from balsamwind.pool._groups import PoolGroup
from balsamwind.pool._head_history import HeadHistory
from balsamwind.pool._orders import Close
from balsamwind.pool._orders import Join
from balsamwind.pool._orders import Leave
from balsamwind.pool._orders import Open
from balsamwind.pool._orders import OrderResult
from balsamwind.pool._orders import Stage
from balsamwind.pool._planner import plan_pool
from balsamwind.pool._planner import PoolView
from balsamwind.pool._records import MAX_COLD_LEFT
from balsamwind.pool._records import Membership
from balsamwind.pool._records import MemberState
from balsamwind.pool._records import RemovedServer
from balsamwind.pool._records import ServerRecord
from balsamwind.pool._records import ServerReport
from balsamwind.pool._records import ServerState
from balsamwind.pool._registry import ServerRegistry
from balsamwind.pool._reported_memberships import is_refuted
from balsamwind.pool._reported_memberships import ReportedMemberships
from balsamwind.pool._reuse import HEAD_SEARCH_TIME
from balsamwind.pool._reuse import HeadEnded
from balsamwind.pool._reuse import HeadMovedOn
from balsamwind.pool._reuse import HeadNotServing
from balsamwind.pool._reuse import HeadSilent
from balsamwind.pool._reuse import HeadUnknown

__all__ = [
    'GroupIndex',
    'Close',
    'CloseGroup',
    'DisbandGroup',
    'FormGroup',
    'HEAD_SEARCH_TIME',
    'HeadEnded',
    'HeadHistory',
    'HeadMovedOn',
    'HeadNotServing',
    'HeadSilent',
    'HeadUnknown',
    'HoldMembers',
    'Join',
    'Leave',
    'MAX_COLD_LEFT',
    'MemberState',
    'Membership',
    'Open',
    'OpenGroup',
    'OrderResult',
    'PoolGroup',
    'PoolView',
    'RemovedServer',
    'ReportedMemberships',
    'ServerRecord',
    'ServerRegistry',
    'ServerReport',
    'ServerState',
    'Stage',
    'StageModel',
    'find_groups',
    'is_refuted',
    'make_group_name',
    'parse_model_name',
    'plan_pool',
]
