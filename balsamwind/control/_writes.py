"""Decisions of one control round, as they are made.

All writes and orders of a round carry the fencing number of the lease, and
an object is written at most once in a round.
"""

import dataclasses

from balsamwind.control import _decisions
from balsamwind import objects
from balsamwind import ports

PRELOAD_PREFIX = 'preload/'
"""Begins the group in the order of a load ahead; no group is named so."""


class Writes:
    """Collects the decisions of one round.

    Parameters
    ----------
    view : View
        What is known.
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
        """Claim a VM for a group."""
        claim = objects.Claim(
            vm, group.name, self._fencing, self._view.operation()
        )
        self._put('claim', vm, claim, 0)

    def create_group(self, **fields):
        """Write the record of a new group."""
        group = objects.Group(
            generation=1,
            state=objects.GroupState.FORMING,
            fencing=self._fencing,
            operation=self._view.operation(),
            **fields,
        )
        self._put('group', group.name, group, 0)

    def change_group(self, stored, **changes):
        """Write a group's record with some fields changed."""
        value = dataclasses.replace(
            stored.value,
            fencing=self._fencing,
            operation=self._view.operation(),
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
        """Delete an object."""
        self.decisions.append(
            _decisions.DeleteObject(stored.kind, stored.name, stored.revision)
        )

    def order_load(self, group, member):
        """Order a member to load, unless it says that it does."""
        view = self._view.observations.get(member.vm)
        if _is_loading(group, view):
            return
        cached = view.report.cached if view and view.report else ()
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
        """Order a member to unload."""
        order = ports.Order(
            'unload', group.name, group.generation, self._fencing
        )
        self.decisions.append(
            _decisions.SendOrder(member.vm, member.address, order)
        )

    def order_preload(self, row, weights):
        """Order a free VM to load weights ahead."""
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


def _is_loading(group, view):
    """Whether the engine says that it obeys the order already."""
    return (
        view is not None
        and view.report is not None
        and view.reachable
        and view.report.state is ports.EngineState.LOADING
        and view.report.group == group.name
        and view.report.generation == group.generation
    )
