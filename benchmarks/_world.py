"""A small fake of the VMs and of the platform, under a virtual clock."""

import collections
import random

from balsamwind import control
from balsamwind.control import _loads
from balsamwind.control.tests import fleet as fleet_module
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

LOAD_TIME = 90.0
"""Load of weights from the store (seconds)."""

CACHED_TIME = 5.0
"""Load of weights that the VM holds (seconds)."""

TICKET_INTERVAL = 10.0
"""Time between two loads that the weight store grants (seconds)."""

HELD = 2
"""Sets of weights that a VM holds (count)."""

STEP = 1.0
"""Time between two rounds (seconds)."""


class Keeper:
    """Lease that is always held."""

    def holds(self, now):
        """Whether it is held."""
        return True


class Vm:
    """One VM and its engine."""

    def __init__(self):
        self.up = True
        self.down_since = 0.0
        self.wipe()

    def wipe(self):
        """Forget everything."""
        self.order = None
        self.ready_at = 0.0
        self.cached = collections.deque(maxlen=HELD)

    def obey(self, order, now):
        """Take an order."""
        if order.kind == 'unload':
            if self.order and self.order.group == order.group:
                self.order = None
            return
        known = self.order and (self.order.group, self.order.generation)
        if known == (order.group, order.generation):
            return
        weights = f'{order.model}@{order.version}'
        held = weights in self.cached
        self.order = order
        self.ready_at = now + (CACHED_TIME if held else LOAD_TIME)


