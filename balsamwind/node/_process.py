"""Start, loops and shutdown of a node that serves from a pool."""

import asyncio
import contextlib
import dataclasses
import signal

import structlog

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import lifecycle
from balsamwind.node import _followers
from balsamwind.node import _journal
from balsamwind.node import _leader
from balsamwind.node import _news_reader
from balsamwind.node import _node_follower
from balsamwind.node import _state
from balsamwind import pool
from balsamwind import relay
from balsamwind import settings as settings_package
from balsamwind import traffic

REVOCATION_MARGIN = 0.4
"""How much sooner than the bound keys are no longer honoured (seconds)."""

DRAIN_NOTICE = 2.6
"""Time until no new connections come after readiness has ended (seconds)."""

EXIT_MARGIN = 0.6
"""How long before the end of the grace the process exits (seconds)."""

RELOAD_INTERVAL = 3.0
"""Time between two reads of the settings without a signal (seconds)."""

STATE_INTERVAL = 15.0
"""Time between two log lines about the node's state (seconds)."""

POLL = 0.05
"""How often open requests are counted while draining (seconds)."""


async def run_node(settings, make_outside, load_settings):
    """Run a node until SIGTERM, then drain it.

    Parameters
    ----------
    settings : NodeSettings
        Settings.
    make_outside : callable
        Makes the platform's ports from the settings and an HTTP client.
    load_settings : callable
        Reads the settings again.
    """
    stopping = lifecycle.watch_stop()
    reloading = lifecycle.watch_signals(signal.SIGHUP)
    async with open_node(settings, make_outside) as process:
        reloader = asyncio.ensure_future(
            _reload_for_ever(process, load_settings, reloading)
        )
        await stopping.wait()
        reloader.cancel()
        await process.drain()


