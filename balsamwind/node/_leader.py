"""Leader of the engine pool of one data centre.

The node that holds the lease of the data centre plans which replica groups to
form, open and close, and orders its engines to do so.
"""

import asyncio
import collections

from balsamwind import exceptions
from balsamwind.node import _action_executor
from balsamwind.node import _head_evidence
from balsamwind.node import _lease
from balsamwind.node import _lease_records
from balsamwind.node import _prober
from balsamwind.node import _reach_opinions
from balsamwind import pool
from balsamwind import servers

ROUND_INTERVAL = 0.1
"""Time between two planning rounds (seconds)."""

MAX_IDLE_TIME = 0.5
"""Longest time between two rounds of a node that does not lead (seconds)."""

ORDER_SETTLE_TIME = 0.15
"""Wait after taking the lease, in which the effects of the previous holder's
last orders reach the entries of the engines (seconds)."""

LIST_TIMEOUT = 0.8
"""Timeout of reading one page of the list of entries (seconds)."""

BOOTSTRAP_PERIOD = 20.0
"""Time after the start of this node in which, if the whole system starts for
the first time, requests may not have begun to arrive (seconds)."""

REGISTRATION_PERIOD = 0.8
"""Time after the first entry of an engine in which other engines of its domain
are expected to register (seconds)."""

RECOVERY_PERIOD = 2.5
"""Time within which the engines of a domain that was unreachable come back one
after the other (seconds)."""

BREAK_MARGIN = 0.2
"""Time added to the configured stall bound, because a head that has lost a
member may take slightly longer to break its group (seconds)."""

MAX_SILENCE_SHARE = 0.5
"""Longest silence of a member after which its group stays open, as a fraction
of the stall bound (ratio). A sound engine may fall silent for a second; a head
that has lost a member breaks its group after the bound."""

STAGING_MARGIN = 4.0
"""Time added to the configured load time of a model when it is staged on a
host (seconds)."""

CONVERSION_INTERVAL = 2.0
"""Least time between two conversions, which close a group so that its engines
can serve another model (seconds)."""

RESERVATION_TIME = 4.0
"""Time for which a domain stays reserved for the model that it is converted to
(seconds)."""

DEMAND_SMOOTHING = 0.07
"""Weight of the newest sample in the moving average of the demand."""

LOAD_CEILING_SHARE = 0.85
"""Fraction of the ceiling on weight loads that this leader uses."""


