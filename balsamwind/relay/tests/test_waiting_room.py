"""Requests that wait until a replica group has room."""

import asyncio
import contextlib
import random

import pytest

from balsamwind import exceptions
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _backend_selection
from balsamwind.relay import _request_terms
from balsamwind.relay import _waiting_room
from balsamwind.relay.tests import forwarding
from balsamwind import traffic

SLOTS = 4

SERVICE = traffic.Service(
    'llm',
    engine=traffic.EngineProfile(
        (traffic.ModelProfile('m', 2),),
        slots=SLOTS,
        step_time=0.0078,
        prefill_rate=45900.0,
        steps_per_pass=5,
    ),
)


class _Table:
    """Groups of one service, in place of a `BackendTable`."""

    def __init__(self, names):
        self.backends = [
            relay.Backend(
                ('llm', name, 1),
                pool.ServerRecord(name, 'llm', 'x', 'z1'),
                SLOTS,
                'm',
            )
            for name in names
        ]

    def get_by_service(self, service):
        return self.backends


class _Fleet:
    """Placing node with sessions, a clock and a timer that tests drive."""

    def __init__(self, names=('a', 'b'), sessions=1):
        self.now = 10.0
        self.table = _Table(names)
        self.timers = []
        self.rejections = []
        limits = relay.ServerLimits()
        self.room = relay.WaitingRoom(
            self.table, 'z1', random.Random(1), limits, (), self
        )
        self.room.call_later = lambda delay, callback: self.timers.append(
            callback
        )
        self.room.on_rejection = self.rejections.append
        self.sessions = [
            relay.PlacementSession(
                self.table,
                'z1',
                random.Random(1),
                limits,
                (),
                self.room,
            )
            for _ in range(sessions)
        ]
        self.replies = []
        self.signs = []

    def monotonic(self):
        return self.now

    def ask(self, number, session=0, max_wait=6.0, tried=(), **values):
        requirements = relay.RequestRequirements(
            'm', 700, 100, 6.0, **{'latency_objective': 0.4, **values}
        )
        return self.sessions[session].place(
            number,
            SERVICE,
            requirements,
            tried,
            self.now,
            max_wait=max_wait,
            reply=lambda placed: self.replies.append((number, placed)),
            notify=lambda wait: self.signs.append(number),
        )

    def fill(self, session=0):
        """Use all room; the numbers of these requests begin at 1000."""
        count = len(self.table.backends) * (SLOTS + 1)
        for number in range(1000, 1000 + count):
            placed = self.ask(number, session)
            assert isinstance(placed, relay.Placement)

    def end(self, number, session=0):
        self.sessions[session].end(
            number, relay.Outcome.ANSWERED, None, self.now
        )

    def tick(self, seconds=_waiting_room.CHECK_INTERVAL):
        self.now += seconds
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()

    @property
    def occupied(self):
        return sum(backend.in_flight for backend in self.table.backends)


def test_request_waits_while_no_group_has_room():
    fleet = _Fleet()
    fleet.fill()
    assert isinstance(fleet.ask(1), relay.WaitingRequest)
    assert len(fleet.room) == 1
    fleet.end(1000)
    ((number, placed),) = fleet.replies
    assert number == 1
    assert isinstance(placed, relay.Placement)
    assert fleet.occupied == 2 * (SLOTS + 1)
    assert len(fleet.room) == 0


def test_group_that_has_left_gets_no_waiting_request():
    # Each attempt that ended there, also a refused one, brought it the next
    # request that waited, for seconds after it had left (DRAIN).
    fleet = _Fleet()
    fleet.fill()
    left = fleet.table.backends[0]
    fleet.ask(1)
    fleet.table.backends = fleet.table.backends[1:]
    for number in range(1000, 1000 + 2 * (SLOTS + 1)):
        if left.in_flight:
            fleet.end(number)
    assert all(
        placed.key.name != left.key[1]
        for _, placed in fleet.replies
        if isinstance(placed, relay.Placement)
    )
    assert left.in_flight == 0


def test_groups_never_get_more_than_they_have_room_for():
    fleet = _Fleet()
    fleet.fill()
    for number in range(20):
        fleet.ask(number)
    for number in range(1000, 1006):
        fleet.end(number)
        fleet.tick()
        assert all(
            backend.in_flight <= SLOTS + 1 for backend in fleet.table.backends
        )
    placed = [p for _, p in fleet.replies if isinstance(p, relay.Placement)]
    assert len(placed) == 6


@pytest.mark.parametrize(
    'values',
    [
        pytest.param({'max_wait': 0.0}, id='may not wait, or an old node'),
        pytest.param({'latency_objective': 0.0}, id='has no objective'),
    ],
)
def test_others_are_placed_at_once_as_before(values):
    fleet = _Fleet()
    fleet.fill()
    fleet.ask(1)
    assert isinstance(fleet.ask(2, **values), relay.Placement)


