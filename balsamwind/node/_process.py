"""Start, background tasks and shutdown of a node."""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import random
import signal

import structlog

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import lifecycle
from balsamwind.node import _attempt_client
from balsamwind.node import _attempt_frames
from balsamwind.node import _attempt_server
from balsamwind.node import _configuration_updater
from balsamwind.node import _configuration_watcher
from balsamwind.node import _drain
from balsamwind.node import _entry_contact
from balsamwind.node import _evacuation_watcher
from balsamwind.node import _evidence_exchange
from balsamwind.node import _evidence_records
from balsamwind.node import _leader
from balsamwind.node import _leaving_servers
from balsamwind.node import _limit_exchange
from balsamwind.node import _limit_shares
from balsamwind.node import _malformed_entries
from balsamwind.node import _node_discovery
from balsamwind.node import _node_records
from balsamwind.node import _placement_client
from balsamwind.node import _publisher_link
from balsamwind.node import _ranking
from balsamwind.node import _reach_witness
from balsamwind.node import _request_log
from balsamwind.node import _restored_store
from balsamwind.node import _server_watcher
from balsamwind.node import _state
from balsamwind.node import _unknown_messages
from balsamwind.node import _update_publisher
from balsamwind.node import _update_subscriber
from balsamwind import pool
from balsamwind import relay
from balsamwind import servers
from balsamwind import settings as settings_package
from balsamwind import supervision
from balsamwind import traffic

REVOCATION_MARGIN = 0.4
"""Time before the configured bound at which keys of an unproved configuration
are no longer accepted (seconds)."""

CONFIGURATION_READ_TIME = 0.7
"""Time in which a node reads the configuration and puts it in force
(seconds)."""

MIN_RELIANCE_TIME = 0.6
"""Shortest age of a proof up to which a node relies on its publisher
(seconds)."""

RELOAD_INTERVAL = 3.0
"""Time between two reads of the settings without a signal (seconds)."""

STATE_LOG_INTERVAL = 15.0
"""Time between two log lines about the state of the node (seconds)."""

GRACE_TIMER_MARGIN = 0.01
"""Time by which the timer of the relisting grace may fire early (seconds)."""


async def run_node(settings, make_platform_client, load_settings):
    """Run a node until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    make_platform_client : callable
        Makes the client of the platform from the settings and an HTTP client.
    load_settings : callable
        Reads the settings again.
    """
    stop_event = lifecycle.make_stop_event()
    reload_event = lifecycle.watch_signals(signal.SIGHUP)
    async with open_node(settings, make_platform_client) as process:
        reload_task = process.supervisor.keep_running(
            'settings',
            functools.partial(
                _reload_settings, process, load_settings, reload_event
            ),
        )
        await stop_event.wait()
        reload_task.cancel()
        await process.drain()


