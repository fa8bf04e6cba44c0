"""How nodes read, take, renew and release the lease of a shard."""

import asyncio

import pytest

from balsamwind import exceptions
from balsamwind.node import _lease
from balsamwind.node.tests import doubles
from balsamwind import objects

STEP = 0.1
"""Time between two steps (seconds)."""


class _Store:
    """Store of one lease, with conditional writes."""

    def __init__(self):
        self.stored = None
        self.revision = 0
        self.reads = 0
        self.current_reads = 0
        self.writes = 0
        self.conflicts = 0
        self.stale = None
        self.serves_stale = False

    era = 0

    async def read_lease(self, shard, timeout, may_be_stale=False):
        self.reads += 1
        if may_be_stale:
            return self.stale if self.serves_stale else self.stored
        self.current_reads += 1
        return self.stored

    async def write_lease(self, lease, expected, timeout):
        self.writes += 1
        current_revision = 0 if self.stored is None else self.stored.revision
        if expected != current_revision:
            self.conflicts += 1
            raise exceptions.Conflict('another revision')
        self.revision += 1
        self.stored = objects.ObjectVersion('lease', 's', self.revision, lease)
        return self.stored


def _make_lease(store, clock, node, own=True, rank=0, candidates=9):
    lease = _lease.ShardLease('s', node, own, store, clock, doubles.Log())
    lease.set_rank(rank, candidates)
    return lease


def _step_all(leases, clock, seconds):
    async def step_all():
        for _ in range(round(seconds / STEP)):
            for lease in leases:
                await lease.step()
            clock.now += STEP

    asyncio.run(step_all())


@pytest.mark.parametrize(
    ('own', 'rank', 'most_reads'),
    [(True, 1, 100), (True, 9, 10), (False, 1, 30), (False, 9, 4)],
)
def test_renewed_lease_is_read_and_not_written(own, rank, most_reads):
    clock = doubles.Clock()
    store = _Store()
    holder = _make_lease(store, clock, 'n0')
    _step_all([holder], clock, 1.0)
    other = _make_lease(store, clock, 'n1', own, rank)
    store.reads = store.current_reads = 0
    _step_all([holder, other], clock, 60.0)
    assert holder.held
    assert store.conflicts == 0
    assert store.reads <= most_reads
    assert store.current_reads == 0


@pytest.mark.parametrize('known_before', [True, False])
def test_lease_that_only_looks_expired_is_not_taken(known_before):
    """A read that may be stale shows an old renewal for seconds."""
    clock = doubles.Clock()
    store = _Store()
    holder = _make_lease(store, clock, 'n0')
    _step_all([holder], clock, 1.0)
    other = _make_lease(store, clock, 'n1', rank=1)
    if known_before:
        _step_all([holder, other], clock, 3.0)
    store.stale, store.serves_stale = store.stored, True
    _step_all([holder, other], clock, 8.0)
    assert holder.held
    assert not other.held
    assert store.conflicts == 0


@pytest.mark.parametrize(
    ('own', 'rank', 'latest'),
    [(True, 1, 3.0), (False, 1, 8.0), (True, 9, 25.0)],
)
def test_expired_lease_is_taken(own, rank, latest):
    clock = doubles.Clock()
    store = _Store()
    holder = _make_lease(store, clock, 'n0')
    other = _make_lease(store, clock, 'n1', own, rank)
    _step_all([holder, other], clock, 30.0)
    assert not other.held
    started_at = clock.now
    while not other.held and clock.now < started_at + 60.0:
        _step_all([other], clock, STEP)
    assert 2.0 <= clock.now - started_at <= latest
    assert not holder.held
    assert other.fencing == holder.fencing + 1


@pytest.mark.parametrize('released', [True, False])
@pytest.mark.parametrize(
    ('own', 'rank', 'candidates', 'latest'),
    [
        (True, 1, 2, 1.0),
        (True, 2, 3, 2.2),
        (False, 0, 1, 1.8),
        (False, 0, 2, 2.5),
        (False, 0, 9, 5.8),
    ],
)
def test_lease_is_taken_soon_after_its_holder_stops(
    released, own, rank, candidates, latest
):
    """Also if the data centre of the lease has no other node."""
    clock = doubles.Clock()
    store = _Store()
    holder = _make_lease(store, clock, 'n0', candidates=candidates)
    other = _make_lease(store, clock, 'n1', own, rank, candidates)
    _step_all([holder, other], clock, 31.3)
    if released:
        asyncio.run(holder.release())
    else:
        latest += _lease.LEASE_DURATION + _lease.SAFETY_MARGIN
    started_at = clock.now
    while not other.held and clock.now < started_at + 60.0:
        _step_all([other], clock, STEP)
    assert clock.now - started_at <= latest


@pytest.mark.parametrize('held', [True, False])
def test_failing_store_is_called_at_a_low_rate(held, monkeypatch):
    """Failed calls are load on the store as well."""
    clock = doubles.Clock()
    store = _Store()
    holder = _make_lease(store, clock, 'n0')
    _step_all([holder], clock, 1.0)
    lease = holder if held else _make_lease(store, clock, 'n1', rank=1)
    calls = []

    async def refuse(*arguments):
        calls.append(arguments)
        raise exceptions.StoreError('refused')

    monkeypatch.setattr(store, 'read_lease', refuse)
    monkeypatch.setattr(store, 'write_lease', refuse)
    _step_all([lease], clock, 10.0)
    assert 8 <= len(calls) <= 30


def test_many_nodes_starting_at_once_cause_few_conflicts():
    """A lease that was just created is not overwritten by other nodes."""
    clock = doubles.Clock()
    store = _Store()
    leases = [
        _make_lease(store, clock, f'n{number}', number < 10, number % 10)
        for number in range(20)
    ]
    _step_all(leases, clock, 30.0)
    assert sum(lease.held for lease in leases) == 1
    assert store.conflicts <= 20
