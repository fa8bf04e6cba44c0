"""Probes of a path that is in doubt or lost."""

import asyncio
import random

from balsamwind.relay import _paths

PROBE_TIMEOUT = 0.15
"""Longest wait for the connection of one probe (seconds)."""

PROBE_INTERVAL = 0.3
"""Time between two rounds of probes of a lost path (seconds)."""


class PathProber:
    """Opens connections to a few servers until a path is open again.

    Parameters
    ----------
    paths : PathTable
        State of the paths.
    find_servers : callable
        Takes the name of a service and returns the `ServerRecord` of each
        server that should be reachable.
    client : balsamwind.adapters.HttpClient
        Client with the connections to backend servers.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    random_state : int or None
        Seed for the choice of servers.
    """

    __slots__ = (
        '_client',
        '_clock',
        '_find_servers',
        '_log',
        '_paths',
        '_rng',
        '_settled',
        '_tasks',
    )

    def __init__(
        self, paths, find_servers, client, clock, log, random_state=None
    ):
        self._paths = paths
        self._find_servers = find_servers
        self._client = client
        self._clock = clock
        self._log = log
        self._rng = random.Random(random_state)
        self._tasks = {}
        self._settled = {}

    def start(self, service):
        """Probe the path to a service until it is open.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        if service in self._tasks:
            return
        self._settled[service] = asyncio.Event()
        task = asyncio.ensure_future(self._probe_until_open(service))
        self._tasks[service] = task
        task.add_done_callback(lambda task: self._finish(service, task))

    def _finish(self, service, task):
        del self._tasks[service]
        self._settled[service].set()
        if task.cancelled():
            return
        if task.exception() is not None:
            self._log.error('path_probes_failed', error=repr(task.exception()))
            loop = asyncio.get_running_loop()
            loop.call_later(PROBE_INTERVAL, self._start_if_due, service)
            return
        # A doubt that came up as the task ended has none yet.
        self._start_if_due(service)

    def _start_if_due(self, service):
        if not self._paths.is_open(service):
            self.start(service)

    async def settle(self, service):
        """Wait until a path is no longer in doubt.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Whether the path is open.
        """
        if self._paths.find_state(service) is _paths.PathState.DOUBTED:
            await self._settled[service].wait()
        return self._paths.is_open(service)

    async def _probe_until_open(self, service):
        while True:
            is_any_connected = await self._probe(service)
            was_lost = self._paths.find_state(service) is _paths.PathState.LOST
            now = self._clock.monotonic()
            if self._paths.record_probes(service, is_any_connected, now):
                self._handle_change(service, was_lost)
            self._settled[service].set()
            if self._paths.is_open(service):
                return
            await asyncio.sleep(PROBE_INTERVAL)

    async def _probe(self, service):
        records = {
            record.server_id: record for record in self._find_servers(service)
        }
        chosen = self._paths.plan_probes(service, list(records), self._rng)
        if not chosen:
            return True
        tasks = [
            asyncio.ensure_future(
                self._client.is_reachable(
                    records[server_id].address, PROBE_TIMEOUT
                )
            )
            for server_id in chosen
        ]
        try:
            for result in asyncio.as_completed(tasks):
                if await result:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    def _handle_change(self, service, was_lost):
        if self._paths.is_open(service):
            event = 'path_open' if was_lost else 'path_doubt_settled'
            self._log.info(event, service=service)
            return
        self._log.warning('path_lost', service=service)
        # A connection that went silent must not get a later request.
        for record in self._find_servers(service):
            self._client.close_idle_connections(record.address)

    def close(self):
        """Stop all probes."""
        for task in list(self._tasks.values()):
            task.cancel()
