"""Start, loops and shutdown of an entry process."""

import asyncio
import contextlib
import random
import signal

import structlog

from balsamwind import adapters
from balsamwind import control
from balsamwind.entry import _entry
from balsamwind.entry import _observer
from balsamwind.entry import _peering
from balsamwind.entry import _sweeper
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import peers

RETRY_DELAY = 0.3
"""Shortest wait before the platform is asked again (seconds)."""

RETRY_JITTER = 0.7
"""Random part added to that wait (seconds)."""

DRAIN_NOTICE = 0.5
"""Time between the first sign of a shutdown and the last new request
(seconds)."""


@contextlib.asynccontextmanager
async def open_entry(settings, random_state=None):
    """Run an entry until the block ends.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the process.
    random_state : int or None
        Seed.

    Yields
    ------
    _Process
    """
    process = _Process(settings, random_state)
    async with contextlib.AsyncExitStack() as stack:
        await process.start(stack)
        try:
            yield process
        finally:
            await process.stop()


async def run_entry(settings, random_state=None):
    """Run an entry until SIGTERM or SIGINT, then drain it."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
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
        self._client = adapters.HttpClient()
        platform = settings.platform
        self._store = adapters.HttpObjectStore(
            self._client,
            platform.url,
            platform.timeout,
            platform.watch_timeout,
        )
        self._vm_list = adapters.HttpVmList(
            self._client, platform.url, platform.timeout
        )
        self._weights = adapters.HttpWeightStore(
            self._client, platform.url, platform.timeout
        )
        self._engine = adapters.HttpEngine(self._client)
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
        self._observer = _observer.Observer(self.entry, self._engine)
        self._peering = _peering.Peering(self.entry, self._observer)
        self._incarnation = self.entry.make_id()
        hello = peers.Hello(
            settings.node.name, settings.node.data_centre, self._incarnation
        )
        self.entry.links = adapters.PeerLinks(hello, self._peering, self._log)
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
            self.entry.make_view, self._executor, settings, self._rng
        )
        self._sweeper = _sweeper.Sweeper(self.entry)
        self._callers = adapters.make_caller_server(self.entry)
        self._operators = adapters.make_operator_server(self.entry)
        self._tasks = []

    async def start(self, stack):
        """Listen, and start the loops."""
        listen = self._settings.listen
        await stack.enter_async_context(self.entry.links.listen(listen.peers))
        for server, address in (
            (self._callers, listen.callers),
            (self._operators, listen.operators),
        ):
            host, port = address.rsplit(':', 1)
            server.listen(int(port), host)
        for peer in self._settings.peers:
            self.entry.links.reach(peer.name, peer.address)
        observation = self._settings.observation
        self._spawn(self._follow_store())
        self._spawn(self._follow_vm_list())
        self._spawn(self._repeat(observation.interval, self._observe))
        self._spawn(self._repeat(observation.interval, self._beat))
        sweep = self._settings.requests.record_sweep_interval
        self._spawn(self._repeat(sweep, self._sweeper.run_round))
        self._spawn(
            self._repeat(
                self._settings.control.interval,
                self.entry.controller.run_round,
            )
        )
        self._log.info('started', incarnation=self._incarnation)

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _observe(self):
        self._observer.run_round()

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

    async def _follow_store(self):
        catalogue = self.entry.catalogue
        listed = False
        while True:
            try:
                if not listed:
                    snapshot = await self._store.list(objects.WATCHED_KINDS)
                    now = self._clock.monotonic()
                    catalogue.apply_list(snapshot, objects.WATCHED_KINDS, now)
                    listed = True
                snapshot = await self._store.watch(
                    objects.WATCHED_KINDS, catalogue.revision
                )
                catalogue.apply_changes(snapshot, self._clock.monotonic())
            except exceptions.HistoryGone:
                listed = False
            except exceptions.BalsamwindError as error:
                listed = False
                self._log.warning('store_unavailable', error=str(error))
                await self._pause()
            except Exception:
                listed = False
                self._log.exception('store_loop_crashed')
                await self._pause()

    async def _pause(self):
        await asyncio.sleep(RETRY_DELAY + self._rng.uniform(0.0, RETRY_JITTER))

    async def _follow_vm_list(self):
        while True:
            try:
                rows = await self._vm_list.fetch()
                self.entry.groups.listed = {row.name: row for row in rows}
                self.entry.groups.invalidate()
            except exceptions.BalsamwindError as error:
                self._log.warning('vm_list_unavailable', error=str(error))
                await self._pause()
            await asyncio.sleep(
                self._settings.platform.vm_list_interval
                * self._rng.uniform(0.9, 1.1)
            )

    async def drain(self):
        """Finish what callers wait for; take nothing new."""
        self._log.info('draining', open_requests=self.entry.open_requests)
        self.entry.draining = True
        self._peering.beat()
        await self.entry.controller.release()
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
