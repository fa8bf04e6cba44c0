"""Whatever the order of lists, watches and peers, nothing reverts."""

import random

import hypothesis
from hypothesis import strategies

from balsamwind import catalogue
from balsamwind import objects
from balsamwind import ports

NODES = 3
NAMES = ('p', 'q')
KINDS = ('lease',)


class Fleet:
    """A store, some nodes, and messages that wait for delivery."""

    def __init__(self, rng):
        self.rng = rng
        self.history = [{}]
        self.nodes = [catalogue.Catalogue() for _ in range(NODES)]
        self.seen = [{} for _ in range(NODES)]
        self.now = 0.0
        self.waiting = []

    @property
    def revision(self):
        return len(self.history) - 1

    def step(self):
        """Let one random thing happen."""
        self.now += self.rng.choice((0.1, 1.0, 100.0))
        node = self.rng.randrange(NODES)
        lagged = max(0, self.revision - self.rng.choice((0, 0, 1, 3, 8)))
        act = self.rng.choices(
            (
                self.write,
                self.ask_list,
                self.ask_watch,
                self.tell_peer,
                self.deliver,
                self.prune,
                self.restart,
            ),
            (6, 2, 6, 6, 14, 1, 0.3),
        )[0]
        act(node, lagged)

    def write(self, _node, _lagged):
        state = dict(self.history[-1])
        revision = self.revision + 1
        name = self.rng.choice(NAMES)
        if name in state and self.rng.random() < 0.4:
            del state[name]
        else:
            lease = objects.Lease(name, f'h{revision}', revision, 1.0)
            state[name] = objects.Stored('lease', name, revision, lease)
        self.history.append(state)

    def ask_list(self, node, lagged):
        answer = ports.Snapshot(lagged, tuple(self.history[lagged].values()))
        self.waiting.append((node, 'list', answer))

    def ask_watch(self, node, lagged):
        since = self.nodes[node].revision
        answer = ports.Snapshot(lagged, self._changes(since, lagged))
        self.waiting.append((node, 'watch', (since, answer)))

    def _changes(self, since, revision):
        items = []
        for number in range(since + 1, revision + 1):
            before, after = self.history[number - 1], self.history[number]
            for name in NAMES:
                if before.get(name) != after.get(name):
                    gone = objects.Stored('lease', name, number, None)
                    items.append(after.get(name, gone))
        return tuple(items)

    def tell_peer(self, node, _lagged):
        sender = self.nodes[self.rng.randrange(NODES)]
        since = sender.start_of_changes(self.nodes[node].revision)
        message = (since, sender.revision, sender.changes_since(since))
        self.waiting.append((node, 'peer', message))

    def deliver(self, _node, _lagged):
        if not self.waiting:
            return
        place = self.rng.randrange(len(self.waiting))
        node, kind, message = self.waiting[place]
        if self.rng.random() < 0.8:
            del self.waiting[place]
        self.take_in(self.nodes[node], kind, message)

    def take_in(self, node, kind, message):
        match kind:
            case 'list':
                node.apply_list(message, KINDS, self.now)
            case 'watch':
                node.apply_changes(message[1], self.now, message[0])
            case 'peer':
                node.apply_from_peer(*message, self.now)

    def prune(self, node, _lagged):
        self.now += catalogue.TOMBSTONE_AGE
        self.nodes[node].prune(self.revision, self.now)

    def restart(self, node, _lagged):
        self.nodes[node] = catalogue.Catalogue()
        self.seen[node] = {}
        self.waiting = [item for item in self.waiting if item[0] != node]

    def check(self):
        """Nothing reverted, and all up to the revision is known."""
        for node, seen in zip(self.nodes, self.seen, strict=True):
            assert node.revision >= seen.get('', 0)
            seen[''] = node.revision
            for name in NAMES:
                self._check_object(node, name, seen)

    def _check_object(self, node, name, seen):
        stored = node.get('lease', name)
        oldest = max(seen.get(name, 0), node.revision)
        if stored is None:
            states = self.history[oldest:]
            assert any(name not in state for state in states)
            return
        assert stored == self.history[stored.revision][name]
        replaced = self.history[stored.revision : oldest + 1]
        assert all(state.get(name) == stored for state in replaced)
        seen[name] = max(seen.get(name, 0), stored.revision)

    def check_convergence(self):
        """All nodes end with what the store holds."""
        self.rng.shuffle(self.waiting)
        for node, kind, message in self.waiting:
            self.take_in(self.nodes[node], kind, message)
            self.check()
        items = tuple(self.history[-1].values())
        first, *others = self.nodes
        first.apply_list(ports.Snapshot(self.revision, items), KINDS, self.now)
        for node in others:
            since = first.start_of_changes(node.revision)
            changes = first.changes_since(since)
            node.apply_from_peer(since, first.revision, changes, self.now)
        for node in self.nodes:
            assert node.store_state is not catalogue.StoreState.DIVERGED
            assert node.revision == self.revision
            assert {s.name: s for s in node.items('lease')} == self.history[-1]


@hypothesis.given(seed=strategies.integers(0, 2**32 - 1))
@hypothesis.settings(max_examples=120)
def test_any_interleaving(seed):
    fleet = Fleet(random.Random(seed))
    for _ in range(120):
        fleet.step()
        fleet.check()
    fleet.check_convergence()


def test_cut_off_node_does_not_bring_back_what_was_deleted():
    cut_off = catalogue.Catalogue()
    lease = objects.Stored('lease', 'p', 3, objects.Lease('p', 'a', 1, 1.0))
    cut_off.apply_list(ports.Snapshot(3, (lease,)), KINDS, 0.0)
    node = catalogue.Catalogue()
    node.apply_list(ports.Snapshot(3, (lease,)), KINDS, 0.0)
    gone = objects.Stored('lease', 'p', 4, None)
    node.apply_changes(ports.Snapshot(4, (gone,)), 1.0, 3)
    node.prune(4, 2.0 + catalogue.TOMBSTONE_AGE)
    assert node.tombstones == 0
    assert node.floor == 4

    node.apply_from_peer(0, 3, cut_off.changes_since(0), 3.0)
    assert node.get('lease', 'p') is None

    since = node.start_of_changes(cut_off.revision)
    assert since == 0
    cut_off.apply_from_peer(
        since, node.revision, node.changes_since(since), 3.0
    )
    assert cut_off.get('lease', 'p') is None
    assert cut_off.revision == 4


def test_deletions_are_bounded():
    node = catalogue.Catalogue()
    count = catalogue.MAX_TOMBSTONES + 10
    items = tuple(
        objects.Stored('lease', f'n{number}', number, None)
        for number in range(1, count + 1)
    )
    node.apply_changes(ports.Snapshot(count, items), 0.0, 0)
    node.prune(5, 1.0)
    assert node.tombstones == count - 5
    node.prune(count, 1.0)
    assert node.tombstones == catalogue.MAX_TOMBSTONES
    node.prune(count, 1.0 + catalogue.TOMBSTONE_AGE)
    assert node.tombstones == 0
