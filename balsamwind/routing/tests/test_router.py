"""Choice of a group by expected wait, cache and place."""

import collections
import random

import pytest

from balsamwind import objects
from balsamwind import ports
from balsamwind import routing

BLOCKS = (11, 12, 13, 14)


def make_group(name, place='a'):
    return objects.Group(
        name=name,
        contract='c',
        model='m',
        version='1',
        data_centre=place,
        fabric_domain='d',
        members=(objects.Member(f'vm-{name}', 'x:1'),),
        generation=1,
        state=objects.GroupState.READY,
    )


class Fleet:
    """Groups, and the reports a node has of them."""

    def __init__(self, count=8, far=0, seed=1):
        self.groups = [make_group(f'g{n}') for n in range(count)]
        self.groups += [make_group(f'f{n}', 'b') for n in range(far)]
        self.reports = {}
        for group in self.groups:
            self.report(group.name)
        self.router = routing.make_router(
            'a', lambda group: self.reports[group.name], seed
        )

    def report(self, name, running=0, waiting=0):
        self.reports[name] = ports.EngineReport(
            f'vm-{name}',
            ports.EngineState.READY,
            running=running,
            waiting=waiting,
            slots=32,
        )

    def choose(self, blocks=(), excluded=(), now=0.0):
        choice = self.router.choose(self.groups, blocks, now, excluded)
        return choice and choice.group.name

    def send(self, blocks=(), now=0.0):
        choice = self.router.choose(self.groups, blocks, now)
        choice = self.router.admit(choice.group, blocks)
        self.router.loads.start(choice.group, choice.tokens)
        return choice.group.name


def test_nobody_to_choose():
    assert routing.make_router('a', None, 1).choose([], (), 0.0) is None


def test_tried_groups_only_if_there_is_no_other():
    fleet = Fleet(3)
    assert {fleet.choose(excluded=('g0', 'g1')) for _ in range(20)} == {'g2'}
    assert fleet.choose(excluded=('g0', 'g1', 'g2')) is not None


@pytest.mark.parametrize(
    'near, far, place',
    [(0, 0, 'near'), (31, 0, 'far'), (60, 0, 'far'), (60, 60, 'near')],
)
def test_another_data_centre_when_it_is_sooner(near, far, place):
    fleet = Fleet(2, far=2)
    for name in ('g0', 'g1'):
        fleet.report(name, running=near)
    for name in ('f0', 'f1'):
        fleet.report(name, running=far)
    names = {fleet.choose() for _ in range(20)}
    wanted = {'near': {'g0', 'g1'}, 'far': {'f0', 'f1'}}[place]
    assert names <= wanted


def test_own_requests_correct_a_stale_report():
    fleet = Fleet(8)
    counts = collections.Counter(fleet.send() for _ in range(160))
    assert max(counts.values()) <= 30
    fleet.report('g0')
    assert fleet.router.loads.load(fleet.groups[0]) == counts['g0']


def test_no_herd_on_the_same_stale_report():
    counts = collections.Counter()
    for node in range(100):
        fleet = Fleet(20, seed=node)
        for number in range(1, 20):
            fleet.report(f'g{number}', running=10)
        counts[fleet.send()] += 1
    assert counts['g0'] <= 25
    assert len(counts) >= 15


def test_prefix_goes_where_it_is_cached():
    fleet = Fleet(20)
    fleet.router.prefixes.apply_events('g7', 1, [ports.CacheEvent(1, BLOCKS)])
    names = collections.Counter(fleet.choose(BLOCKS) for _ in range(50))
    assert names['g7'] == 50


def test_nodes_agree_on_the_home_of_a_prefix_without_messages():
    names = {Fleet(20, seed=node).send(BLOCKS) for node in range(50)}
    assert len(names) <= 8


