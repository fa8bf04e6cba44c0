"""Choice of what to do about groups that lost a member."""

import dataclasses
import enum

from balsamwind import objects
from balsamwind.placement import _cost
from balsamwind.placement import _place

RELEASE_TIME = 3.0
"""Expected time to unload members and delete their claims (seconds)."""

DRAIN_TIME = 30.0
"""Expected time for the streams of a serving group to end (seconds)."""

WAIT_STEPS = (0.25, 0.5, 1.0, 2.0, 4.0)
"""Waits that are weighed, in expected absences."""


class Way(enum.Enum):
    """Ways to act when a group lost a member."""

    SPARE = 'spare'
    COMING = 'coming'
    REFORM = 'reform'
    BREAK = 'break'
    WAIT = 'wait'
    YIELD = 'yield'


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenGroup:
    """A group that lost members.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Its record.
    priority : int
        Priority of its contract.
    lost : tuple of str
        VMs that are down or leaving.
    down_for : float
        How long the first of them has been down (seconds); infinite if one
        of them is leaving.
    accelerators : int
        Accelerators of one member (count).
    streaming : bool
        Whether all members still answer and streams are under way.
    """

    group: objects.Group
    priority: int
    lost: tuple[str, ...]
    down_for: float
    accelerators: int = 2
    streaming: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Victim:
    """A group that may be taken apart for another one.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Its record.
    priority : int
        Priority of its contract.
    broken : BrokenGroup or None
        What it lost; None if it is whole.
    """

    group: objects.Group
    priority: int
    broken: BrokenGroup | None


@dataclasses.dataclass(slots=True, frozen=True)
class Repair:
    """What to do about one broken group.

    Parameters
    ----------
    way : Way
        How.
    lost : tuple of str
        VMs that are down or leaving.
    cost : Cost
        Expected consequences.
    reason : str
        For operators.
    rows : tuple of balsamwind.ports.ListedVm
        VMs that take the places of the lost ones (`Way.SPARE`), will take
        them (`Way.COMING`), or that a new group may use (`Way.REFORM`).
    victim : str
        Group to be taken apart (`Way.BREAK`).
    victim_serves : bool
        Whether it has to be drained first.
    rest : int
        VMs in the rest of the fabric domain until the lost ones are back
        (count).
    """

    way: Way
    lost: tuple[str, ...]
    cost: _cost.Cost
    reason: str
    rows: tuple = ()
    victim: str = ''
    victim_serves: bool = False
    rest: int = 0


def plan_repairs(broken, victims, free, loads):
    """Choose for every broken group, in the order of priority.

    Parameters
    ----------
    broken : iterable of BrokenGroup
        Groups of one data centre that lost members.
    victims : dict of str to list of Victim
        Fabric domain -> groups there that are not leaving.
    free : FreeVms
        VMs to choose from; what is chosen is taken out.
    loads : LoadModel
        Expected times.

    Returns
    -------
    dict of str to Repair
        Group -> what to do.
    """
    repairs = {}
    taken = {}
    for item in sorted(broken, key=_urgency):
        name = item.group.name
        if name in taken:
            repairs[name] = _yield(item, f'taken apart for {taken[name]}')
            continue
        if item.streaming:
            repairs[name] = _finish(item)
            continue
        ways = _Ways(item, free, loads)
        repair = ways.choose(victims, taken)
        free.take(repair.rows)
        if repair.victim:
            taken[repair.victim] = name
        repairs[name] = repair
    return repairs


def plan_surplus(item):
    """Give up a broken group that is no longer allocated."""
    return _yield(item, 'more than allocated')


def _yield(item, why):
    lost = ', '.join(item.lost)
    reason = f'lost {lost}; yield: {why}'
    return Repair(Way.YIELD, item.lost, _cost.Cost(0.0, 0.0), reason)


def _finish(item):
    lost = ', '.join(item.lost)
    reason = f'lost {lost}; wait: for its streams to end'
    return Repair(Way.WAIT, item.lost, _cost.Cost(0.0, 0.0), reason)


def _urgency(item):
    return -item.priority, len(item.lost), item.group.name


