"""Allocation of every contract's replicas to data centres."""

import dataclasses

from balsamwind.control import _decisions
from balsamwind.control import _fleet_capacity
from balsamwind import objects


def plan_allocations(view, fencing):
    """Decide how many groups of each contract each data centre carries.

    Groups without unavailable VMs keep their place, so that an allocation is
    stable as long as its VMs exist. Missing replicas are placed in the order
    of priority: in the data centre that the allocation names, else where most
    members would have the weights cached and most complete groups fit, else
    by preempting groups of contracts with a lower priority.

    A VM counts as usable until it is confirmed to be down. A VM without a
    recent observation, as in a partitioned data centre, is not confirmed to
    be down and thus counts as usable.

    Parameters
    ----------
    view : View
        Input of the control round.
    fencing : int
        Fencing number of the lease of the fleet shard.

    Returns
    -------
    list of PutObject
        Writes of the allocations that change.
    """
    capacity = _fleet_capacity.count_capacity(view)
    contracts = [
        stored.value for stored in view.catalogue.list_objects('contract')
    ]
    contracts.sort(
        key=lambda contract: (-contract.priority, contract.customer)
    )
    demands = [
        _make_demand(view, contract, terms)
        for contract in contracts
        if contract.in_force(view.time)
        for terms in contract.models
    ]
    intact = _find_intact_groups(view)
    for demand in demands:
        _keep_intact_groups(demand, intact.get(demand.key, ()), capacity)
    for demand in demands:
        _place_as_before(demand, capacity)
    for demand in demands:
        _place_missing(demand, capacity)
    return _make_writes(view, contracts, demands, capacity, fencing)


@dataclasses.dataclass(slots=True)
class _Demand:
    """Demand of one contract for replicas of one model.

    Parameters
    ----------
    contract : str
        Name of the contract.
    priority : int
        Priority of the contract.
    terms : balsamwind.objects.ModelTerms
        Model, version, group size and number of replicas.
    previous_split : dict of str to int
        Data centre -> replicas in the stored allocation (count).
    previous_shortage : str
        Explanation of missing replicas in the stored allocation.
    split : dict of str to int
        Data centre -> replicas placed in this round (count).
    preempted_by : dict of str to int
        Contract -> replicas that it preempted in this round (count).
    """

    contract: str
    priority: int
    terms: objects.ModelTerms
    previous_split: dict
    previous_shortage: str
    split: dict = dataclasses.field(default_factory=dict)
    preempted_by: dict = dataclasses.field(default_factory=dict)

    @property
    def key(self):
        """Name of the contract and of the model."""
        return self.contract, self.terms.model

    @property
    def missing(self):
        """Replicas that are not placed yet (count)."""
        return self.terms.replicas - sum(self.split.values())

    def add(self, data_centre):
        """Add one replica.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        """
        self.split[data_centre] = self.split.get(data_centre, 0) + 1

    def remove(self, data_centre, preemptor):
        """Remove one replica that another contract preempts.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        preemptor : str
            Contract that preempts the replica.
        """
        self.split[data_centre] -= 1
        if not self.split[data_centre]:
            del self.split[data_centre]
        self.preempted_by[preemptor] = self.preempted_by.get(preemptor, 0) + 1


def _make_demand(view, contract, terms):
    stored = view.catalogue.get('allocation', contract.customer)
    if stored is None:
        return _Demand(contract.customer, contract.priority, terms, {}, '')
    return _Demand(
        contract.customer,
        contract.priority,
        terms,
        stored.value.replicas.get(terms.model, {}),
        stored.value.short.get(terms.model, ''),
    )


def _find_intact_groups(view):
    """Find the groups none of whose VMs is unavailable.

    Returns
    -------
    dict of (str, str) to list of (str, str, int)
        Contract and model -> data centre, fabric domain and size (count) of
        each such group.
    """
    intact = {}
    for stored in view.catalogue.list_objects('group'):
        group = stored.value
        if group.leaving:
            continue
        if any(_fleet_capacity.is_unavailable(view, vm) for vm in group.vms):
            continue
        key = group.contract, group.model
        place = group.data_centre, group.fabric_domain, len(group.members)
        intact.setdefault(key, []).append(place)
    return intact


def _keep_intact_groups(demand, places, capacity):
    """Reserve the VMs of intact groups that the stored allocation covers."""
    for data_centre, domain, size in places:
        allowed = demand.previous_split.get(data_centre, 0)
        if demand.split.get(data_centre, 0) >= allowed or not demand.missing:
            continue
        if size != demand.terms.group_size:
            continue
        if capacity.reserve((data_centre, domain), size, demand):
            demand.add(data_centre)


def _place_as_before(demand, capacity):
    """Place lost and missing groups where the stored allocation has them."""
    size = demand.terms.group_size
    for data_centre, count in sorted(demand.previous_split.items()):
        while demand.missing and demand.split.get(data_centre, 0) < count:
            domain = capacity.find_largest_domain(data_centre, size)
            if domain is None:
                break
            capacity.reserve(domain, size, demand)
            demand.add(data_centre)


def _place_missing(demand, capacity):
    size = demand.terms.group_size
    while demand.missing:
        domain = capacity.choose_domain(demand.terms) or capacity.preempt(
            size, demand
        )
        if domain is None:
            return
        capacity.reserve(domain, size, demand)
        demand.add(domain[0])


def _make_writes(view, contracts, demands, capacity, fencing):
    by_contract = {}
    for demand in demands:
        by_contract.setdefault(demand.contract, []).append(demand)
    writes = []
    for contract in contracts:
        own_demands = by_contract.get(contract.customer, ())
        value = objects.Allocation(
            contract.customer,
            {
                d.terms.model: dict(sorted(d.split.items()))
                for d in own_demands
            },
            {
                d.terms.model: _explain_shortage(d, capacity)
                for d in own_demands
                if d.missing
            },
            fencing,
        )
        stored = view.catalogue.get('allocation', contract.customer)
        if stored is None and not value.replicas:
            continue
        if stored is not None and _is_same_allocation(stored.value, value):
            continue
        expected = 0 if stored is None else stored.revision
        writes.append(
            _decisions.PutObject(
                'allocation', contract.customer, value, expected
            )
        )
    return writes


def _is_same_allocation(first, second):
    return (first.replicas, first.short) == (second.replicas, second.short)


def _explain_shortage(demand, capacity):
    """Explain to operators why replicas are missing."""
    terms = demand.terms
    summary = (
        f'{demand.missing} of {terms.replicas} replicas: no fabric domain'
        f' has {terms.group_size} usable VMs left for priority'
        f' {demand.priority}'
    )
    parts = [summary, *_explain_preemption(demand, summary)]
    if capacity.down:
        parts.append(f'{capacity.down} VMs confirmed down')
    if capacity.leaving:
        parts.append(f'{capacity.leaving} VMs leaving')
    return '; '.join(parts)


def _explain_preemption(demand, summary):
    """Explain which contracts preempted replicas.

    Without preemption in this round, the explanation in the stored allocation
    is kept as long as its first part, the `summary`, is unchanged.
    """
    if demand.preempted_by:
        return [
            f'{count} taken for {preemptor}'
            for preemptor, count in sorted(demand.preempted_by.items())
        ]
    previous_parts = demand.previous_shortage.split('; ')
    if previous_parts[0] != summary:
        return []
    return [part for part in previous_parts if ' taken for ' in part]
