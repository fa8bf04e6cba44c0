"""Choice of the repair of groups that lost a member."""

import dataclasses
import enum

from balsamwind import objects
from balsamwind.placement import _cost
from balsamwind.placement import _formation

RELEASE_TIME = 3.0
"""Expected time to unload members and delete their claims (seconds)."""

DRAIN_TIME = 30.0
"""Expected time for the streams of a serving group to end (seconds)."""

WAIT_FACTORS = (0.25, 0.5, 1.0, 2.0, 4.0)
"""Longest waits to compare, as multiples of the mean return time."""


class RepairKind(enum.Enum):
    """Kinds of repair of a group that lost members.

    Where two kinds cost the same, the one that is listed first is chosen;
    `WAIT` is chosen only if it costs less than all others.

    Attributes
    ----------
    USE_SPARE
        Free VMs of the fabric domain replace the lost members.
    AWAIT_SPARE
        As `USE_SPARE`, but some of the VMs are first released by groups that
        are in draining or releasing; the group waits for them.
    RECREATE
        The group is released, and a new group is formed from free VMs, which
        may be in another fabric domain.
    PREEMPT
        Another group of the fabric domain is preempted to get replacements:
        one of lower priority, or one of equal priority that is broken too.
    WAIT
        The group keeps its members until the lost ones come back, or while
        a member is leaving until the open streams have ended.
    RELEASE
        The group is released, because it is preempted or no longer
        allocated.
    """

    USE_SPARE = 'spare'
    AWAIT_SPARE = 'coming'
    RECREATE = 'reform'
    PREEMPT = 'break'
    WAIT = 'wait'
    RELEASE = 'yield'


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenGroup:
    """A group with members that have to be replaced.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    priority : int
        Priority of the contract.
    lost : tuple of str
        Names of the members' VMs that are down, leaving or stuck in a load.
    down_for : float
        Time since the first of them went down (seconds). Infinite if none
        is down or a VM of the group is leaving.
    accelerators : int
        Accelerators of one member (count).
    streaming : bool
        Whether the group still serves open streams: a VM is leaving, but
        all members respond.
    """

    group: objects.Group
    priority: int
    lost: tuple[str, ...]
    down_for: float
    accelerators: int = 2
    streaming: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class PreemptionCandidate:
    """A group that may be preempted to repair another one.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    priority : int
        Priority of the contract.
    broken : BrokenGroup or None
        Members that the group itself lost; None if it is whole.
    """

    group: objects.Group
    priority: int
    broken: BrokenGroup | None


@dataclasses.dataclass(slots=True, frozen=True)
class Repair:
    """The chosen repair of one broken group.

    Parameters
    ----------
    kind : RepairKind
        Kind of repair.
    lost : tuple of str
        Names of the VMs to replace.
    cost : Cost
        Expected cost.
    reason : str
        Explanation for operators.
    listed_vms : tuple of balsamwind.ports.ListedVm
        VMs that replace the lost ones now (`RepairKind.USE_SPARE`) or after
        their release (`RepairKind.AWAIT_SPARE`), or that are free for a new
        group (`RepairKind.RECREATE`).
    victim : str
        Name of the group to preempt (`RepairKind.PREEMPT`); empty if there is
        none.
    victim_serves : bool
        Whether the preempted group has to be drained first.
    leftover_vms : int
        VMs left over in the fabric domain, too few for a whole group, until
        the lost VMs are back or replaced (count).
    """

    kind: RepairKind
    lost: tuple[str, ...]
    cost: _cost.Cost
    reason: str
    listed_vms: tuple = ()
    victim: str = ''
    victim_serves: bool = False
    leftover_vms: int = 0


def plan_repairs(broken_groups, victims, free, durations):
    """Choose a repair for every broken group, highest priority first.

    Parameters
    ----------
    broken_groups : iterable of BrokenGroup
        Groups of one data centre that lost members.
    victims : dict of str to list of PreemptionCandidate
        Fabric domain -> groups that are neither draining nor releasing.
    free : FreeVms
        VMs to choose from. The chosen VMs are removed from it.
    durations : DurationEstimator
        Estimator of load times and absences.

    Returns
    -------
    dict of str to Repair
        Name of the group -> its repair.
    """
    repairs = {}
    preempted_for = {}
    for broken in sorted(broken_groups, key=_repair_order):
        name = broken.group.name
        if name in preempted_for:
            repairs[name] = _release(
                broken, f'taken apart for {preempted_for[name]}'
            )
            continue
        if broken.streaming:
            repairs[name] = _wait_for_streams(broken)
            continue
        planner = _RepairPlanner(broken, free, durations)
        repair = planner.choose(victims, preempted_for)
        free.remove(repair.listed_vms)
        if repair.victim:
            preempted_for[repair.victim] = name
        repairs[name] = repair
    return repairs


def plan_surplus_release(broken):
    """Plan the release of a broken group that is no longer allocated.

    Parameters
    ----------
    broken : BrokenGroup
        Group in excess of the allocation.

    Returns
    -------
    Repair
    """
    return _release(broken, 'more than allocated')


