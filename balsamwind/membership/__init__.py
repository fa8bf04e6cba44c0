"""Observation of VMs, and the replica groups that may serve requests."""

from balsamwind.membership._groups import check_group
from balsamwind.membership._groups import check_member
from balsamwind.membership._groups import check_report
from balsamwind.membership._groups import GroupTable
from balsamwind.membership._observations import Observations
from balsamwind.membership._observations import VmView
from balsamwind.membership._observers import choose_observer
from balsamwind.membership._observers import plan_observers
from balsamwind.membership._polling import find_observed
from balsamwind.membership._polling import ObservedVm
from balsamwind.membership._polling import plan_polls
from balsamwind.membership._polling import PollFailures

__all__ = [
    'GroupTable',
    'Observations',
    'ObservedVm',
    'PollFailures',
    'VmView',
    'check_group',
    'check_member',
    'check_report',
    'choose_observer',
    'find_observed',
    'plan_observers',
    'plan_polls',
]
