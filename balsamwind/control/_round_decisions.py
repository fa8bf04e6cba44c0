"""Collection of the decisions of one control round.

All writes and orders of a round carry the fencing number of the lease. An
object is written at most once in a round.
"""

import dataclasses

from balsamwind.control import _decisions
from balsamwind import objects
from balsamwind import ports

PRELOAD_PREFIX = 'preload/'
"""Prefix of the group name in a preload order; no real group starts so."""


class RoundDecisions:
    """Collects the decisions of one round.

    Parameters
    ----------
    view : View
        Input of the control round.
    fencing : int
        Fencing number of the shard's lease.
    """

    __slots__ = ('_fencing', '_view', '_written', 'decisions')

    def __init__(self, view, fencing):
        self._view = view
        self._fencing = fencing
        self._written = set()
        self.decisions = []

    def claim(self, vm, group):
        """Add a write that claims a VM for a group.

        Parameters
        ----------
        vm : str
            Name of the VM.
        group : balsamwind.objects.Group
            Group that claims it.
        """
        claim = objects.Claim(
            vm, group.name, self._fencing, self._view.new_operation_id()
        )
        self._put('claim', vm, claim, 0)

    def create_group(self, **fields):
        """Add a write of a new group record in state FORMING.

        Parameters
        ----------
        **fields
            Fields of `balsamwind.objects.Group` other than generation,
            state, fencing and operation.
        """
        group = objects.Group(
            generation=1,
            state=objects.GroupState.FORMING,
            fencing=self._fencing,
            operation=self._view.new_operation_id(),
            **fields,
        )
        self._put('group', group.name, group, 0)

    def change_group(self, stored, **changes):
        """Add a write that changes some fields of a group record.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Current version of the record.
        **changes
            Fields of `balsamwind.objects.Group` with their new values.
        """
        value = dataclasses.replace(
            stored.value,
            fencing=self._fencing,
            operation=self._view.new_operation_id(),
            **changes,
        )
        self._put('group', stored.name, value, stored.revision)

    def _put(self, kind, name, value, expected):
        if (kind, name) in self._written:
            return
        self._written.add((kind, name))
        self.decisions.append(
            _decisions.PutObject(kind, name, value, expected)
        )

    def delete(self, stored):
        """Add the deletion of an object at its current revision.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Object to delete.
        """
        self.decisions.append(
            _decisions.DeleteObject(stored.kind, stored.name, stored.revision)
        )

    def order_load(self, group, member):
        """Add a load order, unless the member reports that it is loading.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group to load.
        member : balsamwind.objects.Member
            Member that receives the order.
        """
        vm_view = self._view.observations.get(member.vm)
        if _is_loading_group(group, vm_view):
            return
        cached = vm_view.report.cached if vm_view and vm_view.report else ()
        order = ports.Order(
            kind='load',
            group=group.name,
            generation=group.generation,
            fencing=self._fencing,
            model=group.model,
            version=group.version,
            role=group.role,
            adapters=group.adapters,
            members=tuple(m.address for m in group.members),
            rank=group.vms.index(member.vm),
        )
        weights = f'{group.model}@{group.version}'
        self.decisions.append(
            _decisions.SendOrder(
                member.vm, member.address, order, weights not in cached
            )
        )

    def order_unload(self, group, member):
        """Add an unload order.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group to unload.
        member : balsamwind.objects.Member
            Member that receives the order.
        """
        order = ports.Order(
            'unload', group.name, group.generation, self._fencing
        )
        self.decisions.append(
            _decisions.SendOrder(member.vm, member.address, order)
        )

    def order_preload(self, row, weights):
        """Add an order that preloads weights on a free VM.

        Parameters
        ----------
        row : balsamwind.ports.ListedVm
            The free VM.
        weights : balsamwind.placement.WeightsId
            Weights to preload.
        """
        order = ports.Order(
            kind='load',
            group=f'{PRELOAD_PREFIX}{weights.label}',
            generation=0,
            fencing=self._fencing,
            model=weights.model,
            version=weights.version,
            members=(row.address,),
        )
        self.decisions.append(
            _decisions.SendOrder(row.name, row.address, order, True)
        )


def _is_loading_group(group, vm_view):
    """Whether a reachable engine reports that it is loading the group."""
    return (
        vm_view is not None
        and vm_view.report is not None
        and vm_view.reachable
        and vm_view.report.state is ports.EngineState.LOADING
        and vm_view.report.group == group.name
        and vm_view.report.generation == group.generation
    )
