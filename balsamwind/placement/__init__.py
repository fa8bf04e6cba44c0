"""Choice of VMs for replica groups."""

from balsamwind.placement._capacity import FreeVms
from balsamwind.placement._capacity import make_free_vms
from balsamwind.placement._place import plan_members
from balsamwind.placement._place import plan_replacement

__all__ = ['FreeVms', 'make_free_vms', 'plan_members', 'plan_replacement']
