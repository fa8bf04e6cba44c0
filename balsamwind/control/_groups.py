"""Lifecycle of the replica groups of one data centre.

Every round compares the desired with the observed state and decides the next
step of each group. It keeps no state between rounds, so that the next holder
of the lease continues where the last one stopped.

The record of a group is written first, as an intent. Then its VMs are claimed.
Engines get load orders only after the record was moved on to LOADING, which
requires all claims to be held.
"""

from balsamwind.control import _data_centre_plan
from balsamwind.control import _member_status
from balsamwind.control import _rollout
from balsamwind.control import _round_decisions
from balsamwind import membership
from balsamwind import objects
from balsamwind import placement

DRAIN_PROPAGATION_TIME = 2.0
"""Time in which all entries learn that a group is draining (seconds)."""

READY_PROPAGATION_TIME = 2.0
"""Time in which all entries learn that a group is ready (seconds)."""

ORPHANED_CLAIM_AGE = 2.0
"""Age at which a claim that belongs to no group is deleted (seconds)."""

State = objects.GroupState


def plan_groups(view, data_centre, fencing):
    """Decide the next steps of all groups of a data centre.

    Parameters
    ----------
    view : View
        Input of the control round.
    data_centre : str
        Name of the data centre, which is also the name of the shard.
    fencing : int
        Fencing number of the shard's lease.

    Returns
    -------
    list of PutObject, DeleteObject or SendOrder
        Empty if the data centre may be partitioned.
    """
    planner = _Planner(view, data_centre, fencing)
    if planner.may_be_partitioned():
        return []
    planner.plan_orphaned_claims()
    for stored in planner.groups:
        planner.plan_group(stored)
    planner.plan_group_counts()
    planner.plan_preloads()
    return planner.decisions