def _release(broken, cause):
    lost_names = ', '.join(broken.lost)
    reason = f'lost {lost_names}; yield: {cause}'
    return Repair(
        RepairKind.RELEASE, broken.lost, _cost.Cost(0.0, 0.0), reason
    )


def _wait_for_streams(broken):
    lost_names = ', '.join(broken.lost)
    reason = f'lost {lost_names}; wait: for its streams to end'
    return Repair(RepairKind.WAIT, broken.lost, _cost.Cost(0.0, 0.0), reason)


def _repair_order(broken):
    """Sort key: high priority first, then groups that lost fewest members."""
    return -broken.priority, len(broken.lost), broken.group.name


class _RepairPlanner:
    """Estimator of the costs of all repairs of one broken group.

    Parameters
    ----------
    broken : BrokenGroup
        Group to repair.
    free : FreeVms
        VMs to choose from.
    durations : DurationEstimator
        Estimator of load times and absences.
    """

    __slots__ = ('_broken', '_durations', '_free', '_free_count', '_settings')

    def __init__(self, broken, free, durations):
        self._broken = broken
        self._free = free
        self._durations = durations
        self._settings = durations.settings
        self._free_count = free.count(broken.group.fabric_domain)

    def choose(self, victims, preempted):
        """Choose the repair with the lowest cost.

        Parameters
        ----------
        victims : dict of str to list of PreemptionCandidate
            Fabric domain -> groups that may be preempted.
        preempted : container of str
            Names of the groups that are already preempted for other groups.

        Returns
        -------
        Repair
        """
        repairs = [
            self._replace_now(),
            self._replace_after_release(),
            self._reform(),
        ]
        repairs.extend(
            self._preempt(victim)
            for victim in victims.get(self._broken.group.fabric_domain, ())
            if victim.group.name not in preempted and self._may_preempt(victim)
        )
        repairs = sorted(filter(None, repairs), key=self._sort_key)
        return self._compare_with_wait(repairs[0] if repairs else None)

    def _sort_key(self, repair):
        cost = repair.cost.weighted_sum(self._settings)
        return cost, list(RepairKind).index(repair.kind), repair.victim

    @property
    def _group_size(self):
        return len(self._broken.group.members)

    @property
    def _healthy_count(self):
        return self._group_size - len(self._broken.lost)

    def _make_cost(self, downtime, load_time, leftover):
        """Make the cost of a repair after which the group loads.

        The accelerators of the whole group idle for `load_time`. Those of
        the left-over VMs idle only for the expected absence of the lost VM:
        once it is back, equally many VMs are left over after every kind of
        repair.
        """
        absence = self._durations.expected_absence(self._broken.down_for)
        vm_seconds = load_time * self._group_size + absence * leftover
        return _cost.Cost(downtime, vm_seconds * self._broken.accelerators)

    def _cost_after_wait(self, repair, wait):
        """Estimate the cost of a repair that starts after a failed wait.

        The expected absence of a VM grows with the time it has been down, so
        the left-over VMs idle longer than if the repair started now.
        """
        down_for = self._broken.down_for
        extra_absence = self._durations.expected_absence(down_for + wait)
        extra_absence -= self._durations.expected_absence(down_for)
        extra_stranded = (
            extra_absence * repair.leftover_vms * self._broken.accelerators
        )
        return _cost.Cost(
            repair.cost.downtime, repair.cost.stranded + extra_stranded
        )

    def _replace_now(self):
        group = self._broken.group
        vms = self._free.domains.get(group.fabric_domain, ())
        return self._replace_members(RepairKind.USE_SPARE, vms, 0.0)

    def _replace_after_release(self):
        group = self._broken.group
        vms = self._free.pending_release.get(group.fabric_domain, ())
        free_vms = self._free.domains.get(group.fabric_domain, ())
        return self._replace_members(
            RepairKind.AWAIT_SPARE, [*free_vms, *vms], RELEASE_TIME
        )

    def _replace_members(self, kind, vms, delay):
        """Plan to replace the lost members after `delay` seconds.

        Returns None if there are too few VMs or no member is left to keep.
        """
        broken = self._broken
        lost_count = len(broken.lost)
        if len(vms) < lost_count or not self._healthy_count:
            return None
        replacements = _formation.sort_cached_first(
            broken.group, vms, self._free
        )[:lost_count]
        missing_count = self._free.count_missing(replacements, broken.group)
        downtime = delay + self._durations.expected_load_time(missing_count)
        leftover = _cost.count_leftover(
            len(vms) - lost_count, self._group_size
        )
        names = ', '.join(vm.name for vm in replacements)
        return Repair(
            kind,
            broken.lost,
            self._make_cost(downtime, downtime, leftover),
            f'{names} of the fabric domain, {missing_count} of them without'
            ' weights',
            tuple(replacements),
            leftover_vms=leftover,
        )

    def _reform(self):
        """Plan to form a new group from free VMs; None if it fits nowhere."""
        broken = self._broken
        terms = objects.ModelTerms(
            broken.group.model, broken.group.version, 1, self._group_size
        )
        vms = _formation.plan_members(terms, self._free, self._durations)
        if not vms:
            return None
        missing_count = self._free.count_missing(vms, terms)
        downtime = RELEASE_TIME + self._durations.expected_load_time(
            missing_count
        )
        free_after = self._free_count + self._healthy_count
        leftover = _cost.count_leftover(free_after, self._group_size)
        return Repair(
            RepairKind.RECREATE,
            broken.lost,
            self._make_cost(downtime, downtime, leftover),
            f'a new group in {vms[0].fabric_domain}',
            tuple(vms),
            leftover_vms=leftover,
        )

    def _may_preempt(self, victim):
        """Check whether a group ranks below the one to repair.

        A group of lower priority does. One of equal priority does only if it
        is broken too and comes later in the order of repairs, so that two
        broken groups never preempt each other.
        """
        if victim.group.name == self._broken.group.name:
            return False
        if victim.priority < self._broken.priority:
            return True
        return (
            victim.broken is not None
            and victim.priority == self._broken.priority
            and _repair_order(victim.broken) > _repair_order(self._broken)
        )

    def _preempt(self, victim):
        """Plan to replace the lost members by members of another group.

        Returns None if too few VMs would be free, or if no member of the
        group to repair is left. The downtime of the preempted group is
        weighted by the ratio of the two priorities.
        """
        broken = self._broken
        victim_lost = len(victim.broken.lost) if victim.broken else 0
        released = len(victim.group.members) - victim_lost
        leftover = self._free_count + released - len(broken.lost)
        if leftover < 0 or not self._healthy_count:
            return None
        same_weights = (victim.group.model, victim.group.version) == (
            broken.group.model,
            broken.group.version,
        )
        delay = RELEASE_TIME + (0.0 if victim.broken else DRAIN_TIME)
        recovery_time = delay + self._durations.expected_load_time(
            0 if same_weights else len(broken.lost)
        )
        priority_ratio = (1.0 + victim.priority) / (1.0 + broken.priority)
        downtime = recovery_time + priority_ratio * self._victim_downtime(
            victim
        )
        leftover = _cost.count_leftover(leftover, self._group_size)
        return Repair(
            RepairKind.PREEMPT,
            broken.lost,
            self._make_cost(downtime, recovery_time, leftover),
            f'a member of {victim.group.name} (priority {victim.priority},'
            f' {"broken" if victim.broken else "to be drained"})',
            victim=victim.group.name,
            victim_serves=victim.broken is None,
            leftover_vms=leftover,
        )

    def _victim_downtime(self, victim):
        """Estimate the extra downtime of a group that is preempted.

        A whole group is down until VMs are replaced. A broken one loses
        that time only if its lost VMs would have come back.
        """
        replace_time = self._settings.replace_time
        if victim.broken is None:
            return replace_time
        return (
            self._durations.return_probability(victim.broken.down_for)
            * replace_time
        )

    def _compare_with_wait(self, best):
        """Choose between the best other repair and waiting.

        Parameters
        ----------
        best : Repair or None
            Repair with the lowest cost; None if only waiting is possible.

        Returns
        -------
        Repair
        """
        broken = self._broken
        probability = self._durations.return_probability(broken.down_for)
        accelerators = broken.accelerators
        factors = WAIT_FACTORS if best else (1.0,)
        cost, wait = min(
            (
                self._estimate_wait(probability, factor, best, accelerators)
                for factor in factors
            ),
            key=lambda pair: pair[0].weighted_sum(self._settings),
        )
        prefix = 'lost ' + ', '.join(broken.lost)
        if best is None:
            reason = f'{prefix}; wait: no other VMs'
            return Repair(RepairKind.WAIT, broken.lost, cost, reason)
        costs = (
            f'costs {best.cost.weighted_sum(self._settings):.0f},'
            f' waiting costs {cost.weighted_sum(self._settings):.0f}'
        )
        reason = f'{prefix}; {best.kind.value}: {best.reason}; {costs}'
        if cost.weighted_sum(self._settings) < best.cost.weighted_sum(
            self._settings
        ):
            reason = (
                f'{prefix}; wait up to {wait:.0f} s more;'
                f' {best.kind.value} {costs}'
            )
            return Repair(RepairKind.WAIT, broken.lost, cost, reason)
        return dataclasses.replace(best, reason=reason)

    def _estimate_wait(self, probability, factor, best, accelerators):
        """Estimate the cost of a wait; also returns its length (seconds)."""
        wait = factor * self._settings.return_time
        leftover = (
            _cost.count_leftover(self._free_count, self._group_size)
            * accelerators
        )
        cost = _cost.estimate_wait_cost(
            probability,
            wait,
            None if best is None else self._cost_after_wait(best, wait),
            self._healthy_count * accelerators,
            leftover,
            self._settings,
        )
        return cost, wait
