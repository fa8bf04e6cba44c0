"""Life of the replica groups of one data centre.

Every round looks at what is, and decides the next step of each group; it
keeps no state of its own, so the next leader goes on where the last one
stopped. The record of a group is written first, as an intent; then its VMs
are claimed; only when the record was moved on with all claims held do the
engines get orders.
"""

from balsamwind.control import _choices
from balsamwind.control import _members
from balsamwind.control import _rollout
from balsamwind.control import _writes
from balsamwind import membership
from balsamwind import objects
from balsamwind import placement

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
    planner.plan_preloads()
    return planner.decisions


class _Planner:
    """One round for one data centre."""

    __slots__ = (
        '_choices',
        '_data_centre',
        '_free',
        '_members',
        '_view',
        '_writes',
        'groups',
    )

    def __init__(self, view, data_centre, fencing):
        self._view = view
        self._data_centre = data_centre
        self._writes = _writes.Writes(view, fencing)
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
        self._choices = _choices.Choices(
            view, data_centre, self.groups, self._free, self._lost
        )

    @property
    def decisions(self):
        """What was decided so far."""
        return self._writes.decisions

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
                self._writes.delete(stored)

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
            self._writes.claim(vm, group)
        if not missing:
            self._move(stored, State.LOADING, group.reason)

    def _unwanted(self, group):
        """Whether the contract does not ask for a group that never served."""
        contract = self._view.contract(group.contract)
        terms = contract.terms(group.model) if contract else None
        return terms is None or not _choices.fits(group, terms)

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
                self._writes.order_load(group, member)

    def _plan_ready(self, stored):
        group = stored.value
        if self._view.contract(group.contract) is None:
            self._move(stored, State.DRAINING, 'contract not in force')
        elif self._lost(group):
            self._repair(stored)
        elif self._members.changed(group):
            self._writes.change_group(
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
                self._writes.order_unload(group, member)
            else:
                self._writes.delete(claim)
        if not held:
            self._writes.delete(stored)

    def plan_counts(self):
        """Form groups that are missing and drain those that are too many."""
        for contract, terms, wanted in self._choices.allocated():
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
        staying = sorted(self._choices.staying(*key), key=self._worth)
        fitting = [s for s in staying if _choices.fits(s.value, terms)]
        current = [s for s in fitting if not self._is_leaving(s)]
        rollout = _rollout.Rollout(
            wanted,
            tuple(current),
            tuple(s for s in staying if s not in current),
            len(fitting),
            sum(self._is_known_ready(s) for s in current),
            self._is_settled(key, terms),
        )
        for stored in rollout.surplus():
            self._drain(stored, 'more than allocated')
        if rollout.may_form() and not self._form(contract, terms):
            for stored in rollout.replaced():
                self._drain(stored, 'replaced')

    def _worth(self, stored):
        """Sort key: groups that do not serve come first."""
        return (
            not self._lost(stored.value),
            stored.value.state is State.READY,
        )

    def _is_leaving(self, stored):
        """Whether a group that serves waits for the end of its streams."""
        group = stored.value
        if group.state is not State.READY or self._members.down(group):
            return False
        return bool(self._members.leaving(group))

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
                if not reason and not _choices.fits(group, terms):
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
        rows = self._choices.members(contract, terms)
        if not rows:
            return False
        suffix = f'{self._view.rng.getrandbits(40):010x}'
        name = f'{contract.customer}-{terms.model}-{suffix}'
        self._writes.create_group(
            name=name,
            contract=contract.customer,
            model=terms.model,
            version=terms.version,
            data_centre=self._data_centre,
            fabric_domain=rows[0].fabric_domain,
            members=tuple(objects.Member(r.name, r.address) for r in rows),
            adapters=terms.adapters,
            role=terms.role,
        )
        return True

    def _lost(self, group):
        stored = self._view.catalogue.get('group', group.name)
        age = self._view.catalogue.age(stored, self._view.now)
        return self._members.lost(group, age)

    def _repair(self, stored):
        group = stored.value
        repair = self._choices.repair(stored)
        match repair.way:
            case placement.Way.SPARE:
                kept = [m for m in group.members if m.vm not in repair.lost]
                added = [
                    objects.Member(row.name, row.address)
                    for row in repair.rows
                ]
                self._writes.change_group(
                    stored,
                    state=State.FORMING,
                    members=tuple(kept + added),
                    generation=group.generation + 1,
                    reason=repair.reason,
                )
            case placement.Way.REFORM | placement.Way.YIELD:
                self._move(stored, State.RELEASING, repair.reason)
            case placement.Way.BREAK:
                self._break(stored, repair)
                self._explain(stored, repair)
            case placement.Way.WAIT | placement.Way.COMING:
                self._explain(stored, repair)

    def _break(self, stored, repair):
        """Drain a group whose member another one is to take."""
        if repair.victim_serves:
            victim = self._view.catalogue.get('group', repair.victim)
            reason = f'taken apart for {stored.name}: {repair.reason}'
            self._move(victim, State.DRAINING, reason)

    def _explain(self, stored, repair):
        """Tell operators what a broken group waits for, once."""
        head = ', '.join(repair.lost)
        known = f'lost {head}; {repair.way.value}'
        if not stored.value.reason.startswith(known):
            self._move(stored, stored.value.state, repair.reason)

    def plan_preloads(self):
        """Let free VMs load weights ahead; they stay free."""
        for preload in self._choices.preloads():
            self._writes.order_preload(preload.row, preload.weights)

    def _move(self, stored, state, reason):
        self._writes.change_group(stored, state=state, reason=reason)