class ShardLeader:
    """Plans and orders the replica groups of one data centre.

    Parameters
    ----------
    data_centre : str
        Data centre, which is also the name of the shard.
    settings : balsamwind.node.NodeSettings
        Settings of the node.
    platform : balsamwind.platform.PlatformClient
        Client of the platform's store and of the engines.
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    relay : balsamwind.relay.Relay
        Request path; measures the demand of this node's callers.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    publish_news : callable
        Publishes what a list has changed to the subscribers of this node.

    Attributes
    ----------
    settings : balsamwind.node.NodeSettings
        Settings of the node, replaced when they are read again.
    evacuations : balsamwind.servers.Evacuations
        Tells whether the data centre is evacuated; not enabled by default.
    lease : ShardLease
        Lease of the data centre.
    executor : ActionExecutor
        Executes the planned actions.
    demand : dict of str to float
        Moving average of the running and waiting requests, by model (count).
    heads : HeadEvidence
        What this node has seen of the heads of the shard.
    """

    def __init__(
        self,
        data_centre,
        settings,
        platform,
        configuration_cache,
        registry,
        relay,
        clock,
        log,
        publish_news,
    ):
        self._publish_news = publish_news
        self.evacuations = servers.Evacuations(None)
        self._data_centre = data_centre
        self.settings = settings
        self._configuration_cache = configuration_cache
        self._registry = registry
        self._relay = relay
        self._clock = clock
        self._log = log.bind(shard=data_centre)
        self._started_at = clock.monotonic()
        self._recent_loads = collections.deque()
        self._staging = {}
        self.demand = {}
        self._reservations = {}
        self._next_conversion_at = 0.0
        self._platform = platform
        self._listed_fencing = None
        self.lease = _lease.ShardLease(
            data_centre,
            settings.name,
            data_centre == settings.data_centre,
            _lease_records.LeaseRecords(platform.store),
            clock,
            self._log,
        )
        self._opinions = _reach_opinions.ReachOpinions(relay, clock)
        self._prober = _prober.Prober(
            platform, registry, clock, self._log, self._opinions
        )
        self.heads = _head_evidence.HeadEvidence(
            data_centre,
            registry,
            self._prober,
            self._opinions,
            clock,
            self._log,
        )
        self.executor = _action_executor.ActionExecutor(
            data_centre,
            platform,
            registry,
            self.lease,
            self._prober,
            clock,
            self._log,
        )

    @property
    def awaits_changes(self):
        """Whether engines of the shard are carrying out orders."""
        return self.lease.held and bool(self.executor.busy)

    @property
    def down(self):
        """Ids of the engines that do not answer this node."""
        return self._prober.down

    @property
    def _break_time(self):
        """Time after which a head that lost a member has broken (seconds)."""
        return self.settings.bounds.stall + BREAK_MARGIN

    @property
    def _max_silence(self):
        """Time for which a sound member may be silent (seconds)."""
        return MAX_SILENCE_SHARE * self.settings.bounds.stall

    async def run(self):
        """Run planning rounds while the lease is held; never returns."""
        while True:
            try:
                if self._lacks_path():
                    self.lease.defer()
                await self.lease.step()
                if not self.lease.held:
                    self._watch_as_standby()
                elif await self._has_listed_since_takeover():
                    self._run_round()
                    await self._yield_if_blind()
            except Exception:
                self._log.exception('round_crashed')
            await asyncio.sleep(
                ROUND_INTERVAL if self.lease.held else self._find_idle_time()
            )

    def _watch_as_standby(self):
        """Watch the heads that are out of sight, if this node may soon lead.

        Whoever takes over then knows since when they are silent.
        """
        suspects = []
        if self.lease.is_standby:
            records = self._find_own_engines()
            suspects = self.heads.find_suspects(records)
        if not suspects:
            self._prober.reset()
            return
        self._prober.forget_opinions()
        others = [record for record in records if record not in suspects]
        self._prober.probe_due(suspects, others, asks_others=False)

    def _lacks_path(self):
        """Tell whether this node reaches no engine, by its own requests."""
        lost_services = self._relay.paths.lost_services
        configuration = self._configuration_cache.configuration
        if not lost_services or configuration is None:
            return False
        return any(
            service.engine is not None and service.name in lost_services
            for service in configuration.services
        )

    async def _yield_if_blind(self):
        """Leave the lease to a node that has a path to the engines."""
        if self._prober.is_blind:
            await self.lease.yield_to_others('no engine answers')

    def _find_idle_time(self):
        """Find how long a node that does not lead need not wake up."""
        return min(
            max(self.lease.time_to_next_read(), ROUND_INTERVAL),
            MAX_IDLE_TIME,
        )

    async def _has_listed_since_takeover(self):
        """Whether the entries were listed since the lease was taken.

        Entries read earlier may miss the effects of the previous holder's last
        orders: the engines of a group that it has just opened would look free.
        """
        fencing = self.lease.fencing
        if self._listed_fencing == fencing:
            return True
        await asyncio.sleep(ORDER_SETTLE_TIME)
        try:
            revision, records = await self._platform.list_servers(LIST_TIMEOUT)
        except exceptions.StoreError as error:
            self._log.info('entries_not_listed', reason=str(error))
            return False
        # A watch may have told more since the list was read.
        if not self._registry.is_outdated(revision):
            self._registry.apply_full_list(
                records, self._clock.monotonic(), revision
            )
            self._publish_news()
        self._listed_fencing = fencing
        return self.lease.held

    def _run_round(self):
        configuration = self._configuration_cache.configuration
        if configuration is None:
            return
        self.executor.break_time = self._break_time
        records_by_service = self._find_engines_by_service(configuration)
        # One call for all services: engines that it does not name are
        # forgotten.
        engines = [
            record for _, records in records_by_service for record in records
        ]
        self._prober.probe_due(
            [record for record in engines if record.membership is not None],
            [record for record in engines if record.membership is None],
        )
        if self._prober.is_blind:
            return
        for service, records in records_by_service:
            self._plan_service(service, records)

    def _find_engines_by_service(self, configuration):
        return [
            (
                service,
                tuple(
                    self.executor.orders.reported.correct(record)
                    for record in self._registry.get_by_service(service.name)
                    if record.data_centre == self._data_centre
                ),
            )
            for service in configuration.services
            if service.engine is not None
        ]

    def _find_own_engines(self):
        configuration = self._configuration_cache.configuration
        if configuration is None:
            return []
        return [
            record
            for _, records in self._find_engines_by_service(configuration)
            for record in records
        ]

    def _plan_service(self, service, records):
        self._update_demand(service, records)
        held = []
        for action in pool.plan_pool(self._build_view(service, records)):
            if isinstance(action, pool.HoldMembers):
                held.append(action)
                continue
            self._record_loads(action)
            self._record_action(action, service)
            self.executor.start(action, service.engine)
        self.heads.log_held(service.name, held)

    def _update_demand(self, service, records):
        """Average the running and waiting requests that the heads report.

        The requests that wait at this node for a slot are counted as well; it
        is mostly the one that places those of its data centre. The models
        that its callers ask for show the demand for a model that has no group
        here, or too few.
        """
        waiting = self._relay.waiting_room.count_by_model(service.name)
        counts = {
            model.name: waiting[model.name] for model in service.engine.models
        }
        for record in records:
            membership = record.membership
            if membership is not None and membership.rank == 0:
                model = pool.parse_model_name(membership.group)
                requests = self._prober.requests.get(record.server_id, 0)
                if (
                    membership.state is pool.MemberState.OPEN
                    and model in counts
                ):
                    counts[model] += requests
        total = sum(counts.values())
        shares = self._relay.demand_meter.shares(self._clock.monotonic())
        for model in counts:
            count = max(counts[model], total * shares.get(model, 0.0))
            previous = self.demand.get(model, count)
            self.demand[model] = previous + DEMAND_SMOOTHING * (
                count - previous
            )

    def _record_action(self, action, service):
        now = self._clock.monotonic()
        match action:
            case pool.StageModel(engine=engine, model=model):
                model_profile = service.engine.find_model(model)
                expires_at = now + model_profile.load_time + STAGING_MARGIN
                self._staging[engine.server_id] = (model, expires_at)
            case pool.CloseGroup(group=group, target_model=target) if target:
                self._next_conversion_at = now + CONVERSION_INTERVAL
                self._reservations[group.head.domain] = (
                    target,
                    now + RESERVATION_TIME,
                )

    def _build_view(self, service, records):
        now = self._clock.monotonic()
        down = self._prober.down
        silent_heads, doubtful_heads = self.heads.find_silent_heads(
            records, self._break_time
        )
        before_traffic = (
            self.settings.first_start
            and not self._relay.requests_received
            and now - self._started_at < BOOTSTRAP_PERIOD
        )
        listed_for = {
            record.server_id: self._registry.listed_for(record.server_id, now)
            for record in records
        }
        return pool.PoolView(
            records=records,
            terms=service.engine,
            down=down,
            lost=frozenset(
                server_id
                for server_id in down
                if self._prober.is_lost(server_id, self._max_silence, now)
            ),
            silent_heads=silent_heads,
            doubtful_heads=doubtful_heads,
            busy=frozenset(self.executor.busy),
            late_joiners=self.executor.orders.find_unanswered(pool.Join),
            late_openers=self.executor.orders.find_unanswered(pool.Open),
            late_leavers=self.executor.orders.find_unanswered(pool.Leave),
            forming_engines=dict(self.executor.forming),
            before_traffic=before_traffic,
            growing_domains=frozenset(
                record.domain
                for record in records
                if listed_for[record.server_id] < REGISTRATION_PERIOD
            ),
            recently_returned=frozenset(
                server_id
                for server_id, listed in listed_for.items()
                if min(listed, self._prober.answering_for(server_id, now))
                < RECOVERY_PERIOD
            ),
            former_heads=self.heads.find_former_heads(records),
            loads_allowed=self._count_loads_allowed(service, now),
            max_concurrent_loads=service.engine.max_full_speed_loads
            // len(self.settings.data_centres),
            staging=_drop_expired(self._staging, now),
            demand={} if before_traffic else dict(self.demand),
            reserved_domains=_drop_expired(self._reservations, now),
            may_convert=now >= self._next_conversion_at and not before_traffic,
            evacuated=self.evacuations.forbids(self._data_centre, now),
        )

    def _count_loads_allowed(self, service, now):
        bounds = self.settings.bounds
        while (
            self._recent_loads
            and self._recent_loads[0] < now - bounds.load_window
        ):
            self._recent_loads.popleft()
        ceiling = (
            service.engine.loads_per_second
            * bounds.load_window
            * LOAD_CEILING_SHARE
            / len(self.settings.data_centres)
        )
        return max(0, int(ceiling) - len(self._recent_loads))

    def _record_loads(self, action):
        now = self._clock.monotonic()
        match action:
            case pool.StageModel():
                self._recent_loads.append(now)
            case pool.FormGroup(model=model, members=members):
                for member in members:
                    if member.model != model and model not in member.staged:
                        self._recent_loads.append(now)


def _drop_expired(expiring, now):
    """Delete entries that have expired and return the values of the others."""
    for key, (_, expires_at) in list(expiring.items()):
        if now >= expires_at:
            del expiring[key]
    return {key: value for key, (value, _) in expiring.items()}
