"""Life of the replica groups of one data centre.

Every round looks at what is, and decides the next step of each group; it
keeps no state of its own, so the next leader goes on where the last one
stopped. The record of a group is written first, as an intent; then its VMs
are claimed; only when the record was moved on with all claims held do the
engines get orders.
"""

import dataclasses

from balsamwind.control import _decisions
from balsamwind.control import _members
from balsamwind.control import _rollout
from balsamwind import membership
from balsamwind import objects
from balsamwind import placement
from balsamwind import ports

DRAIN_NOTICE = 2.0
"""Time for all entries to learn that a group is draining (seconds)."""

READY_NOTICE = 2.0
"""Time for all entries to learn that a group serves (seconds)."""

ORPHAN_AGE = 2.0
"""Age at which a claim without a group is deleted (seconds)."""

State = objects.GroupState


def plan_groups(view, data_centre, fencing):
    """Decide the next steps of all groups of a data centre.

    Parameters
    ----------
    view : View
        What is known.
    data_centre : str
        The shard.
    fencing : int
        Fencing number of the shard's lease.

    Returns
    -------
    list of PutObject, DeleteObject or SendOrder
    """
    planner = _Planner(view, data_centre, fencing)
    if planner.is_dark():
        return []
    planner.plan_orphans()
    for stored in planner.groups:
        planner.plan_group(stored)
    planner.plan_counts()
    return planner.decisions


