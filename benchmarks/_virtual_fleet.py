"""Simulation of a fleet of VMs and of the platform, under a virtual clock."""

import collections
import random

from balsamwind import control
from balsamwind.control import _loads
from balsamwind.control.tests import fleet as fleet_module
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

LOAD_TIME = 90.0
"""Time to load weights from the weight store (seconds)."""

CACHED_LOAD_TIME = 5.0
"""Time to load weights that the VM has cached (seconds)."""

TICKET_INTERVAL = 10.0
"""Time between two loads that the weight store grants (seconds)."""

CACHED_VERSIONS = 2
"""Model versions whose weights a VM keeps cached (count)."""

ROUND_INTERVAL = 1.0
"""Time between two control rounds (seconds)."""


class AlwaysHeldLease:
    """Stand-in for a lease manager whose lease never expires."""

    def holds(self, now):
        """Return whether the lease is held.

        Parameters
        ----------
        now : float
            Time (seconds); not used.

        Returns
        -------
        bool
            Always True.
        """
        return True


class SimulatedVm:
    """One VM and its engine.

    Attributes
    ----------
    up : bool
        Whether the VM answers.
    down_since : float
        Time at which it last went down (seconds).
    order : balsamwind.ports.Order or None
        Load order in force.
    ready_at : float
        Time at which the load is complete (seconds).
    cached : collections.deque of str
        ``model@version`` of the cached weights, the oldest first.
    """

    def __init__(self):
        self.up = True
        self.down_since = 0.0
        self.wipe()

    def wipe(self):
        """Drop the load order and the cached weights."""
        self.order = None
        self.ready_at = 0.0
        self.cached = collections.deque(maxlen=CACHED_VERSIONS)

    def apply_order(self, order, now):
        """Carry out an order; a repeated load order has no effect.

        Parameters
        ----------
        order : balsamwind.ports.Order
            Order to load or to unload.
        now : float
            Time (seconds).
        """
        if order.kind == 'unload':
            if self.order and self.order.group == order.group:
                self.order = None
            return
        current = self.order and (self.order.group, self.order.generation)
        if current == (order.group, order.generation):
            return
        weights = f'{order.model}@{order.version}'
        cached = weights in self.cached
        self.order = order
        self.ready_at = now + (CACHED_LOAD_TIME if cached else LOAD_TIME)


