"""Leads the pool of one data centre, while this node holds its lease."""

import asyncio
import collections

from balsamwind import exceptions
from balsamwind.node import _lease
from balsamwind.node import _orders
from balsamwind.node import _prober
from balsamwind import pool

INTERVAL = 0.1
"""Time between two rounds (seconds)."""

SETTLE_TIME = 0.15
"""Time in which the last orders of the holder before show in the entries
(seconds)."""

LIST_TIMEOUT = 0.8
"""Longest wait for a page of the list of entries (seconds)."""

START_TIME = 20.0
"""Time after the first start in which traffic may not have begun
(seconds)."""

GROWTH_TIME = 0.8
"""Time since an engine was first seen in which others of its domain may
follow (seconds)."""

RETURN_TIME = 2.5
"""Time in which the engines of a domain that was dark come back one after
the other (seconds)."""

BREAK_SLACK = 0.2
"""How much longer than promised a head that stands still may take to be
broken (seconds)."""

SILENT_HEARTBEATS = 2.0
"""Least silence of a backend server before its entry lapses (heartbeats)."""

PAST = 10.0
"""Time after which a node has seen the head of each open group (seconds)."""

STAGING_SLACK = 4.0
"""How much longer than published a copy to a host may take (seconds)."""

CONVERSION_INTERVAL = 2.0
"""Time between two conversions of groups (seconds)."""

RESERVATION = 4.0
"""How long a domain is kept for the model it is converted to (seconds)."""

DEMAND_WEIGHT = 0.07
"""Weight of the newest measure in the mean demand."""

LOAD_SAFETY = 0.85
"""Part of the ceiling on loads that is used."""