class _Ways:
    """The ways to repair one group, with their costs."""

    __slots__ = ('_free', '_item', '_loads', '_rest', '_settings')

    def __init__(self, item, free, loads):
        self._item = item
        self._free = free
        self._loads = loads
        self._settings = loads.settings
        self._rest = free.count(item.group.fabric_domain)

    def choose(self, victims, taken):
        """The cheapest way."""
        ways = [self._spare(), self._coming(), self._reform()]
        ways.extend(
            self._break(victim)
            for victim in victims.get(self._item.group.fabric_domain, ())
            if victim.group.name not in taken and self._may_break(victim)
        )
        ways = sorted(filter(None, ways), key=self._key)
        return self._wait(ways[0] if ways else None)

    def _key(self, repair):
        cost = repair.cost.weigh(self._settings)
        return cost, list(Way).index(repair.way), repair.victim

    @property
    def _size(self):
        return len(self._item.group.members)

    @property
    def _healthy(self):
        return self._size - len(self._item.lost)

    def _cost(self, downtime, load, rest):
        """Cost of a group that loads, and of a rest until the VM is back.

        When the lost VM is back, the rests are the same in all ways.
        """
        absence = self._loads.absence(self._item.down_for)
        vms = load * self._size + absence * rest
        return _cost.Cost(downtime, vms * self._item.accelerators)

    def _cost_later(self, repair, wait):
        """Cost of another way after a wait that was in vain."""
        down_for = self._item.down_for
        more = self._loads.absence(down_for + wait)
        more -= self._loads.absence(down_for)
        rest = more * repair.rest * self._item.accelerators
        return _cost.Cost(repair.cost.downtime, repair.cost.stranded + rest)

    def _spare(self):
        group = self._item.group
        rows = self._free.domains.get(group.fabric_domain, ())
        return self._replace(Way.SPARE, rows, 0.0)

    def _coming(self):
        group = self._item.group
        rows = self._free.coming.get(group.fabric_domain, ())
        free = self._free.domains.get(group.fabric_domain, ())
        return self._replace(Way.COMING, [*free, *rows], RELEASE_TIME)

    def _replace(self, way, rows, delay):
        item = self._item
        count = len(item.lost)
        if len(rows) < count or not self._healthy:
            return None
        chosen = _place.prefer_holders(item.group, rows, self._free)[:count]
        missing = self._free.missing(chosen, item.group)
        time = delay + self._loads.load_time(missing)
        rest = _cost.rest_of(len(rows) - count, self._size)
        names = ', '.join(row.name for row in chosen)
        return Repair(
            way,
            item.lost,
            self._cost(time, time, rest),
            f'{names} of the fabric domain, {missing} of them without weights',
            tuple(chosen),
            rest=rest,
        )

    def _reform(self):
        item = self._item
        terms = objects.ModelTerms(
            item.group.model, item.group.version, 1, self._size
        )
        rows = _place.plan_members(terms, self._free, self._loads)
        if not rows:
            return None
        missing = self._free.missing(rows, terms)
        time = RELEASE_TIME + self._loads.load_time(missing)
        left = self._rest + self._healthy
        rest = _cost.rest_of(left, self._size)
        return Repair(
            Way.REFORM,
            item.lost,
            self._cost(time, time, rest),
            f'a new group in {rows[0].fabric_domain}',
            tuple(rows),
            rest=rest,
        )

    def _may_break(self, victim):
        if victim.group.name == self._item.group.name:
            return False
        if victim.priority < self._item.priority:
            return True
        return (
            victim.broken is not None
            and victim.priority == self._item.priority
            and _urgency(victim.broken) > _urgency(self._item)
        )

    def _break(self, victim):
        item = self._item
        lost = len(victim.broken.lost) if victim.broken else 0
        given = len(victim.group.members) - lost
        rest = self._rest + given - len(item.lost)
        if rest < 0 or not self._healthy:
            return None
        same = (victim.group.model, victim.group.version) == (
            item.group.model,
            item.group.version,
        )
        delay = RELEASE_TIME + (0.0 if victim.broken else DRAIN_TIME)
        time = delay + self._loads.load_time(0 if same else len(item.lost))
        share = (1.0 + victim.priority) / (1.0 + item.priority)
        downtime = time + share * self._victim_downtime(victim)
        rest = _cost.rest_of(rest, self._size)
        return Repair(
            Way.BREAK,
            item.lost,
            self._cost(downtime, time, rest),
            f'a member of {victim.group.name} (priority {victim.priority},'
            f' {"broken" if victim.broken else "to be drained"})',
            victim=victim.group.name,
            victim_serves=victim.broken is None,
            rest=rest,
        )

    def _victim_downtime(self, victim):
        """Expected extra downtime of a group that is taken apart."""
        horizon = self._settings.replace_time
        if victim.broken is None:
            return horizon
        return self._loads.return_share(victim.broken.down_for) * horizon

    def _wait(self, best):
        item = self._item
        share = self._loads.return_share(item.down_for)
        per_vm = item.accelerators
        steps = WAIT_STEPS if best else (1.0,)
        cost, wait = min(
            (self._wait_cost(share, step, best, per_vm) for step in steps),
            key=lambda pair: pair[0].weigh(self._settings),
        )
        lost = 'lost ' + ', '.join(item.lost)
        if best is None:
            reason = f'{lost}; wait: no other VMs'
            return Repair(Way.WAIT, item.lost, cost, reason)
        costs = (
            f'costs {best.cost.weigh(self._settings):.0f},'
            f' waiting costs {cost.weigh(self._settings):.0f}'
        )
        reason = f'{lost}; {best.way.value}: {best.reason}; {costs}'
        if cost.weigh(self._settings) < best.cost.weigh(self._settings):
            reason = (
                f'{lost}; wait up to {wait:.0f} s more;'
                f' {best.way.value} {costs}'
            )
            return Repair(Way.WAIT, item.lost, cost, reason)
        return dataclasses.replace(best, reason=reason)

    def _wait_cost(self, share, step, best, per_vm):
        wait = step * self._settings.return_time
        rest = _cost.rest_of(self._rest, self._size) * per_vm
        cost = _cost.wait_cost(
            share,
            wait,
            None if best is None else self._cost_later(best, wait),
            self._healthy * per_vm,
            rest,
            self._settings,
        )
        return cost, wait
