"""Observation of VMs, and the replica groups that may serve requests."""

from balsamwind.membership._groups import check_group
from balsamwind.membership._groups import check_member
from balsamwind.membership._groups import check_report
from balsamwind.membership._groups import GroupTable
from balsamwind.membership._observations import Observations
from balsamwind.membership._observations import VmView
from balsamwind.membership._observers import choose_node
from balsamwind.membership._observers import plan_observers
from balsamwind.membership._polling import collect_observed_vms
from balsamwind.membership._polling import ObservedVm
from balsamwind.membership._polling import PollFailureDetector
from balsamwind.membership._polling import select_vms_to_poll

__all__ = [
    'GroupTable',
    'Observations',
    'ObservedVm',
    'PollFailureDetector',
    'VmView',
    'check_group',
    'check_member',
    'check_report',
    'choose_node',
    'collect_observed_vms',
    'plan_observers',
    'select_vms_to_poll',
]
