"""What one round of a data centre chooses, over all its groups at once."""

import math

from balsamwind.control import _members
from balsamwind import objects
from balsamwind import placement
from balsamwind import ports


class Choices:
    """Repairs and formations of one round, in the order of priority.

    Repairs are chosen before new groups, and both for all contracts
    together, so that the order in which groups are looked at has no say.

    Parameters
    ----------
    view : View
        What is known.
    data_centre : str
        The shard.
    groups : list of balsamwind.objects.Stored
        Groups of the data centre.
    free : balsamwind.placement.FreeVms
        Free VMs of the data centre.
    find_lost : callable
        Group -> VMs that it lost.
    """

    __slots__ = (
        '_data_centre',
        '_find_lost',
        '_formations',
        '_free',
        '_groups',
        '_loads',
        '_members',
        '_repairs',
        '_staying',
        '_view',
    )

    def __init__(self, view, data_centre, groups, free, find_lost):
        self._view = view
        self._data_centre = data_centre
        self._groups = groups
        self._members = _members.Members(view)
        self._free = free
        self._find_lost = find_lost
        self._repairs = None
        self._formations = None
        self._loads = None
        self._staying = {}
        for stored in groups:
            if not stored.value.leaving:
                key = stored.value.contract, stored.value.model
                self._staying.setdefault(key, []).append(stored)

    def staying(self, contract, model):
        """Groups of a contract and model that are not leaving."""
        return self._staying.get((contract, model), ())

    def repair(self, stored):
        """What to do about a group that lost members."""
        if self._repairs is None:
            self._repairs = self._plan_repairs()
        return self._repairs[stored.name]

    def members(self, contract, terms):
        """Members of a new group; empty if it has no room."""
        if self._formations is None:
            self._formations = placement.plan_formations(
                self._needs(), self._free, self._load_model()
            )
        return self._formations.get((contract.customer, terms.model), ())

    def preloads(self):
        """Loads ahead on VMs that the round has left free."""
        most = self._view.settings.placement.preloads
        if not most:
            return []
        wanted = self._count_wanted_weights()
        return [
            preload
            for preload in placement.plan_preloads(self._free, wanted, most)
            if not self._is_loading(preload.row.name)
        ]

    def _count_wanted_weights(self):
        """Fabric domain -> weights -> groups that use them (count).

        The key ``''`` stands for domains without groups.
        """
        wanted = {'': {}}
        for stored in self._groups:
            group = stored.value
            if group.leaving:
                continue
            weights = placement.Weights(group.model, group.version)
            for key in (group.fabric_domain, ''):
                counts = wanted.setdefault(key, {})
                counts[weights] = counts.get(weights, 0) + 1
        return wanted

    def _is_loading(self, vm):
        report = self._view.observations.get(vm).report
        return report.state is ports.EngineState.LOADING

    def _load_model(self):
        if self._loads is None:
            self._loads = placement.LoadModel(
                self._view.settings.placement, self._count_queued()
            )
        return self._loads

    def _count_queued(self):
        """Members that wait for weights, in all data centres (count)."""
        return sum(
            self._waits_for_weights(stored.value, vm)
            for stored in self._view.catalogue.items('group')
            if stored.value.state is objects.GroupState.LOADING
            for vm in stored.value.vms
        )

    def _waits_for_weights(self, group, vm):
        view = self._view.observations.get(vm)
        if view is None or view.report is None:
            return True
        loading = view.report.state is ports.EngineState.LOADING
        weights = f'{group.model}@{group.version}'
        return weights not in view.report.cached and not loading

    def _plan_repairs(self):
        broken = []
        dropped = {}
        surplus = {}
        victims = {}
        for stored in self._groups:
            group = stored.value
            if group.leaving:
                continue
            lost = tuple(self._find_lost(group))
            item = self._make_broken(group, lost) if lost else None
            if item is not None and not item.streaming:
                if self._is_surplus(group, surplus):
                    dropped[group.name] = placement.plan_surplus(item)
                    continue
            if item is not None:
                broken.append(item)
            victims.setdefault(group.fabric_domain, []).append(
                placement.Victim(group, self._priority(group), item)
            )
        repairs = placement.plan_repairs(
            broken, victims, self._free, self._load_model()
        )
        return {**repairs, **dropped}

    def _is_surplus(self, group, surplus):
        """Whether one group fewer would still be all that is allocated."""
        key = group.contract, group.model
        if key not in surplus:
            surplus[key] = len(self.staying(*key)) - self._count_wanted(*key)
        surplus[key] -= 1
        return surplus[key] >= 0

    def _count_wanted(self, contract, model):
        allocation = self._view.catalogue.value('allocation', contract)
        if allocation is None:
            return math.inf
        split = allocation.replicas.get(model, {})
        return split.get(self._data_centre, 0)

    def _make_broken(self, group, lost):
        rows = [self._view.listed.get(vm) for vm in group.vms]
        leaving = any(
            row is not None and row.state is ports.VmState.LEAVING
            for row in rows
        )
        down = [self._down_for(vm) for vm in lost]
        known = [row.accelerators for row in rows if row is not None]
        return placement.BrokenGroup(
            group,
            self._priority(group),
            lost,
            max(down) if any(down) and not leaving else math.inf,
            max(known, default=2),
            leaving and not any(down) and not self._members.idle(group),
        )

    def _down_for(self, vm):
        return self._view.observations.down_for(vm, self._view.now)

    def _priority(self, group):
        contract = self._view.catalogue.value('contract', group.contract)
        return 0 if contract is None else contract.priority

    def allocated(self):
        """Contracts in force, their terms, and groups allocated here.

        Yields
        ------
        tuple of (Contract, ModelTerms, int)
        """
        for stored in self._view.catalogue.items('allocation'):
            contract = self._view.contract(stored.name)
            if contract is None:
                continue
            for terms in contract.models:
                split = stored.value.replicas.get(terms.model, {})
                yield contract, terms, split.get(self._data_centre, 0)

    def _needs(self):
        """Groups that are allocated here and do not exist."""
        for contract, terms, wanted in self.allocated():
            if wanted > self._count_current(contract, terms):
                yield placement.Need(
                    contract.customer, contract.priority, terms
                )

    def _count_current(self, contract, terms):
        return sum(
            fits(stored.value, terms)
            and not self._members.leaving(stored.value)
            for stored in self.staying(contract.customer, terms.model)
        )


def fits(group, terms):
    """Whether a group is what the contract asks for now."""
    return (
        group.version == terms.version
        and group.adapters == terms.adapters
        and group.role == terms.role
        and len(group.members) == terms.group_size
    )
