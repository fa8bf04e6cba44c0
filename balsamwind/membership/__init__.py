"""Which VMs are seen, and which replica groups are complete."""

from balsamwind.membership._groups import check_group
from balsamwind.membership._groups import check_member
from balsamwind.membership._groups import check_report
from balsamwind.membership._groups import GroupTable
from balsamwind.membership._observations import Observations
from balsamwind.membership._observations import VmView
from balsamwind.membership._observers import choose_observer
from balsamwind.membership._observers import plan_observers

__all__ = [
    'GroupTable',
    'Observations',
    'VmView',
    'check_group',
    'check_member',
    'check_report',
    'choose_observer',
    'plan_observers',
]
