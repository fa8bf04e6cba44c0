"""Proofs of the configuration between nodes, as a state machine.

Three nodes hear of versions from the store or from each other, over frames
that arrive in order but late, with clocks that have nothing in common, while
nodes restart, are suspended and change their publisher.
"""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from balsamwind.node import _configuration_updater
from balsamwind.node import _entry_contact
from balsamwind.node import _placement_client
from balsamwind.node import _publisher_link
from balsamwind.node import _ranking
from balsamwind.node import _update_publisher
from balsamwind.node import _update_subscriber
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic

NAMES = ('n0', 'n1', 'n2')

DELAYS = st.sampled_from([0.0, 0.01, 0.3, 1.0, 4.0])


class _NodeClock:
    """Boot clock of one node: true time plus an offset of its own."""

    def __init__(self, machine, offset):
        self._machine = machine
        self._offset = offset

    def monotonic(self):
        return self._machine.now + self._offset


class _Server:
    """Update server that keeps the frames for each subscriber."""

    def __init__(self):
        self.queues = {}

    @property
    def subscriber_count(self):
        return len(self.queues)

    def broadcast(self, frame):
        for queue in self.queues.values():
            queue.append(frame)


class _Node:
    """Parts of a node that exchange versions and proofs."""

    def __init__(self, machine, rank):
        self.clock = _NodeClock(machine, 1000.0 * rank - 700.0)
        self.cache = traffic.ConfigurationCache(4.6)
        self.publisher = _update_publisher.UpdatePublisher(
            pool.ServerRegistry(),
            self.cache,
            self.clock,
            doubles.Log(),
            lambda: relay.PlacementSession(None, 'z1', None),
        )
        self.publisher.server = _Server()
        self.updater = _configuration_updater.ConfigurationUpdater(
            self.cache, self.publisher, doubles.Log(), lambda: None
        )
        link = _publisher_link.PublisherLink()
        registry = pool.ServerRegistry()
        self.subscriber = _update_subscriber.UpdateSubscriber(
            NAMES[rank],
            registry,
            self.updater,
            self.clock,
            doubles.Log(),
            lambda message: None,
            1.3,
            2.0,
            link,
            _placement_client.PlacementClient(link, self.clock, doubles.Log()),
            True,
            _entry_contact.EntryContact(registry, self.clock),
        )
        self.subscriber.set_nodes(
            [_ranking.RegisteredNode(name, name) for name in NAMES]
        )
        self.frames = collections.deque()
        self.session = None


def _make_configuration(version):
    route = traffic.Route(
        'ask',
        'a.example',
        '/ask/',
        traffic.RequestKind.STREAM,
        float(version),
        0.3,
        0,
        (traffic.Target('llm'),),
    )
    return traffic.Configuration(version, (route,), ())


class ProofMachine(stateful.RuleBasedStateMachine):
    """No node takes a version for newest at a time when it was not."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.versions = [(0.0, 1)]
        self.nodes = [_Node(self, rank) for rank in range(3)]

    def _find_newest(self, time):
        return max(
            version for since, version in self.versions if since <= time
        )

    @stateful.rule(delay=DELAYS)
    def wait(self, delay):
        self.now += delay

    @stateful.rule(step=st.integers(1, 5))
    def write_version(self, step):
        self.now += 0.001
        newest = self.versions[-1][1]
        self.versions.append((self.now, newest + step))

    @stateful.rule(rank=st.integers(0, 2), before=DELAYS, after=DELAYS)
    def read_store(self, rank, before, after):
        """The store looks at its newest version some time after the call."""
        node = self.nodes[rank]
        sent_at = node.clock.monotonic()
        self.now += before
        version = self._find_newest(self.now)
        self.now += after
        node.updater.accept(
            _make_configuration(version), len(self.versions), sent_at
        )

    @stateful.rule(rank=st.integers(1, 2), publisher=st.integers(0, 1))
    def subscribe(self, rank, publisher):
        if publisher >= rank:
            return
        node = self.nodes[rank]
        self._disconnect(node)
        server = self.nodes[publisher].publisher.server
        server.queues[rank] = node.frames = collections.deque()
        node.session = (publisher, self.nodes[publisher].publisher)
        node.subscriber._clock_offset = None
        node.subscriber._pending_requests = {}

    def _disconnect(self, node):
        for other in self.nodes:
            for rank, queue in list(other.publisher.server.queues.items()):
                if queue is node.frames:
                    del other.publisher.server.queues[rank]
        node.frames = collections.deque()
        node.session = None

    @stateful.rule(rank=st.integers(1, 2), there=DELAYS)
    def compare_clocks(self, rank, there):
        node = self.nodes[rank]
        if node.session is None:
            return
        _, publisher = node.session
        node.subscriber._request_number += 1
        number = node.subscriber._request_number
        node.subscriber._pending_requests = {number: node.clock.monotonic()}
        self.now += there
        request = _updates.ClockRequest(number, node.cache.version)
        node.frames.append(publisher.answer_clock_request(request))

    @stateful.rule(rank=st.integers(1, 2), count=st.integers(1, 4))
    def deliver(self, rank, count):
        node = self.nodes[rank]
        for _ in range(min(count, len(node.frames))):
            frame = node.frames.popleft()
            node.subscriber._handle(_updates.decode_frame(frame))

    @stateful.rule(rank=st.integers(0, 2))
    def restart(self, rank):
        self._disconnect(self.nodes[rank])
        for node in self.nodes:
            if node.session is not None and node.session[0] == rank:
                self._disconnect(node)
        self.nodes[rank] = _Node(self, rank)

    @stateful.invariant()
    def proofs_are_true(self):
        for node in self.nodes:
            if not node.cache.version:
                continue
            proof_age = node.cache.get_proof_age(node.clock.monotonic())
            assert self._find_newest(self.now - proof_age) <= (
                node.cache.version
            )

    @stateful.invariant()
    def content_fits_the_version(self):
        for node in self.nodes:
            if node.cache.version:
                configuration = node.cache.configuration
                assert configuration == _make_configuration(
                    configuration.version
                )


ProofMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestProofs = ProofMachine.TestCase
