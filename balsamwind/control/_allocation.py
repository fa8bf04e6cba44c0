"""Split of every contract's replicas over data centres."""

import dataclasses

from balsamwind.control import _decisions
from balsamwind.control import _room
from balsamwind import objects


def plan_allocations(view, fencing):
    """Decide how many groups of each contract each data centre carries.

    Groups that are whole keep their place, so an allocation does not move
    as long as its VMs are there. What is missing is placed in the order of
    priority: in the data centre that had it, else where most members would
    hold the weights and most whole groups fit, else in place of groups of
    contracts with a lower priority.

    A VM counts as usable until it is confirmed to be down; one of which
    nothing is known, as in a data centre that is cut off, is not.

    Parameters
    ----------
    view : View
        What is known.
    fencing : int
        Fencing number of the fleet's lease.

    Returns
    -------
    list of PutObject
    """
    room = _room.make_room(view)
    contracts = [stored.value for stored in view.catalogue.items('contract')]
    contracts.sort(
        key=lambda contract: (-contract.priority, contract.customer)
    )
    demands = [
        _make_demand(view, contract, terms)
        for contract in contracts
        if contract.in_force(view.time)
        for terms in contract.models
    ]
    whole = _find_whole(view)
    for demand in demands:
        _keep(demand, whole.get(demand.key, ()), room)
    for demand in demands:
        _restore(demand, room)
    for demand in demands:
        _place(demand, room)
    return _make_writes(view, contracts, demands, room, fencing)


@dataclasses.dataclass(slots=True)
class _Demand:
    """Replicas of one model that a contract promises."""

    contract: str
    priority: int
    terms: objects.ModelTerms
    known: dict
    known_short: str
    split: dict = dataclasses.field(default_factory=dict)
    taken_by: dict = dataclasses.field(default_factory=dict)

    @property
    def key(self):
        """Contract and model."""
        return self.contract, self.terms.model

    @property
    def missing(self):
        """Replicas not placed (count)."""
        return self.terms.replicas - sum(self.split.values())

    def add(self, data_centre):
        """Count one replica."""
        self.split[data_centre] = self.split.get(data_centre, 0) + 1

    def remove(self, data_centre, taker):
        """Give one replica up."""
        self.split[data_centre] -= 1
        if not self.split[data_centre]:
            del self.split[data_centre]
        self.taken_by[taker] = self.taken_by.get(taker, 0) + 1


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


def _find_whole(view):
    """Contract and model -> places of groups with no confirmed loss."""
    whole = {}
    for stored in view.catalogue.items('group'):
        group = stored.value
        if group.leaving:
            continue
        if any(_room.is_lost(view, vm) for vm in group.vms):
            continue
        key = group.contract, group.model
        place = group.data_centre, group.fabric_domain, len(group.members)
        whole.setdefault(key, []).append(place)
    return whole


def _keep(demand, places, room):
    """Keep the groups that are whole, where the allocation has them."""
    for data_centre, domain, size in places:
        allowed = demand.known.get(data_centre, 0)
        if demand.split.get(data_centre, 0) >= allowed or not demand.missing:
            continue
        if size != demand.terms.group_size:
            continue
        if room.take((data_centre, domain), size, demand):
            demand.add(data_centre)


def _restore(demand, room):
    """Give lost and new groups room where the allocation has them."""
    size = demand.terms.group_size
    for data_centre, count in sorted(demand.known.items()):
        while demand.missing and demand.split.get(data_centre, 0) < count:
            domain = room.fullest(data_centre, size)
            if domain is None:
                break
            room.take(domain, size, demand)
            demand.add(data_centre)


def _place(demand, room):
    size = demand.terms.group_size
    while demand.missing:
        domain = room.best(demand.terms) or room.preempt(size, demand)
        if domain is None:
            return
        room.take(domain, size, demand)
        demand.add(domain[0])


def _make_writes(view, contracts, demands, room, fencing):
    by_contract = {}
    for demand in demands:
        by_contract.setdefault(demand.contract, []).append(demand)
    writes = []
    for contract in contracts:
        mine = by_contract.get(contract.customer, ())
        value = objects.Allocation(
            contract.customer,
            {d.terms.model: dict(sorted(d.split.items())) for d in mine},
            {d.terms.model: _explain(d, room) for d in mine if d.missing},
            fencing,
        )
        stored = view.catalogue.get('allocation', contract.customer)
        if stored is None and not value.replicas:
            continue
        if stored is not None and _same(stored.value, value):
            continue
        expected = 0 if stored is None else stored.revision
        writes.append(
            _decisions.PutObject(
                'allocation', contract.customer, value, expected
            )
        )
    return writes


def _same(first, second):
    return (first.replicas, first.short) == (second.replicas, second.short)


def _explain(demand, room):
    """Why replicas are missing, for operators."""
    terms = demand.terms
    head = (
        f'{demand.missing} of {terms.replicas} replicas: no fabric domain'
        f' has {terms.group_size} usable VMs left for priority'
        f' {demand.priority}'
    )
    parts = [head, *_explain_taken(demand, head)]
    if room.down:
        parts.append(f'{room.down} VMs confirmed down')
    if room.leaving:
        parts.append(f'{room.leaving} VMs leaving')
    return '; '.join(parts)


def _explain_taken(demand, head):
    """Who took replicas; what an earlier round said holds on."""
    if demand.taken_by:
        return [
            f'{count} taken for {taker}'
            for taker, count in sorted(demand.taken_by.items())
        ]
    known = demand.known_short.split('; ')
    if known[0] != head:
        return []
    return [part for part in known if ' taken for ' in part]
