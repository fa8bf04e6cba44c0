"""State of one entry, shared by its servers and background loops."""

import contextlib
import dataclasses
import random

from balsamwind import admission
from balsamwind import catalogue
from balsamwind import control
from balsamwind.entry import _concurrency_limiter
from balsamwind.entry import _node_status
from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import peers
from balsamwind import requests
from balsamwind import routing


class Entry:
    """State of one entry and the request path that uses it.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    clock : balsamwind.ports.Clock
        Source of monotonic and wall-clock time (seconds).
    engine : balsamwind.ports.Engine
        Client of the model engines.
    service : balsamwind.ports.PlainService
        Client of the backend servers of plain services.
    store : balsamwind.ports.ObjectStore
        Client of the platform's object API; holds the call records.
    metrics : balsamwind.adapters.Metrics
        Histograms and counters that the entry updates.
    log : structlog.BoundLogger
        Logger, bound to the name of the node.
    random_state : int or None
        Seed of ids and of random choices; None for a random seed.

    Attributes
    ----------
    catalogue : balsamwind.catalogue.ObjectCache
        Newest known versions of the platform's objects.
    observations : balsamwind.membership.Observations
        Newest known views of all VMs.
    groups : balsamwind.membership.GroupTable
        Replica groups that may serve.
    registry : balsamwind.peers.PeerRegistry
        Peers and the times of their last heartbeats.
    limits : balsamwind.admission.ContractLimiter
        Admits requests within this entry's share of the contracts' limits.
    draining : bool
        Whether the entry is shutting down and refuses new requests.
    links : balsamwind.ports.PeerLinks or None
        Links to the peers; set after construction.
    controller : balsamwind.control.Controller or None
        Holds the leases of this node; set after construction.
    make_counters : callable
        Returns a dict of counter -> total since the start, for metrics and
        status; set after construction.
    make_gauges : callable
        Returns a dict of gauge -> present value, for metrics and status;
        set after construction.
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
        self.catalogue = catalogue.ObjectCache()
        self.observations = membership.Observations(
            stale_after, lambda vm: self.groups.find_data_centre(vm)
        )
        self.groups = membership.GroupTable(self.catalogue, self.observations)
        self.registry = peers.PeerRegistry(
            settings.node.name, settings.node.data_centre, stale_after
        )
        self.limits = admission.ContractLimiter(
            settings.node.name,
            [peer.name for peer in settings.peers],
            clock.monotonic(),
        )
        self.concurrency_limiter = (
            _concurrency_limiter.make_concurrency_limiter(
                settings.requests, clock
            )
        )
        self.draining = False
        self.links = None
        self.controller = None
        self.make_counters = dict
        self.make_gauges = dict
        self._open_requests = 0
        self._rng = random.Random(random_state)
        self._contract_names_by_key_hash = {}
        self._services = {s.name: s for s in settings.services}
        self._service_retry_budgets = admission.ServiceRetryBudgets(
            settings.requests.retry_share
        )
        self.router = routing.make_router(
            settings.node.data_centre,
            self._get_load_report,
            self._rng.getrandbits(64),
        )
        self.router.on_ejection = self.record_ejections
        self._completions = requests.CompletionRunner(
            engine,
            self.groups,
            self.router,
            admission.RetryBudget(settings.requests.retry_share),
            settings.requests,
            clock,
            self,
        )
        self.service_calls = requests.ServiceCallRunner(
            service,
            store,
            self._service_retry_budgets,
            settings.node,
            clock,
            self.make_id,
            self._rng,
            self.count_retry,
        )
        self.catalogue.add_listener(self._on_object_change)

    @property
    def open_requests(self):
        """Requests and recorded calls that have not finished (count)."""
        return self._open_requests + self.service_calls.pending

    def make_id(self):
        """Generate a random id of 24 hexadecimal digits."""
        return f'{self._rng.getrandbits(96):024x}'

    def is_platform_reader(self):
        """Whether this node reads the platform for its data centre."""
        data_centre = self.settings.node.data_centre
        now = self.clock.monotonic()
        reader = self.registry.choose_platform_reader(data_centre, now)
        return reader == self.settings.node.name

    def is_store_restored(self):
        """Whether the store may have been restored from an older state.

        This node has seen it itself, or a live peer has reported it.
        """
        live_peers = self.registry.list_alive(self.clock.monotonic())
        return self.catalogue.possibly_restored or any(
            peer.store_diverged for peer in live_peers
        )

    def make_view(self):
        """Build the input of a control round from the current state.

        Returns
        -------
        balsamwind.control.View
        """
        return control.View(
            self.catalogue,
            self.observations,
            self.groups.listed_vms,
            self.settings,
            self.clock.monotonic(),
            self.clock.time(),
            self._rng,
            self._sum_nonserving_group_requests(),
        )

    def count_nonserving_group_requests(self):
        """Count this entry's open requests on groups that may not serve.

        Returns
        -------
        dict of str to int
            Group -> open requests (count), without groups that have none.
        """
        self.groups.find_serving_groups('', '', self.clock.monotonic())
        load_estimator = self.router.load_estimator
        counts = {
            group: load_estimator.get_in_flight(group)
            for group, reason in self.groups.unavailable_reasons.items()
            if reason
        }
        return {group: count for group, count in counts.items() if count}

    def has_store_reader(self, data_centre):
        """Whether a live peer in `data_centre` reads the store itself.

        Peers that are draining do not count.
        """
        return any(
            peer.data_centre == data_centre
            and peer.reads_store
            and not peer.draining
            for peer in self.registry.list_alive(self.clock.monotonic())
        )

    def _sum_nonserving_group_requests(self):
        """Sum the open requests on such groups over all live entries."""
        total = self.count_nonserving_group_requests()
        for peer in self.registry.list_alive(self.clock.monotonic()):
            for group, count in peer.group_in_flight.items():
                total[group] = total.get(group, 0) + count
        return total

    def _on_object_change(self, stored):
        self.groups.invalidate()
        if stored.kind == 'group' and stored.value is None:
            self.router.remove_group(stored.name)
        if stored.kind == 'contract':
            self._contract_names_by_key_hash = {
                key_hash: contract.name
                for contract in self.catalogue.list_objects('contract')
                for key_hash in contract.value.api_key_hashes
            }

    @contextlib.contextmanager
    def track_request(self):
        """Count a request as open until the block ends.

        Raises
        ------
        balsamwind.exceptions.Draining
            The entry is shutting down and accepts no new requests.
        """
        if self.draining:
            raise exceptions.Draining(
                'this entry is shutting down and accepts no new requests', 1.0
            )
        self._open_requests += 1
        try:
            yield
        finally:
            self._open_requests -= 1

    def find_contract(self, api_key):
        """Find the contract in force that an API key belongs to.

        Parameters
        ----------
        api_key : str
            Key that the caller sent, in clear text.

        Returns
        -------
        balsamwind.objects.Contract

        Raises
        ------
        balsamwind.exceptions.InvalidApiKey
            No known contract has the key.
        balsamwind.exceptions.ContractNotInForce
            The contract is not in force at present.
        """
        name = self._contract_names_by_key_hash.get(
            objects.make_key_hash(api_key)
        )
        contract = self.catalogue.get_value('contract', name) if name else None
        if contract is None:
            raise exceptions.InvalidApiKey(
                'no known contract has this API key'
            )
        if not contract.in_force(self.clock.time()):
            raise exceptions.ContractNotInForce(
                f'contract {name} is not in force: valid from'
                f' {contract.starts_at} until {contract.ends_at}'
            )
        return contract

    def find_service(self, contract, name):
        """Find the settings of a service that a contract may use.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        name : str
            Service that the caller asked for.

        Returns
        -------
        balsamwind.settings.ServiceSettings

        Raises
        ------
        balsamwind.exceptions.UnknownService
            The contract does not include the service, or the settings of
            this entry do not define it.
        """
        service = self._services.get(name)
        if service is None or name not in contract.services:
            raise exceptions.UnknownService(
                f'unknown service: got {name!r}, allowed by the contract:'
                f' {", ".join(contract.services)}'
            )
        return service

    async def complete(self, request):
        """Run a completion within the limits of its contract.

        Parameters
        ----------
        request : balsamwind.requests.CompletionRequest
            Request to run.

        Yields
        ------
        list of str
            Batch of tokens; every token is yielded once and in order.
        """
        clock = self.clock.monotonic
        started_at = clock()
        completion_metrics = self.metrics.get_completion_metrics(
            request.contract, request.model
        )
        previous_batch_at = None
        async with self._admit(request.contract, request.deadline):
            completion = self._completions.run(request)
            async with contextlib.aclosing(completion) as batches:
                async for batch in batches:
                    now = clock()
                    if previous_batch_at is None:
                        completion_metrics.first_token.observe(
                            now - started_at
                        )
                    else:
                        completion_metrics.token_gap.observe(
                            now - previous_batch_at
                        )
                    completion_metrics.tokens.inc(len(batch))
                    self.limits.charge_tokens(
                        request.contract, len(batch), now
                    )
                    previous_batch_at = now
                    yield batch
        completion_metrics.answer.observe(clock() - started_at)

    async def call_service(self, contract, service, call, deadline):
        """Run a service call within the limits of its contract.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        service : balsamwind.settings.ServiceSettings
            Service to call.
        call : balsamwind.ports.ServiceCall
            Request to send to the service.
        deadline : float
            Monotonic time at which the caller gives up (seconds).

        Returns
        -------
        balsamwind.objects.Answer
        """
        started_at = self.clock.monotonic()
        labels = (*self.metrics.get_customer_labels(contract), service.name)
        async with self._admit(contract, deadline):
            answer = await self.service_calls.run(
                contract, service, call, deadline
            )
        self.metrics.service_seconds.labels(*labels).observe(
            self.clock.monotonic() - started_at
        )
        return answer

    @contextlib.asynccontextmanager
    async def _admit(self, contract, deadline):
        """Hold a place within the contract's limits and a slot here."""
        now = self.clock.monotonic()
        self.router.load_estimator.node_count = 1 + len(
            self.registry.list_alive(now)
        )
        labels = self.metrics.get_customer_labels(contract)
        with self.limits.admit(contract, now):
            async with self.concurrency_limiter.acquire_slot(
                contract.customer, contract.priority, deadline
            ) as queue_time:
                self.metrics.queue_seconds.labels(*labels).observe(queue_time)
                yield

    def update_limit_shares(self):
        """Recompute this entry's share of the limits of all contracts.

        Called before each heartbeat; the shares apply until the next one.
        """
        now = self.clock.time()
        limits = {
            stored.name: stored.value.limits
            for stored in self.catalogue.list_objects('contract')
            if stored.value.in_force(now)
        }
        self.limits.update_shares(limits, self.clock.monotonic())

    def _get_load_report(self, group):
        view = self.observations.get(group.head.vm)
        return None if view is None else view.report

    def apply_cache_events(self, report):
        """Pass the cache events of a report to the router.

        Parameters
        ----------
        report : balsamwind.ports.EngineReport or None
            Report of an engine.

        Returns
        -------
        balsamwind.ports.EngineReport or None
            The report without its cache events, which are not sent to peers.
        """
        if report is None or not report.cache_events:
            return report
        self.router.prefix_index.apply_events(
            report.group, report.generation, report.cache_events
        )
        return dataclasses.replace(report, cache_events=())

    def count_retry(self, service):
        """Count a retry of a service call.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        self.metrics.retries.labels(service).inc()

    def record_ejections(self, groups):
        """Count and log the groups that were ejected as outliers.

        Parameters
        ----------
        groups : list of str
            Names of the groups.
        """
        self.metrics.ejections.inc(len(groups))
        self.log.warning('groups_ejected', groups=groups)

    def count_late_events(self, count):
        """Count events of abandoned attempts.

        Parameters
        ----------
        count : int
            Events that arrived after their attempt was abandoned (count).
        """
        self.metrics.late_events.inc(count)

    def count_resumption(self, step_name):
        """Count an attempt after the first, by the kind of its step.

        Parameters
        ----------
        step_name : str
            Class name of the step that started the attempt.
        """
        self.metrics.resumptions.labels(step_name).inc()

    def handle_group_down(self, group, reason):
        """Take a group out of service here and notify all peers.

        A group that is already marked down in the same generation is
        neither logged nor broadcast again.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group that failed a request.
        reason : str
            Error of the failed attempt.
        """
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

    def record_outcome(self, customer, code, request_id):
        """Count and log the end of a request.

        Parameters
        ----------
        customer : str
            Customer of the contract; empty if the caller was not
            authenticated.
        code : str
            ``ok``, ``caller_gone`` or the code of the error.
        request_id : str
            Id of the request.
        """
        label = self.metrics.get_customer_label(customer) if customer else ''
        self.metrics.outcomes.labels(label, code).inc()
        self.log.info(
            'request_done',
            request_id=request_id,
            customer=customer,
            code=code,
        )

    def find_unready_reason(self):
        """Find why the load balancer should not send requests here.

        Returns
        -------
        str
            Reason; empty if the entry is ready.
        """
        if self.draining:
            return 'draining'
        if not self._contract_names_by_key_hash:
            return 'no contract with an API key is known yet'
        return ''

    def make_status(self):
        """Build the body of ``/status`` as plain values; a dict."""
        return _node_status.make_status(self, self.clock.monotonic())
