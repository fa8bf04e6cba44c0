"""Plan of one control round over all groups of a data centre."""

import math

from balsamwind.control import _member_status
from balsamwind import objects
from balsamwind import placement
from balsamwind import ports


class DataCentrePlan:
    """Repairs, new groups and preloads of one round, by priority.

    Repairs are planned before new groups, and both for all contracts
    together, so that the order in which the groups are visited does not
    affect the result. Each plan is made on first use.

    Parameters
    ----------
    view : View
        Input of the control round.
    data_centre : str
        Data centre whose groups are planned.
    groups : list of balsamwind.objects.ObjectVersion
        Groups of the data centre.
    free_vms : balsamwind.placement.FreeVms
        Free VMs of the data centre; planning takes VMs out of it.
    find_lost : callable
        Maps a group to the list of its VMs that have to be replaced.
    """

    __slots__ = (
        '_cached_durations',
        '_data_centre',
        '_find_lost',
        '_formations',
        '_free_vms',
        '_groups',
        '_members',
        '_repairs',
        '_retained',
        '_view',
    )

    def __init__(self, view, data_centre, groups, free_vms, find_lost):
        self._view = view
        self._data_centre = data_centre
        self._groups = groups
        self._members = _member_status.MemberStatus(view)
        self._free_vms = free_vms
        self._find_lost = find_lost
        self._repairs = None
        self._formations = None
        self._cached_durations = None
        self._retained = {}
        for stored in groups:
            if not stored.value.leaving:
                key = stored.value.contract, stored.value.model
                self._retained.setdefault(key, []).append(stored)

    def get_retained_groups(self, contract, model):
        """Return the groups that are neither draining nor being released.

        Parameters
        ----------
        contract : str
            Name of the contract.
        model : str
            Name of the model.

        Returns
        -------
        sequence of balsamwind.objects.ObjectVersion
        """
        return self._retained.get((contract, model), ())

    def get_repair(self, stored):
        """Return the planned repair of a group that lost members.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            The group.

        Returns
        -------
        balsamwind.placement.Repair
        """
        if self._repairs is None:
            self._repairs = self._plan_repairs()
        return self._repairs[stored.name]

    def get_new_members(self, contract, terms):
        """Return the VMs planned for a new group.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract that the group serves.
        terms : balsamwind.objects.ModelTerms
            Terms of the model in that contract.

        Returns
        -------
        sequence of balsamwind.ports.ListedVm
            Empty if no fabric domain has enough free VMs.
        """
        if self._formations is None:
            self._formations = placement.plan_formations(
                self._find_missing_groups(),
                self._free_vms,
                self._get_durations(),
            )
        return self._formations.get((contract.customer, terms.model), ())

    def plan_preloads(self):
        """Plan the preloads on VMs that are still free in this round.

        Returns
        -------
        list of balsamwind.placement.Preload
            Without VMs whose engine is already loading.
        """
        most = self._view.settings.placement.preloads
        if not most:
            return []
        wanted = self._count_wanted_weights()
        return [
            preload
            for preload in placement.plan_preloads(
                self._free_vms, wanted, most
            )
            if not self._is_loading(preload.listed_vm.name)
        ]

    def _count_wanted_weights(self):
        """Count the groups that use each set of weights.

        Returns
        -------
        dict of str to dict of balsamwind.placement.WeightsId to int
            Fabric domain -> weights -> groups (count). The key ``''`` counts
            all groups of the data centre, for domains without groups.
        """
        wanted = {'': {}}
        for stored in self._groups:
            group = stored.value
            if group.leaving:
                continue
            weights = placement.WeightsId(group.model, group.version)
            for key in (group.fabric_domain, ''):
                counts = wanted.setdefault(key, {})
                counts[weights] = counts.get(weights, 0) + 1
        return wanted

    def _is_loading(self, vm):
        report = self._view.observations.get(vm).report
        return report.state is ports.EngineState.LOADING

    def _get_durations(self):
        if self._cached_durations is None:
            self._cached_durations = placement.DurationEstimator(
                self._view.settings.placement, self._count_queued_loads()
            )
        return self._cached_durations

    def _count_queued_loads(self):
        """Count the members that wait for weights, in all data centres."""
        return sum(
            self._waits_for_weights(stored.value, vm)
            for stored in self._view.catalogue.list_objects('group')
            if stored.value.state is objects.GroupState.LOADING
            for vm in stored.value.vms
        )

    def _waits_for_weights(self, group, vm):
        vm_view = self._view.observations.get(vm)
        if vm_view is None or vm_view.report is None:
            return True
        loading = vm_view.report.state is ports.EngineState.LOADING
        weights = f'{group.model}@{group.version}'
        return weights not in vm_view.report.cached and not loading

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
            item = self._make_broken_group(group, lost) if lost else None
            if item is not None and not item.streaming:
                if self._take_surplus(group, surplus):
                    dropped[group.name] = placement.plan_surplus_release(item)
                    continue
            if item is not None:
                broken.append(item)
            victims.setdefault(group.fabric_domain, []).append(
                placement.PreemptionCandidate(
                    group, self._get_priority(group), item
                )
            )
        repairs = placement.plan_repairs(
            broken, victims, self._free_vms, self._get_durations()
        )
        return {**repairs, **dropped}

    def _take_surplus(self, group, surplus):
        """Whether the allocation is still met without this broken group.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group that lost members.
        surplus : dict of (str, str) to int
            Contract and model -> groups beyond the allocation (count);
            filled on first use and reduced by one with every call.
        """
        key = group.contract, group.model
        if key not in surplus:
            surplus[key] = len(
                self.get_retained_groups(*key)
            ) - self._count_allocated(*key)
        surplus[key] -= 1
        return surplus[key] >= 0

    def _count_allocated(self, contract, model):
        allocation = self._view.catalogue.get_value('allocation', contract)
        if allocation is None:
            return math.inf
        split = allocation.replicas.get(model, {})
        return split.get(self._data_centre, 0)

    def _make_broken_group(self, group, lost):
        rows = [self._view.listed.get(vm) for vm in group.vms]
        leaving = any(
            row is not None and row.state is ports.VmState.LEAVING
            for row in rows
        )
        down = [self._down_for(vm) for vm in lost]
        accelerators = [row.accelerators for row in rows if row is not None]
        return placement.BrokenGroup(
            group,
            self._get_priority(group),
            lost,
            max(down) if any(down) and not leaving else math.inf,
            max(accelerators, default=2),
            leaving and not any(down) and not self._members.is_idle(group),
        )

    def _down_for(self, vm):
        return self._view.observations.down_duration(vm, self._view.now)

    def _get_priority(self, group):
        contract = self._view.catalogue.get_value('contract', group.contract)
        return 0 if contract is None else contract.priority

    def iter_allocated(self):
        """Iterate over the models of contracts in force.

        Yields
        ------
        contract : balsamwind.objects.Contract
            Contract in force that has an allocation.
        terms : balsamwind.objects.ModelTerms
            Terms of one of its models.
        wanted : int
            Groups of that model allocated to this data centre (count).
        """
        for stored in self._view.catalogue.list_objects('allocation'):
            contract = self._view.contract_in_force(stored.name)
            if contract is None:
                continue
            for terms in contract.models:
                split = stored.value.replicas.get(terms.model, {})
                yield contract, terms, split.get(self._data_centre, 0)

    def _find_missing_groups(self):
        """Yield one need per model with fewer groups than allocated."""
        for contract, terms, wanted in self.iter_allocated():
            if wanted > self._count_current(contract, terms):
                yield placement.PendingGroup(
                    contract.customer, contract.priority, terms
                )

    def _count_current(self, contract, terms):
        return sum(
            matches_terms(stored.value, terms)
            and not self._members.find_leaving(stored.value)
            for stored in self.get_retained_groups(
                contract.customer, terms.model
            )
        )


def matches_terms(group, terms):
    """Whether a group has the version, adapters, role and size of `terms`.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    terms : balsamwind.objects.ModelTerms
        Terms of the model in the contract.
    """
    return (
        group.version == terms.version
        and group.adapters == terms.adapters
        and group.role == terms.role
        and len(group.members) == terms.group_size
    )
