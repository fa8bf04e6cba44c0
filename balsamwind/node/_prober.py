"""Asks the engines of a shard for their reports, to see who still answers."""

import asyncio

from balsamwind import exceptions

INTERVAL = 0.4
"""Time between two questions to an engine (seconds)."""

TIMEOUT = 0.2
"""Longest wait for a report (seconds)."""

PAUSE = 0.6
"""Time after which a question without an answer speaks of a pause of this
node, not of the engine (seconds)."""

MISSES = 2
"""Questions in a row without an answer after which an engine is down
(count)."""


class Prober:
    """Keeps who answers, while this node leads the shard.

    Parameters
    ----------
    outside, registry, clock, log
        The platform, entries, boot time, log.
    """

    def __init__(self, outside, registry, clock, log):
        self._outside = outside
        self._registry = registry
        self._clock = clock
        self._log = log
        self._misses = {}
        self._next_at = {}
        self._asked = set()
        self._returned_at = {}
        self._silent_since = {}
        self._answered_at = {}
        self.requests = {}

    @property
    def down(self):
        """Ids of engines that do not answer."""
        return frozenset(
            server_id
            for server_id, misses in self._misses.items()
            if misses >= MISSES
        )

    def answers_for(self, server_id, now):
        """How long an engine has answered since it was down (seconds)."""
        return now - self._returned_at.get(server_id, float('-inf'))

    def silent_for(self, server_id, now):
        """How long an engine has not answered (seconds)."""
        return now - self._silent_since.get(server_id, now)

    def has_answered_for(self, server_id, seconds, now):
        """Whether an engine has answered in the last `seconds`."""
        answered_at = self._answered_at.get(server_id, float('-inf'))
        return now - answered_at < seconds

    def step(self, records):
        """Ask the engines that are due."""
        now = self._clock.monotonic()
        for record in records:
            server_id = record.server_id
            if server_id in self._asked:
                continue
            if now >= self._next_at.get(server_id, 0.0):
                self._next_at[server_id] = now + INTERVAL
                self._asked.add(server_id)
                asyncio.ensure_future(self._ask(record))
        known = {record.server_id for record in records}
        for server_id in [item for item in self._misses if item not in known]:
            del self._misses[server_id]
            self._silent_since.pop(server_id, None)
            self._answered_at.pop(server_id, None)

    def clear(self):
        """Forget all, as this node no longer leads."""
        self._misses.clear()
        self._silent_since.clear()

    async def _ask(self, record):
        server_id = record.server_id
        asked_at = self._clock.monotonic()
        try:
            report = await self._outside.ask_engine(record, TIMEOUT)
        except exceptions.BadAnswer:
            # Another engine has the address, or this one is confused.
            self._note_miss(record, MISSES, 'bad report', asked_at)
        except exceptions.TransportError as error:
            if self._clock.monotonic() - asked_at < PAUSE:
                self._note_miss(record, 1, str(error), asked_at)
        else:
            if not self._registry.note_report(server_id, report):
                self._note_miss(record, MISSES, 'restarted', asked_at)
                return
            if self._misses.get(server_id, 0) >= MISSES:
                self._log.info('engine_answers_again', engine=server_id)
                self._returned_at[server_id] = self._clock.monotonic()
            self._misses[server_id] = 0
            self._answered_at[server_id] = self._clock.monotonic()
            self._silent_since.pop(server_id, None)
            self.requests[server_id] = report.requests
        finally:
            self._asked.discard(server_id)

    def _note_miss(self, record, count, reason, asked_at):
        self._silent_since.setdefault(record.server_id, asked_at)
        before = self._misses.get(record.server_id, 0)
        # A second question at once tells a lost packet from a lost engine.
        self._next_at[record.server_id] = 0.0
        self._misses[record.server_id] = before + count
        if before < MISSES <= before + count:
            self._log.info(
                'engine_down',
                engine=record.server_id,
                group=record.membership and record.membership.group,
                listed=record.listed,
                reason=reason,
            )