async def _reload_for_ever(process, load_settings, reloading):
    """Read the settings again at SIGHUP, and now and then without it."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reloading.wait(), RELOAD_INTERVAL)
        signalled = reloading.is_set()
        reloading.clear()
        process.reload(load_settings, signalled)


def open_node(settings, make_outside):
    """Run a node until the block ends.

    Returns
    -------
    asynchronous context manager
        Of the `Process`.
    """
    return lifecycle.open_process(Process(settings, make_outside))


class Process:
    """Parts and loops of one node.

    Parameters
    ----------
    settings : NodeSettings
        Settings.
    make_outside : callable
        Makes the platform's ports.
    """

    def __init__(self, settings, make_outside):
        self._settings = settings
        self._log = structlog.get_logger().bind(node=settings.name)
        self._clock = adapters.BootClock()
        self._client = adapters.HttpClient()
        self._control_client = adapters.HttpClient()
        outside = self.outside = make_outside(settings, self._control_client)
        self.book = traffic.ConfigurationBook(
            _find_key_lifetime(settings.bounds)
        )
        self.registry = pool.Registry()
        self._journal = _journal.Journal(self._log, self._clock)
        places = relay.PlaceBook(self.registry, pool.find_groups)
        self.relay = relay.Relay(
            settings.data_centre,
            settings.bounds,
            self.book,
            places,
            self._client,
            outside.headers,
            self._clock,
            self._journal,
        )
        self._callers = adapters.RelayServer(
            self.relay, self._clock, traffic.Limits(), self._log
        )
        self._ready_page = adapters.make_ready_server(
            outside.ready_path, self.is_ready
        )
        self._metrics_page = adapters.make_metrics_server(
            self._journal.registry
        )
        parts = (self.registry, self.book, self._clock, self._log)
        self._source = _news_reader.NewsSource(*parts)
        self.news = _news_reader.NewsReader(
            settings.name, *parts, self._source.tell
        )
        self._configuration_follower = _followers.ConfigurationFollower(
            outside,
            self.book,
            self._clock,
            self._log,
            self._apply_limits,
            self.news,
        )
        self._server_follower = _followers.ServerFollower(
            outside,
            self.registry,
            self._clock,
            self._log,
            self._leads,
            self.news.has_servers,
            self._source,
        )
        self._node_follower = _node_follower.NodeFollower(
            settings, outside, self._log, self._note_nodes
        )
        self._leaders = [
            _leader.ShardLeader(
                data_centre,
                settings,
                outside,
                self.book,
                self.registry,
                self.relay,
                self._clock,
                self._log,
            )
            for data_centre in settings.data_centres
        ]
        self._state = _state.NodeState(
            self.book,
            self.registry,
            self._leaders,
            outside,
            self.relay,
            self._clock,
        )
        self._journal.registry.register(self._state)
        self._draining = False
        self._tasks = []
        self._leading = []

    def _note_nodes(self, nodes):
        """Split budgets over all nodes; let few of them look at leases."""
        self.relay.set_node_count(sum(len(names) for names in nodes.values()))
        own = nodes.get(self._settings.data_centre, ())
        self.news.set_nodes(own)
        near = sorted(name for name, _ in own)
        name = self._settings.name
        rank = near.index(name) if name in near else len(near)
        for leader in self._leaders:
            candidates = nodes.get(leader.lease.shard, ())
            leader.lease.set_rank(rank, len(candidates))

    def _leads(self):
        return any(leader.lease.held for leader in self._leaders)

    def is_ready(self):
        """Whether new connections are welcome."""
        return not self._draining and self.book.is_current(
            self._clock.monotonic()
        )

    def _apply_limits(self):
        self._callers.set_limits(self.book.configuration.limits)

    def reload(self, load_settings, signalled):
        """Take changed bounds; keep the old settings if there are findings.

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
        self.book.key_lifetime = _find_key_lifetime(settings.bounds)
        for leader in self._leaders:
            leader.settings = self._settings

    async def start(self, stack):
        """Listen, and start the loops.

        Raises
        ------
        balsamwind.exceptions.InvalidInput
            With all addresses that can't be listened on.
        """
        findings = []
        for name, listen in (
            ('callers', self._callers.listen),
            ('readiness', _listener(self._ready_page)),
            ('metrics', _listener(self._metrics_page)),
        ):
            address = getattr(self._settings, name)
            try:
                listen(address)
            except OSError as error:
                findings.append(_make_finding(name, self._settings, error))
        try:
            news = self._source.server.listen(self._settings.news)
            await stack.enter_async_context(news)
        except OSError as error:
            findings.append(_make_finding('news', self._settings, error))
        settings_package.raise_findings(findings)
        for follower in (
            self._configuration_follower,
            self._server_follower,
            self._node_follower,
            self.news,
        ):
            self._tasks.append(asyncio.ensure_future(follower.run()))
        self._tasks.append(asyncio.ensure_future(self._tell_state()))
        for leader in self._leaders:
            self._leading.append(asyncio.ensure_future(leader.run()))
        self._log.info(
            'started',
            data_centre=self._settings.data_centre,
            first_start=self._settings.first_start,
        )

    async def _tell_state(self):
        """Log what this node believes, now and then."""
        while True:
            await asyncio.sleep(STATE_INTERVAL)
            self._log.info('node_state', **self._state.make_line())

    async def drain(self):
        """Finish what callers wait for; hand the leases over."""
        started = self._clock.monotonic()
        self._log.info('draining', open_requests=self.relay.open_requests)
        self._draining = True
        self._callers.close_after_answers()
        for task in self._leading:
            task.cancel()
        await asyncio.gather(
            *(leader.lease.release() for leader in self._leaders)
        )
        await asyncio.sleep(DRAIN_NOTICE)
        # A request on a connection that is kept would come too late to end.
        self._callers.stop()
        self._callers.close_idle()
        await asyncio.sleep(POLL)
        latest = started + self._settings.bounds.grace - EXIT_MARGIN
        while self.relay.open_requests and self._clock.monotonic() < latest:
            await asyncio.sleep(POLL)
        self._log.info('drained', open_requests=self.relay.open_requests)

    async def stop(self):
        """Stop the loops and close all connections."""
        tasks = [*self._tasks, *self._leading]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._callers.stop()
        await self._callers.close()
        self._client.close()
        self._control_client.close()
        self._log.info('stopped')


def _make_finding(name, settings, error):
    return settings_package.Finding(
        'settings', f'/{name}', getattr(settings, name), f'free ({error})'
    )


def _find_key_lifetime(bounds):
    """How long a proof of the configuration counts (seconds), or None."""
    if bounds.key_revocation is None:
        return None
    return bounds.key_revocation - REVOCATION_MARGIN


def _listener(server):
    def listen(address):
        host, port = address.rsplit(':', 1)
        server.listen(int(port), host)

    return listen
