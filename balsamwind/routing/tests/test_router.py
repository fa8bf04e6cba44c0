"""Tests of the selection of a group by wait, cache and data centre."""

import collections
import random

import pytest

from balsamwind import objects
from balsamwind import ports
from balsamwind import routing

BLOCKS = (11, 12, 13, 14)


def make_group(name, data_centre='a'):
    return objects.Group(
        name=name,
        contract='c',
        model='m',
        version='1',
        data_centre=data_centre,
        fabric_domain='d',
        members=(objects.Member(f'vm-{name}', 'x:1'),),
        generation=1,
        state=objects.GroupState.READY,
    )


class Fleet:
    """Groups with load reports, and the router of one node."""

    def __init__(self, count=8, remote=0, seed=1):
        self.groups = [make_group(f'g{n}') for n in range(count)]
        self.groups += [make_group(f'f{n}', 'b') for n in range(remote)]
        self.reports = {}
        for group in self.groups:
            self.set_report(group.name)
        self.router = routing.make_router(
            'a', lambda group: self.reports[group.name], seed
        )

    def set_report(self, name, running=0, waiting=0):
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
        choice = self.router.assign(choice.group, blocks)
        self.router.load_estimator.start_request(
            choice.group, choice.prefill_tokens
        )
        return choice.group.name


def test_no_choice_without_groups():
    assert routing.make_router('a', None, 1).choose([], (), 0.0) is None


def test_excluded_groups_are_a_last_resort():
    fleet = Fleet(3)
    assert {fleet.choose(excluded=('g0', 'g1')) for _ in range(20)} == {'g2'}
    assert fleet.choose(excluded=('g0', 'g1', 'g2')) is not None


@pytest.mark.parametrize(
    'local, remote, place',
    [(0, 0, 'near'), (31, 0, 'far'), (60, 0, 'far'), (60, 60, 'near')],
)
def test_remote_group_only_if_the_wait_is_shorter(local, remote, place):
    fleet = Fleet(2, remote=2)
    for name in ('g0', 'g1'):
        fleet.set_report(name, running=local)
    for name in ('f0', 'f1'):
        fleet.set_report(name, running=remote)
    names = {fleet.choose() for _ in range(20)}
    expected = {'near': {'g0', 'g1'}, 'far': {'f0', 'f1'}}[place]
    assert names <= expected


def test_own_requests_are_added_to_a_stale_report():
    fleet = Fleet(8)
    counts = collections.Counter(fleet.send() for _ in range(160))
    assert max(counts.values()) <= 30
    fleet.set_report('g0')
    assert (
        fleet.router.load_estimator.estimate_load(fleet.groups[0])
        == counts['g0']
    )


def test_stale_reports_cause_no_herding():
    counts = collections.Counter()
    for node in range(100):
        fleet = Fleet(20, seed=node)
        for number in range(1, 20):
            fleet.set_report(f'g{number}', running=10)
        counts[fleet.send()] += 1
    assert counts['g0'] <= 25
    assert len(counts) >= 15


def test_group_with_cached_prefix_is_selected():
    fleet = Fleet(20)
    fleet.router.prefix_index.apply_events(
        'g7', 1, [ports.CacheEvent(1, BLOCKS)]
    )
    names = collections.Counter(fleet.choose(BLOCKS) for _ in range(50))
    assert names['g7'] == 50


def test_nodes_select_the_same_owners_without_communication():
    names = {Fleet(20, seed=node).send(BLOCKS) for node in range(50)}
    assert len(names) <= 8


@pytest.mark.parametrize('nodes', [1, 6])
def test_popular_prefix_does_not_overload_its_owners(nodes):
    fleet = Fleet(20)
    fleet.router.load_estimator.node_count = nodes
    for number in range(20):
        fleet.set_report(f'g{number}', running=5)
    counts = collections.Counter()
    for step in range(200):
        counts[fleet.send(BLOCKS, now=step)] += 1
        fleet.groups = list(fleet.groups)
    assert max(counts.values()) <= 40