class _Planner:
    """One round for one data centre."""

    __slots__ = (
        '_data_centre',
        '_fencing',
        '_free',
        '_members',
        '_view',
        'decisions',
        'groups',
    )

    def __init__(self, view, data_centre, fencing):
        self._view = view
        self._data_centre = data_centre
        self._fencing = fencing
        self._members = _members.Members(view)
        self._free = placement.make_free_vms(
            data_centre,
            view.listed,
            view.catalogue,
            view.observations,
            view.now,
        )
        self.groups = [
            stored
            for stored in view.catalogue.items('group')
            if stored.value.data_centre == data_centre
        ]
        self.decisions = []

    def is_dark(self):
        """Whether the data centre may be cut off: nothing is done then."""
        return self._members.is_dark(self._data_centre)

    def plan_orphans(self):
        """Delete claims that no group stands behind."""
        view = self._view
        for stored in view.catalogue.items('claim'):
            row = view.listed.get(stored.name)
            if row is None or row.data_centre != self._data_centre:
                continue
            group = view.catalogue.value('group', stored.value.group)
            if group is not None and stored.name in group.vms:
                continue
            if view.catalogue.age(stored, view.now) >= ORPHAN_AGE:
                self._delete(stored)

    def plan_group(self, stored):
        """Decide the next step of one group."""
        match stored.value.state:
            case State.FORMING:
                self._plan_forming(stored)
            case State.LOADING:
                self._plan_loading(stored)
            case State.READY:
                self._plan_ready(stored)
            case State.DRAINING:
                self._plan_draining(stored)
            case State.RELEASING:
                self._plan_releasing(stored)

    def _plan_forming(self, stored):
        group = stored.value
        if self._unwanted(group):
            self._move(stored, State.RELEASING, 'no longer asked for')
            return
        if self._lost(group):
            self._repair(stored)
            return
        missing = []
        for member in group.members:
            claim = self._view.catalogue.value('claim', member.vm)
            if claim is None:
                missing.append(member.vm)
            elif claim.group != group.name:
                self._move(stored, State.RELEASING, f'{member.vm} is claimed')
                return
        for vm in missing:
            claim = objects.Claim(
                vm, group.name, self._fencing, self._view.operation()
            )
            self._put('claim', vm, claim, 0)
        if not missing:
            self._move(stored, State.LOADING, group.reason)

    def _unwanted(self, group):
        """Whether the contract does not ask for a group that never served."""
        contract = self._view.contract(group.contract)
        terms = contract.terms(group.model) if contract else None
        return terms is None or not _fits(group, terms)

    def _plan_loading(self, stored):
        group = stored.value
        if self._unwanted(group):
            self._move(stored, State.RELEASING, 'no longer asked for')
            return
        if self._lost(group):
            self._repair(stored)
            return
        waiting = self._members.waiting(group)
        if not waiting:
            self._move(stored, State.READY, '')
        for member in group.members:
            if member.vm in waiting:
                self._order_load(group, member)

    def _plan_ready(self, stored):
        group = stored.value
        leaving = self._members.leaving(group)
        if self._view.contract(group.contract) is None:
            self._move(stored, State.DRAINING, 'contract not in force')
        elif self._members.down(group):
            self._repair(stored)
        elif leaving:
            reason = f'{", ".join(leaving)} leaving'
            self._move(stored, State.DRAINING, reason)
        elif self._members.changed(group):
            self._put_group(
                stored,
                state=State.LOADING,
                generation=group.generation + 1,
                reason='a member lost its state',
            )

    def _plan_draining(self, stored):
        group = stored.value
        age = self._view.catalogue.age(stored, self._view.now)
        if age < DRAIN_NOTICE:
            return
        timeout = self._view.settings.control.drain_timeout
        idle = self._members.idle(group)
        if idle or self._members.down(group) or age > timeout:
            self._move(stored, State.RELEASING, group.reason)

    def _plan_releasing(self, stored):
        group = stored.value
        age = self._view.catalogue.age(stored, self._view.now)
        given_up = age > self._view.settings.control.load_timeout
        held = False
        for member in group.members:
            claim = self._view.catalogue.get('claim', member.vm)
            if claim is None or claim.value.group != group.name:
                continue
            held = True
            loaded = self._members.still_loaded(group, member.vm)
            if loaded and not given_up:
                self._order_unload(group, member)
            else:
                self._delete(claim)
        if not held:
            self._delete(stored)

    def plan_counts(self):
        """Form groups that are missing and drain those that are too many."""
        for stored in self._view.catalogue.items('allocation'):
            contract = self._view.contract(stored.name)
            if contract is None:
                continue
            for terms in contract.models:
                split = stored.value.replicas.get(terms.model, {})
                wanted = split.get(self._data_centre, 0)
                self._plan_count(contract, terms, wanted)
        self._plan_dropped()

    def _plan_dropped(self):
        """Drain groups of models that their contract no longer names."""
        for stored in self.groups:
            contract = self._view.contract(stored.value.contract)
            if contract is None or stored.value.leaving:
                continue
            if contract.terms(stored.value.model) is None:
                self._drain(stored, 'model not in the contract')

    def _plan_count(self, contract, terms, wanted):
        key = (contract.customer, terms.model)
        staying = [
            stored
            for stored in self.groups
            if (stored.value.contract, stored.value.model) == key
            and not stored.value.leaving
        ]
        current = tuple(s for s in staying if _fits(s.value, terms))
        rollout = _rollout.Rollout(
            wanted,
            current,
            tuple(s for s in staying if not _fits(s.value, terms)),
            sum(self._is_known_ready(s) for s in current),
            self._is_settled(key, terms),
        )
        for stored in rollout.surplus():
            self._drain(stored, 'more than allocated')
        if rollout.may_form() and not self._form(contract, terms):
            for stored in rollout.replaced():
                self._drain(stored, 'replaced')

    def _is_settled(self, key, terms):
        """Whether a group may be taken out before its successor is there.

        Data centres take turns in the order of their names; one whose
        groups do not serve is passed over.
        """
        view = self._view
        for stored in view.catalogue.items('group'):
            group = stored.value
            if (group.contract, group.model) != key:
                continue
            here = group.data_centre == self._data_centre
            if not self._is_known_ready(stored):
                age = view.catalogue.age(stored, view.now)
                if here or age < view.settings.control.load_timeout:
                    return False
            elif group.data_centre < self._data_centre:
                reason = membership.check_group(
                    group, view.observations, view.listed, view.now
                )
                if not reason and not _fits(group, terms):
                    return False
        return True

    def _is_known_ready(self, stored):
        """Whether a group serves, and all entries have learned of it."""
        if stored.value.state is not State.READY:
            return False
        return self._view.catalogue.age(stored, self._view.now) >= READY_NOTICE

    def _drain(self, stored, reason):
        """Take a group out; at once if it never served."""
        if stored.value.state in _members.NEVER_SERVED:
            self._move(stored, State.RELEASING, reason)
        else:
            self._move(stored, State.DRAINING, reason)

    def _form(self, contract, terms):
        rows = placement.plan_members(terms, self._free)
        if not rows:
            return False
        self._free.take(rows)
        suffix = f'{self._view.rng.getrandbits(40):010x}'
        name = f'{contract.customer}-{terms.model}-{suffix}'
        group = objects.Group(
            name=name,
            contract=contract.customer,
            model=terms.model,
            version=terms.version,
            data_centre=self._data_centre,
            fabric_domain=rows[0].fabric_domain,
            members=tuple(objects.Member(r.name, r.address) for r in rows),
            generation=1,
            state=State.FORMING,
            adapters=terms.adapters,
            role=terms.role,
            fencing=self._fencing,
            operation=self._view.operation(),
        )
        self._put('group', name, group, 0)
        return True

    def _lost(self, group):
        stored = self._view.catalogue.get('group', group.name)
        age = self._view.catalogue.age(stored, self._view.now)
        return self._members.lost(group, age)

    def _repair(self, stored):
        group = stored.value
        lost = self._lost(group)
        rows = placement.plan_replacement(group, len(lost), self._free)
        reason = 'lost ' + ', '.join(lost)
        if not rows:
            self._move(stored, State.RELEASING, reason)
            return
        self._free.take(rows)
        kept = [m for m in group.members if m.vm not in lost]
        added = [objects.Member(row.name, row.address) for row in rows]
        self._put_group(
            stored,
            state=State.FORMING,
            members=tuple(kept + added),
            generation=group.generation + 1,
            reason=reason,
        )

    def _order_load(self, group, member):
        view = self._view.observations.get(member.vm)
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

    def _order_unload(self, group, member):
        order = ports.Order(
            'unload', group.name, group.generation, self._fencing
        )
        self.decisions.append(
            _decisions.SendOrder(member.vm, member.address, order)
        )

    def _move(self, stored, state, reason):
        self._put_group(stored, state=state, reason=reason)

    def _put_group(self, stored, **changes):
        value = dataclasses.replace(
            stored.value,
            fencing=self._fencing,
            operation=self._view.operation(),
            **changes,
        )
        self._put('group', stored.name, value, stored.revision)

    def _put(self, kind, name, value, expected):
        self.decisions.append(
            _decisions.PutObject(kind, name, value, expected)
        )

    def _delete(self, stored):
        self.decisions.append(
            _decisions.DeleteObject(stored.kind, stored.name, stored.revision)
        )


def _fits(group, terms):
    """Whether a group is what the contract asks for now."""
    return (
        group.version == terms.version
        and group.adapters == terms.adapters
        and group.role == terms.role
        and len(group.members) == terms.group_size
    )
