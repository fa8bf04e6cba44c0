"""Loops that follow what the platform's store says."""

import asyncio

from balsamwind import exceptions
from balsamwind import pool

CONFIGURATION_WATCH = 1.0
"""Longest wait of one watch of the configuration, each of which proves its
age (seconds)."""

NEWS_PAUSE = 0.2
"""How often it is looked whether other nodes still bring news (seconds)."""

NEWS_WAIT = 1.5
"""Time in which a source should prove what was just read (seconds)."""

STORM_PAUSE = 0.6
"""Time between a change of the configuration and the next read, in case
others follow at once (seconds)."""

CALL_TIMEOUT = 0.8
"""Longest wait for the store's answer (seconds)."""

READ_TIMEOUT = 2.0
"""Longest wait for a whole configuration (seconds)."""

RETRY_INTERVAL = 0.25
"""Wait after a call that failed (seconds)."""

MAX_RETRY_INTERVAL = 0.6
"""Longest wait after calls that failed one after another (seconds)."""

WATCH_TIME = 0.8
"""Longest wait of one watch (seconds)."""

WATCH_SLACK = 0.5
"""Time that a watch may answer after its own wait (seconds)."""

WATCH_PAUSE = 0.2
"""Pause between watches, in which changes gather (seconds)."""

LEADER_WATCH_PAUSE = 0.08
"""The same while this node leads a shard and waits for engines (seconds)."""

LIST_INTERVAL = 8.0
"""Time between two whole lists, in case a watch missed changes (seconds)."""

LIST_AFTER_RETURN = 2.7
"""Time until the next whole list after the store was away (seconds)."""

AWAY = 1.5
"""Silence of the store after which entries may have lapsed (seconds)."""


class StoreContact:
    """Notes when the store was last heard, and logs loss and return."""

    __slots__ = ('_clock', '_failures', '_lost', '_log', '_name', 'heard_at')

    def __init__(self, name, clock, log):
        self._name = name
        self._clock = clock
        self._log = log
        self._lost = False
        self._failures = 0
        self.heard_at = clock.monotonic()

    def note_answer(self):
        """Note an answer; how long the store was silent (seconds)."""
        now = self._clock.monotonic()
        silent = now - self.heard_at
        self.heard_at = now
        self._failures = 0
        if self._lost:
            self._lost = False
            self._log.info(
                'store_regained', call=self._name, silent=round(silent, 2)
            )
        return silent

    def note_other_way(self):
        """Note that the store is heard through another node."""
        self.heard_at = self._clock.monotonic()

    def note_failure(self, error):
        """Note a call that failed; when to try again (seconds)."""
        self._failures += 1
        if not self._lost:
            self._lost = True
            self._log.warning('store_lost', call=self._name, reason=str(error))
        return min(self._failures * RETRY_INTERVAL, MAX_RETRY_INTERVAL)


class ConfigurationFollower:
    """Keeps the configuration in force the newest.

    Parameters
    ----------
    outside : balsamwind.node.Outside
        The platform.
    book : balsamwind.traffic.ConfigurationBook
        Configuration in force.
    clock : balsamwind.ports.Clock
        Boot time.
    log : structlog logger
        Log.
    on_change : callable
        Called after the version in force has changed.
    news : NewsReader
        Says whether another node keeps the proof of the configuration fresh,
        or knows a newer version.
    """

    def __init__(self, outside, book, clock, log, on_change, news):
        self._outside = outside
        self._news = news
        self._book = book
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._contact = StoreContact('configuration', clock, log)

    async def run(self):
        """Follow for ever."""
        while True:
            if self._news.has_proof():
                self._contact.note_other_way()
                await asyncio.sleep(NEWS_PAUSE)
                continue
            try:
                if self._news.has_servers():
                    await self._read_beside_news()
                else:
                    await self._follow()
            except exceptions.HistoryGone as error:
                self._log.info('configuration_reread', reason=str(error))
            except exceptions.StoreError as error:
                await asyncio.sleep(self._contact.note_failure(error))

    async def _read_beside_news(self):
        """Read once; a source tells whether that is the newest, or of more.

        Answers a configuration that changes at many nodes at once: each
        version costs each node one read.
        """
        await self._read()
        end = self._clock.monotonic() + NEWS_WAIT
        await asyncio.sleep(NEWS_PAUSE)
        while self._clock.monotonic() < end:
            if self._news.has_proof() or self._news.is_behind():
                return
            await asyncio.sleep(NEWS_PAUSE)

    async def _follow(self):
        revision = await self._read_until_settled()
        while not self._news.has_proof():
            sent_at = self._clock.monotonic()
            revision, found = await self._outside.watch_configuration(
                revision,
                CONFIGURATION_WATCH,
                CONFIGURATION_WATCH + CALL_TIMEOUT,
            )
            self._take(found, sent_at)
            if found is not None:
                await asyncio.sleep(STORM_PAUSE)
                revision = await self._read_until_settled()

    async def _read_until_settled(self):
        """Read until nothing changes; the revision to watch from.

        A watch brings each version as a whole: while versions come in quick
        succession, reading the newest now and then costs far fewer bytes.
        """
        while True:
            before = self._book.version
            revision = await self._read()
            if self._book.version == before:
                return revision
            await asyncio.sleep(STORM_PAUSE)

    async def _read(self):
        """Read the newest version; the revision to watch from."""
        sent_at = self._clock.monotonic()
        revision, found = await self._outside.read_configuration(READ_TIMEOUT)
        self._take(found, sent_at)
        return revision

    def _take(self, found, sent_at):
        self._contact.note_answer()
        if found is None:
            self._book.confirm(sent_at)
            return
        before = self._book.version
        if self._book.accept(found, sent_at):
            self._log.info(
                'configuration_in_force',
                version=found.version,
                before=before,
                routes=len(found.routes),
                accounts=len(found.accounts or ()),
            )
            self._on_change()
        elif found.version < before:
            self._log.warning(
                'configuration_older', version=found.version, kept=before
            )


