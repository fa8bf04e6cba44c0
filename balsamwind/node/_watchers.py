"""Watches that keep the configuration and the server registry up to date."""

import asyncio

from balsamwind import exceptions
from balsamwind import pool

CONFIGURATION_WATCH_TIME = 1.0
"""Longest wait of one watch of the configuration (seconds). Each answer proves
how recent the configuration is."""

PUBLISHER_CHECK_INTERVAL = 0.2
"""Time between two checks whether a publisher node still keeps this node up to
date (seconds)."""

PUBLISHER_PROOF_TIMEOUT = 1.5
"""Time that a publisher has to prove that the version just read is the newest
(seconds)."""

SETTLE_INTERVAL = 0.6
"""Time between a change of the configuration and the next read, as further
changes may follow at once (seconds)."""

CALL_TIMEOUT = 0.8
"""Timeout of one call to the store (seconds)."""

READ_TIMEOUT = 2.0
"""Timeout of reading the whole configuration (seconds)."""

RETRY_INTERVAL = 0.25
"""Wait after a call that failed (seconds), multiplied by the number of
consecutive failures."""

MAX_RETRY_INTERVAL = 0.6
"""Longest wait after consecutive failures (seconds)."""

WATCH_TIME = 0.8
"""Longest wait of one watch of the servers (seconds)."""

WATCH_MARGIN = 0.5
"""Time added to the longest wait of a watch for its timeout (seconds)."""

WATCH_INTERVAL = 0.2
"""Time between two watches, in which changes are batched (seconds)."""

LEADER_WATCH_INTERVAL = 0.08
"""Time between two watches while this node leads a shard and waits for its
engines to change state (seconds)."""

RELIST_INTERVAL = 8.0
"""Time between two reads of the whole list, in case a watch missed changes
(seconds)."""

RELIST_DELAY_AFTER_OUTAGE = 2.7
"""Time until the whole list is read again after an outage of the store
(seconds)."""

OUTAGE_THRESHOLD = 1.5
"""Time without answers of the store after which entries may have expired there
(seconds)."""


class StoreAvailability:
    """Tracks whether the store answers, and logs when that changes.

    Parameters
    ----------
    name : str
        Name of the watched objects, for the log.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.

    Attributes
    ----------
    last_answer_at : float
        Monotonic time of the last answer (seconds).
    """

    __slots__ = (
        '_clock',
        '_failures',
        '_log',
        '_name',
        '_unavailable',
        'last_answer_at',
    )

    def __init__(self, name, clock, log):
        self._name = name
        self._clock = clock
        self._log = log
        self._unavailable = False
        self._failures = 0
        self.last_answer_at = clock.monotonic()

    def record_answer(self):
        """Record an answer and return the time since the last one.

        Returns
        -------
        float
            Time (seconds).
        """
        now = self._clock.monotonic()
        silence = now - self.last_answer_at
        self.last_answer_at = now
        self._failures = 0
        if self._unavailable:
            self._unavailable = False
            self._log.info(
                'store_regained', call=self._name, silent=round(silence, 2)
            )
        return silence

    def record_indirect_answer(self):
        """Record that another node has passed on answers of the store."""
        self.last_answer_at = self._clock.monotonic()

    def record_failure(self, error):
        """Record a failed call and return how long to wait before a retry.

        Parameters
        ----------
        error : Exception
            What failed, for the log.

        Returns
        -------
        float
            Time to wait (seconds).
        """
        self._failures += 1
        if not self._unavailable:
            self._unavailable = True
            self._log.warning('store_lost', call=self._name, reason=str(error))
        return min(self._failures * RETRY_INTERVAL, MAX_RETRY_INTERVAL)