def test_new_request_does_not_overtake_a_waiting_one():
    fleet = _Fleet()
    fleet.fill()
    fleet.ask(1)
    fleet.table.backends[0].in_flight -= 1
    assert isinstance(fleet.ask(2), relay.WaitingRequest)
    fleet.tick()
    assert [number for number, _ in fleet.replies] == [1]


def test_timer_finds_a_group_that_appears():
    fleet = _Fleet(('a',))
    fleet.fill()
    fleet.ask(1)
    fleet.tick()
    assert fleet.replies == []
    fleet.table.backends = [*fleet.table.backends, *_Table('c').backends]
    fleet.tick()
    assert fleet.replies[0][1].key.name == 'c'


def test_timer_runs_only_while_requests_wait():
    fleet = _Fleet()
    fleet.fill()
    assert fleet.timers == []
    fleet.ask(1)
    fleet.ask(2)
    assert len(fleet.timers) == 1
    fleet.end(1000)
    fleet.end(1001)
    fleet.tick()
    assert fleet.timers == []


def test_caller_that_leaves_gives_up_its_turn_at_once():
    fleet = _Fleet(sessions=2)
    fleet.fill()
    fleet.ask(1, session=1)
    fleet.ask(2)
    fleet.end(1, session=1)
    assert len(fleet.room) == 1
    fleet.end(1000)
    assert [number for number, _ in fleet.replies] == [2]


def test_lost_node_takes_its_waiting_requests_along():
    fleet = _Fleet(sessions=2)
    fleet.fill()
    fleet.ask(1, session=1)
    fleet.sessions[1].close()
    assert len(fleet.room) == 0
    fleet.end(1000)
    assert fleet.replies == []
    assert fleet.occupied == 2 * (SLOTS + 1) - 1


def test_late_reply_is_released_by_the_end_of_its_request():
    """The node gave up before the reply came; its end frees the room."""
    fleet = _Fleet()
    fleet.fill()
    fleet.ask(1)
    fleet.end(1000)
    assert len(fleet.replies) == 1
    fleet.sessions[0].end(1, relay.Outcome.REFUSED, None, fleet.now)
    assert fleet.occupied == 2 * (SLOTS + 1) - 1


def test_paused_node_first_rejects_those_whose_turn_has_passed():
    """After 3 s, room must not go to requests that can't finish in time."""
    fleet = _Fleet()
    fleet.fill()
    fleet.ask(1, max_wait=2.0)
    fleet.ask(2, max_wait=6.0)
    fleet.now += 3.0
    fleet.end(1000)
    outcomes = dict(fleet.replies)
    assert isinstance(outcomes[1], relay.NoBackendAvailable)
    assert outcomes[1].retry_after >= 0.0
    assert isinstance(outcomes[2], relay.Placement)
    assert fleet.rejections == ['expired']


def test_request_without_a_turn_in_time_is_rejected_at_once():
    fleet = _Fleet()
    fleet.fill()
    results = [fleet.ask(number) for number in range(100)]
    rejected = [r for r in results if isinstance(r, relay.NoBackendAvailable)]
    assert rejected
    assert all(result.retry_after > 0.0 for result in rejected)
    assert len(fleet.room) <= 4 * SLOTS * 2


def test_more_urgent_request_starts_first():
    fleet = _Fleet()
    fleet.fill()
    fleet.ask(1, rank=2)
    fleet.ask(2, rank=0)
    assert fleet.room.count_by_rank() == {0: 1, 2: 1}
    fleet.end(1000)
    assert [number for number, _ in fleet.replies] == [2]


def test_all_groups_ejected_are_used_as_before():
    """The cause is more likely at this node than at each of the groups."""
    fleet = _Fleet()
    for backend in fleet.table.backends:
        backend.record_stall(fleet.now)
    assert isinstance(fleet.ask(1), relay.Placement)


def test_waiting_node_is_told_regularly():
    fleet = _Fleet()
    fleet.fill()
    fleet.ask(1)
    for _ in range(30):
        fleet.tick()
    assert fleet.signs == [1, 1]


def test_request_that_may_not_use_the_room_is_passed_over():
    """A pause for one node must not hold up the others."""
    fleet = _Fleet(sessions=2)
    fleet.fill()
    tried = {fleet.table.backends[0].key}
    fleet.ask(1, tried=tried)
    fleet.ask(2)
    first = [
        number
        for number in range(1000, 1010)
        if fleet.sessions[0]._attempts[number][0] is fleet.table.backends[0]
    ]
    fleet.end(first[0])
    assert [number for number, _ in fleet.replies] == [2]
    second = next(n for n in range(1000, 1010) if n not in first)
    fleet.end(second)
    assert [number for number, _ in fleet.replies] == [2, 1]