class ServerFollower:
    """Keeps the registry of backend servers.

    Parameters
    ----------
    outside, registry, clock, log
        What it reads from and writes to.
    leads : callable
        Whether this node leads a shard.
    has_news : callable
        Whether another node keeps the registry fresh.
    source : NewsSource
        Tells other nodes.
    """

    def __init__(self, outside, registry, clock, log, leads, has_news, source):
        self._leads = leads
        self._has_news = has_news
        self._source = source
        self._outside = outside
        self._registry = registry
        self._clock = clock
        self._log = log
        self._contact = StoreContact('servers', clock, log)
        self._list_at = 0.0

    async def run(self):
        """Follow for ever."""
        while True:
            if self._may_listen():
                self._contact.note_other_way()
                self._registry.forget(self._clock.monotonic())
                await asyncio.sleep(NEWS_PAUSE)
                continue
            try:
                await self._follow()
            except exceptions.HistoryGone as error:
                self._log.info('watch_restarted', reason=str(error))
            except exceptions.StoreError as error:
                await asyncio.sleep(self._contact.note_failure(error))

    def _may_listen(self):
        return self._has_news() and not self._leads()

    async def _follow(self):
        revision, records = await self._outside.list_servers(CALL_TIMEOUT)
        now = self._clock.monotonic()
        self._list_at = now + LIST_INTERVAL
        self._note_answer(now)
        self._registry.replace(records, now)
        self._registry.forget(now)
        self._source.tell_whole()
        while self._clock.monotonic() < self._list_at:
            if self._may_listen():
                return
            leads = self._leads()
            await asyncio.sleep(LEADER_WATCH_PAUSE if leads else WATCH_PAUSE)
            revision, changes = await self._outside.watch_servers(
                revision, WATCH_TIME, WATCH_TIME + WATCH_SLACK
            )
            now = self._clock.monotonic()
            self._note_answer(now)
            self._apply(changes, now)

    def _note_answer(self, now):
        silent = self._contact.note_answer()
        if silent > WATCH_TIME + AWAY:
            self._registry.note_return(now)
            self._list_at = now + LIST_AFTER_RETURN

    def _apply(self, changes, now):
        records = []
        removed = []
        for change in changes:
            if isinstance(change, pool.RemovedServer):
                self._registry.remove(change, now)
                removed.append(change)
            else:
                before = self._registry.put(change, now)
                self._log_change(before, change)
                records.append(change)
        self._source.tell_changes(records, removed)

    def _log_change(self, before, record):
        """Log a restart, a change of state, an opening or a closing."""
        if before is not None and (
            before.state == record.state
            and before.born == record.born
            and _is_open(before) == _is_open(record)
        ):
            return
        place = record.membership
        self._log.info(
            'engine_changed',
            engine=record.server_id,
            revision=record.revision,
            state=record.state.value,
            group=place and place.group,
            member=place and place.state.value,
            restarted=before is not None and before.born != record.born,
        )


def _is_open(record):
    """Whether an engine says that it is the head of an open group."""
    place = record.membership
    return place is not None and place.state is pool.MemberState.OPEN
