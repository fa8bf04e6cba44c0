"""Placement: the choice of VMs for replica groups.

The functions of this package compute plans and write nothing to the store.
They choose the members of new groups, the repairs of groups that lost
members, and the weights that free VMs load in advance.
"""

from balsamwind.placement._capacity import FreeVms
from balsamwind.placement._capacity import make_free_vms
from balsamwind.placement._cost import Cost
from balsamwind.placement._cost import DurationEstimator
from balsamwind.placement._formation import PendingGroup
from balsamwind.placement._formation import plan_formations
from balsamwind.placement._formation import plan_members
from balsamwind.placement._repair import BrokenGroup
from balsamwind.placement._repair import plan_repairs
from balsamwind.placement._repair import plan_surplus_release
from balsamwind.placement._repair import PreemptionCandidate
from balsamwind.placement._repair import Repair
from balsamwind.placement._repair import RepairKind
from balsamwind.placement._spares import plan_preloads
from balsamwind.placement._spares import Preload
from balsamwind.placement._spares import WeightsId

__all__ = [
    'BrokenGroup',
    'Cost',
    'DurationEstimator',
    'FreeVms',
    'PendingGroup',
    'PreemptionCandidate',
    'Preload',
    'Repair',
    'RepairKind',
    'WeightsId',
    'make_free_vms',
    'plan_formations',
    'plan_members',
    'plan_preloads',
    'plan_repairs',
    'plan_surplus_release',
]