class FleetSimulation:
    """VMs and stored objects, with the control path that acts on them.

    Parameters
    ----------
    domains : dict of str to int
        ``<data centre>-<domain>`` -> VMs (count).
    contracts : list of tuple
        Name, priority, model and replicas (count) of each contract.
    placement_settings : dict
        Placement settings that differ from the defaults.
    seed : int
        Seed of the random names that the control path generates.
    group_size : int
        VMs in a group (count).
    ticket_interval : float
        Time between two loads that the weight store grants (seconds).

    Attributes
    ----------
    fleet : balsamwind.control.tests.fleet.Fleet
        Object catalogue, observations and VM list.
    vms : dict of str to SimulatedVm
        VM name -> VM, replaced VMs included.
    now : float
        Time (seconds); the caller moves it on.
    writes : int
        Objects written or deleted so far (count).
    orders : int
        Orders sent so far (count).
    """

    def __init__(
        self,
        domains,
        contracts,
        placement_settings,
        seed,
        group_size=4,
        ticket_interval=TICKET_INTERVAL,
    ):
        self._group_size = group_size
        self._ticket_interval = ticket_interval
        self.fleet = fleet_module.Fleet(domains, **placement_settings)
        self.vms = {name: SimulatedVm() for name in self.fleet.listed}
        self.now = 0.0
        self.writes = 0
        self.orders = 0
        self._rng = random.Random(seed)
        self._load_queue = _loads.LoadQueue(self.fleet.catalogue)
        self._next_ticket_at = 0.0
        self._current_names = {name: name for name in self.vms}
        for customer, priority, model, replicas in contracts:
            self._add_contract(customer, priority, model, replicas)

    def _add_contract(self, customer, priority, model, replicas):
        terms = objects.ModelTerms(model, 'v1', replicas, self._group_size)
        contract = objects.Contract(
            customer,
            (),
            '2020-01-01T00:00:00Z',
            '2099-01-01T00:00:00Z',
            priority,
            (terms,),
        )
        self.fleet.put('contract', customer, contract)

    def apply_event(self, event):
        """Apply a state change to its VM.

        Parameters
        ----------
        event : benchmarks._trace.Event
            State change; it takes effect now, whatever its time.
        """
        name = self._current_names[event.vm]
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
                self._replace_vm(event.vm, name)

    def _replace_vm(self, trace_name, name):
        listed_vm = self.fleet.listed.pop(name)
        new_name = f'{trace_name}r{int(self.now)}'
        self._current_names[trace_name] = new_name
        self.vms[new_name] = SimulatedVm()
        self.fleet.listed[new_name] = ports.ListedVm(
            new_name,
            listed_vm.address,
            listed_vm.data_centre,
            listed_vm.fabric_domain,
        )

    def update_observations(self):
        """Record an observation of every VM, up or down."""
        for name, vm in self.vms.items():
            report = self._make_report(name, vm) if vm.up else None
            self.fleet.observations.update(name, vm.up, report, 'n', self.now)

    def _make_report(self, name, vm):
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
            complete = self._is_complete(order)
            state = ports.EngineState.READY
            if not complete:
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

    def _is_complete(self, order):
        """Return whether all members of the order's group are up.

        An order without a generation is a load ahead of need, outside any
        group; it counts as complete.
        """
        if not order.generation:
            return True
        group = self.fleet.catalogue.get_value('group', order.group)
        return group is not None and all(self.vms[v].up for v in group.vms)

    def run_round(self):
        """Run one control round of every shard.

        Returns
        -------
        bool
            Whether anything was decided or a load still waits for a ticket.
        """
        self.update_observations()
        decisions = list(control.plan_allocations(self._make_view(), 1))
        self._execute(decisions)
        for data_centre in sorted({r.data_centre for r in self._listed_vms()}):
            planned = control.plan_groups(self._make_view(), data_centre, 1)
            self._execute(planned)
            decisions.extend(planned)
        self._grant_tickets()
        return bool(decisions) or bool(len(self._load_queue))

    def _listed_vms(self):
        return self.fleet.listed.values()

    def _make_view(self):
        return control.View(
            self.fleet.catalogue,
            self.fleet.observations,
            self.fleet.listed,
            self.fleet.settings,
            self.now,
            1.8e9 + self.now,
            self._rng,
        )

    def _execute(self, decisions):
        for decision in decisions:
            match decision:
                case control.PutObject():
                    self._write_object(decision, decision.value)
                case control.DeleteObject():
                    self._write_object(decision, None)
                case control.SendOrder(needs_ticket=True):
                    target = decision.vm, decision.order.group
                    self._load_queue.add(
                        target, decision, AlwaysHeldLease(), self.now
                    )
                case control.SendOrder():
                    self._send_order(decision)

    def _write_object(self, decision, value):
        catalogue = self.fleet.catalogue
        expected = catalogue.get_expected_revision(
            decision.kind, decision.name
        )
        if expected != decision.expected:
            raise AssertionError(f'conflict: {decision}')
        self.fleet.revision += 1
        self.writes += 1
        catalogue.apply(
            objects.ObjectVersion(
                decision.kind, decision.name, self.fleet.revision, value
            ),
            self.now,
        )

    def _send_order(self, decision):
        self.orders += 1
        if self.vms[decision.vm].up:
            self.vms[decision.vm].apply_order(decision.order, self.now)

    def _grant_tickets(self):
        # Tickets that were not used do not accumulate beyond one round.
        self._next_ticket_at = max(
            self._next_ticket_at, self.now - ROUND_INTERVAL
        )
        while self._next_ticket_at <= self.now:
            chosen = self._load_queue.peek(self.now)
            if chosen is None:
                return
            target, decision, _ = chosen
            self._load_queue.remove(target)
            self._send_order(decision)
            self._next_ticket_at += self._ticket_interval

    def measure(self):
        """Count replicas out of service and stranded accelerators.

        An accelerator is stranded if its VM is up but claimed by a group
        that does not serve, or left over when the free VMs of the fabric
        domain are divided into groups. A VM has 2 accelerators.

        Returns
        -------
        tuple of int
            Replicas out of service; stranded accelerators; accelerators
            that no placement could keep from being stranded, because the
            number of VMs that are up in their fabric domain is no multiple
            of the group size (counts).
        """
        catalogue = self.fleet.catalogue
        serving = collections.Counter()
        serving_vms = set()
        stranded = 0
        for stored in catalogue.list_objects('group'):
            group = stored.value
            if not self._find_problem(group):
                serving[group.contract] += 1
                serving_vms.update(group.vms)
        claimed = {
            s.name for s in catalogue.list_objects('claim')
        } - serving_vms
        free = collections.Counter()
        for name, listed_vm in self.fleet.listed.items():
            if not self.vms[name].up or name in serving_vms:
                continue
            if name in claimed:
                stranded += 1
            else:
                free[listed_vm.data_centre, listed_vm.fabric_domain] += 1
        stranded += sum(count % self._group_size for count in free.values())
        missing = 0
        for stored in catalogue.list_objects('contract'):
            wanted = stored.value.models[0].replicas
            missing += max(wanted - serving[stored.name], 0)
        return missing, stranded * 2, self._count_unavoidable() * 2

    def _count_unavoidable(self):
        up = collections.Counter(
            (listed_vm.data_centre, listed_vm.fabric_domain)
            for name, listed_vm in self.fleet.listed.items()
            if self.vms[name].up
        )
        return sum(count % self._group_size for count in up.values())

    def _find_problem(self, group):
        return membership.check_group(
            group, self.fleet.observations, self.fleet.listed, self.now
        )
