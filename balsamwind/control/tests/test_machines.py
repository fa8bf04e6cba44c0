"""Stateful tests: lease holders crash, pause and lose messages at any step."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from balsamwind import control
from balsamwind import objects
from balsamwind import replay

NODES = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
VMS = [f'{domain}-v{n}' for domain in ('a-d0', 'a-d1') for n in range(3)]
DURATION = 4.0

nodes = strategies.sampled_from(sorted(NODES))
vms = strategies.sampled_from(VMS)


def make_cluster(loop, check_fencing):
    header = replay.ControlTraceHeader(
        trace='control',
        name='machine',
        nodes=NODES,
        vms={'a': {'a-d0': 3, 'a-d1': 3}},
        settings={
            'control': {
                'lease_duration': DURATION,
                'engines_check_fencing': check_fencing,
                'drain_timeout': 5.0,
                'load_timeout': 20.0,
            },
            'placement': {'load_time': 0.2, 'cached_load_time': 0.1},
        },
    )
    return replay.SimulatedCluster(header, loop)


def make_contract(replicas, version):
    terms = objects.ModelTerms('m', version, replicas, 2)
    return objects.Contract(
        'c', (), '2025-01-01T00:00:00Z', '2030-01-01T00:00:00Z', 5, (terms,)
    )


class GroupMachine(stateful.RuleBasedStateMachine):
    """Control path over in-memory ports, with faults at any step."""

    @stateful.initialize(check_fencing=strategies.booleans())
    def start(self, check_fencing):
        self._context = replay.open_virtual_loop()
        self.cluster = make_cluster(self._context.__enter__(), check_fencing)
        self.put_contract(2, '1')
        self.advance(6.0)

    @stateful.rule(
        replicas=strategies.integers(0, 3),
        version=strategies.sampled_from('12'),
    )
    def put_contract(self, replicas, version):
        platform = self.cluster.platform
        known = platform.get('contract', 'c')
        self.replicas = replicas
        platform.write(
            'contract',
            'c',
            make_contract(replicas, version),
            known.revision if known else 0,
        )

    @stateful.rule(seconds=strategies.floats(0.01, 8.0))
    def advance(self, seconds):
        cluster = self.cluster
        cluster.run_until(cluster.clock.monotonic() + seconds)

    @stateful.rule(
        vm=vms,
        fault=strategies.sampled_from(
            ['kill', 'revive', 'wipe', 'stall', 'go_on']
        ),
    )
    def inject_fault(self, vm, fault):
        engine = self.cluster.find_engine(vm)
        engine.apply_fault(fault, self.cluster.clock.monotonic())

    @stateful.rule(
        index=strategies.integers(0, 1),
        rank=strategies.integers(0, 1),
        seconds=strategies.floats(1.5, 6.0),
    )
    def lose_member(self, index, rank, seconds):
        groups = self.cluster.list_groups()
        if index < len(groups):
            self.inject_fault(groups[index].vms[rank], 'kill')
            self.advance(seconds)

    @stateful.rule(node=nodes, seconds=strategies.floats(0.01, 8.0))
    def pause(self, node, seconds):
        if node in self.cluster.nodes:
            self.cluster.network.pause(node)
            self.advance(seconds)
            self.cluster.network.resume(node)

    @stateful.rule(node=nodes)
    def crash(self, node):
        if node in self.cluster.nodes:
            self.cluster.crash_node(node)

    @stateful.rule(node=nodes)
    def restart(self, node):
        if node not in self.cluster.nodes:
            self.cluster.start_node(node)

    @stateful.rule(node=nodes, count=strategies.integers(1, 4))
    def lose_answers(self, node, count):
        self.cluster.network.lose_answers(node, count)

    @stateful.rule(node=nodes, seconds=strategies.floats(0.1, 12.0))
    def delay_write(self, node, seconds):
        self.cluster.network.delay_write(node, seconds)

    @stateful.rule(down=strategies.booleans())
    def set_platform_down(self, down):
        self.cluster.platform.down = down

    @stateful.rule(node=nodes, unreachable=strategies.booleans())
    def set_engines_unreachable(self, node, unreachable):
        self.cluster.network.set_engines_unreachable(node, unreachable)

    @stateful.invariant()
    def no_invariant_is_violated(self):
        if hasattr(self, 'cluster'):
            assert self.cluster.invariants.violations == []

    def teardown(self):
        if not hasattr(self, 'cluster'):
            return
        try:
            self.check_liveness()
        finally:
            self._context.__exit__(None, None, None)

    def check_liveness(self):
        """Check that all wanted groups serve once the faults have stopped."""
        cluster = self.cluster
        cluster.platform.down = False
        for name in NODES:
            cluster.network.set_engines_unreachable(name, False)
            self.restart(name)
        for vm in VMS:
            self.inject_fault(vm, 'revive')
            self.inject_fault(vm, 'go_on')
        self.advance(90.0)
        wanted = min(self.replicas, 2)
        assert [group.state.value for group in cluster.list_groups()] == [
            'ready'
        ] * wanted
        assert len(cluster.platform.items(('claim',))) == 2 * wanted
        for node in cluster.nodes.values():
            assert cluster.count_serving_groups(node, 'c') == wanted
        assert cluster.invariants.violations == []


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Managers of one lease whose writes and responses are late or lost."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.stored = None
        self.revision = 0
        self.fencing = 0
        self.managers = [
            control.LeaseManager('s', f'n{i}', DURATION, 0.5, 0.0)
            for i in range(3)
        ]
        self.observed = [(None, 0.0)] * 3
        self.sent = [None] * 3
        self.responses = [None] * 3

    @stateful.rule(seconds=strategies.floats(0.01, 6.0))
    def advance(self, seconds):
        self.now += seconds

    @stateful.rule(index=strategies.integers(0, 2))
    def watch(self, index):
        if self.observed[index][0] != self.stored:
            self.observed[index] = (self.stored, self.now)

    @stateful.rule(index=strategies.integers(0, 2))
    def plan(self, index):
        if self.sent[index] or self.responses[index]:
            return
        stored, observed_at = self.observed[index]
        write = self.managers[index].plan_write(
            stored, self.now - observed_at, self.now, f'{self.now}'
        )
        if write is not None:
            self.sent[index] = (write, self.now)

    @stateful.rule(index=strategies.integers(0, 2), lost=strategies.booleans())
    def deliver(self, index, lost):
        if self.sent[index] is None:
            return
        write, sent_at = self.sent[index]
        self.sent[index] = None
        won = write.expected == (self.stored.revision if self.stored else 0)
        if won:
            assert write.value.fencing >= self.fencing
            self.fencing = write.value.fencing
            self.revision += 1
            self.stored = objects.ObjectVersion(
                'lease', 's', self.revision, write.value
            )
        if not lost:
            self.responses[index] = (write, sent_at, won, self.revision)

    @stateful.rule(index=strategies.integers(0, 2))
    def receive_response(self, index):
        if self.responses[index] is None:
            return
        write, sent_at, won, revision = self.responses[index]
        self.responses[index] = None
        if won:
            self.managers[index].confirm_write(write.value, sent_at, revision)
        else:
            self.managers[index].invalidate()

    @stateful.rule(index=strategies.integers(0, 2))
    def release(self, index):
        if self.sent[index] or self.responses[index]:
            return
        write = self.managers[index].plan_release(self.observed[index][0], 'r')
        if write is not None:
            self.sent[index] = (write, self.now)

    @stateful.invariant()
    def at_most_one_node_holds_the_lease(self):
        holders = [
            manager for manager in self.managers if manager.holds(self.now)
        ]
        assert len(holders) <= 1
        assert all(
            manager.fencing <= self.fencing for manager in self.managers
        )


TestGroups = GroupMachine.TestCase
TestGroups.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=20,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)