class ConfigurationWatcher:
    """Keeps the newest configuration in force.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the platform's store.
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    on_change : callable
        Called without arguments after the version in force has changed.
    subscriber : UpdateSubscriber
        Tells whether a publisher keeps the proof of the configuration fresh,
        or knows a newer version.
    """

    def __init__(
        self, platform, configuration_cache, clock, log, on_change, subscriber
    ):
        self._platform = platform
        self._subscriber = subscriber
        self._configuration_cache = configuration_cache
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._availability = StoreAvailability('configuration', clock, log)

    async def run(self):
        """Keep the configuration up to date; never returns."""
        while True:
            if self._subscriber.has_fresh_proof():
                self._availability.record_indirect_answer()
                await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
                continue
            try:
                if self._subscriber.has_fresh_servers():
                    await self._read_once()
                else:
                    await self._watch()
            except exceptions.HistoryGone as error:
                self._log.info('configuration_reread', reason=str(error))
            except exceptions.StoreError as error:
                await asyncio.sleep(self._availability.record_failure(error))

    async def _read_once(self):
        """Read once, then wait until a publisher proves it or has a newer one.

        When the configuration changes at many nodes at once, this limits each
        node to one read for each version.
        """
        await self._read()
        deadline = self._clock.monotonic() + PUBLISHER_PROOF_TIMEOUT
        await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
        while self._clock.monotonic() < deadline:
            if (
                self._subscriber.has_fresh_proof()
                or self._subscriber.knows_newer_version()
            ):
                return
            await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)

    async def _watch(self):
        revision = await self._read_until_settled()
        while not self._subscriber.has_fresh_proof():
            sent_at = self._clock.monotonic()
            revision, found = await self._platform.watch_configuration(
                revision,
                CONFIGURATION_WATCH_TIME,
                CONFIGURATION_WATCH_TIME + CALL_TIMEOUT,
            )
            self._accept(found, sent_at)
            if found is not None:
                await asyncio.sleep(SETTLE_INTERVAL)
                revision = await self._read_until_settled()

    async def _read_until_settled(self):
        """Read until the version no longer changes.

        A watch returns each version in full. While versions follow each other
        quickly, reading the newest one at intervals takes far fewer bytes.

        Returns
        -------
        int
            Store revision to watch from.
        """
        while True:
            previous = self._configuration_cache.version
            revision = await self._read()
            if self._configuration_cache.version == previous:
                return revision
            await asyncio.sleep(SETTLE_INTERVAL)

    async def _read(self):
        """Read the newest version and return the revision to watch from."""
        sent_at = self._clock.monotonic()
        revision, found = await self._platform.read_configuration(READ_TIMEOUT)
        self._accept(found, sent_at)
        return revision

    def _accept(self, found, sent_at):
        self._availability.record_answer()
        if found is None:
            self._configuration_cache.record_proof(sent_at)
            return
        previous = self._configuration_cache.version
        if self._configuration_cache.accept(found, sent_at):
            self._log.info(
                'configuration_in_force',
                version=found.version,
                before=previous,
                routes=len(found.routes),
                accounts=len(found.accounts or ()),
            )
            self._on_change()
        elif found.version < previous:
            self._log.warning(
                'configuration_older', version=found.version, kept=previous
            )


class ServerWatcher:
    """Keeps the registry of backend servers up to date.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the platform's store.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    is_leader : callable
        Returns whether this node leads a shard.
    has_updates : callable
        Returns whether a publisher keeps the registry up to date.
    publisher : UpdatePublisher
        Passes on what is read to the subscribers of this node.
    """

    def __init__(
        self, platform, registry, clock, log, is_leader, has_updates, publisher
    ):
        self._is_leader = is_leader
        self._has_updates = has_updates
        self._publisher = publisher
        self._platform = platform
        self._registry = registry
        self._clock = clock
        self._log = log
        self._availability = StoreAvailability('servers', clock, log)
        self._next_list_at = 0.0

    async def run(self):
        """Keep the registry up to date; never returns."""
        while True:
            if self._relies_on_publisher():
                self._availability.record_indirect_answer()
                self._registry.evict_expired(self._clock.monotonic())
                await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
                continue
            try:
                await self._watch()
            except exceptions.HistoryGone as error:
                self._log.info('watch_restarted', reason=str(error))
            except exceptions.StoreError as error:
                await asyncio.sleep(self._availability.record_failure(error))

    def _relies_on_publisher(self):
        return self._has_updates() and not self._is_leader()

    async def _watch(self):
        revision, records = await self._platform.list_servers(CALL_TIMEOUT)
        now = self._clock.monotonic()
        self._next_list_at = now + RELIST_INTERVAL
        self._record_answer(now)
        self._registry.apply_full_list(records, now)
        self._registry.evict_expired(now)
        self._publisher.publish_snapshot()
        while self._clock.monotonic() < self._next_list_at:
            if self._relies_on_publisher():
                return
            is_leader = self._is_leader()
            await asyncio.sleep(
                LEADER_WATCH_INTERVAL if is_leader else WATCH_INTERVAL
            )
            revision, changes = await self._platform.watch_servers(
                revision, WATCH_TIME, WATCH_TIME + WATCH_MARGIN
            )
            now = self._clock.monotonic()
            self._record_answer(now)
            self._apply(changes, now)

    def _record_answer(self, now):
        silence = self._availability.record_answer()
        if silence > WATCH_TIME + OUTAGE_THRESHOLD:
            self._registry.start_relisting_grace(now)
            self._next_list_at = now + RELIST_DELAY_AFTER_OUTAGE

    def _apply(self, changes, now):
        records = []
        removed = []
        for change in changes:
            if isinstance(change, pool.RemovedServer):
                self._registry.apply_removal(change, now)
                removed.append(change)
            else:
                previous = self._registry.apply_entry(change, now)
                self._log_change(previous, change)
                records.append(change)
        self._publisher.publish_changes(records, removed)

    def _log_change(self, previous, record):
        """Log a restart, a change of state, or a group opened or closed."""
        if previous is not None and (
            previous.state == record.state
            and previous.born == record.born
            and _heads_open_group(previous) == _heads_open_group(record)
        ):
            return
        membership = record.membership
        self._log.info(
            'engine_changed',
            engine=record.server_id,
            revision=record.revision,
            state=record.state.value,
            group=membership and membership.group,
            member=membership and membership.state.value,
            restarted=previous is not None and previous.born != record.born,
        )


def _heads_open_group(record):
    """Whether an engine reports that it is the head of an open group."""
    membership = record.membership
    return membership is not None and membership.state is pool.MemberState.OPEN
