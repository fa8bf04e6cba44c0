"""A shard in virtual time: engines, a store, and leaders that take over.

The leaders are real; what they order and hear passes through faults: orders
that are carried out late, answers that are lost, engines that crash or are
cut off from the store or from a leader, leaders that stop or start again,
engines that leave unannounced or fall silent, and nodes that hear nothing.
"""

import asyncio
import collections
import dataclasses
import random
import types

from balsamwind import exceptions
from balsamwind import node
from balsamwind.node import _leader
from balsamwind.node.tests import doubles
from balsamwind import pool
from balsamwind import relay
from balsamwind import replay
from balsamwind import traffic

STALL_TIME = 4.0
"""Time after which the head of an open group that lost a member breaks it
(seconds)."""

EXPIRY_TIME = 3.6
"""Time without contact to the store after which an entry lapses (seconds)."""

LATE_ORDER_TIMES = (2.0, 12.0)
"""Shortest and longest delay of an order that gets no answer (seconds)."""

HEARTBEAT_TIME = 1.2
"""Time between two writes of an entry (seconds)."""

RELIST_TIME = 0.8
"""Longest time until a node reads the entries after an outage (seconds)."""

STAGE_TIME = 0.3
"""Time that a host needs to stage a model (seconds)."""

JOIN_TIME = 0.25
"""Time of a join if the engine still holds the model (seconds)."""

WARM_JOIN_TIME = 1.0
"""Time of a join if the engine's host holds the model (seconds)."""

OPEN_TIME = 0.05
"""Time from an order to open until the head accepts requests (seconds)."""

DRAIN_TIME = 3.5
"""Time for which an engine that leaves serves on (seconds)."""

LEASE_TIME = 1.7
"""Time for which a leader without the store goes on leading (seconds)."""

TROUBLE_KINDS = 14
"""Kinds of trouble (count)."""

CUT_KINDS = 13
"""Those without an outage of the store for all (count)."""

NEWS_KINDS = 12
"""Those without an outage of one leader, after which it keeps what it misses
(count)."""

EARLIER_KINDS = 9
"""Those that earlier seeds draw from: without engines that leave unannounced
or fall silent, and gaps in the news (count)."""

LEADS_AGAIN_SHARE = 0.7
"""Share of the outages of a leader after which it leads at once, as the other
one stops (ratio)."""

HEAD_STATES = (pool.MemberState.OPEN, pool.MemberState.CLOSING)

PROFILE = traffic.EngineProfile(
    (
        traffic.ModelProfile(
            'm', 2, load_time=1.0, staged_load_time=WARM_JOIN_TIME
        ),
        traffic.ModelProfile(
            'n', 2, load_time=1.0, staged_load_time=WARM_JOIN_TIME
        ),
    ),
    form_time=OPEN_TIME,
    loads_per_second=1.0,
    max_full_speed_loads=4,
)


class _Engine:
    """One engine, as its process knows itself."""

    def __init__(self, name, domain, staged):
        self.name = name
        self.domain = domain
        self.born = 1
        self.is_alive = True
        self.reaches_store = True
        self.reaches_leader = True
        self.is_draining = False
        self.is_leaving = False
        self.is_dark = False
        self.staged = staged
        self.unseen_since = None
        self.reset()

    def reset(self):
        self.sequence = 0
        self.fencing = 0
        self.last_epoch = 0
        self.model = ''
        self.membership = None
        self.members = ()
        self.lost_member_since = None


@dataclasses.dataclass(slots=True)
class _Lease:
    """Lease of a leader, which the simulation gives and takes."""

    shard: str = 'z1'
    held: bool = False
    is_standby: bool = True
    fencing: int = 0

    def step_down(self, reason):
        self.held = False

    def defer(self):
        pass

    async def yield_to_others(self, reason):
        pass


@dataclasses.dataclass(slots=True)
class _News:
    """Whether a node hears of the entries, and since when (seconds)."""

    since: float
    is_heard: bool = True


