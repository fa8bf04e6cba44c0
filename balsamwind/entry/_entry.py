"""State of one entry, and what its servers and loops ask of it."""

import contextlib
import dataclasses
import random

from balsamwind import admission
from balsamwind import catalogue
from balsamwind import control
from balsamwind.entry import _gate
from balsamwind.entry import _node_status
from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import peers
from balsamwind import requests
from balsamwind import routing


class Entry:
    """One entry: what it knows, and the request path over it.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    clock : balsamwind.ports.Clock
        Source of time.
    engine : balsamwind.ports.Engine
        Model engines.
    service : balsamwind.ports.PlainService
        Plain services.
    store : balsamwind.ports.ObjectStore
        The platform's object API.
    metrics : balsamwind.adapters.Metrics
        Histograms and counters.
    log : structlog.BoundLogger
        Log.
    random_state : int or None
        Seed.
    """

    def __init__(
        self,
        settings,
        clock,
        engine,
        service,
        store,
        metrics,
        log,
        random_state=None,
    ):
        stale_after = settings.observation.stale_after
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.catalogue = catalogue.Catalogue()
        self.observations = membership.Observations(
            stale_after, lambda vm: self.groups.find_data_centre(vm)
        )
        self.groups = membership.GroupTable(self.catalogue, self.observations)
        self.registry = peers.PeerRegistry(
            settings.node.name, settings.node.data_centre, stale_after
        )
        self.limits = admission.LimitKeeper(
            settings.node.name,
            [peer.name for peer in settings.peers],
            clock.monotonic(),
        )
        self.gate = _gate.make_gate(settings.requests, clock)
        self.draining = False
        self.links = None
        self.controller = None
        self.make_counters = dict
        self.make_gauges = dict
        self._open_requests = 0
        self._rng = random.Random(random_state)
        self._keys = {}
        self._services = {s.name: s for s in settings.services}
        self._budgets = admission.RetryBudgets(settings.requests.retry_share)
        self.router = routing.make_router(
            settings.node.data_centre,
            self._load_report,
            self._rng.getrandbits(64),
        )
        self.router.on_ejection = self.note_ejection
        self._completions = requests.Completions(
            engine,
            self.groups,
            self.router,
            admission.RetryBudget(settings.requests.retry_share),
            settings.requests,
            clock,
            self,
        )
        self.service_calls = requests.ServiceCalls(
            service,
            store,
            self._budgets,
            settings.node,
            clock,
            self.make_id,
            self._rng,
            self.note_retry,
        )
        self.catalogue.listen(self._on_object)

    @property
    def open_requests(self):
        """Requests and recorded calls that are not done (count)."""
        return self._open_requests + self.service_calls.pending

    def make_id(self):
        """A new random id."""
        return f'{self._rng.getrandbits(96):024x}'

    def is_platform_reader(self):
        """Whether this node is the one to follow the platform."""
        place = self.settings.node.data_centre
        now = self.clock.monotonic()
        chosen = self.registry.platform_reader(place, now)
        return chosen == self.settings.node.name

    def is_store_restored(self):
        """Whether this node or a living peer saw the store restored."""
        alive = self.registry.alive(self.clock.monotonic())
        return self.catalogue.restored or any(p.store_diverged for p in alive)

    def make_view(self):
        """What the control path decides from, at this moment."""
        return control.View(
            self.catalogue,
            self.observations,
            self.groups.listed,
            self.settings,
            self.clock.monotonic(),
            self.clock.time(),
            self._rng,
            self._sum_requests(),
        )

    def requests_of_stopped(self):
        """Own requests open on groups that take no new work, by group."""
        self.groups.serving('', '', self.clock.monotonic())
        loads = self.router.loads
        counts = {
            group: loads.in_flight_of(group)
            for group, reason in self.groups.reasons.items()
            if reason
        }
        return {group: count for group, count in counts.items() if count}

    def has_reader(self, data_centre):
        """Whether a peer in `data_centre` lives and follows the store."""
        return any(
            peer.data_centre == data_centre
            and peer.reads_store
            and not peer.draining
            for peer in self.registry.alive(self.clock.monotonic())
        )

    def _sum_requests(self):
        """Requests open on such groups at all entries, by group."""
        total = self.requests_of_stopped()
        for peer in self.registry.alive(self.clock.monotonic()):
            for group, count in peer.group_in_flight.items():
                total[group] = total.get(group, 0) + count
        return total

    def _on_object(self, stored):
        self.groups.invalidate()
        if stored.kind == 'group' and stored.value is None:
            self.router.forget(stored.name)
        if stored.kind == 'contract':
            self._keys = {
                digest: contract.name
                for contract in self.catalogue.items('contract')
                for digest in contract.value.api_key_hashes
            }

    @contextlib.contextmanager
    def open_request(self):
        """Count one request until the block ends."""
        if self.draining:
            raise exceptions.Draining('this entry is shutting down', 1.0)
        self._open_requests += 1
        try:
            yield
        finally:
            self._open_requests -= 1

    def find_contract(self, api_key):
        """Contract in force that holds an API key.

        Raises
        ------
        balsamwind.exceptions.BadKey
            No contract holds the key.
        balsamwind.exceptions.ContractEnded
            The contract is not in force.
        """
        name = self._keys.get(objects.make_key_hash(api_key))
        contract = self.catalogue.value('contract', name) if name else None
        if contract is None:
            raise exceptions.BadKey('no contract holds this API key')
        if not contract.in_force(self.clock.time()):
            raise exceptions.ContractEnded(
                f'{name}: in force from {contract.starts_at} until'
                f' {contract.ends_at}'
            )
        return contract

    def find_service(self, contract, name):
        """Settings of a service that the contract names."""
        service = self._services.get(name)
        if service is None or name not in contract.services:
            raise exceptions.UnknownService(
                f'service: got {name!r}, allowed:'
                f' {", ".join(contract.services)}'
            )
        return service

    async def complete(self, request):
        """Run a completion within the contract's limits.

        Yields
        ------
        list of str
            Tokens, each once and in order.
        """
        clock = self.clock.monotonic
        started = clock()
        observed = self.metrics.bind(request.contract, request.model)
        previous = None
        async with self._admit(request.contract, request.deadline):
            run = self._completions.run(request)
            async with contextlib.aclosing(run) as batches:
                async for batch in batches:
                    now = clock()
                    if previous is None:
                        observed.first_token.observe(now - started)
                    else:
                        observed.token_gap.observe(now - previous)
                    observed.tokens.inc(len(batch))
                    self.limits.charge_tokens(
                        request.contract, len(batch), now
                    )
                    previous = now
                    yield batch
        observed.answer.observe(clock() - started)

    async def call_service(self, contract, service, call, deadline):
        """Run a service call within the contract's limits."""
        started = self.clock.monotonic()
        labels = (*self.metrics.labels_of(contract), service.name)
        async with self._admit(contract, deadline):
            answer = await self.service_calls.run(
                contract, service, call, deadline
            )
        self.metrics.service_seconds.labels(*labels).observe(
            self.clock.monotonic() - started
        )
        return answer

    @contextlib.asynccontextmanager
    async def _admit(self, contract, deadline):
        """Hold a place within the limits and at this entry."""
        now = self.clock.monotonic()
        self.router.loads.nodes = 1 + len(self.registry.alive(now))
        labels = self.metrics.labels_of(contract)
        with self.limits.admit(contract, now):
            async with self.gate.enter(
                contract.customer, contract.priority, deadline
            ) as waited:
                self.metrics.queue_seconds.labels(*labels).observe(waited)
                yield

    def plan_shares(self):
        """Plan this entry's shares of all limits until the next beat."""
        now = self.clock.time()
        limits = {
            stored.name: stored.value.limits
            for stored in self.catalogue.items('contract')
            if stored.value.in_force(now)
        }
        self.limits.beat(limits, self.clock.monotonic())

    def _load_report(self, group):
        view = self.observations.get(group.head.vm)
        return None if view is None else view.report

    def take_cache_events(self, report):
        """Keep the cache events of a report here; the report without."""
        if report is None or not report.cache_events:
            return report
        self.router.prefixes.apply_events(
            report.group, report.generation, report.cache_events
        )
        return dataclasses.replace(report, cache_events=())

    def note_retry(self, service):
        """Count an attempt after the first of a call of a service."""
        self.metrics.retries.labels(service).inc()

    def note_ejection(self, groups):
        """Count and log groups that are ejected as outliers."""
        self.metrics.ejections.inc(len(groups))
        self.log.warning('groups_ejected', groups=groups)

    def note_late_events(self, count):
        """Count events of abandoned attempts."""
        self.metrics.late_events.inc(count)

    def note_resumption(self, way):
        """Count an attempt after the first, by its kind."""
        self.metrics.resumptions.labels(way).inc()

    def note_group_down(self, group, reason):
        """Take a group out of service here and at all peers."""
        now = self.clock.monotonic()
        if not self.groups.mark_down(
            group.name, group.generation, reason, now
        ):
            return
        self.log.warning('group_down', group=group.name, reason=reason)
        if self.links is not None:
            self.links.broadcast(
                peers.GroupDown(group.name, group.generation, reason)
            )

    def note_outcome(self, customer, code, request_id):
        """Count and log the end of a request."""
        label = self.metrics.customer(customer) if customer else ''
        self.metrics.outcomes.labels(label, code).inc()
        self.log.info(
            'request_done',
            request_id=request_id,
            customer=customer,
            code=code,
        )

    def check_ready(self):
        """Why the balancer should not send requests here; empty if it may."""
        if self.draining:
            return 'draining'
        if not self._keys:
            return 'no contracts known yet'
        return ''

    def make_status(self):
        """What ``/status`` says, as plain values."""
        return _node_status.make_status(self, self.clock.monotonic())