@pytest.mark.parametrize('nodes', [1, 6])
def test_hot_prefix_does_not_pile_up(nodes):
    fleet = Fleet(20)
    fleet.router.loads.nodes = nodes
    for number in range(20):
        fleet.report(f'g{number}', running=5)
    counts = collections.Counter()
    for step in range(200):
        counts[fleet.send(BLOCKS, now=step)] += 1
        fleet.groups = list(fleet.groups)
    assert max(counts.values()) <= 40


def test_straggler_gets_less_and_then_nothing():
    fleet = Fleet(10)
    health = fleet.router.health
    for _ in range(10):
        for group in fleet.groups:
            health.note_first_token(group.name, 1.0)
        health.note_first_token('g0', 20.0)
    assert 'g0' not in {fleet.choose(now=1.0) for _ in range(100)}
    fleet.groups = list(fleet.groups)
    assert health.get('g0').ejected_until > 1.0
    assert 'g0' not in {fleet.choose(now=2.0) for _ in range(100)}


def test_group_that_is_gone_leaves_nothing():
    fleet = Fleet(3)
    choice = fleet.router.choose(fleet.groups, BLOCKS, 0.0)
    choice = fleet.router.admit(choice.group, BLOCKS)
    name = choice.group.name
    with fleet.router.track(choice, 0.0) as tracker:
        tracker.note_tokens(1, 1.0)
        fleet.router.forget(name)
        assert fleet.router.in_flight == 1
    assert fleet.router.in_flight == 0
    assert name not in fleet.router.loads._groups
    assert name not in fleet.router.prefixes._groups


def test_idle_group_with_an_unchanged_report_has_no_wait():
    fleet = Fleet(1)
    for step in range(100):
        choice = fleet.router.choose(fleet.groups, (step,), float(step))
        with fleet.router.track(choice, float(step)) as tracker:
            tracker.note_tokens(1, step + 0.1)
    wait = fleet.router.expected_wait(fleet.groups[0], (), 100.0)
    assert wait < 0.01


def test_failed_attempts_leave_no_wait():
    fleet = Fleet(1)
    for step in range(100):
        choice = fleet.router.choose(fleet.groups, (step,), float(step))
        with fleet.router.track(choice, float(step)):
            pass
    wait = fleet.router.expected_wait(fleet.groups[0], (), 100.0)
    assert wait < 0.01


def test_ejection_is_told():
    fleet = Fleet(10)
    told = []
    fleet.router.on_ejection = told.extend
    for _ in range(10):
        for group in fleet.groups:
            ratio = 20.0 if group.name == 'g0' else 1.0
            fleet.router.health.note_first_token(group.name, ratio)
    fleet.choose(now=1.0)
    assert told == ['g0']


def test_pool_follows_the_groups():
    fleet = Fleet(3)
    fleet.choose()
    fleet.groups = fleet.groups[1:]
    assert 'g0' not in {fleet.choose(BLOCKS) for _ in range(50)}


def test_prefixes_are_spread_over_the_ring():
    pool = routing.Pool(Fleet(20).groups, 'a')
    homes = collections.Counter(
        pool.homes(routing.hash_blocks('m', f'{number} ' * 1024)[0], 1)[0]
        for number in range(400)
    )
    assert len(homes) == 20
    assert max(homes.values()) <= 60


def test_tracker_counts_and_learns():
    fleet = Fleet(3)
    choice = fleet.router.choose(fleet.groups, (), 0.0)
    with fleet.router.track(choice, 0.0) as tracker:
        assert fleet.router.in_flight == 1
        tracker.note_tokens(1, 2.0)
        tracker.note_tokens(2, 2.2)
    assert fleet.router.in_flight == 0
    health = fleet.router.health.get(choice.group.name)
    assert health.first_token > 1.0
    assert health.token_gap == pytest.approx(0.1)


def test_same_seed_same_choices():
    def draw():
        fleet = Fleet(50, far=50, seed=9)
        rng = random.Random(3)
        return [
            fleet.send((rng.randrange(20),), now=step) for step in range(200)
        ]

    assert draw() == draw()
