"""Start, background loops and shutdown of an entry process."""

import asyncio
import functools
import random

import structlog

from balsamwind import adapters
from balsamwind import control
from balsamwind.entry import _entry
from balsamwind.entry import _observer
from balsamwind.entry import _peering
from balsamwind.entry import _platform_sync
from balsamwind.entry import _registration
from balsamwind.entry import _sweeper
from balsamwind import exceptions
from balsamwind import lifecycle
from balsamwind import objects
from balsamwind import peers
from balsamwind import settings as settings_package
from balsamwind import supervision

DRAIN_NOTICE_TIME = 0.5
"""Time between reporting that this entry drains and closing its port for
callers, so that the load balancer and the peers can react (seconds)."""


def open_entry(settings, random_state=None):
    """Run an entry until the block ends.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    random_state : int or None
        Seed of ids, jitter and random choices; None for a random seed.

    Returns
    -------
    asynchronous context manager
        Yields the running `_EntryProcess`.
    """
    return lifecycle.open_process(_EntryProcess(settings, random_state))


async def run_entry(settings, random_state=None):
    """Run an entry until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    random_state : int or None
        Seed of ids, jitter and random choices; None for a random seed.
    """
    stop_requested = lifecycle.make_stop_event()
    async with open_entry(settings, random_state) as process:
        await stop_requested.wait()
        await process.drain()


