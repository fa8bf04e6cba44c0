"""Split of every contract's replicas over data centres."""

import dataclasses

from balsamwind.control import _decisions
from balsamwind import objects
from balsamwind import ports


def plan_allocations(view, fencing):
    """Decide how many groups of each contract each data centre carries.

    Contracts come in the order of their priority. What is allocated stays
    where it is while there is room for it; the rest goes where most whole
    groups fit.

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
    room = _Room(view)
    decisions = []
    contracts = [stored.value for stored in view.catalogue.items('contract')]
    contracts.sort(
        key=lambda contract: (-contract.priority, contract.customer)
    )
    for contract in contracts:
        stored = view.catalogue.get('allocation', contract.customer)
        wanted = _allocate(contract, stored, room, view.time)
        wanted = dataclasses.replace(wanted, fencing=fencing)
        if stored is None and not wanted.replicas:
            continue
        if stored is not None and _same(stored.value, wanted):
            continue
        expected = 0 if stored is None else stored.revision
        decisions.append(
            _decisions.PutObject(
                'allocation', contract.customer, wanted, expected
            )
        )
    return decisions


def _same(first, second):
    return (first.replicas, first.short) == (second.replicas, second.short)


def _allocate(contract, stored, room, time):
    replicas = {}
    short = {}
    if contract.in_force(time):
        for terms in contract.models:
            known = {}
            if stored is not None:
                known = stored.value.replicas.get(terms.model, {})
            split, missing = _split(terms, known, room)
            replicas[terms.model] = split
            if missing:
                short[terms.model] = (
                    f'{missing} of {terms.replicas} replicas: no fabric'
                    f' domain has {terms.group_size} usable VMs left'
                )
    return objects.Allocation(contract.customer, replicas, short)


def _split(terms, known, room):
    split = {}
    missing = terms.replicas
    for data_centre, count in sorted(known.items()):
        for _ in range(min(count, missing)):
            if room.take(data_centre, terms.group_size):
                split[data_centre] = split.get(data_centre, 0) + 1
    missing = terms.replicas - sum(split.values())
    while missing:
        data_centre = room.widest(terms.group_size)
        if data_centre is None:
            break
        room.take(data_centre, terms.group_size)
        split[data_centre] = split.get(data_centre, 0) + 1
        missing -= 1
    return split, missing


class _Room:
    """Usable VMs of each fabric domain, claimed or not."""

    __slots__ = ('_domains',)

    def __init__(self, view):
        self._domains = {}
        for row in view.listed.values():
            usable = row.state is ports.VmState.LIVE
            if usable and not view.observations.down_for(row.name, view.now):
                key = (row.data_centre, row.fabric_domain)
                self._domains[key] = self._domains.get(key, 0) + 1

    def take(self, data_centre, size):
        """Take `size` VMs of the fullest fitting domain of a data centre."""
        fitting = [
            key
            for key, count in self._domains.items()
            if key[0] == data_centre and count >= size
        ]
        if not fitting:
            return False
        key = max(fitting, key=lambda key: (self._domains[key], key))
        self._domains[key] -= size
        return True

    def widest(self, size):
        """Data centre with room for most groups, or None."""
        whole = {}
        for (data_centre, _), count in self._domains.items():
            whole[data_centre] = whole.get(data_centre, 0) + count // size
        if not whole or not max(whole.values()):
            return None
        return max(sorted(whole), key=lambda name: whole[name])