async def _reload_settings(process, load_settings, reload_event):
    """Read the settings again at SIGHUP, and regularly without it."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reload_event.wait(), RELOAD_INTERVAL)
        signalled = reload_event.is_set()
        reload_event.clear()
        process.reload(load_settings, signalled)


def open_node(settings, make_platform_client):
    """Run a node until the block ends.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    make_platform_client : callable
        Makes the client of the platform from the settings and an HTTP client.

    Returns
    -------
    asynchronous context manager
        Yields the `Process`.
    """
    return lifecycle.open_process(Process(settings, make_platform_client))


class Process:
    """Components and background tasks of one node.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    make_platform_client : callable
        Makes the client of the platform from the settings and an HTTP client.

    Attributes
    ----------
    supervisor : balsamwind.supervision.TaskSupervisor
        Keeps the background tasks running.
    """

    def __init__(self, settings, make_platform_client):
        self._settings = settings
        self._log = structlog.get_logger().bind(node=settings.name)
        self._clock = adapters.BootClock()
        self._backend_client = adapters.HttpClient()
        self._control_client = adapters.HttpClient()
        platform = self.platform = make_platform_client(
            settings, self._control_client
        )
        self.configuration_cache = traffic.ConfigurationCache(
            _find_max_proof_age(settings.bounds)
        )
        self.registry = pool.ServerRegistry()
        self._request_log = _request_log.RequestLog(self._log, self._clock)
        self._backend_client.on_dropped_response = (
            self._request_log.record_dropped_response
        )
        for client in (self._backend_client, self._control_client):
            client.on_malformed_answer = (
                self._request_log.record_malformed_answer
            )
        self._unknown_messages = _unknown_messages.UnknownMessages(
            self._log, self._request_log.metrics_registry
        )
        platform.store.on_malformed = _malformed_entries.MalformedEntries(
            self._log, self._request_log.metrics_registry
        ).record
        backends = relay.BackendTable(
            self.registry, pool.GroupIndex, self._clock.monotonic
        )
        backends.on_ramp_end = self._request_log.record_ramp_end
        self.relay = relay.Relay(
            settings.data_centre,
            settings.bounds,
            self.configuration_cache,
            backends,
            self._backend_client,
            platform.header_codec,
            self._clock,
            self._request_log,
        )
        if not settings.first_start:
            self.relay.predecessor_until = self._clock.monotonic()
        self.relay.homes = traffic.Homes(settings.regions)
        self._evacuations = servers.Evacuations(settings.bounds.evacuation)
        self.relay.server_statements.rules.append(self._evacuations)
        self.relay.is_starting = self._is_starting
        self.registry.add_listener(
            lambda previous, record: self._end_start_wait()
        )
        link = _publisher_link.PublisherLink()
        self.relay.placement = _placement_client.PlacementClient(
            link, self._clock, self._log
        )
        self._set_up_peers()
        if settings.held_bytes is not None:
            self.relay.held_bytes.capacity = settings.held_bytes
        self._caller_server = adapters.RelayServer(
            self.relay,
            self._clock,
            traffic.RequestLimits(),
            self._log,
            self.relay.held_bytes,
        )
        self._caller_server.on_unread_request = (
            self._request_log.record_unread_request
        )
        if settings.max_connections is not None:
            self._caller_server.max_connections = settings.max_connections
        self._readiness_server = adapters.make_readiness_server(
            platform.readiness_path, self.is_ready
        )
        self._metrics_server = adapters.make_metrics_server(
            self._request_log.metrics_registry
        )
        self._publisher = _update_publisher.UpdatePublisher(
            self.registry,
            self.configuration_cache,
            self._clock,
            self._log,
            self.relay.open_placement_session,
        )
        self._publisher.server.handlers[_attempt_frames.PATH] = (
            self._attempt_server.handle
        )
        updater = _configuration_updater.ConfigurationUpdater(
            self.configuration_cache,
            self._publisher,
            self._log,
            self._apply_configuration,
        )
        contact = _entry_contact.EntryContact(self.registry, self._clock)
        contact.on_grace = self._end_grace_later
        self.subscriber = _update_subscriber.UpdateSubscriber(
            settings.name,
            self.registry,
            updater,
            self._clock,
            self._log,
            self._publisher.forward,
            _find_reliance_time(settings.bounds),
            settings.bounds.drain_time,
            link,
            self.relay.placement,
            settings.first_start,
            contact,
        )
        self.subscriber.forward_notice = self._publisher.broadcast
        self.relay.placement.convert_time = self.subscriber.convert_time
        self._evidence = _evidence_exchange.EvidenceExchange(
            settings.data_centre,
            self.relay.crash_quarantine,
            _evidence_records.EvidenceRecords(platform.store, self._log),
            self._publisher,
            link,
            self.subscriber.has_fresh_servers,
            self._clock,
            self._log,
        )
        leaving_servers = _leaving_servers.LeavingServers(
            self.registry, self._publisher, link, self._log
        )
        self._publisher.leaving_servers = leaving_servers
        self.subscriber.leaving_servers = leaving_servers
        self.relay.server_statements.on_leaving = leaving_servers.report
        platform.on_server_leaving = leaving_servers.report
        self._limit_shares = _limit_shares.LimitShares(
            settings.name,
            settings.data_centre,
            lambda: link.is_open and self.subscriber.has_fresh_servers(),
            lambda: self._publisher.relying_subscriber_count,
            self._clock,
        )
        limits = self.relay.server_statements.limits
        limits.find_share = self._limit_shares.find_share
        self._set_up_cold_limits(limits.cold)
        limit_exchange = _limit_exchange.LimitExchange(
            limits, self._publisher, link, self._clock, self._log
        )
        self.relay.server_statements.on_limit = limit_exchange.share
        self._publisher.limit_exchange = limit_exchange
        self.subscriber.limit_exchange = limit_exchange
        self._publisher.unknown_messages = self._unknown_messages
        self.subscriber.unknown_messages = self._unknown_messages
        self._publisher.evidence = self._evidence
        self.subscriber.evidence = self._evidence
        self.relay.crash_reporter.on_evidence = self._evidence.share
        self._evidence.on_known = self._end_start_wait
        self._configuration_watcher = (
            _configuration_watcher.ConfigurationWatcher(
                platform, updater, self._clock, self._log, self.subscriber
            )
        )
        self._server_watcher = _server_watcher.ServerWatcher(
            platform,
            self.registry,
            self._clock,
            self._log,
            self._is_leader,
            self._awaits_changes,
            self.subscriber,
            self._publisher,
            contact,
        )
        self._evacuation_watcher = _evacuation_watcher.EvacuationWatcher(
            platform,
            self._evacuations,
            settings.data_centres,
            self._clock,
            self._log,
            self.subscriber,
            self._publisher,
        )
        self._evacuation_watcher.on_return = self._record_return
        self._publisher.evacuations = self._evacuation_watcher
        self.subscriber.evacuations = self._evacuation_watcher
        self._node_discovery = _node_discovery.NodeDiscovery(
            settings,
            _node_records.NodeRecords(platform.store),
            self._log,
            self._update_nodes,
        )
        self._node_discovery.on_join = self._limit_shares.record_join
        self._leaders = [
            _leader.ShardLeader(
                data_centre,
                settings,
                platform,
                self.configuration_cache,
                self.registry,
                self.relay,
                self._clock,
                self._log,
                self._publisher.publish_news,
            )
            for data_centre in settings.data_centres
        ]
        for leader in self._leaders:
            leader.evacuations = self._evacuations
            leader.heads.heard_of_entries_for = contact.find_time_heard
        self._restored_store = _restored_store.RestoredStoreHandler(
            settings.bounds,
            self.registry,
            updater,
            [leader.lease for leader in self._leaders],
            [self._node_discovery, self._evidence],
            self._clock,
            self._log,
        )
        self._restored_store.on_restored = (
            self._evacuation_watcher.handle_restored_store
        )
        platform.store.eras.on_change = self._restored_store.handle_era
        self._state = _state.NodeStateCollector(
            self.configuration_cache,
            self.registry,
            self._leaders,
            platform,
            self.relay,
            self._clock,
            self._evacuations,
            settings.data_centres,
        )
        self._request_log.metrics_registry.register(self._state)
        self._draining = False
        self.supervisor = supervision.TaskSupervisor(
            self._log, self._request_log.metrics_registry
        )
        self._leader_tasks = []

    def _end_grace_later(self, seconds):
        """Stop using servers that the store lacks, after some time."""
        asyncio.get_running_loop().call_later(
            seconds + GRACE_TIMER_MARGIN,
            lambda: self.registry.evict_expired(self._clock.monotonic()),
        )

    def _record_return(self, data_centre):
        """Treat the servers of a data centre as cold after its evacuation."""
        self.relay.server_statements.limits.cold.servers.record_return(
            data_centre, self._clock.monotonic()
        )

    def _set_up_cold_limits(self, cold):
        """Let the limits of cold servers know of entries and of nodes."""
        cold.set_bounds(self._settings.bounds)
        cold.find_role = self._limit_shares.find_cold_role
        cold.spends_all = self._limit_shares.spends_all
        cold.find_update_time = lambda: self._publisher.last_publish_at
        cold.servers.on_cold = self._request_log.record_cold_server
        self.registry.add_listener(
            lambda previous, record: cold.servers.handle_change(
                previous, record, self._clock.monotonic()
            )
        )

    def _set_up_peers(self):
        """Let other nodes carry attempts for this one, and the reverse."""
        self._path_prober = relay.PathProber(
            self.relay.paths,
            self._find_usable_servers,
            self._backend_client,
            self._clock,
            self._log,
        )
        self.relay.paths.on_doubt = self._path_prober.start
        self.relay.settle_path = self._path_prober.settle
        self._attempt_client = _attempt_client.AttemptClient(
            self._unknown_messages,
            self._settings.news.rpartition(':')[0],
        )
        self._peer_selector = relay.PeerSelector(
            self._settings.data_centre, random.Random()
        )
        self.relay.peers = relay.PeerService(
            self._peer_selector, self._attempt_client, self._clock
        )
        self._attempt_carrier = relay.AttemptCarrier(
            self.relay, self._settings.cores
        )
        self._attempt_server = _attempt_server.AttemptServer(
            self._attempt_carrier,
            self._make_witness(),
            self._unknown_messages,
            self._log,
        )

    def _make_witness(self):
        witness = _reach_witness.ReachWitness(
            self.registry, self.relay, self.platform.fetch_engine_report
        )
        witness.on_silent = self._record_silent_engine
        return witness

    def _record_silent_engine(self, record):
        for leader in self._leaders:
            if leader.lease.shard == record.data_centre:
                leader.heads.record_question(record.server_id)

    def _find_usable_servers(self, service):
        return [
            record
            for record in self.registry.get_by_service(service)
            if record.usable
        ]

    def _update_nodes(self, nodes):
        """Apply a changed list of nodes.

        The retry budgets are split over all nodes. The rank of this node
        determines whom it subscribes to and how often it reads the leases, so
        that few nodes load the store.
        """
        all_nodes = list(itertools.chain.from_iterable(nodes.values()))
        self.relay.set_node_count(len(all_nodes))
        self.relay.crash_quarantine.node_order.set_nodes(
            self._settings.name, (node.name for node in all_nodes)
        )
        self._limit_shares.set_nodes(nodes)
        self._attempt_server.set_nodes(all_nodes)
        self._peer_selector.set_peers(
            relay.Peer(node.address, data_centre)
            for data_centre, registered in nodes.items()
            for node in registered
            if node.name != self._settings.name
        )
        ranked = _ranking.rank_nodes(nodes.get(self._settings.data_centre, ()))
        self.subscriber.set_nodes(ranked)
        rank = _ranking.find_rank(ranked, self._settings.name)
        for leader in self._leaders:
            candidates = nodes.get(leader.lease.shard, ())
            leader.lease.set_rank(
                len(ranked) if rank is None else rank, len(candidates)
            )

    def _is_leader(self):
        return any(leader.lease.held for leader in self._leaders)

    def _awaits_changes(self):
        return any(leader.awaits_changes for leader in self._leaders)

    def is_ready(self):
        """Whether this node accepts new connections."""
        now = self._clock.monotonic()
        return (
            not self._draining
            and self.configuration_cache.is_current(now)
            and self._evacuations.is_current(now)
        )

    def _apply_configuration(self):
        """Apply what is not looked up for each request."""
        configuration = self.configuration_cache.configuration
        self._caller_server.set_limits(configuration.limits)
        self.relay.homes.clear()
        for route, account in self.relay.homes.find_without_home(
            configuration
        ):
            self._log.warning('no_home', route=route, account=account)
        self.relay.server_statements.limits.cold.set_services(
            configuration.services, self.registry, self._clock.monotonic()
        )
        self._end_start_wait()

    def _is_starting(self):
        """Whether this node knows too little to serve a request."""
        return self._lacks_servers() or not self._evidence.is_known

    def _lacks_servers(self):
        return self.configuration_cache.configuration is None or not any(
            True for _ in self.registry
        )

    def _end_start_wait(self):
        wait = self.relay.start_wait
        if wait.is_over or self._lacks_servers():
            return
        if self._evidence.is_known:
            wait.end()
        else:
            wait.await_evidence()

    def reload(self, load_settings, signalled):
        """Read the settings again, and apply the bounds if they have changed.

        The settings in force are kept if the new ones are invalid.

        Parameters
        ----------
        load_settings : callable
            Reads the settings.
        signalled : bool
            Whether a signal asked for it.
        """
        try:
            settings = load_settings()
        except exceptions.InvalidInput as error:
            self._log.warning('settings_refused', findings=str(error))
            return
        changed = settings != self._settings
        if signalled or changed:
            self._log.info(
                'settings_read', signalled=signalled, changed=changed
            )
        if not changed:
            return
        if dataclasses.replace(
            settings, bounds=self._settings.bounds
        ) != dataclasses.replace(
            self._settings, first_start=settings.first_start
        ):
            self._log.warning('settings_need_restart')
        self._settings = dataclasses.replace(
            self._settings,
            bounds=settings.bounds,
            first_start=settings.first_start,
        )
        self.relay.set_bounds(settings.bounds)
        self._evacuations.bound = settings.bounds.evacuation
        self.relay.server_statements.limits.cold.set_bounds(settings.bounds)
        self.configuration_cache.max_proof_age = _find_max_proof_age(
            settings.bounds
        )
        self.subscriber.max_proof_age = _find_reliance_time(settings.bounds)
        self.subscriber.drain_time = settings.bounds.drain_time
        self._restored_store.bounds = settings.bounds
        for leader in self._leaders:
            leader.settings = self._settings

    async def start(self, stack):
        """Listen, and start the background tasks.

        Parameters
        ----------
        stack : contextlib.AsyncExitStack
            Closes the listeners when the process ends.

        Raises
        ------
        balsamwind.exceptions.InvalidInput
            Some addresses are not free; the error lists all of them.
        """
        findings = []
        for name, listen in (
            ('callers', self._caller_server.listen),
            ('readiness', _make_listener(self._readiness_server)),
            ('metrics', _make_listener(self._metrics_server)),
        ):
            address = getattr(self._settings, name)
            try:
                listen(address)
            except OSError as error:
                findings.append(_make_finding(name, self._settings, error))
        try:
            listener = self._publisher.server.listen(self._settings.news)
            await stack.enter_async_context(listener)
        except OSError as error:
            findings.append(_make_finding('news', self._settings, error))
        settings_package.raise_findings(findings)
        stack.enter_context(self.supervisor.watch_others())
        for name, run in (
            ('configuration', self._configuration_watcher.run),
            ('servers', self._server_watcher.run),
            ('evacuations', self._evacuation_watcher.run),
            ('nodes', self._node_discovery.run),
            ('subscriber', self.subscriber.run),
            ('evidence', self._evidence.run),
            ('state log', self._log_state),
        ):
            self.supervisor.keep_running(name, run)
        for leader in self._leaders:
            self._leader_tasks.append(
                self.supervisor.keep_running('leader', leader.run)
            )
        self._log.info(
            'started',
            data_centre=self._settings.data_centre,
            first_start=self._settings.first_start,
        )

    async def _log_state(self):
        """Log the state of the node regularly."""
        while True:
            await asyncio.sleep(STATE_LOG_INTERVAL)
            self._log.info('node_state', **self._state.make_log_fields())

    async def drain(self):
        """Hand over what others need, and wait for the open requests."""
        self._draining = True
        for task in self._leader_tasks:
            task.cancel()
        await _drain.Drain(
            self._settings.bounds.grace,
            self.relay,
            self._attempt_carrier,
            self._caller_server,
            [leader.lease for leader in self._leaders],
            lambda: self._evidence.has_unwritten,
            self._clock,
            self._log,
        ).run()

    async def stop(self):
        """Stop the background tasks and close all connections."""
        await self.supervisor.close()
        self.relay.crash_reporter.close()
        self._path_prober.close()
        self._attempt_client.close()
        self._caller_server.stop()
        await self._caller_server.close()
        self._backend_client.close()
        self._control_client.close()
        self._log.info('stopped')


def _make_finding(name, settings, error):
    return settings_package.Finding(
        'settings', f'/{name}', getattr(settings, name), f'free ({error})'
    )


def _find_max_proof_age(bounds):
    """Return how long a proof of the configuration is valid.

    Returns
    -------
    float or None
        Time (seconds); None if it does not expire.
    """
    if bounds.key_revocation is None:
        return None
    return bounds.key_revocation - REVOCATION_MARGIN


def _find_reliance_time(bounds):
    """Return how old a proof may be before a node reads the store itself.

    A version must be in force within a bound after it was acknowledged, and
    the read takes a part of that time.

    Returns
    -------
    float
        Time (seconds).
    """
    limits = [bounds.configuration_apply, _find_max_proof_age(bounds)]
    shortest = min(limit for limit in limits if limit is not None)
    return max(shortest - CONFIGURATION_READ_TIME, MIN_RELIANCE_TIME)


def _make_listener(server):
    def listen(address):
        host, port = address.rsplit(':', 1)
        server.listen(int(port), host)

    return listen
