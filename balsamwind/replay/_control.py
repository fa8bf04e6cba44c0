"""Replay of a trace of the control path."""

import collections
import dataclasses

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.replay import _events
from balsamwind.replay import _loop
from balsamwind.replay import _trace
from balsamwind.replay import _world
from balsamwind.settings import Finding

CONTRACT_DEFAULTS = {
    'api_key_hashes': ['0' * 64],
    'starts_at': '2025-01-01T00:00:00Z',
    'ends_at': '2030-01-01T00:00:00Z',
}
"""Keys of a new contract that a trace does not set."""


def replay_control(lines):
    """Replay a trace of the control path.

    Parameters
    ----------
    lines : list of TraceLine
        Header, followed by events and expected outcomes.

    Returns
    -------
    list of balsamwind.settings.Finding
        Expected outcomes that were not met and invariants that were violated.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The trace is malformed.
    """
    header = _check_header(lines[0])
    steps = _trace.build_steps(
        lines[1:], _events.EVENT_CLASSES, _events.ExpectedOutcome
    )
    with _loop.open_virtual_loop() as loop:
        control_replay = _ControlReplay(_world.SimulatedCluster(header, loop))
        for step in steps:
            control_replay.run_step(step)
        return control_replay.findings


def _check_header(line):
    try:
        return objects.decode(_world.ControlTraceHeader, line.data)
    except (TypeError, ValueError, KeyError) as error:
        raise exceptions.InvalidInput(
            [Finding(line.place, '', line.data, str(error))]
        ) from None


