"""Watch that keeps the registry of backend servers up to date."""

import asyncio

from balsamwind import exceptions
from balsamwind.node import _store_availability
from balsamwind import pool

CALL_TIMEOUT = 0.8
"""Timeout of one call to the store (seconds)."""

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

RELIST_DELAY_AFTER_OUTAGE = 2.9
"""Time until the whole list is read again after an outage of the store
(seconds)."""

MIN_RETRY_WAIT = 0.05
"""Least wait after a call that failed late (seconds); its timeout and this
time bound how late the return of the store is noticed."""

MAX_LOGGED_SERVERS = 5
"""Ids of servers in one log line (count)."""


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
    contact : EntryContact
        Notices the end of an outage.
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
        contact,
    ):
        self._contact = contact
        self._is_leader = is_leader
        self._awaits_changes = awaits_changes
        self._subscriber = subscriber
        self._publisher = publisher
        self._platform = platform
        self._registry = registry
        self._clock = clock
        self._log = log
        self._availability = _store_availability.StoreAvailability(
            'servers', clock, log
        )
        self._next_list_at = 0.0
        self._sent_at = clock.monotonic()

    async def run(self):
        """Keep the registry up to date; never returns."""
        while True:
            if self._relies_on_publisher():
                self._availability.record_indirect_answer()
                self._registry.evict_expired(self._clock.monotonic())
                await asyncio.sleep(
                    _store_availability.find_check_interval(self._subscriber)
                )
                continue
            try:
                await self._follow()
            except exceptions.HistoryGone as error:
                self._log.info('watch_restarted', reason=str(error))
            except exceptions.StoreError as error:
                self._contact.record_failure(self._sent_at)
                wait = self._availability.record_failure(error)
                wait -= self._clock.monotonic() - self._sent_at
                await _store_availability.wait_for_retry(
                    max(wait, MIN_RETRY_WAIT),
                    self._subscriber.has_fresh_servers,
                    self._is_leader() or self._subscriber.reads_store_first,
                )

    def _relies_on_publisher(self):
        return self._subscriber.is_starting() or (
            self._subscriber.has_fresh_servers() and not self._is_leader()
        )

    async def _follow(self):
        """Read the list and watch it until the next list is due."""
        self._sent_at = self._clock.monotonic()
        revision, records = await self._platform.list_servers(CALL_TIMEOUT)
        now = self._clock.monotonic()
        self._next_list_at = now + RELIST_INTERVAL
        if now < self._registry.restored_until:
            self._next_list_at = self._registry.restored_until
        self._record_answer(now)
        _, removed = self._registry.apply_full_list(records, now, revision)
        log_removed(self._log, removed, revision, 'store')
        self._registry.evict_expired(now)
        self._publisher.publish_news()
        while self._clock.monotonic() < self._next_list_at:
            await asyncio.sleep(
                LEADER_WATCH_INTERVAL
                if self._awaits_changes()
                else WATCH_INTERVAL
            )
            if self._relies_on_publisher():
                return
            self._sent_at = self._clock.monotonic()
            revision, changes = await self._platform.watch_servers(
                revision, WATCH_TIME, WATCH_TIME + WATCH_MARGIN
            )
            now = self._clock.monotonic()
            self._record_answer(now)
            self._apply(changes, now, revision)

    def _record_answer(self, now):
        """Record an answer; after an outage, the list is read again soon."""
        self._availability.record_answer()
        if self._contact.record_answer():
            self._next_list_at = now + RELIST_DELAY_AFTER_OUTAGE

    def _apply(self, changes, now, revision):
        """Apply changes, unless the list of a leader has overtaken them."""
        if not self._registry.is_outdated(revision):
            removed = []
            for change in changes:
                if isinstance(change, pool.RemovedServer):
                    self._registry.apply_removal(change, now)
                    removed.append(change)
                else:
                    change = self._registry.correct(change)
                    previous = self._registry.apply_entry(change, now)
                    self._log_change(previous, change)
            log_removed(self._log, removed, revision, 'store')
            self._registry.revision = revision
        self._publisher.publish_news()

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


def log_removed(log, removed, revision, source, silence=None):
    """Log which servers are no longer listed, and who says so.

    Parameters
    ----------
    log : structlog logger
        Logger of the node.
    removed : sequence of balsamwind.pool.RemovedServer
        The servers.
    revision : int
        Store revision up to which the source knows all changes.
    source : str
        The store, or the address of a publisher.
    silence : float or None
        Time since the source was last heard, which bounds how late this is
        (seconds); None if it is not known.
    """
    if removed:
        log.info(
            'servers_unlisted',
            source=source,
            revision=revision,
            servers=[item.server_id for item in removed[:MAX_LOGGED_SERVERS]],
            count=len(removed),
            silence=silence and round(min(silence, 1e6), 3),
        )


def _heads_open_group(record):
    """Whether an engine reports that it is the head of an open group."""
    membership = record.membership
    return membership is not None and membership.state is pool.MemberState.OPEN
