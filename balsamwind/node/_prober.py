"""Health checks of a shard's engines, by asking for their reports."""

import asyncio

from balsamwind import exceptions

PROBE_INTERVAL = 0.4
"""Time between two probes of an engine (seconds)."""

PROBE_TIMEOUT = 0.2
"""Timeout of one probe (seconds)."""

PROCESS_PAUSE_THRESHOLD = 0.6
"""Duration from which an unanswered probe is not counted as a failure
(seconds). It is far above the timeout, so this node itself was paused."""

FAILURE_THRESHOLD = 2
"""Consecutive failed probes after which an engine counts as down (count)."""


class Prober:
    """Tracks which engines answer, while this node leads the shard.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the engines.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers; takes the reports of engines whose
        entries have been removed.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the shard.

    Attributes
    ----------
    requests : dict of str to int
        Requests that run and wait at each engine, as last reported (count).
    """

    def __init__(self, platform, registry, clock, log):
        self._platform = platform
        self._registry = registry
        self._clock = clock
        self._log = log
        self._failures = {}
        self._next_probe_at = {}
        self._in_flight = set()
        self._recovered_at = {}
        self._silent_since = {}
        self._answered_at = {}
        self.requests = {}

    @property
    def down(self):
        """Ids of the engines that are down."""
        return frozenset(
            server_id
            for server_id, failures in self._failures.items()
            if failures >= FAILURE_THRESHOLD
        )

    def answering_for(self, server_id, now):
        """How long an engine has answered since it was last down (seconds)."""
        return now - self._recovered_at.get(server_id, float('-inf'))

    def silent_for(self, server_id, now):
        """How long an engine has not been answering (seconds)."""
        return now - self._silent_since.get(server_id, now)

    def has_answered_within(self, server_id, seconds, now):
        """Whether an engine has answered within the last `seconds`."""
        answered_at = self._answered_at.get(server_id, float('-inf'))
        return now - answered_at < seconds

    def probe_due(self, records):
        """Probe the engines that are due; forget those not in `records`."""
        now = self._clock.monotonic()
        for record in records:
            server_id = record.server_id
            if server_id in self._in_flight:
                continue
            if now >= self._next_probe_at.get(server_id, 0.0):
                self._next_probe_at[server_id] = now + PROBE_INTERVAL
                self._in_flight.add(server_id)
                asyncio.ensure_future(self._probe(record))
        known = {record.server_id for record in records}
        for server_id in [
            item for item in self._failures if item not in known
        ]:
            del self._failures[server_id]
            self._silent_since.pop(server_id, None)
            self._answered_at.pop(server_id, None)

    def reset(self):
        """Forget what was seen, as this node no longer leads the shard."""
        self._failures.clear()
        self._silent_since.clear()
        self.requests.clear()

    async def _probe(self, record):
        server_id = record.server_id
        sent_at = self._clock.monotonic()
        try:
            report = await self._platform.fetch_engine_report(
                record, PROBE_TIMEOUT
            )
        except exceptions.BadAnswer:
            # Another engine has this address, or the engine's report is
            # invalid.
            self._record_failure(
                record, FAILURE_THRESHOLD, 'bad report', sent_at
            )
        except exceptions.TransportError as error:
            if self._clock.monotonic() - sent_at < PROCESS_PAUSE_THRESHOLD:
                self._record_failure(record, 1, str(error), sent_at)
        else:
            if not self._registry.apply_report(server_id, report):
                self._record_failure(
                    record, FAILURE_THRESHOLD, 'restarted', sent_at
                )
                return
            if self._failures.get(server_id, 0) >= FAILURE_THRESHOLD:
                self._log.info('engine_answers_again', engine=server_id)
                self._recovered_at[server_id] = self._clock.monotonic()
            self._failures[server_id] = 0
            self._answered_at[server_id] = self._clock.monotonic()
            self._silent_since.pop(server_id, None)
            self.requests[server_id] = report.requests
        finally:
            self._in_flight.discard(server_id)

    def _record_failure(self, record, count, reason, sent_at):
        self._silent_since.setdefault(record.server_id, sent_at)
        previous = self._failures.get(record.server_id, 0)
        # An immediate second probe tells a lost packet from a lost engine.
        self._next_probe_at[record.server_id] = 0.0
        self._failures[record.server_id] = previous + count
        if previous < FAILURE_THRESHOLD <= previous + count:
            self._log.info(
                'engine_down',
                engine=record.server_id,
                group=record.membership and record.membership.group,
                listed=record.listed,
                reason=reason,
            )