class _Placement:
    """Placing node that is gone."""

    async def place(self, service, requirements, tried, quiet, **values):
        return None

    def end(self, number, outcome, load):
        raise AssertionError('nothing was placed')


class _SelectorFleet:
    """Node that chooses for itself, with one group that is full."""

    def __init__(self):
        self.fake_relay = forwarding.FakeRelay(['x'], None, forwarding.Clock())
        self.fake_relay.placement = _Placement()
        (self.backend,) = self.fake_relay.get_by_service(None)
        self.backend.model = 'm'
        self.backend.in_flight = SLOTS + 1
        self.waits = []
        self.fake_relay.request_log.record_wait = lambda *fields: (
            self.waits.append(fields)
        )

    def make_selector(self, may_wait=True):
        now = self.fake_relay.clock.monotonic()
        return _backend_selection.BackendSelector(
            self.fake_relay,
            SERVICE,
            relay.RequestMetadata('r1', model='m', prompt_tokens=700),
            lambda: now + 6.0 - self.fake_relay.clock.monotonic(),
            _request_terms.RequestTerms(1, 'acme', 'ask', now + 0.3),
            lambda: 'k',
            may_wait=may_wait,
        )

    async def reserve(self):
        async with self.make_selector().reserve() as backend:
            with backend.track(0):
                return backend.in_flight


def test_node_without_a_placing_node_waits_in_its_own_process():
    async def run():
        fleet = _SelectorFleet()
        task = asyncio.ensure_future(fleet.reserve())
        await asyncio.sleep(0.05)
        assert not task.done()
        fleet.backend.in_flight -= 1
        assert await task == SLOTS + 1
        assert fleet.backend.in_flight == SLOTS
        ((_, rank, account, wait, outcome),) = fleet.waits
        assert (rank, account, outcome) == (1, 'acme', 'started')
        assert wait >= 0.05

    asyncio.run(run())


def test_caller_that_leaves_this_node_leaves_no_ticket():
    async def run():
        fleet = _SelectorFleet()
        task = asyncio.ensure_future(fleet.reserve())
        await asyncio.sleep(0.01)
        assert len(fleet.fake_relay.waiting_room) == 1
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert len(fleet.fake_relay.waiting_room) == 0
        assert fleet.waits[0][-1] == 'caller_gone'

    asyncio.run(run())


def test_caller_that_leaves_as_its_turn_comes_frees_the_room():
    """The room was reserved, but the request had not gone on."""

    async def run():
        fleet = _SelectorFleet()
        task = asyncio.ensure_future(fleet.reserve())
        await asyncio.sleep(0.01)
        fleet.backend.in_flight -= 1
        fleet.fake_relay.waiting_room.advance(
            fleet.fake_relay.clock.monotonic()
        )
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert fleet.backend.in_flight == SLOTS

    asyncio.run(run())


def test_turn_that_comes_for_a_cancelled_request_goes_to_the_next():
    # A place of the group counted as taken for good, and the requests behind
    # it were not started.
    async def run():
        fleet = _SelectorFleet()
        first, second = (
            asyncio.ensure_future(fleet.reserve()) for _ in range(2)
        )
        await asyncio.sleep(0.01)
        fleet.backend.in_flight -= 1
        first.cancel()
        # In the same turn of the event loop.
        fleet.fake_relay.waiting_room.advance(
            fleet.fake_relay.clock.monotonic()
        )
        with contextlib.suppress(asyncio.CancelledError):
            await first
        assert await asyncio.wait_for(second, 0.5) == SLOTS + 1
        assert fleet.backend.in_flight == SLOTS

    asyncio.run(run())


def test_load_that_engines_report_bounds_a_partitioned_node():
    """It does not know the requests of others, but full groups say so."""

    async def run():
        fleet = _SelectorFleet()
        fleet.backend.in_flight = 0
        fleet.backend.update_load(
            relay.ReportedLoad(SLOTS, 2, SLOTS),
            fleet.fake_relay.clock.monotonic(),
        )
        task = asyncio.ensure_future(fleet.reserve())
        await asyncio.sleep(0.05)
        assert not task.done()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(run())


def test_only_the_first_attempt_waits():
    """A request that has begun does not wait behind new ones."""

    async def run():
        fleet = _SelectorFleet()
        fleet.backend.in_flight = 0
        async with fleet.make_selector().reserve():
            fleet.backend.in_flight = SLOTS + 1
        second = fleet.make_selector(may_wait=False)
        async with asyncio.timeout(0.02), second.reserve() as backend:
            assert backend is fleet.backend

    asyncio.run(run())


def test_rejected_request_gets_the_time_of_the_queue():
    async def run():
        fleet = _SelectorFleet()
        with pytest.raises(exceptions.NoCapacity) as caught:
            await asyncio.gather(*(fleet.reserve() for _ in range(80)))
        assert caught.value.retry_after > 0.0

    asyncio.run(run())