class _EntryProcess:
    """Adapters, servers and background loops of one entry.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    random_state : int or None
        Seed of ids, jitter and random choices; None for a random seed.
    """

    def __init__(self, settings, random_state):
        self._settings = settings
        self._rng = random.Random(random_state)
        self._log = structlog.get_logger().bind(node=settings.node.name)
        self._clock = adapters.SystemClock()
        self._tls = adapters.make_tls_contexts(settings.tls)
        user_agent = f'balsamwind {settings.node.name}'
        self._backend_client = adapters.HttpClient(
            self._tls.backends, user_agent
        )
        self._platform_client = adapters.HttpClient(
            self._tls.platform, user_agent
        )
        platform = settings.platform
        self._store = adapters.HttpObjectStore(
            self._platform_client,
            platform.url,
            platform.timeout,
            platform.watch_timeout,
        )
        self._vm_list_client = adapters.HttpVmList(
            self._platform_client, platform.url, platform.timeout
        )
        self._weight_store = adapters.HttpWeightStore(
            self._platform_client, platform.url, platform.timeout
        )
        self._engine = adapters.HttpEngine(
            self._backend_client,
            'https' if settings.tls.engines_use_tls else 'http',
        )
        self.entry = _entry.Entry(
            settings,
            self._clock,
            self._engine,
            adapters.HttpPlainService(self._backend_client),
            self._store,
            adapters.Metrics(),
            self._log,
            self._rng.getrandbits(64),
        )
        self._observer = _observer.Observer(
            self.entry, self._engine, self._rng
        )
        self._store_watcher = _platform_sync.StoreWatcher(
            self.entry, self._store, self._rng
        )
        self._vm_list_poller = _platform_sync.VmListPoller(
            self.entry, self._vm_list_client, self._rng
        )
        self._peering = _peering.Peering(
            self.entry,
            self._observer,
            self._store_watcher,
            self._vm_list_poller,
        )
        self._incarnation = self.entry.make_id()
        hello = peers.Hello(
            settings.node.name, settings.node.data_centre, self._incarnation
        )
        self.entry.links = adapters.PeerLinks(
            hello,
            self._peering,
            self._log,
            self._tls.peers_server,
            self._tls.peers_client,
            silence_timeout=settings.observation.stale_after,
            random_state=self._rng.getrandbits(64),
        )
        self._registrar = _registration.Registrar(
            self.entry, self._store, self._make_node_object(), self._rng
        )
        self._executor = control.Executor(
            self._store,
            self._engine,
            self._weight_store,
            self.entry.catalogue,
            self._clock,
            settings.control,
            self._log,
        )
        self.entry.controller = control.Controller(
            self.entry.make_view,
            self._executor,
            settings,
            self._rng,
            self.entry.has_store_reader,
        )
        self._call_record_sweeper = _sweeper.CallRecordSweeper(self.entry)
        self.entry.make_counters = self._make_counters
        self.entry.make_gauges = self._make_gauges
        self.entry.metrics.registry.register(
            adapters.ControlCollector(self._make_counters, self._make_gauges)
        )
        self._caller_server = adapters.make_caller_server(
            self.entry, self._tls.callers
        )
        self._operator_server = adapters.make_operator_server(self.entry)
        self._supervisor = supervision.TaskSupervisor(
            self._log, self.entry.metrics.registry
        )

    def _make_node_object(self):
        settings = self._settings
        return objects.Node(
            settings.node.name,
            settings.node.data_centre,
            settings.listen.advertised_peers or settings.listen.peers,
            self._incarnation,
        )

    def _make_counters(self):
        links = self.entry.links
        store, vm_list_client = self._store, self._vm_list_client
        return {
            'peer_bytes_sent': links.bytes_sent,
            'peer_bytes_received': links.bytes_received,
            'peer_messages_sent': links.messages_sent,
            'peer_messages_received': links.messages_received,
            'platform_bytes_received': (
                store.bytes_received + vm_list_client.bytes_received
            ),
            'platform_calls': store.calls + vm_list_client.calls,
            'engine_reports': self._observer.poll_count,
        }

    def _make_gauges(self):
        catalogue = self.entry.catalogue
        return {
            'peers_connected': len(self.entry.links.connected),
            'vms_observed': self._observer.assigned_count,
            'store_revision': catalogue.revision,
            'store_restored': int(catalogue.possibly_restored),
            'tombstones': catalogue.tombstone_count,
            'objects_unreadable': len(catalogue.unreadable),
        }

    async def _listen(self, stack):
        """Open the ports for peers, callers and operators.

        Raises
        ------
        balsamwind.exceptions.InvalidInput
            Lists every address that could not be bound.
        """
        listen = self._settings.listen
        findings = []
        try:
            await stack.enter_async_context(
                self.entry.links.listen(listen.peers)
            )
        except OSError as error:
            findings.append(
                _make_address_finding('peers', listen.peers, error)
            )
        for name, server in (
            ('callers', self._caller_server),
            ('operators', self._operator_server),
        ):
            address = getattr(listen, name)
            host, port = address.rsplit(':', 1)
            try:
                server.listen(int(port), host)
            except OSError as error:
                findings.append(_make_address_finding(name, address, error))
        settings_package.raise_findings(findings)

    async def start(self, stack):
        """Open the ports and start the background loops.

        Parameters
        ----------
        stack : contextlib.AsyncExitStack
            Closes the port for peers when the process ends.
        """
        await self._listen(stack)
        for peer in self._settings.peers:
            self.entry.links.connect_to(peer.name, peer.address)
        observation = self._settings.observation
        stack.enter_context(self._supervisor.watch_others())
        for name, run in (
            ('store', self._store_watcher.run),
            ('vm list', self._vm_list_poller.run),
            ('registration', self._registrar.run),
        ):
            self._supervisor.keep_running(name, run)
        for name, interval, run_round in (
            ('observation', observation.interval, self._run_observation_round),
            ('heartbeat', observation.interval, self._send_heartbeat),
            (
                'call records',
                self._settings.requests.record_sweep_interval,
                self._call_record_sweeper.run_round,
            ),
            (
                'control',
                self._settings.control.interval,
                self._run_control_round,
            ),
            (
                'certificates',
                self._settings.tls.reload_interval,
                self._reload_certificates,
            ),
        ):
            self._supervisor.keep_running(
                name,
                functools.partial(self._run_periodically, interval, run_round),
            )
        self._log.info('started', incarnation=self._incarnation)

    async def _run_observation_round(self):
        self._observer.run_round()

    async def _reload_certificates(self):
        for path in self._tls.reload():
            self._log.info('certificate_reloaded', path=path)

    async def _send_heartbeat(self):
        self._peering.send_heartbeat()

    async def _run_periodically(self, interval, run_round):
        """Run a round at an interval with 10% jitter; log its errors.

        A failed round does not end the loop.
        """
        while True:
            try:
                await run_round()
            except exceptions.BalsamwindError as error:
                self._log.warning('round_failed', error=str(error))
            except Exception:
                self._log.exception('round_crashed')
            await asyncio.sleep(interval * self._rng.uniform(0.9, 1.1))

    async def _run_control_round(self):
        """Run a control round, unless the store may have been restored."""
        if not self.entry.is_store_restored():
            await self.entry.controller.run_round()

    async def drain(self):
        """Refuse new requests and wait for the open ones to finish.

        The wait is bounded by the drain time-out of the settings. Leases
        and the registration are given up first, so that other nodes take
        over without waiting for a time-out.
        """
        self._log.info('draining', open_requests=self.entry.open_requests)
        self.entry.draining = True
        self._peering.send_heartbeat()
        await self.entry.controller.release()
        await self._registrar.deregister()
        await asyncio.sleep(DRAIN_NOTICE_TIME)
        self._caller_server.stop()
        deadline = (
            self._clock.monotonic() + self._settings.requests.drain_timeout
        )
        while self.entry.open_requests and self._clock.monotonic() < deadline:
            await asyncio.sleep(0.05)
        self._log.info('drained', open_requests=self.entry.open_requests)

    async def stop(self):
        """Cancel the background loops and close all connections."""
        await self._supervisor.close()
        await self._executor.close()
        self._caller_server.stop()
        self._operator_server.stop()
        await self._caller_server.close_all_connections()
        await self._operator_server.close_all_connections()
        self._backend_client.close()
        self._platform_client.close()


def _make_address_finding(name, address, error):
    allowed = f'an unused address of this VM; could not bind: {error}'
    return settings_package.Finding(
        'settings', f'/listen/{name}', address, allowed
    )
