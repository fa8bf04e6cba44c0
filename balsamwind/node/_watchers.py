"""Watches that keep the configuration and the server registry up to date."""

import asyncio

from balsamwind import exceptions
from balsamwind import pool

CHECK_WAIT = 0.001
"""Wait of a watch that only checks whether there are changes (seconds)."""

MAX_CONFIGURATION_WATCH_TIME = 1.0
"""Longest wait of one watch of the configuration (seconds). Each answer proves
how recent the configuration is."""

PUBLISHER_CHECK_INTERVAL = 0.2
"""Time between two checks whether a publisher node still keeps this node up to
date (seconds)."""

PUBLISHER_PROOF_TIMEOUT = 1.5
"""Time that a publisher has to prove that the version just read is the newest
(seconds)."""

SETTLE_INTERVAL = 0.4
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

SUBSCRIBER_RETRY_INTERVAL = 2.0
"""Wait after a call that failed, at a node that has publishers (seconds). Most
nodes have, and all of them lose their publishers while the store is down."""

WATCH_TIME = 0.8
"""Longest wait of one watch of the servers (seconds)."""

WATCH_MARGIN = 0.5
"""Time added to the longest wait of a watch for its timeout (seconds)."""

WATCH_INTERVAL = 0.3
"""Time between two watches, in which changes are batched (seconds)."""

LEADER_WATCH_INTERVAL = 0.08
"""Time between two watches while this node leads a shard and has ordered its
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


async def _wait_for_retry(wait, has_publisher, reads_store_first):
    """Wait after a failed call, at most until a publisher is heard again."""
    if reads_store_first:
        await asyncio.sleep(wait)
        return
    for _ in range(
        round(SUBSCRIBER_RETRY_INTERVAL / PUBLISHER_CHECK_INTERVAL)
    ):
        await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
        if has_publisher():
            return


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


def find_watch_time(max_proof_age):
    """Find how long a watch of the configuration may wait.

    A proof dates from the moment at which its watch was sent, and the next
    one comes a whole watch later. The last third of the age is left to the
    second publisher, which reads the store before the subscribers do.

    Parameters
    ----------
    max_proof_age : float
        Age up to which subscribers rely on a proof (seconds).

    Returns
    -------
    float
        Time (seconds).
    """
    return min(max_proof_age / 3, MAX_CONFIGURATION_WATCH_TIME)


class ConfigurationWatcher:
    """Keeps the newest configuration in force.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the platform's store.
    updater : ConfigurationUpdater
        Puts what is read in force.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    subscriber : UpdateSubscriber
        Tells whether a publisher keeps the proof of the configuration fresh,
        or knows a newer version.
    """

    def __init__(self, platform, updater, clock, log, subscriber):
        self._platform = platform
        self._subscriber = subscriber
        self._updater = updater
        self._clock = clock
        self._log = log
        self._availability = StoreAvailability('configuration', clock, log)

    async def run(self):
        """Keep the configuration up to date; never returns."""
        while True:
            if (
                self._subscriber.is_starting()
                or self._subscriber.has_fresh_proof()
            ):
                self._availability.record_indirect_answer()
                await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
                continue
            try:
                if self._subscriber.has_fresh_servers():
                    await self._read_once()
                else:
                    await self._watch()
            except exceptions.HistoryGone as error:
                self._updater.revision = 0
                self._log.info('configuration_reread', reason=str(error))
            except exceptions.StoreError as error:
                self._updater.revision = 0
                await _wait_for_retry(
                    self._availability.record_failure(error),
                    self._subscriber.has_fresh_proof,
                    self._subscriber.reads_store_first,
                )

    async def _read_once(self):
        """Read once, then wait until a publisher proves it or has a newer one.

        When the configuration changes at many nodes at once, this limits each
        node to one read for each version.
        """
        if self._subscriber.knows_newer_version():
            await self._read()
        else:
            await self._check()
        deadline = self._clock.monotonic() + PUBLISHER_PROOF_TIMEOUT
        await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)
        while self._clock.monotonic() < deadline:
            if (
                self._subscriber.has_fresh_proof()
                or self._subscriber.knows_newer_version()
            ):
                return
            await asyncio.sleep(PUBLISHER_CHECK_INTERVAL)

    async def _check(self):
        """Read only what has changed since the last proof, if it is known."""
        if self._updater.revision:
            await self._watch_once(self._updater.revision, CHECK_WAIT)
        else:
            await self._read()

    async def _watch(self):
        revision = await self._find_first_revision()
        while not self._subscriber.has_fresh_proof():
            wait = find_watch_time(self._subscriber.max_proof_age)
            revision, changed = await self._watch_once(revision, wait)
            if changed:
                await asyncio.sleep(SETTLE_INTERVAL)
                revision = await self._read_until_settled()

    async def _find_first_revision(self):
        """Return the revision to watch from, after a first read."""
        if self._updater.revision:
            revision, changed = await self._watch_once(
                self._updater.revision, CHECK_WAIT
            )
            if not changed:
                return revision
            await asyncio.sleep(SETTLE_INTERVAL)
        return await self._read_until_settled()

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
            previous = self._updater.version
            revision = await self._read()
            if self._updater.version == previous:
                return revision
            await asyncio.sleep(SETTLE_INTERVAL)
            if self._subscriber.has_fresh_proof():
                return revision

    async def _read(self):
        """Read the newest version and return the revision to watch from."""
        sent_at = self._clock.monotonic()
        revision, found = await self._platform.read_configuration(READ_TIMEOUT)
        self._availability.record_answer()
        self._updater.accept(found, revision, sent_at)
        return revision

    async def _watch_once(self, revision, wait):
        """Watch from a revision.

        Returns
        -------
        (int, bool)
            Revision to watch from next, and whether there was a change.
        """
        sent_at = self._clock.monotonic()
        revision, found = await self._platform.watch_configuration(
            revision, wait, wait + CALL_TIMEOUT
        )
        self._availability.record_answer()
        if found is None:
            self._updater.confirm(revision, sent_at)
            return revision, False
        self._updater.accept(found, revision, sent_at)
        return revision, True


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
    awaits_changes : callable
        Returns whether this node waits for engines to carry out its orders.
    subscriber : UpdateSubscriber
        Tells whether a publisher keeps the registry up to date.
    publisher : UpdatePublisher
        Passes on what is read to the subscribers of this node.
    """

    def __init__(
        self,
        platform,
        registry,
        clock,
        log,
        is_leader,
        awaits_changes,
        subscriber,
        publisher,
    ):
        self._is_leader = is_leader
        self._awaits_changes = awaits_changes
        self._subscriber = subscriber
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
                await _wait_for_retry(
                    self._availability.record_failure(error),
                    self._subscriber.has_fresh_servers,
                    self._is_leader() or self._subscriber.reads_store_first,
                )

    def _relies_on_publisher(self):
        return self._subscriber.is_starting() or (
            self._subscriber.has_fresh_servers() and not self._is_leader()
        )

    async def _watch(self):
        revision, records = await self._platform.list_servers(CALL_TIMEOUT)
        now = self._clock.monotonic()
        self._next_list_at = now + RELIST_INTERVAL
        self._record_answer(now)
        changed, removed = self._registry.apply_full_list(records, now)
        self._registry.evict_expired(now)
        # Subscribers have the rest since they connected.
        self._publisher.publish_changes(changed, removed)
        while self._clock.monotonic() < self._next_list_at:
            await asyncio.sleep(
                LEADER_WATCH_INTERVAL
                if self._awaits_changes()
                else WATCH_INTERVAL
            )
            if self._relies_on_publisher():
                return
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