class _Planner:
    """Plans one round for one data centre.

    Parameters
    ----------
    view : View
        Input of the control round.
    data_centre : str
        Name of the data centre.
    fencing : int
        Fencing number of the shard's lease.
    """

    __slots__ = (
        '_data_centre',
        '_free_vms',
        '_members',
        '_plan',
        '_round_decisions',
        '_view',
        'groups',
    )

    def __init__(self, view, data_centre, fencing):
        self._view = view
        self._data_centre = data_centre
        self._round_decisions = _round_decisions.RoundDecisions(view, fencing)
        self._members = _member_status.MemberStatus(view)
        self._free_vms = placement.make_free_vms(
            data_centre,
            view.listed,
            view.catalogue,
            view.observations,
            view.now,
        )
        self.groups = [
            stored
            for stored in view.catalogue.list_objects('group')
            if stored.value.data_centre == data_centre
        ]
        self._plan = _data_centre_plan.DataCentrePlan(
            view, data_centre, self.groups, self._free_vms, self._find_lost
        )

    @property
    def decisions(self):
        """Decisions made so far."""
        return self._round_decisions.decisions

    def may_be_partitioned(self):
        """Whether the data centre may be partitioned; then no plan is made."""
        return self._members.may_be_partitioned(self._data_centre)

    def plan_orphaned_claims(self):
        """Delete claims whose group is gone or does not contain the VM."""
        view = self._view
        for stored in view.catalogue.list_objects('claim'):
            row = view.listed.get(stored.name)
            if row is None or row.data_centre != self._data_centre:
                continue
            group = view.catalogue.get_value('group', stored.value.group)
            if group is not None and stored.name in group.vms:
                continue
            if view.catalogue.age(stored, view.now) >= ORPHANED_CLAIM_AGE:
                self._round_decisions.delete(stored)

    def plan_group(self, stored):
        """Decide the next step of one group, by its state.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Current version of the group record.
        """
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
        if self._is_unwanted(group):
            self._change_state(stored, State.RELEASING, 'no longer asked for')
            return
        if self._find_lost(group):
            self._apply_repair(stored)
            return
        missing = []
        for member in group.members:
            claim = self._view.catalogue.get_value('claim', member.vm)
            if claim is None:
                missing.append(member.vm)
            elif claim.group != group.name:
                self._change_state(
                    stored, State.RELEASING, f'{member.vm} is claimed'
                )
                return
        for vm in missing:
            self._round_decisions.claim(vm, group)
        if not missing:
            self._change_state(stored, State.LOADING, group.reason)

    def _is_unwanted(self, group):
        """Whether no contract in force has terms that match the group.

        Only checked for groups that have not served yet.
        """
        contract = self._view.contract_in_force(group.contract)
        terms = contract.find_terms(group.model) if contract else None
        return terms is None or not _data_centre_plan.matches_terms(
            group, terms
        )

    def _plan_loading(self, stored):
        group = stored.value
        if self._is_unwanted(group):
            self._change_state(stored, State.RELEASING, 'no longer asked for')
            return
        if self._find_lost(group):
            self._apply_repair(stored)
            return
        not_ready = self._members.find_not_ready(group)
        if not not_ready:
            self._change_state(stored, State.READY, '')
        for member in group.members:
            if member.vm in not_ready:
                self._round_decisions.order_load(group, member)

    def _plan_ready(self, stored):
        group = stored.value
        if self._view.contract_in_force(group.contract) is None:
            self._change_state(stored, State.DRAINING, 'contract not in force')
        elif self._find_lost(group):
            self._apply_repair(stored)
        elif self._members.has_lost_state(group):
            self._round_decisions.change_group(
                stored,
                state=State.LOADING,
                generation=group.generation + 1,
                reason='a member lost its state',
            )

    def _plan_draining(self, stored):
        group = stored.value
        age = self._view.catalogue.age(stored, self._view.now)
        if age < DRAIN_PROPAGATION_TIME:
            return
        timeout = self._view.settings.control.drain_timeout
        idle = self._members.is_idle(group)
        if idle or self._members.find_down(group) or age > timeout:
            self._change_state(stored, State.RELEASING, group.reason)

    def _plan_releasing(self, stored):
        group = stored.value
        age = self._view.catalogue.age(stored, self._view.now)
        timed_out = age > self._view.settings.control.load_timeout
        has_claims = False
        for member in group.members:
            claim = self._view.catalogue.get('claim', member.vm)
            if claim is None or claim.value.group != group.name:
                continue
            has_claims = True
            loaded = self._members.needs_unload(group, member.vm)
            if loaded and not timed_out:
                self._round_decisions.order_unload(group, member)
            else:
                self._round_decisions.delete(claim)
        if not has_claims:
            self._round_decisions.delete(stored)

    def plan_group_counts(self):
        """Form missing groups and drain surplus ones, for every model."""
        for contract, terms, wanted in self._plan.iter_allocated():
            self._plan_group_count(contract, terms, wanted)
        self._plan_removed_models()

    def _plan_removed_models(self):
        """Drain groups of models that were removed from their contract."""
        for stored in self.groups:
            contract = self._view.contract_in_force(stored.value.contract)
            if contract is None or stored.value.leaving:
                continue
            if contract.find_terms(stored.value.model) is None:
                self._drain(stored, 'model not in the contract')

    def _plan_group_count(self, contract, terms, wanted):
        key = (contract.customer, terms.model)
        retained = sorted(
            self._plan.get_retained_groups(*key), key=self._drain_order
        )
        matching = [
            s
            for s in retained
            if _data_centre_plan.matches_terms(s.value, terms)
        ]
        current = [s for s in matching if not self._has_leaving_member(s)]
        rollout = _rollout.Rollout(
            wanted,
            tuple(current),
            tuple(s for s in retained if s not in current),
            len(matching),
            sum(self._is_known_ready(s) for s in current),
            self._may_drain_first(key, terms),
        )
        for stored in rollout.find_surplus():
            self._drain(stored, 'more than allocated')
        if rollout.may_form() and not self._form_group(contract, terms):
            for stored in rollout.find_replaceable():
                self._drain(stored, 'replaced')

    def _drain_order(self, stored):
        """Sort key for draining: lost members first, then groups not ready."""
        return (
            not self._find_lost(stored.value),
            stored.value.state is State.READY,
        )

    def _has_leaving_member(self, stored):
        """Whether a group serves while one of its VMs is leaving.

        Such a group waits for its streams to end before it is repaired.
        """
        group = stored.value
        if group.state is not State.READY or self._members.find_down(group):
            return False
        return bool(self._members.find_leaving(group))

    def _may_drain_first(self, key, terms):
        """Whether a group may be drained before its successor is ready.

        Data centres take turns in the order of their names. A data centre
        whose groups do not serve is skipped.

        Parameters
        ----------
        key : (str, str)
            Contract and model.
        terms : balsamwind.objects.ModelTerms
            Terms of that model.
        """
        view = self._view
        for stored in view.catalogue.list_objects('group'):
            group = stored.value
            if (group.contract, group.model) != key:
                continue
            is_local = group.data_centre == self._data_centre
            if not self._is_known_ready(stored):
                age = view.catalogue.age(stored, view.now)
                if is_local or age < view.settings.control.load_timeout:
                    return False
            elif group.data_centre < self._data_centre:
                reason = membership.check_group(
                    group, view.observations, view.listed, view.now
                )
                if not reason and not _data_centre_plan.matches_terms(
                    group, terms
                ):
                    return False
        return True

    def _is_known_ready(self, stored):
        """Whether a group is ready and all entries have learned of it."""
        if stored.value.state is not State.READY:
            return False
        return (
            self._view.catalogue.age(stored, self._view.now)
            >= READY_PROPAGATION_TIME
        )

    def _drain(self, stored, reason):
        """Drain a group; release it at once if it has not served yet."""
        if stored.value.state in _member_status.STATES_BEFORE_SERVING:
            self._change_state(stored, State.RELEASING, reason)
        else:
            self._change_state(stored, State.DRAINING, reason)

    def _form_group(self, contract, terms):
        rows = self._plan.get_new_members(contract, terms)
        if not rows:
            return False
        suffix = f'{self._view.rng.getrandbits(40):010x}'
        name = f'{contract.customer}-{terms.model}-{suffix}'
        self._round_decisions.create_group(
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

    def _find_lost(self, group):
        stored = self._view.catalogue.get('group', group.name)
        age = self._view.catalogue.age(stored, self._view.now)
        return self._members.find_lost(group, age)

    def _apply_repair(self, stored):
        group = stored.value
        repair = self._plan.get_repair(stored)
        match repair.kind:
            case placement.RepairKind.USE_SPARE:
                kept = [m for m in group.members if m.vm not in repair.lost]
                added = [
                    objects.Member(row.name, row.address)
                    for row in repair.listed_vms
                ]
                self._round_decisions.change_group(
                    stored,
                    state=State.FORMING,
                    members=tuple(kept + added),
                    generation=group.generation + 1,
                    reason=repair.reason,
                )
            case placement.RepairKind.RECREATE | placement.RepairKind.RELEASE:
                self._change_state(stored, State.RELEASING, repair.reason)
            case placement.RepairKind.PREEMPT:
                self._preempt_victim(stored, repair)
                self._record_reason(stored, repair)
            case placement.RepairKind.WAIT | placement.RepairKind.AWAIT_SPARE:
                self._record_reason(stored, repair)

    def _preempt_victim(self, stored, repair):
        """Drain a serving group whose member the repaired group will take."""
        if repair.victim_serves:
            victim = self._view.catalogue.get('group', repair.victim)
            reason = f'taken apart for {stored.name}: {repair.reason}'
            self._change_state(victim, State.DRAINING, reason)

    def _record_reason(self, stored, repair):
        """Record for operators how a broken group is to be repaired.

        The record is written only if the lost VMs or the kind of repair
        have changed.
        """
        names = ', '.join(repair.lost)
        prefix = f'lost {names}; {repair.kind.value}'
        if not stored.value.reason.startswith(prefix):
            self._change_state(stored, stored.value.state, repair.reason)

    def plan_preloads(self):
        """Order free VMs to preload weights; they remain free meanwhile."""
        for preload in self._plan.plan_preloads():
            self._round_decisions.order_preload(
                preload.listed_vm, preload.weights
            )

    def _change_state(self, stored, state, reason):
        self._round_decisions.change_group(stored, state=state, reason=reason)
