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

CONTRACT = {
    'api_key_hashes': ['0' * 64],
    'starts_at': '2025-01-01T00:00:00Z',
    'ends_at': '2030-01-01T00:00:00Z',
}
"""What a contract says when a trace does not."""


def replay_control(lines):
    """Replay a trace of the control path.

    Parameters
    ----------
    lines : list of Line
        Header, events and stated outcomes.

    Returns
    -------
    list of balsamwind.settings.Finding
        Outcomes that were not met and invariants that were broken.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The trace is malformed.
    """
    header = _check_header(lines[0])
    steps = _trace.check_steps(lines[1:], _events.EVENTS, _events.Expect)
    with _loop.open_loop() as loop:
        replay = _Replay(_world.World(header, loop))
        for step in steps:
            replay.run(step)
        return replay.findings


def _check_header(line):
    try:
        return objects.decode(_world.Header, line.data)
    except (TypeError, ValueError, KeyError) as error:
        raise exceptions.InvalidInput(
            [Finding(line.place, '', line.data, str(error))]
        ) from None


class _Replay:
    """Carries out the steps of one trace."""

    __slots__ = ('_marks', '_operators', '_read', '_world', 'findings')

    def __init__(self, world):
        self._world = world
        self._read = {}
        self._operators = {}
        self._marks = {}
        self.findings = []

    def run(self, step):
        """Let time pass until a step, and carry it out."""
        known = len(self._world.invariants.broken)
        self._world.run_until(step.at)
        for text in self._world.invariants.broken[known:]:
            self._add(step, '', text, 'the invariants')
        match step.what:
            case _events.Expect():
                self._expect(step)
            case _:
                self._carry_out(step.what)

    def _add(self, step, pointer, got, allowed):
        place = f'{step.place} (at {step.at:g} s)'
        self.findings.append(Finding(place, pointer, got, allowed))

    def _carry_out(self, event):
        world = self._world
        match event:
            case _events.VmFault(target=target, fault=fault):
                for engine in self._engines(target):
                    engine.fault(fault, world.clock.monotonic())
            case _events.VmList(target=target, state=state):
                for engine in self._engines(target):
                    self._list(engine.row, state)
            case _events.Report():
                self._report(event)
            case _events.Node(node=node, fault=fault):
                self._node(self._name(node), fault)
            case _events.Write(node=node, lost=lost, late=late):
                self._write(node, lost, late)
            case _events.Link(first=first, second=second, cut=cut):
                change = world.network.cut if cut else world.network.heal
                change(first, second)
            case _events.Store(down=down):
                world.platform.down = down
            case _events.Read(operator=operator, customer=customer):
                self._read[operator] = world.platform.get('contract', customer)
            case _events.Put():
                self._put(event)
            case _events.Streams():
                self._streams(event)
            case _events.Mark(name=name):
                self._marks[name] = world.groups()
                world.least.clear()

    def _engines(self, target):
        customer, _, rest = target.partition('/')
        if rest:
            index, _, rank = rest.partition('/')
            group = self._world.groups(customer)[int(index)]
            return [self._world.engine(group.vms[int(rank)])]
        return [
            engine
            for engine in self._world.engines.values()
            if target
            in (
                engine.row.name,
                engine.row.fabric_domain,
                engine.row.data_centre,
            )
        ]

    def _name(self, node):
        first, _, shard = node.partition('/')
        if first != 'leader':
            return node
        holders = self._world.holders(shard)
        return holders[0] if holders else next(iter(self._world.nodes))

    def _list(self, row, state):
        vms = self._world.platform.vms
        if state == 'gone':
            vms.pop(row.name, None)
            return
        vms[row.name] = dataclasses.replace(row, state=ports.VmState(state))

    def _report(self, event):
        report = None
        if event.reachable:
            report = self._world.engine(event.vm).report()
        self._world.nodes[event.node].observe(
            event.vm, event.reachable, report, event.observer
        )

    def _node(self, name, fault):
        network = self._world.network
        match fault:
            case 'pause':
                network.pause(name)
            case 'resume':
                network.resume(name)
            case 'crash':
                self._world.crash_node(name)
            case 'start':
                self._world.start_node(name)
            case 'blind' | 'see':
                network.blind(name, fault == 'blind')

    def _write(self, node, lost, late):
        names = [self._name(node)] if node != '*' else self._world.nodes
        for name in names:
            self._world.network.lose_answers(name, lost)
            if late:
                self._world.network.delay_write(name, late)

    def _put(self, event):
        platform = self._world.platform
        known = platform.get('contract', event.customer)
        read = self._read.pop(event.operator, known)
        data = objects.encode(read.value) if read else dict(CONTRACT)
        data = {**data, 'customer': event.customer, **event.contract}
        value = objects.check_contract(data)
        expected = read.revision if read else 0
        try:
            platform.write('contract', event.customer, value, expected)
            self._operators[event.operator] = 'accepted'
        except exceptions.Conflict:
            self._operators[event.operator] = 'conflict'

    def _streams(self, event):
        for group in self._world.groups(event.customer):
            if group.state in (
                objects.GroupState.READY,
                objects.GroupState.DRAINING,
            ):
                engine = self._world.engine(group.head.vm)
                engine.running = event.running
            for node, count in event.in_flight.items():
                self._world.nodes[node].in_flight[group.name] = count

    def _expect(self, step):
        for field in dataclasses.fields(step.what):
            wanted = getattr(step.what, field.name)
            if wanted is None or field.name == 'nodes':
                continue
            got = self._outcome(field.name, step.what)
            if got != wanted:
                self._add(step, f'/expect/{field.name}', got, wanted)

    def _outcome(self, name, expect):
        world = self._world
        match name:
            case 'serving':
                return self._serving(expect)
            case 'groups':
                states = [group.state.value for group in world.groups()]
                return dict(collections.Counter(states))
            case 'generations':
                return {
                    customer: sum(
                        g.generation for g in self._staying(customer)
                    )
                    for customer in expect.generations
                }
            case 'versions':
                return {
                    customer: tuple(
                        sorted(g.version for g in self._staying(customer))
                    )
                    for customer in expect.versions
                }
            case 'claims':
                return len(world.platform.items(('claim',)))
            case 'idle':
                return tuple(
                    node for node in expect.idle if not self._holds(node)
                )
            case 'held':
                return tuple(
                    shard
                    for shard in expect.held
                    if len(world.holders(shard)) == 1
                )
            case 'same':
                same = self._marks[expect.same] == world.groups()
                return expect.same if same else 'changed'
            case 'kept':
                lost = [
                    group.name
                    for group in self._marks[expect.kept]
                    if group not in world.groups()
                ]
                return ', '.join(lost) + ' changed' if lost else expect.kept
            case 'least':
                return {name: world.least.get(name) for name in expect.least}
            case 'operators':
                return self._operators
            case 'replicas':
                return {
                    customer: self._promised(customer)
                    for customer in expect.replicas
                }
            case 'streams_cut':
                return sum(e.streams_cut for e in world.engines.values())
            case 'running':
                return sum(e.running for e in world.engines.values())

    def _serving(self, expect):
        """Groups that serve, as the node sees it that differs most."""
        seen = dict(expect.serving)
        for node in self._world.running():
            if expect.nodes and node.name not in expect.nodes:
                continue
            for customer, wanted in expect.serving.items():
                count = self._world.count_serving(node, customer)
                if count != wanted:
                    seen[customer] = count
        return seen

    def _staying(self, customer):
        return [g for g in self._world.groups(customer) if not g.leaving]

    def _holds(self, node):
        now = self._world.clock.monotonic()
        known = self._world.nodes.get(node)
        return known is not None and bool(known.controller.shards_held(now))

    def _promised(self, customer):
        stored = self._world.platform.get('contract', customer)
        if stored is None:
            return 0
        return sum(terms.replicas for terms in stored.value.models)
