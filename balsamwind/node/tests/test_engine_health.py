"""Leaders that lose their path to the engines take none of them for down."""

import random

import pytest

from balsamwind.node import _engine_health

ROUND = 0.1
"""Time between two rounds (seconds)."""

INTERVAL = 0.4
"""Time between two probes of an engine that answers (seconds)."""

TIMEOUT = 0.2
"""Time after which a probe without an answer has failed (seconds)."""

ENGINES = tuple(f'e{number}' for number in range(8))


class _Shard:
    """Rounds of probes of a leader, against engines and paths of a test."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self.health = _engine_health.EngineHealth()
        self.next_probe_at = dict.fromkeys(ENGINES, 0.0)
        self.results = []
        self.went_down = set()

    def run(self, start, end, answers, refused):
        """Probe from `start` to `end`; `answers` says who does and when."""
        now = start
        while now < end:
            self._settle(now)
            due = [item for item in ENGINES if self.next_probe_at[item] <= now]
            suspects = self.health.suspects
            if due and all(item in suspects for item in due):
                others = [item for item in ENGINES if item not in suspects]
                due.extend(others[:1])
            for server_id in due:
                self._send(server_id, now, answers, refused)
            self.went_down |= self.health.down
            now += ROUND * self._rng.uniform(0.9, 1.2)

    def _send(self, server_id, now, answers, refused):
        sent_at = now + self._rng.uniform(0.0, 0.003)
        is_answered = answers(server_id, sent_at)
        delay = TIMEOUT
        if is_answered or refused:
            delay = self._rng.uniform(0.001, 0.01)
        self.next_probe_at[server_id] = now + INTERVAL
        self.results.append((sent_at + delay, sent_at, server_id, is_answered))

    def _settle(self, now):
        self.results.sort()
        while self.results and self.results[0][0] <= now:
            at, sent_at, server_id, is_answered = self.results.pop(0)
            if is_answered:
                self.health.record_answer(server_id, sent_at, at)
            else:
                self.health.record_failure(server_id, sent_at, True)
                self.next_probe_at[server_id] = 0.0
            self.went_down |= self.health.down


@pytest.mark.parametrize('refused', [True, False])
@pytest.mark.parametrize('duration', [0.25, 0.5, 1.1, 12.0])
@pytest.mark.parametrize('seed', range(20))
def test_leader_without_a_path_takes_no_engine_for_down(
    seed, duration, refused
):
    """Neither while it has none, nor as the first answers come again."""
    shard = _Shard(seed)
    cut_at = 2.0 + 0.013 * seed

    def answers(server_id, at):
        return not cut_at <= at < cut_at + duration

    shard.run(0.0, cut_at + duration + 3.0, answers, refused)
    assert shard.went_down == set()


@pytest.mark.parametrize('refused', [True, False])
@pytest.mark.parametrize('seed', range(20))
def test_engine_that_is_down_is_noticed(seed, refused):
    shard = _Shard(seed)
    dies_at = 2.0 + 0.017 * seed

    def answers(server_id, at):
        return server_id != 'e3' or at < dies_at

    shard.run(0.0, dies_at + 1.1, answers, refused)
    assert shard.health.down == {'e3'}


@pytest.mark.parametrize('seed', range(10))
def test_engine_that_died_behind_the_cut_is_noticed_after_it(seed):
    shard = _Shard(seed)

    def answers(server_id, at):
        return not 2.0 <= at < 5.0 and (server_id != 'e3' or at < 2.0)

    shard.run(0.0, 6.2, answers, False)
    assert shard.went_down == {'e3'}


@pytest.mark.parametrize(
    ('silent', 'is_blind'),
    [
        pytest.param(ENGINES, True, id='no engine answers'),
        pytest.param(ENGINES[1:], False, id='one engine answers'),
    ],
)
def test_leader_knows_that_it_has_no_path(silent, is_blind):
    shard = _Shard(1)
    shard.run(0.0, 4.0, lambda name, at: name not in silent or at < 2.0, False)
    assert shard.health.is_blind(4.0) is is_blind


def test_engine_that_is_no_longer_listed_needs_no_witness():
    """That the platform has lost it as well is word enough."""
    health = _engine_health.EngineHealth()
    for sent_at in (1.0, 1.4):
        health.record_failure('e1', sent_at, False)
    assert health.down == {'e1'}
    assert not health.is_blind(9.0)
