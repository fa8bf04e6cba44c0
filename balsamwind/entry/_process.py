"""Start, loops and shutdown of an entry process."""

import asyncio
import random

import structlog

from balsamwind import adapters
from balsamwind import control
from balsamwind.entry import _entry
from balsamwind.entry import _observer
from balsamwind.entry import _peering
from balsamwind.entry import _platform_follower
from balsamwind.entry import _registration
from balsamwind.entry import _sweeper
from balsamwind import exceptions
from balsamwind import lifecycle
from balsamwind import objects
from balsamwind import peers
from balsamwind import settings as settings_package

DRAIN_NOTICE = 0.5
"""Time between the first sign of a shutdown and the last new request
(seconds)."""


def open_entry(settings, random_state=None):
    """Run an entry until the block ends.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    random_state : int or None
        Seed.

    Returns
    -------
    asynchronous context manager
        Of the `_Process`.
    """
    return lifecycle.open_process(_Process(settings, random_state))


async def run_entry(settings, random_state=None):
    """Run an entry until SIGTERM or SIGINT, then drain it."""
    stopping = lifecycle.watch_stop()
    async with open_entry(settings, random_state) as process:
        await stopping.wait()
        await process.drain()


class _Process:
    """Adapters, servers and loops of one entry."""

    def __init__(self, settings, random_state):
        self._settings = settings
        self._rng = random.Random(random_state)
        self._log = structlog.get_logger().bind(node=settings.node.name)
        self._clock = adapters.SystemClock()
        self._tls = adapters.make_tls_contexts(settings.tls)
        user_agent = f'balsamwind {settings.node.name}'
        self._client = adapters.HttpClient(self._tls.backends, user_agent)
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
        self._vm_list = adapters.HttpVmList(
            self._platform_client, platform.url, platform.timeout
        )
        self._weights = adapters.HttpWeightStore(
            self._platform_client, platform.url, platform.timeout
        )
        self._engine = adapters.HttpEngine(
            self._client, 'https' if settings.tls.engines_use_tls else 'http'
        )
        self.entry = _entry.Entry(
            settings,
            self._clock,
            self._engine,
            adapters.HttpPlainService(self._client),
            self._store,
            adapters.Metrics(),
            self._log,
            self._rng.getrandbits(64),
        )
        self._observer = _observer.Observer(
            self.entry, self._engine, self._rng
        )
        self._store_follower = _platform_follower.StoreFollower(
            self.entry, self._store, self._rng
        )
        self._vm_follower = _platform_follower.VmListFollower(
            self.entry, self._vm_list, self._rng
        )
        self._peering = _peering.Peering(
            self.entry,
            self._observer,
            self._store_follower,
            self._vm_follower,
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
            max_silence=settings.observation.stale_after,
            random_state=self._rng.getrandbits(64),
        )
        self._registrar = _registration.Registrar(
            self.entry, self._store, self._make_node(), self._rng
        )
        self._executor = control.Executor(
            self._store,
            self._engine,
            self._weights,
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
            self.entry.has_reader,
        )
        self._sweeper = _sweeper.Sweeper(self.entry)
        self.entry.make_counters = self._make_counters
        self.entry.make_gauges = self._make_gauges
        self.entry.metrics.registry.register(
            adapters.ControlCollector(self._make_counters, self._make_gauges)
        )
        self._callers = adapters.make_caller_server(
            self.entry, self._tls.callers
        )
        self._operators = adapters.make_operator_server(self.entry)
        self._tasks = []

    def _make_node(self):
        settings = self._settings
        return objects.Node(
            settings.node.name,
            settings.node.data_centre,
            settings.listen.advertised_peers or settings.listen.peers,
            self._incarnation,
        )

    def _make_counters(self):
        links = self.entry.links
        store, vm_list = self._store, self._vm_list
        return {
            'peer_bytes_sent': links.bytes_sent,
            'peer_bytes_received': links.bytes_received,
            'peer_messages_sent': links.messages_sent,
            'peer_messages_received': links.messages_received,
            'platform_bytes_received': (
                store.bytes_received + vm_list.bytes_received
            ),
            'platform_calls': store.calls + vm_list.calls,
            'engine_reports': self._observer.polls,
        }

    def _make_gauges(self):
        catalogue = self.entry.catalogue
        return {
            'peers_connected': len(self.entry.links.connected),
            'vms_observed': self._observer.observed,
            'store_revision': catalogue.revision,
            'store_restored': int(catalogue.restored),
            'tombstones': catalogue.tombstones,
            'objects_unreadable': len(catalogue.unreadable),
        }

    async def _listen(self, stack):
        """Listen for peers, callers and operators.

        Raises
        ------
        balsamwind.exceptions.InvalidInput
            With all addresses that can't be listened on.
        """
        listen = self._settings.listen
        findings = []
        try:
            await stack.enter_async_context(
                self.entry.links.listen(listen.peers)
            )
        except OSError as error:
            findings.append(_make_finding('peers', listen.peers, error))
        for name, server in (
            ('callers', self._callers),
            ('operators', self._operators),
        ):
            address = getattr(listen, name)
            host, port = address.rsplit(':', 1)
            try:
                server.listen(int(port), host)
            except OSError as error:
                findings.append(_make_finding(name, address, error))
        settings_package.raise_findings(findings)

    async def start(self, stack):
        """Listen, and start the loops."""
        await self._listen(stack)
        for peer in self._settings.peers:
            self.entry.links.reach(peer.name, peer.address)
        observation = self._settings.observation
        self._spawn(self._store_follower.run())
        self._spawn(self._vm_follower.run())
        self._spawn(self._registrar.run())
        self._spawn(self._repeat(observation.interval, self._observe))
        self._spawn(self._repeat(observation.interval, self._beat))
        sweep = self._settings.requests.record_sweep_interval
        self._spawn(self._repeat(sweep, self._sweeper.run_round))
        self._spawn(
            self._repeat(self._settings.control.interval, self._control)
        )
        self._spawn(
            self._repeat(self._settings.tls.reload_interval, self._reload)
        )
        self._log.info('started', incarnation=self._incarnation)

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _observe(self):
        self._observer.run_round()

    async def _reload(self):
        for path in self._tls.reload():
            self._log.info('certificate_reloaded', path=path)

    async def _beat(self):
        self._peering.beat()

    async def _repeat(self, interval, run):
        while True:
            try:
                await run()
            except exceptions.BalsamwindError as error:
                self._log.warning('round_failed', error=str(error))
            except Exception:
                self._log.exception('round_crashed')
            await asyncio.sleep(interval * self._rng.uniform(0.9, 1.1))

    async def _control(self):
        """Run a control round, unless the store may have been restored."""
        if not self.entry.is_store_restored():
            await self.entry.controller.run_round()

    async def drain(self):
        """Finish what callers wait for; take nothing new."""
        self._log.info('draining', open_requests=self.entry.open_requests)
        self.entry.draining = True
        self._peering.beat()
        await self.entry.controller.release()
        await self._registrar.withdraw()
        await asyncio.sleep(DRAIN_NOTICE)
        self._callers.stop()
        deadline = (
            self._clock.monotonic() + self._settings.requests.drain_timeout
        )
        while self.entry.open_requests and self._clock.monotonic() < deadline:
            await asyncio.sleep(0.05)
        self._log.info('drained', open_requests=self.entry.open_requests)

    async def stop(self):
        """Stop the loops and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._executor.close()
        self._callers.stop()
        self._operators.stop()
        await self._callers.close_all_connections()
        await self._operators.close_all_connections()
        self._client.close()
        self._platform_client.close()


def _make_finding(name, address, error):
    allowed = f'an address of this VM that is free ({error})'
    return settings_package.Finding(
        'settings', f'/listen/{name}', address, allowed
    )