class World:
    """VMs, objects and the control path that acts on them.

    Parameters
    ----------
    domains : dict of str to int
        Fabric domain -> VMs (count).
    contracts : list of tuple
        Name, priority, model and replicas.
    placement : dict
        Placement settings.
    seed : int
        Seed of names.
    size : int
        VMs in a group (count).
    ticket_interval : float
        Time between two loads that the weight store grants (seconds).
    """

    def __init__(
        self,
        domains,
        contracts,
        placement,
        seed,
        size=4,
        ticket_interval=TICKET_INTERVAL,
    ):
        self._size = size
        self._ticket_interval = ticket_interval
        self.fleet = fleet_module.Fleet(domains, **placement)
        self.vms = {name: Vm() for name in self.fleet.listed}
        self.now = 0.0
        self.writes = 0
        self.orders = 0
        self._rng = random.Random(seed)
        self._queue = _loads.LoadQueue(self.fleet.catalogue)
        self._ticket_at = 0.0
        self._names = {name: name for name in self.vms}
        for customer, priority, model, replicas in contracts:
            self._add_contract(customer, priority, model, replicas)

    def _add_contract(self, customer, priority, model, replicas):
        terms = objects.ModelTerms(model, 'v1', replicas, self._size)
        contract = objects.Contract(
            customer,
            (),
            '2020-01-01T00:00:00Z',
            '2099-01-01T00:00:00Z',
            priority,
            (terms,),
        )
        self.fleet.put('contract', customer, contract)

    def happen(self, event):
        """Let an event of a trace happen."""
        name = self._names[event.vm]
        vm = self.vms[name]
        match event.event:
            case 'down':
                vm.up = False
                vm.down_since = self.now
            case 'resume':
                vm.up = True
            case 'empty':
                vm.wipe()
                vm.up = True
            case 'replace':
                self._replace(event.vm, name)

    def _replace(self, place, name):
        row = self.fleet.listed.pop(name)
        new = f'{place}r{int(self.now)}'
        self._names[place] = new
        self.vms[new] = Vm()
        self.fleet.listed[new] = ports.ListedVm(
            new, row.address, row.data_centre, row.fabric_domain
        )

    def observe(self):
        """Let every VM be seen."""
        for name, vm in self.vms.items():
            report = self._report(name, vm) if vm.up else None
            self.fleet.observations.update(name, vm.up, report, 'n', self.now)

    def _report(self, name, vm):
        order = vm.order
        if order is None:
            return ports.EngineReport(
                name, ports.EngineState.EMPTY, cached=tuple(vm.cached)
            )
        state = ports.EngineState.LOADING
        if self.now >= vm.ready_at:
            weights = f'{order.model}@{order.version}'
            if weights not in vm.cached:
                vm.cached.append(weights)
            whole = self._is_whole(order)
            state = ports.EngineState.READY
            if not whole:
                state = ports.EngineState.BROKEN
        return ports.EngineReport(
            name,
            state,
            order.group,
            order.generation,
            order.model,
            order.version,
            cached=tuple(vm.cached),
        )

    def _is_whole(self, order):
        """Whether no other member is known to be gone."""
        if not order.generation:
            return True
        group = self.fleet.catalogue.value('group', order.group)
        return group is not None and all(self.vms[v].up for v in group.vms)

    def run_round(self):
        """One control round of every shard; whether anything was decided."""
        self.observe()
        decisions = list(control.plan_allocations(self._view(), 1))
        self._carry_out(decisions)
        for data_centre in sorted({r.data_centre for r in self._rows()}):
            planned = control.plan_groups(self._view(), data_centre, 1)
            self._carry_out(planned)
            decisions.extend(planned)
        self._load()
        return bool(decisions) or bool(len(self._queue))

    def _rows(self):
        return self.fleet.listed.values()

    def _view(self):
        return control.View(
            self.fleet.catalogue,
            self.fleet.observations,
            self.fleet.listed,
            self.fleet.settings,
            self.now,
            1.8e9 + self.now,
            self._rng,
        )

    def _carry_out(self, decisions):
        for decision in decisions:
            match decision:
                case control.PutObject():
                    self._write(decision, decision.value)
                case control.DeleteObject():
                    self._write(decision, None)
                case control.SendOrder(needs_ticket=True):
                    target = decision.vm, decision.order.group
                    self._queue.offer(target, decision, Keeper(), self.now)
                case control.SendOrder():
                    self._give(decision)

    def _write(self, decision, value):
        catalogue = self.fleet.catalogue
        expected = catalogue.expected(decision.kind, decision.name)
        if expected != decision.expected:
            raise AssertionError(f'conflict: {decision}')
        self.fleet.revision += 1
        self.writes += 1
        catalogue.apply(
            objects.Stored(
                decision.kind, decision.name, self.fleet.revision, value
            ),
            self.now,
        )

    def _give(self, decision):
        self.orders += 1
        if self.vms[decision.vm].up:
            self.vms[decision.vm].obey(decision.order, self.now)

    def _load(self):
        self._ticket_at = max(self._ticket_at, self.now - STEP)
        while self._ticket_at <= self.now:
            chosen = self._queue.next(self.now)
            if chosen is None:
                return
            target, decision, _ = chosen
            self._queue.done(target)
            self._give(decision)
            self._ticket_at += self._ticket_interval

    def measure(self):
        """What is amiss now.

        Returns
        -------
        tuple of int
            Replicas out of service; stranded accelerators; accelerators
            that no choice could keep from being stranded, as the VMs that
            are up in their fabric domain are no multiple of the group size
            (counts).
        """
        catalogue = self.fleet.catalogue
        serving = collections.Counter()
        busy = set()
        stranded = 0
        for stored in catalogue.items('group'):
            group = stored.value
            if not self._check(group):
                serving[group.contract] += 1
                busy.update(group.vms)
        claims = {s.name for s in catalogue.items('claim')} - busy
        free = collections.Counter()
        for name, row in self.fleet.listed.items():
            if not self.vms[name].up or name in busy:
                continue
            if name in claims:
                stranded += 1
            else:
                free[row.data_centre, row.fabric_domain] += 1
        stranded += sum(count % self._size for count in free.values())
        down = 0
        for stored in catalogue.items('contract'):
            promised = stored.value.models[0].replicas
            down += max(promised - serving[stored.name], 0)
        return down, stranded * 2, self._unavoidable() * 2

    def _unavoidable(self):
        up = collections.Counter(
            (row.data_centre, row.fabric_domain)
            for name, row in self.fleet.listed.items()
            if self.vms[name].up
        )
        return sum(count % self._size for count in up.values())

    def _check(self, group):
        return membership.check_group(
            group, self.fleet.observations, self.fleet.listed, self.now
        )