class ShardLeader:
    """Plans and orders for the engines of one data centre.

    Parameters
    ----------
    data_centre : str
        The shard.
    settings : balsamwind.node.NodeSettings
        Settings of the node.
    outside, book, registry, relay, clock, log
        Parts of the node.
    """

    def __init__(
        self,
        data_centre,
        settings,
        outside,
        book,
        registry,
        relay,
        clock,
        log,
    ):
        self._data_centre = data_centre
        self.settings = settings
        self._book = book
        self._registry = registry
        self._relay = relay
        self._clock = clock
        self._log = log.bind(shard=data_centre)
        self._started_at = clock.monotonic()
        self._loads = collections.deque()
        self._staging = {}
        self.demand = {}
        self._reserved = {}
        self._convert_at = 0.0
        self._outside = outside
        self._listed_for = None
        self.lease = _lease.ShardLease(
            data_centre,
            settings.name,
            data_centre == settings.data_centre,
            outside,
            clock,
            self._log,
        )
        self._prober = _prober.Prober(outside, registry, clock, self._log)
        self.orders = _orders.OrderGiver(
            data_centre,
            outside,
            registry,
            self.lease,
            self._prober,
            self._log,
        )

    async def run(self):
        """Lead whenever the lease is held, for ever."""
        while True:
            try:
                await self.lease.step()
                if not self.lease.held:
                    self._prober.clear()
                elif await self._has_own_view():
                    self._round()
            except Exception:
                self._log.exception('round_crashed')
            await asyncio.sleep(INTERVAL)

    async def _has_own_view(self):
        """Whether the entries were listed since the lease was taken.

        What was heard before may lack the last orders of the holder before:
        a group that it has just opened would look free.
        """
        fencing = self.lease.fencing
        if self._listed_for == fencing:
            return True
        await asyncio.sleep(SETTLE_TIME)
        try:
            _, records = await self._outside.list_servers(LIST_TIMEOUT)
        except exceptions.StoreError as error:
            self._log.info('entries_not_listed', reason=str(error))
            return False
        self._registry.replace(records, self._clock.monotonic())
        self._listed_for = fencing
        return self.lease.held

    def _round(self):
        configuration = self._book.configuration
        if configuration is None:
            return
        for service in configuration.services:
            if service.engine is not None:
                self._lead(service)

    def _lead(self, service):
        records = tuple(
            record
            for record in self._registry.of_service(service.name)
            if record.data_centre == self._data_centre
        )
        self._prober.step(
            [record for record in records if record.membership is not None]
        )
        self._measure_demand(service, records)
        for action in pool.plan_pool(self._make_view(service, records)):
            self._note_load(action)
            self._note_plan(action, service)
            self.orders.start(action, service.engine)

    def _measure_demand(self, service, records):
        """Smooth what the heads of the shard report to run and wait.

        What this node's callers ask for shows the need of a model that has
        no group here, or too few.
        """
        counts = {model.name: 0 for model in service.engine.models}
        for record in records:
            place = record.membership
            if place is not None and place.rank == 0:
                model = pool.read_model(place.group)
                requests = self._prober.requests.get(record.server_id, 0)
                if place.state is pool.MemberState.OPEN and model in counts:
                    counts[model] += requests
        total = sum(counts.values())
        shares = self._relay.demand.shares(self._clock.monotonic())
        for model in counts:
            count = max(counts[model], total * shares.get(model, 0.0))
            before = self.demand.get(model, count)
            self.demand[model] = before + DEMAND_WEIGHT * (count - before)

    def _note_plan(self, action, service):
        now = self._clock.monotonic()
        match action:
            case pool.StageModel(engine=engine, model=model):
                known = service.engine.find_model(model)
                until = now + known.load_time + STAGING_SLACK
                self._staging[engine.server_id] = (model, until)
            case pool.CloseGroup(group=group, wanted=wanted) if wanted:
                self._convert_at = now + CONVERSION_INTERVAL
                self._reserved[group.head.domain] = (
                    wanted,
                    now + RESERVATION,
                )

    def _make_view(self, service, records):
        now = self._clock.monotonic()
        down = self._prober.down
        before_traffic = (
            self.settings.first_start
            and not self._relay.seen_requests
            and now - self._started_at < START_TIME
        )
        listed_for = {
            record.server_id: self._registry.listed_for(record.server_id, now)
            for record in records
        }
        return pool.PoolView(
            records=records,
            terms=service.engine,
            down=down,
            gone=frozenset(
                record.server_id
                for record in records
                if record.server_id in down and self._is_gone(record, now)
            ),
            busy=frozenset(self.orders.busy),
            forming=dict(self.orders.forming),
            before_traffic=before_traffic,
            growing=frozenset(
                record.domain
                for record in records
                if listed_for[record.server_id] < GROWTH_TIME
            ),
            returned=frozenset(
                server_id
                for server_id, listed in listed_for.items()
                if min(listed, self._prober.answers_for(server_id, now))
                < RETURN_TIME
            ),
            knows_past=now - self._started_at > PAST
            or self.settings.first_start,
            loads_allowed=self._count_loads_allowed(service, now),
            loads_beside=service.engine.loads_at_once
            // len(self.settings.data_centres),
            staging=_keep_current(self._staging, now),
            demand={} if before_traffic else dict(self.demand),
            reserved=_keep_current(self._reserved, now),
            may_convert=now >= self._convert_at and not before_traffic,
        )

    def _is_gone(self, record, now):
        """Whether an engine, if it is back, can't be an open head any more.

        A head that is dark by itself stands still, and is broken after a
        while. Its entry lapses sooner, after it has been silent for two
        heartbeats at least; a leader that has just begun knows only that.
        """
        if record.listed:
            return False
        name = record.server_id
        bounds = self.settings.bounds
        stall = bounds.stall + BREAK_SLACK
        if self._prober.silent_for(name, now) > stall:
            return True
        missing = self._registry.missing_for(name, now)
        if self._prober.has_answered_for(name, missing, now):
            return False
        return missing + SILENT_HEARTBEATS * bounds.heartbeat > stall

    def _count_loads_allowed(self, service, now):
        bounds = self.settings.bounds
        while self._loads and self._loads[0] < now - bounds.load_window:
            self._loads.popleft()
        ceiling = (
            service.engine.loads_per_second
            * bounds.load_window
            * LOAD_SAFETY
            / len(self.settings.data_centres)
        )
        return max(0, int(ceiling) - len(self._loads))

    def _note_load(self, action):
        now = self._clock.monotonic()
        match action:
            case pool.StageModel():
                self._loads.append(now)
            case pool.FormGroup(model=model, members=members):
                for member in members:
                    if member.model != model and model not in member.staged:
                        self._loads.append(now)


def _keep_current(rows, now):
    """Drop rows whose time is over; the values of the others."""
    for key, (_, until) in list(rows.items()):
        if now >= until:
            del rows[key]
    return {key: value for key, (value, _) in rows.items()}
