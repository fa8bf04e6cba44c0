"""Watch that keeps the configuration up to date."""

import asyncio

from balsamwind import exceptions
from balsamwind.node import _store_availability

CHECK_WAIT = 0.001
"""Wait of a watch that only checks whether there are changes (seconds)."""

MAX_CONFIGURATION_WATCH_TIME = 1.0
"""Longest wait of one watch of the configuration (seconds). Each answer proves
how recent the configuration is."""

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
        self._availability = _store_availability.StoreAvailability(
            'configuration', clock, log
        )

    async def run(self):
        """Keep the configuration up to date; never returns."""
        while True:
            if (
                self._subscriber.is_starting()
                or self._subscriber.has_fresh_proof()
            ):
                self._availability.record_indirect_answer()
                await asyncio.sleep(
                    _store_availability.find_check_interval(self._subscriber)
                )
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
                await _store_availability.wait_for_retry(
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
        await asyncio.sleep(_store_availability.PUBLISHER_CHECK_INTERVAL)
        while self._clock.monotonic() < deadline:
            if (
                self._subscriber.has_fresh_proof()
                or self._subscriber.knows_newer_version()
            ):
                return
            await asyncio.sleep(_store_availability.PUBLISHER_CHECK_INTERVAL)

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