class _ControlReplay:
    """Runs the steps of one trace of the control path.

    Parameters
    ----------
    cluster : SimulatedCluster
        Simulation that the steps act on.

    Attributes
    ----------
    findings : list of balsamwind.settings.Finding
        Unmet outcomes and violated invariants so far.
    """

    __slots__ = (
        '_cluster',
        '_contracts_read',
        '_recorded_groups',
        '_write_results',
        'findings',
    )

    def __init__(self, cluster):
        self._cluster = cluster
        self._contracts_read = {}
        self._write_results = {}
        self._recorded_groups = {}
        self.findings = []

    def run_step(self, step):
        """Advance virtual time to a step and apply or check it.

        Parameters
        ----------
        step : Step
            Event or expected outcome. Invariants that were violated on the
            way are reported at its place in the trace.
        """
        known_violation_count = len(self._cluster.invariants.violations)
        self._cluster.run_until(step.at)
        for text in self._cluster.invariants.violations[
            known_violation_count:
        ]:
            self._add_finding(step, '', text, 'no violated invariant')
        match step.payload:
            case _events.ExpectedOutcome():
                self._check_outcome(step)
            case _:
                self._apply_event(step.payload)

    def _add_finding(self, step, pointer, actual_value, allowed):
        place = f'{step.place} (at {step.at:g} s)'
        self.findings.append(Finding(place, pointer, actual_value, allowed))

    def _apply_event(self, event):
        cluster = self._cluster
        match event:
            case _events.VmFault(target=target, fault=fault):
                for engine in self._find_engines(target):
                    engine.apply_fault(fault, cluster.clock.monotonic())
            case _events.VmListChange(target=target, state=state):
                for engine in self._find_engines(target):
                    self._change_vm_list(engine.listed_vm, state)
            case _events.InjectedObservation():
                self._inject_observation(event)
            case _events.NodeFault(node=node, fault=fault):
                self._apply_node_fault(self._resolve_node(node), fault)
            case _events.WriteFault(node=node, lost=lost_count, late=delay):
                self._apply_write_fault(node, lost_count, delay)
            case _events.LinkChange(first=first, second=second, cut=cut):
                change = (
                    cluster.network.partition if cut else cluster.network.heal
                )
                change(first, second)
            case _events.PlatformOutage(down=down):
                cluster.platform.down = down
            case _events.ContractRead(operator=operator, customer=customer):
                self._contracts_read[operator] = cluster.platform.get(
                    'contract', customer
                )
            case _events.ContractWrite():
                self._write_contract(event)
            case _events.RunningStreams():
                self._set_streams(event)
            case _events.RecordGroups(name=name):
                self._recorded_groups[name] = cluster.list_groups()
                cluster.min_serving_counts.clear()

    def _find_engines(self, target):
        customer, _, rest = target.partition('/')
        if rest:
            index, _, rank = rest.partition('/')
            group = self._cluster.list_groups(customer)[int(index)]
            return [self._cluster.find_engine(group.vms[int(rank)])]
        return [
            engine
            for engine in self._cluster.engines.values()
            if target
            in (
                engine.listed_vm.name,
                engine.listed_vm.fabric_domain,
                engine.listed_vm.data_centre,
            )
        ]

    def _resolve_node(self, node):
        prefix, _, shard = node.partition('/')
        if prefix != 'leader':
            return node
        holders = self._cluster.find_lease_holders(shard)
        return holders[0] if holders else next(iter(self._cluster.nodes))

    def _change_vm_list(self, listed_vm, state):
        vms = self._cluster.platform.vms
        if state == 'gone':
            vms.pop(listed_vm.name, None)
            return
        vms[listed_vm.name] = dataclasses.replace(
            listed_vm, state=ports.VmState(state)
        )

    def _inject_observation(self, event):
        report = None
        if event.reachable:
            report = self._cluster.find_engine(event.vm).report()
        self._cluster.nodes[event.node].observe(
            event.vm, event.reachable, report, event.observer
        )

    def _apply_node_fault(self, name, fault):
        network = self._cluster.network
        match fault:
            case 'pause':
                network.pause(name)
            case 'resume':
                network.resume(name)
            case 'crash':
                self._cluster.crash_node(name)
            case 'start':
                self._cluster.start_node(name)
            case 'blind' | 'see':
                network.set_engines_unreachable(name, fault == 'blind')

    def _apply_write_fault(self, node, lost_count, delay):
        names = (
            [self._resolve_node(node)] if node != '*' else self._cluster.nodes
        )
        for name in names:
            self._cluster.network.lose_answers(name, lost_count)
            if delay:
                self._cluster.network.delay_write(name, delay)

    def _write_contract(self, event):
        platform = self._cluster.platform
        current = platform.get('contract', event.customer)
        base = self._contracts_read.pop(event.operator, current)
        data = objects.encode(base.value) if base else dict(CONTRACT_DEFAULTS)
        data = {**data, 'customer': event.customer, **event.contract}
        value = objects.check_contract(data)
        expected_revision = base.revision if base else 0
        try:
            platform.write(
                'contract', event.customer, value, expected_revision
            )
            self._write_results[event.operator] = 'accepted'
        except exceptions.Conflict:
            self._write_results[event.operator] = 'conflict'

    def _set_streams(self, event):
        for group in self._cluster.list_groups(event.customer):
            if group.state in (
                objects.GroupState.READY,
                objects.GroupState.DRAINING,
            ):
                engine = self._cluster.find_engine(group.head.vm)
                engine.running = event.running
            for node, count in event.in_flight.items():
                self._cluster.nodes[node].in_flight[group.name] = count

    def _check_outcome(self, step):
        for field in dataclasses.fields(step.payload):
            expected_value = getattr(step.payload, field.name)
            if expected_value is None or field.name == 'nodes':
                continue
            actual_value = self._compute_outcome(field.name, step.payload)
            if actual_value != expected_value:
                self._add_finding(
                    step, f'/expect/{field.name}', actual_value, expected_value
                )

    def _compute_outcome(self, name, expected):
        cluster = self._cluster
        match name:
            case 'serving':
                return self._count_serving_groups(expected)
            case 'groups':
                states = [group.state.value for group in cluster.list_groups()]
                return dict(collections.Counter(states))
            case 'generations':
                return {
                    customer: sum(
                        g.generation
                        for g in self._list_staying_groups(customer)
                    )
                    for customer in expected.generations
                }
            case 'versions':
                return {
                    customer: tuple(
                        sorted(
                            g.version
                            for g in self._list_staying_groups(customer)
                        )
                    )
                    for customer in expected.versions
                }
            case 'claims':
                return len(cluster.platform.items(('claim',)))
            case 'idle':
                return tuple(
                    node
                    for node in expected.idle
                    if not self._holds_any_lease(node)
                )
            case 'held':
                return tuple(
                    shard
                    for shard in expected.held
                    if len(cluster.find_lease_holders(shard)) == 1
                )
            case 'same':
                is_same = (
                    self._recorded_groups[expected.same]
                    == cluster.list_groups()
                )
                return expected.same if is_same else 'changed'
            case 'kept':
                changed_names = [
                    group.name
                    for group in self._recorded_groups[expected.kept]
                    if group not in cluster.list_groups()
                ]
                return (
                    ', '.join(changed_names) + ' changed'
                    if changed_names
                    else expected.kept
                )
            case 'least':
                return {
                    name: cluster.min_serving_counts.get(name)
                    for name in expected.least
                }
            case 'operators':
                return self._write_results
            case 'replicas':
                return {
                    customer: self._count_promised_replicas(customer)
                    for customer in expected.replicas
                }
            case 'streams_cut':
                return sum(e.streams_cut for e in cluster.engines.values())
            case 'running':
                return sum(e.running for e in cluster.engines.values())

    def _count_serving_groups(self, expected):
        """Count the serving groups of each customer.

        If nodes differ, the count of a node that does not match the expected
        one is returned, so that the comparison fails.
        """
        counts = dict(expected.serving)
        for node in self._cluster.running_nodes():
            if expected.nodes and node.name not in expected.nodes:
                continue
            for customer, expected_value in expected.serving.items():
                count = self._cluster.count_serving_groups(node, customer)
                if count != expected_value:
                    counts[customer] = count
        return counts

    def _list_staying_groups(self, customer):
        return [
            g for g in self._cluster.list_groups(customer) if not g.leaving
        ]

    def _holds_any_lease(self, node):
        now = self._cluster.clock.monotonic()
        replay_node = self._cluster.nodes.get(node)
        return replay_node is not None and bool(
            replay_node.controller.shards_held(now)
        )

    def _count_promised_replicas(self, customer):
        stored = self._cluster.platform.get('contract', customer)
        if stored is None:
            return 0
        return sum(terms.replicas for terms in stored.value.models)
