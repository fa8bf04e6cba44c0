"""Placement: the choice of VMs for replica groups.

The functions of this package compute plans and write nothing to the store.
They choose the members of new groups, the repairs of groups that lost
members, and the weights that free VMs load in advance.
"""

from balsamwind.placement._capacity import FreeVms
from balsamwind.placement._capacity import make_free_vms
from balsamwind.placement._cost import Cost
from balsamwind.placement._cost import LoadModel
from balsamwind.placement._formation import Need
from balsamwind.placement._formation import plan_formations
from balsamwind.placement._formation import plan_members
from balsamwind.placement._repair import BrokenGroup
from balsamwind.placement._repair import plan_repairs
from balsamwind.placement._repair import plan_surplus
from balsamwind.placement._repair import Repair
from balsamwind.placement._repair import Victim
from balsamwind.placement._repair import Way
from balsamwind.placement._spares import plan_preloads
from balsamwind.placement._spares import Preload
from balsamwind.placement._spares import Weights

__all__ = [
    'BrokenGroup',
    'Cost',
    'FreeVms',
    'LoadModel',
    'Need',
    'Preload',
    'Repair',
    'Victim',
    'Way',
    'Weights',
    'make_free_vms',
    'plan_formations',
    'plan_members',
    'plan_preloads',
    'plan_repairs',
    'plan_surplus',
]