def test_straggler_gets_less_and_then_nothing():
    fleet = Fleet(10)
    detector = fleet.router.outlier_detector
    for _ in range(10):
        for group in fleet.groups:
            detector.record_first_token(group.name, 1.0)
        detector.record_first_token('g0', 20.0)
    assert 'g0' not in {fleet.choose(now=1.0) for _ in range(100)}
    fleet.groups = list(fleet.groups)
    assert detector.get('g0').ejected_until > 1.0
    assert 'g0' not in {fleet.choose(now=2.0) for _ in range(100)}


def test_state_of_a_deleted_group_is_discarded():
    fleet = Fleet(3)
    choice = fleet.router.choose(fleet.groups, BLOCKS, 0.0)
    choice = fleet.router.assign(choice.group, BLOCKS)
    name = choice.group.name
    with fleet.router.track(choice, 0.0) as tracker:
        tracker.record_tokens(1, 1.0)
        fleet.router.remove_group(name)
        assert fleet.router.in_flight == 1
    assert fleet.router.in_flight == 0
    assert name not in fleet.router.load_estimator._groups
    assert name not in fleet.router.prefix_index._groups


def test_idle_group_with_an_unchanged_report_has_no_wait():
    fleet = Fleet(1)
    for step in range(100):
        choice = fleet.router.choose(fleet.groups, (step,), float(step))
        with fleet.router.track(choice, float(step)) as tracker:
            tracker.record_tokens(1, step + 0.1)
    wait = fleet.router.estimate_wait(fleet.groups[0], (), 100.0)
    assert wait < 0.01


def test_failed_attempts_add_no_wait():
    fleet = Fleet(1)
    for step in range(100):
        choice = fleet.router.choose(fleet.groups, (step,), float(step))
        with fleet.router.track(choice, float(step)):
            pass
    wait = fleet.router.estimate_wait(fleet.groups[0], (), 100.0)
    assert wait < 0.01


def test_ejection_calls_the_handler():
    fleet = Fleet(10)
    ejected = []
    fleet.router.on_ejection = ejected.extend
    for _ in range(10):
        for group in fleet.groups:
            ratio = 20.0 if group.name == 'g0' else 1.0
            fleet.router.outlier_detector.record_first_token(group.name, ratio)
    fleet.choose(now=1.0)
    assert ejected == ['g0']


def test_removed_group_leaves_the_pool():
    fleet = Fleet(3)
    fleet.choose()
    fleet.groups = fleet.groups[1:]
    assert 'g0' not in {fleet.choose(BLOCKS) for _ in range(50)}


def test_prefixes_are_spread_over_the_ring():
    pool = routing.GroupPool(Fleet(20).groups, 'a')
    owners = collections.Counter(
        pool.find_owners(routing.hash_blocks('m', f'{number} ' * 1024)[0], 1)[
            0
        ]
        for number in range(400)
    )
    assert len(owners) == 20
    assert max(owners.values()) <= 60


def test_tracker_records_load_and_latency():
    fleet = Fleet(3)
    choice = fleet.router.choose(fleet.groups, (), 0.0)
    with fleet.router.track(choice, 0.0) as tracker:
        assert fleet.router.in_flight == 1
        tracker.record_tokens(1, 2.0)
        tracker.record_tokens(2, 2.2)
    assert fleet.router.in_flight == 0
    health = fleet.router.outlier_detector.get(choice.group.name)
    assert health.first_token_ratio > 1.0
    assert health.inter_token_latency == pytest.approx(0.1)


def test_choices_are_deterministic_for_a_seed():
    def choose_groups():
        fleet = Fleet(50, remote=50, seed=9)
        rng = random.Random(3)
        return [
            fleet.send((rng.randrange(20),), now=step) for step in range(200)
        ]

    assert choose_groups() == choose_groups()
