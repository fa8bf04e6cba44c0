"""No object reverts to an older version, in any order of messages.

Random interleavings of lists, watches and messages between peers, which may be
stale, reordered or repeated, are applied to the caches of several nodes.
"""

import random

import hypothesis
from hypothesis import strategies

from balsamwind import catalogue
from balsamwind import objects
from balsamwind import ports

NODE_COUNT = 3
NAMES = ('p', 'q')
KINDS = ('lease',)


class Simulation:
    """A store, the caches of some nodes, and messages in flight."""

    def __init__(self, rng):
        self.rng = rng
        self.history = [{}]
        self.nodes = [catalogue.ObjectCache() for _ in range(NODE_COUNT)]
        self.seen = [{} for _ in range(NODE_COUNT)]
        self.now = 0.0
        self.in_flight = []

    @property
    def revision(self):
        return len(self.history) - 1

    def step(self):
        """Run one random action."""
        self.now += self.rng.choice((0.1, 1.0, 100.0))
        node = self.rng.randrange(NODE_COUNT)
        lagging_revision = max(
            0, self.revision - self.rng.choice((0, 0, 1, 3, 8))
        )
        action = self.rng.choices(
            (
                self.write,
                self.request_list,
                self.request_watch,
                self.send_to_peer,
                self.deliver_message,
                self.prune,
                self.restart,
            ),
            (6, 2, 6, 6, 14, 1, 0.3),
        )[0]
        action(node, lagging_revision)

    def write(self, _node, _lagging_revision):
        state = dict(self.history[-1])
        revision = self.revision + 1
        name = self.rng.choice(NAMES)
        if name in state and self.rng.random() < 0.4:
            del state[name]
        else:
            lease = objects.Lease(name, f'h{revision}', revision, 1.0)
            state[name] = objects.ObjectVersion('lease', name, revision, lease)
        self.history.append(state)

    def request_list(self, node, lagging_revision):
        answer = ports.Snapshot(
            lagging_revision, tuple(self.history[lagging_revision].values())
        )
        self.in_flight.append((node, 'list', answer))

    def request_watch(self, node, lagging_revision):
        since = self.nodes[node].revision
        answer = ports.Snapshot(
            lagging_revision, self._changes(since, lagging_revision)
        )
        self.in_flight.append((node, 'watch', (since, answer)))

    def _changes(self, since, revision):
        items = []
        for number in range(since + 1, revision + 1):
            before, after = self.history[number - 1], self.history[number]
            for name in NAMES:
                if before.get(name) != after.get(name):
                    tombstone = objects.ObjectVersion(
                        'lease', name, number, None
                    )
                    items.append(after.get(name, tombstone))
        return tuple(items)

    def send_to_peer(self, node, _lagging_revision):
        sender = self.nodes[self.rng.randrange(NODE_COUNT)]
        since = sender.find_sync_start(self.nodes[node].revision)
        message = (since, sender.revision, sender.changes_since(since))
        self.in_flight.append((node, 'peer', message))

    def deliver_message(self, _node, _lagging_revision):
        if not self.in_flight:
            return
        index = self.rng.randrange(len(self.in_flight))
        node, kind, message = self.in_flight[index]
        if self.rng.random() < 0.8:
            del self.in_flight[index]
        self.apply_message(self.nodes[node], kind, message)

    def apply_message(self, node, kind, message):
        match kind:
            case 'list':
                node.apply_list(message, KINDS, self.now)
            case 'watch':
                node.apply_changes(message[1], self.now, message[0])
            case 'peer':
                node.apply_from_peer(*message, self.now)

    def prune(self, node, _lagging_revision):
        self.now += catalogue.TOMBSTONE_RETENTION
        self.nodes[node].prune(self.revision, self.now)

    def restart(self, node, _lagging_revision):
        self.nodes[node] = catalogue.ObjectCache()
        self.seen[node] = {}
        self.in_flight = [item for item in self.in_flight if item[0] != node]

    def check(self):
        """Check that nothing reverted and no change was lost."""
        for node, seen in zip(self.nodes, self.seen, strict=True):
            assert node.revision >= seen.get('', 0)
            seen[''] = node.revision
            for name in NAMES:
                self._check_object(node, name, seen)

    def _check_object(self, node, name, seen):
        stored = node.get('lease', name)
        first_revision = max(seen.get(name, 0), node.revision)
        if stored is None:
            states = self.history[first_revision:]
            assert any(name not in state for state in states)
            return
        assert stored == self.history[stored.revision][name]
        states_since = self.history[stored.revision : first_revision + 1]
        assert all(state.get(name) == stored for state in states_since)
        seen[name] = max(seen.get(name, 0), stored.revision)

    def check_convergence(self):
        """Check that all nodes end with the content of the store."""
        self.rng.shuffle(self.in_flight)
        for node, kind, message in self.in_flight:
            self.apply_message(self.nodes[node], kind, message)
            self.check()
        items = tuple(self.history[-1].values())
        first, *others = self.nodes
        first.apply_list(ports.Snapshot(self.revision, items), KINDS, self.now)
        for node in others:
            since = first.find_sync_start(node.revision)
            changes = first.changes_since(since)
            node.apply_from_peer(since, first.revision, changes, self.now)
        for node in self.nodes:
            assert node.store_state is not catalogue.StoreState.DIVERGED
            assert node.revision == self.revision
            assert {
                s.name: s for s in node.list_objects('lease')
            } == self.history[-1]


@hypothesis.given(seed=strategies.integers(0, 2**32 - 1))
@hypothesis.settings(max_examples=120)
def test_any_interleaving(seed):
    simulation = Simulation(random.Random(seed))
    for _ in range(120):
        simulation.step()
        simulation.check()
    simulation.check_convergence()


def test_disconnected_node_does_not_restore_deleted_object():
    disconnected = catalogue.ObjectCache()
    lease = objects.ObjectVersion(
        'lease', 'p', 3, objects.Lease('p', 'a', 1, 1.0)
    )
    disconnected.apply_list(ports.Snapshot(3, (lease,)), KINDS, 0.0)
    node = catalogue.ObjectCache()
    node.apply_list(ports.Snapshot(3, (lease,)), KINDS, 0.0)
    tombstone = objects.ObjectVersion('lease', 'p', 4, None)
    node.apply_changes(ports.Snapshot(4, (tombstone,)), 1.0, 3)
    node.prune(4, 2.0 + catalogue.TOMBSTONE_RETENTION)
    assert node.tombstone_count == 0
    assert node.compacted_revision == 4

    node.apply_from_peer(0, 3, disconnected.changes_since(0), 3.0)
    assert node.get('lease', 'p') is None

    since = node.find_sync_start(disconnected.revision)
    assert since == 0
    disconnected.apply_from_peer(
        since, node.revision, node.changes_since(since), 3.0
    )
    assert disconnected.get('lease', 'p') is None
    assert disconnected.revision == 4


def test_number_of_tombstones_is_bounded():
    node = catalogue.ObjectCache()
    count = catalogue.MAX_TOMBSTONES + 10
    items = tuple(
        objects.ObjectVersion('lease', f'n{number}', number, None)
        for number in range(1, count + 1)
    )
    node.apply_changes(ports.Snapshot(count, items), 0.0, 0)
    node.prune(5, 1.0)
    assert node.tombstone_count == count - 5
    node.prune(count, 1.0)
    assert node.tombstone_count == catalogue.MAX_TOMBSTONES
    node.prune(count, 1.0 + catalogue.TOMBSTONE_RETENTION)
    assert node.tombstone_count == 0