class Simulation:
    """One shard, and the rules that its engines watch over.

    Parameters
    ----------
    seed : int
        Seed of all that happens.
    engine_count : int
        Engines, in two domains (count).
    hosts_keep : int
        Models that a host keeps (count).
    trouble_kinds : int
        Kinds of trouble that are drawn (count), see `TROUBLE_KINDS`.

    Attributes
    ----------
    violations : list of str
        Joins of engines whose old group may still be served.
    opened : int
        Groups that were opened (count).
    engines : dict of str to _Engine
        Engines by name.
    leaders : list of balsamwind.node.ShardLeader
        Nodes that may lead.
    left : int
        Orders to leave a group that were carried out (count).
    """

    def __init__(
        self, seed, engine_count=8, hosts_keep=2, trouble_kinds=TROUBLE_KINDS
    ):
        self._hosts_keep = hosts_keep
        self._trouble_kinds = trouble_kinds
        self.rng = random.Random(seed)
        self.violations = []
        self.opened = 0
        self.left = 0
        self.late_share = 0.0
        self.lost_share = 0.0
        self.hot_model = 'm'
        self.engines = {
            f'e{number}': _Engine(
                f'e{number}', f'd{number % 2}', ('m', 'n')[-hosts_keep:]
            )
            for number in range(engine_count)
        }
        self._entries = {}
        self._revision = 0
        self.leaders = []
        self._news = {}
        self._fencing = 0
        self._tasks = set()
        self.store = None

    def run(self, seconds, play=None):
        """Let the shard live for some virtual time.

        Parameters
        ----------
        seconds : float
            How long (seconds).
        play : callable or None
            Coroutine function that causes trouble; takes the simulation. None
            for trouble that is drawn at random.
        """
        with replay.open_virtual_loop() as loop:
            self._loop = loop
            self._clock = replay.VirtualClock(loop, 0.0)
            loop.run_until_complete(self._run(seconds, play))

    async def _run(self, seconds, play):
        for engine in self.engines.values():
            self._write_entry(engine)
        self.lead(self.add_leader())
        self.spawn(self._watch_engines())
        if play is None:
            self.spawn(self._make_trouble())
        else:
            await play(self)
        await asyncio.sleep(seconds)

    def find_open_heads(self):
        """Find the engines that head an open group."""
        return [
            engine
            for engine in self.engines.values()
            if engine.is_alive
            and engine.membership is not None
            and engine.membership.state is pool.MemberState.OPEN
        ]

    def spawn(self, coroutine):
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Leaders.

    def add_leader(self, first_start=True):
        """Start a node that may lead; it knows what is listed now."""
        cache = traffic.ConfigurationCache(1e9)
        service = traffic.Service('llm', engine=PROFILE)
        cache.accept(
            traffic.Configuration(3, (), (service,)), self._loop.time()
        )
        registry = pool.ServerRegistry()
        for record in self._entries.values():
            registry.apply_entry(record, self._loop.time())
        settings = node.NodeSettings(
            *('n1', 'z1', ('z1',)),
            *('x:1', 'x:2', 'x:3', 'x:4', 'x:5'),
            first_start=first_start,
            bounds=node.Bounds(stall=STALL_TIME),
        )
        leader = _leader.ShardLeader(
            'z1',
            settings,
            self,
            cache,
            registry,
            types.SimpleNamespace(
                requests_received=1,
                demand_meter=types.SimpleNamespace(shares=lambda now: {}),
                waiting_room=types.SimpleNamespace(
                    count_by_model=lambda service: collections.Counter()
                ),
                peers=self,
                paths=relay.PathTable(),
            ),
            self._clock,
            doubles.Log(),
            lambda: None,
        )
        leader.lease = _Lease()
        leader.executor._lease = leader.lease
        leader.executor.orders._lease = leader.lease
        news = self._news[leader] = _News(self._loop.time())
        leader.heads.heard_of_entries_for = lambda: (
            self._loop.time() - news.since if news.is_heard else 0.0
        )
        self.leaders.append(leader)
        return leader

    def lose_news(self, leader):
        """Let a node hear nothing of the entries."""
        self._news[leader].is_heard = False

    def regain_news(self, leader, keeps_missing=False):
        """Let a node read the list of entries again.

        Parameters
        ----------
        leader : balsamwind.node.ShardLeader
            The node.
        keeps_missing : bool
            Whether it keeps what it misses for a while, as after an outage of
            the store.
        """
        if keeps_missing:
            registry = leader._registry
            registry.start_relisting_grace(self._loop.time())
            self._loop.call_later(
                registry.find_grace_left(self._loop.time()) + 0.01,
                lambda: registry.evict_expired(self._loop.time()),
            )
        news = self._news[leader]
        news.is_heard = True
        news.since = self._loop.time()
        leader._registry.apply_full_list(
            list(self._entries.values()), self._loop.time(), self._revision
        )

    def lead(self, leader):
        """Let a node take the lease."""
        for other in self.leaders:
            other.lease.held = False
        self._fencing += 1
        leader.lease.fencing = self._fencing
        leader.lease.held = True
        self.spawn(self._run_leader(leader, self._fencing))

    async def _run_leader(self, leader, fencing):
        while leader.lease.held and leader.lease.fencing == fencing:
            if await leader._has_listed_since_takeover():
                leader._run_round()
            await asyncio.sleep(0.1)
        leader._prober.reset()

    async def _take_over(self, restarts):
        """Let another leader take over after a while, or a new one."""
        for leader in self.leaders:
            leader.lease.held = False
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        if restarts or len(self.leaders) < 2:
            leader = self.add_leader(first_start=False)
        else:
            leader = self.rng.choice(
                [item for item in self.leaders if self._news[item].is_heard]
                or [self.add_leader(first_start=False)]
            )
        self.lead(leader)

    # The platform, as leaders see it.

    async def list_servers(self, timeout):
        """List the entries; the store answers soon."""
        await asyncio.sleep(0.004)
        return self._revision, list(self._entries.values())

    async def fetch_engine_report(self, record, timeout):
        """Return the report of an engine."""
        engine = self.engines[record.server_id]
        if not engine.reaches_leader or engine.is_dark:
            await asyncio.sleep(timeout)
            raise exceptions.AnswerTimeout('silent')
        await asyncio.sleep(self.rng.uniform(0.001, 0.005))
        if not engine.is_alive:
            raise exceptions.ConnectionRefused('refused', sent=False)
        busy = engine.model == self.hot_model
        return pool.ServerReport(
            engine.born,
            engine.sequence,
            engine.model,
            engine.staged,
            engine.membership,
            1.0,
            12 if busy else 0,
        )

    async def send_order(self, record, order, fencing, sequence, timeout):
        """Send an order, which may come late or lose its answer."""
        engine = self.engines[record.server_id]
        order_arguments = (engine, record.born, order, fencing, sequence)
        await asyncio.sleep(self.rng.uniform(0.001, 0.005))
        if not engine.reaches_leader or engine.is_dark:
            await asyncio.sleep(timeout)
            return pool.OrderResult.UNKNOWN
        if self.rng.random() < self.late_share:
            delay = self.rng.uniform(*LATE_ORDER_TIMES)
            self._loop.call_later(delay, self._execute, *order_arguments)
            await asyncio.sleep(timeout)
            return pool.OrderResult.UNKNOWN
        result = self._execute(*order_arguments)
        if self.rng.random() < self.lost_share:
            await asyncio.sleep(timeout)
            return pool.OrderResult.UNKNOWN
        return result

    async def ask(self, record, wants_report):
        """Tell what other nodes reach, whose paths are sound."""
        await asyncio.sleep(self.rng.uniform(0.002, 0.01))
        engine = self.engines[record.server_id]
        if engine.is_dark:
            return relay.Reach.SILENT
        if engine.is_alive and engine.born == record.born:
            return relay.Reach.ANSWERS
        return relay.Reach.REFUSES

    async def find_opinions(self, record, wants_report, asked=None):
        """Return the opinion of one node that stands for all."""
        return {'x:1': await self.ask(record, wants_report)}

    def count_witnesses(self):
        """Count the nodes that may be asked."""
        return 1

    # Engines.

    def _execute(self, engine, born, order, fencing, sequence):
        if not engine.is_alive or engine.is_dark:
            return pool.OrderResult.UNKNOWN
        if engine.born != born:
            return pool.OrderResult.OTHER_SERVER
        if fencing < engine.fencing:
            return pool.OrderResult.FENCED
        engine.fencing = fencing
        if sequence != engine.sequence:
            return pool.OrderResult.UNFIT
        match order:
            case pool.Join():
                result = self._join(engine, order)
            case pool.Stage(model=model):
                result = self._stage(engine, model)
            case _:
                result = self._change_group(engine, order)
        if result is pool.OrderResult.BEGUN:
            engine.sequence += 1
            self._write_entry(engine)
        return result

    def _stage(self, engine, model):
        if model in engine.staged:
            return pool.OrderResult.DONE
        born = engine.born

        def change():
            if engine.born == born:
                self._keep_staged(engine, model)
                self._write_entry(engine)

        self._loop.call_later(STAGE_TIME, change)
        return pool.OrderResult.BEGUN

    def _keep_staged(self, engine, model):
        if model not in engine.staged:
            staged = (*engine.staged, model)
            engine.staged = staged[-self._hosts_keep :]

    def _join(self, engine, order):
        key = (order.group, order.epoch)
        if order.epoch < engine.last_epoch:
            return pool.OrderResult.FENCED
        known = engine.membership
        if known is not None and known.key == key:
            return pool.OrderResult.DONE
        self._check_join(engine, order)
        engine.last_epoch = order.epoch
        is_held = engine.model == order.model
        engine.model = order.model
        self._keep_staged(engine, order.model)
        engine.members = order.members
        engine.lost_member_since = None
        rank = order.members.index(engine.name)
        self._set_state(engine, key, rank, pool.MemberState.JOINING)
        delay = JOIN_TIME if is_held else WARM_JOIN_TIME
        self._later(delay, engine, key, pool.MemberState.READY)
        return pool.OrderResult.BEGUN

    def _check_join(self, engine, order):
        known = engine.membership
        if known is None:
            return
        for head in self.engines.values():
            if (
                head.is_alive
                and head.membership is not None
                and head.membership.key == known.key
                and head.membership.rank == 0
                and head.membership.state in HEAD_STATES
            ):
                self.violations.append(
                    f'{self._loop.time():.3f}: {engine.name} joins'
                    f' {order.group} while {head.name} serves {known.group}'
                )

    def _change_group(self, engine, order):
        known = engine.membership
        key = (order.group, order.epoch)
        if known is None or known.key != key:
            return pool.OrderResult.UNFIT
        states = pool.MemberState
        match order:
            case pool.Leave():
                engine.membership = None
                self.left += 1
                return pool.OrderResult.BEGUN
            case pool.Open() if known.rank == 0:
                if known.state is states.OPEN:
                    return pool.OrderResult.DONE
                if known.state is not states.READY:
                    return pool.OrderResult.UNFIT
                self._later(OPEN_TIME, engine, key, states.OPEN)
                self.opened += 1
                return pool.OrderResult.BEGUN
            case pool.Close(cut=cut) if known.rank == 0:
                if known.state not in HEAD_STATES:
                    return pool.OrderResult.DONE
                self._set_state(engine, key, 0, states.CLOSING)
                delay = 0.05 if cut else self.rng.uniform(0.1, 2.0)
                self._later(delay, engine, key, states.READY)
                return pool.OrderResult.BEGUN
        return pool.OrderResult.UNFIT

    def _set_state(self, engine, key, rank, state):
        engine.membership = pool.Membership(*key, rank, state)

    def _later(self, delay, engine, key, state):
        born = engine.born

        def change():
            known = engine.membership
            if engine.born != born or known is None or known.key != key:
                return
            self._set_state(engine, key, known.rank, state)
            self._write_entry(engine)

        self._loop.call_later(delay, change)

    def _write_entry(self, engine):
        if not (engine.is_alive and engine.reaches_store):
            return
        if engine.is_leaving or engine.is_dark:
            return
        self._revision += 1
        record = pool.ServerRecord(
            engine.name,
            'llm',
            f'{engine.name}:1',
            'z1',
            state=(
                pool.ServerState.DRAINING
                if engine.is_draining
                else pool.ServerState.READY
            ),
            born=engine.born,
            domain=engine.domain,
            model=engine.model,
            staged=engine.staged,
            membership=engine.membership,
            revision=self._revision,
        )
        self._entries[engine.name] = record
        self._publish(lambda registry, now: registry.apply_entry(record, now))

    def _publish(self, change):
        """Let all leaders learn of a change of the store a little later."""
        for leader in self.leaders:
            delay = self.rng.uniform(0.005, 0.05)
            self._loop.call_later(delay, self._tell, leader, change)

    def _tell(self, leader, change):
        if self._news[leader].is_heard:
            change(leader._registry, self._loop.time())

    async def _watch_engines(self):
        """Let entries lapse, and groups with a lost member break."""
        while True:
            await asyncio.sleep(0.1)
            now = self._loop.time()
            for engine in self.engines.values():
                self._watch_entry(engine, now)
                self._watch_group(engine, now)

    def _watch_entry(self, engine, now):
        if engine.is_leaving:
            self._remove_entry(engine)
            return
        if engine.is_alive and engine.reaches_store and not engine.is_dark:
            engine.unseen_since = None
            return
        if engine.unseen_since is None:
            engine.unseen_since = now
        if now - engine.unseen_since >= EXPIRY_TIME:
            self._remove_entry(engine)

    def _remove_entry(self, engine):
        record = self._entries.pop(engine.name, None)
        if record is not None:
            self._revision += 1
            removed = pool.RemovedServer(engine.name, self._revision)
            self._publish(
                lambda registry, now: registry.apply_removal(removed, now)
            )

    def _watch_group(self, engine, now):
        known = engine.membership
        if (
            not engine.is_alive
            or known is None
            or known.rank != 0
            or known.state not in HEAD_STATES
        ):
            return
        members = [self.engines[name] for name in engine.members]
        is_whole = all(
            member.is_alive
            and not member.is_dark
            and member.membership is not None
            and member.membership.key == known.key
            for member in members
        )
        if is_whole:
            engine.lost_member_since = None
        elif engine.lost_member_since is None:
            engine.lost_member_since = now
        elif now - engine.lost_member_since > STALL_TIME:
            self._set_state(engine, known.key, 0, pool.MemberState.BROKEN)
            self._write_entry(engine)

    # Trouble.

    async def _make_trouble(self):
        await asyncio.sleep(3.0)
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            self.spawn(self._cause(self.rng.randrange(self._trouble_kinds)))

    async def _cause(self, kind):
        engine = self.rng.choice(list(self.engines.values()))
        duration = self.rng.uniform(0.5, 8.0)
        match kind:
            case 0:
                await self.crash(engine)
            case 1 | 2:
                engine.reaches_store = False
                await asyncio.sleep(duration)
                engine.reaches_store = True
                self._write_entry(engine)
            case 3 | 4:
                engine.reaches_leader = False
                await asyncio.sleep(duration)
                engine.reaches_leader = True
            case 5:
                self.late_share = self.rng.uniform(0.2, 0.8)
                await asyncio.sleep(duration)
                self.late_share = 0.0
            case 6:
                self.lost_share = self.rng.uniform(0.2, 0.8)
                await asyncio.sleep(duration)
                self.lost_share = 0.0
            case 7:
                await self._take_over(restarts=self.rng.random() < 0.5)
            case 8:
                self.hot_model = self.rng.choice('mn')
                engine.is_draining = self.rng.random() < 0.3
                self._write_entry(engine)
                await asyncio.sleep(duration)
                engine.is_draining = False
                self._write_entry(engine)

            case 9:
                await self.leave_unannounced(engine)
            case 10:
                self.spawn(self.leave_unannounced(engine))
                await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.5)))
                await self.fall_silent(engine, duration)
            case 11:
                await self._miss_news(self.rng.choice(self.leaders), duration)
            case 12:
                await self.cut_leader(engine, duration)
            case 13:
                await self.lose_store(duration)

    async def leave_unannounced(self, engine):
        """Let an engine leave: it serves on without an entry, and exits."""
        born = engine.born
        engine.is_leaving = True
        self._remove_entry(engine)
        await asyncio.sleep(DRAIN_TIME)
        engine.is_leaving = False
        if engine.born == born:
            await self.crash(engine)

    async def fall_silent(self, engine, seconds):
        """Let the host of an engine fall silent for a while."""
        engine.is_dark = True
        await asyncio.sleep(seconds)
        engine.is_dark = False
        self._write_entry(engine)

    async def _miss_news(self, leader, seconds):
        """Let a node hear nothing for a while; it loses the lease."""
        self.lose_news(leader)
        await asyncio.sleep(LEASE_TIME)
        if leader.lease.held:
            await self._take_over(restarts=False)
        await asyncio.sleep(seconds)
        self.regain_news(leader)

    async def cut_leader(self, engine, seconds):
        """Cut the leader off from the store; an engine leaves as it returns.

        Parameters
        ----------
        engine : _Engine
            Engine that leaves.
        seconds : float
            Time for which another node leads (seconds).
        """
        leading = [item for item in self.leaders if item.lease.held]
        if not leading:
            return
        [leader] = leading
        self.lose_news(leader)
        await asyncio.sleep(LEASE_TIME)
        if leader.lease.held:
            await self._take_over(restarts=False)
        await asyncio.sleep(seconds)
        self.spawn(self.leave_unannounced(engine))
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        self.regain_news(leader, keeps_missing=True)
        if self.rng.random() < LEADS_AGAIN_SHARE:
            self.lead(leader)

    async def lose_store(self, seconds):
        """Let the store be down for all; entries lapse, and come back.

        Parameters
        ----------
        seconds : float
            For how long (seconds).
        """
        leaders = list(self.leaders)
        for engine in self.engines.values():
            engine.reaches_store = False
        for leader in leaders:
            self.lose_news(leader)
        await asyncio.sleep(LEASE_TIME)
        for leader in leaders:
            leader.lease.held = False
        await asyncio.sleep(seconds)
        for engine in self.engines.values():
            delay = self.rng.uniform(0.0, HEARTBEAT_TIME)
            self._loop.call_later(delay, self._write_again, engine)
        for leader in leaders:
            delay = self.rng.uniform(0.0, RELIST_TIME)
            self._loop.call_later(delay, self.regain_news, leader, True)
        await asyncio.sleep(self.rng.uniform(0.0, LEASE_TIME))
        if not any(leader.lease.held for leader in self.leaders):
            self.lead(self.rng.choice(leaders))

    def _write_again(self, engine):
        engine.reaches_store = True
        self._write_entry(engine)

    async def crash(self, engine):
        """Let an engine end, and start again."""
        engine.is_alive = False
        engine.reset()
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        engine.reset()
        engine.born += 1
        engine.is_alive = True
        self._write_entry(engine)
