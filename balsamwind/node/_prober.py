"""Health checks of a shard's engines, by asking for their reports."""

import asyncio
import contextlib

from balsamwind import exceptions
from balsamwind.node import _engine_health
from balsamwind import relay

PROBE_INTERVAL = 0.4
"""Time between two probes of an engine (seconds)."""

PROBE_TIMEOUT = 0.2
"""Timeout of one probe (seconds)."""

ASK_INTERVAL = 0.4
"""Time between two questions to other nodes about an engine that is down,
until enough of them were asked (seconds)."""

REPEATED_ASK_INTERVAL = 1.5
"""Time between two such questions afterwards (seconds)."""

PROCESS_PAUSE_THRESHOLD = 0.6
"""Duration from which an unanswered probe is not counted as a failure
(seconds). It is far above the timeout, so this node itself was paused."""


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
    opinions : ReachOpinions or None
        Asks other nodes about engines; None if there are none.

    Attributes
    ----------
    requests : dict of str to int
        Requests that run and wait at each engine, as last reported (count).
    """

    def __init__(self, platform, registry, clock, log, opinions=None):
        self._platform = platform
        self._registry = registry
        self._clock = clock
        self._log = log
        self._next_probe_at = {}
        self._in_flight = set()
        self._health = _engine_health.EngineHealth()
        self._was_blind = False
        self._opinions = opinions
        self._asks_others = True
        self._asking = set()
        self._next_ask_at = {}
        self._confirmed = set()
        self.requests = {}

    @property
    def down(self):
        """Ids of the engines that are down.

        An engine counts as down only once another node was asked about it.
        """
        return frozenset(
            server_id
            for server_id in self._health.down
            if not self._awaits_opinion(server_id)
        )

    @property
    def is_blind(self):
        """Whether this node has no path to any engine."""
        return self._health.is_blind(self._clock.monotonic())

    def answering_for(self, server_id, now):
        """How long an engine has answered since it was last down (seconds)."""
        recovered_at = self._health.recovered_at
        return now - recovered_at.get(server_id, float('-inf'))

    def silent_for(self, server_id, now):
        """How long an engine has not been answering (seconds)."""
        return self._health.silent_for(server_id, now)

    def is_lost(self, server_id, max_silence, now):
        """Tell whether an engine that is down will not go on.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        max_silence : float
            Time for which a sound engine may be silent (seconds).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return (
            self._health.has_ended(server_id)
            or self.silent_for(server_id, now) >= max_silence
        )

    def has_answered_within(self, server_id, seconds, now):
        """Whether an engine has answered within the last `seconds`."""
        answered_at = self._health.answered_at
        return now - answered_at.get(server_id, float('-inf')) < seconds

    def probe_due(self, records, witnesses=(), asks_others=True):
        """Probe the engines that are due; forget those not in `records`.

        Beside engines that have failed, another one is probed, which shows
        whether this node has a path to any of them.

        Parameters
        ----------
        records : list of balsamwind.pool.ServerRecord
            Engines to watch.
        witnesses : iterable of balsamwind.pool.ServerRecord
            Engines that are only probed beside others.
        asks_others : bool
            Whether other nodes are asked about engines that have failed.
        """
        self._asks_others = asks_others
        now = self._clock.monotonic()
        due = [record for record in records if self._is_due(record, now)]
        suspects = self._health.suspects
        if due and all(record.server_id in suspects for record in due):
            due.extend(self._choose_witness([*records, *witnesses], suspects))
        for record in due:
            self._next_probe_at[record.server_id] = now + PROBE_INTERVAL
            self._in_flight.add(record.server_id)
            asyncio.ensure_future(self._probe(record))
        self._health.keep_only({record.server_id for record in records})
        for record in records:
            self._ask_if_failed(record)
        self._forget_others(records)
        self._note_blindness()

    def _forget_others(self, records):
        ids = {record.server_id for record in records}
        self._next_ask_at = {
            server_id: at
            for server_id, at in self._next_ask_at.items()
            if server_id in ids
        }
        if self._opinions is not None:
            self._opinions.keep_only(ids)

    def _is_due(self, record, now):
        server_id = record.server_id
        return (
            server_id not in self._in_flight
            and now >= self._next_probe_at.get(server_id, 0.0)
        )

    def _choose_witness(self, records, suspects):
        """Choose an engine that is not suspected; none if there is none."""
        candidates = [
            record
            for record in records
            if record.listed
            and record.server_id not in suspects
            and record.server_id not in self._in_flight
        ]
        return candidates[:1]

    def _note_blindness(self):
        """Forget what was seen when this node has no path to any engine."""
        is_blind = self.is_blind
        if is_blind and not self._was_blind:
            self._log.warning('engines_out_of_reach')
        if is_blind:
            self._health.forget_failures()
            self._confirmed.clear()
        self._was_blind = is_blind

    def reset(self):
        """Forget what was seen, as this node no longer leads the shard."""
        self._health.reset()
        self.forget_opinions()

    def forget_opinions(self):
        """Forget all but what this node has seen of silent engines itself."""
        self._confirmed.clear()
        self._next_ask_at.clear()
        if self._opinions is not None:
            self._opinions.reset()
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
            self._record_other_answer(record, 'bad report', sent_at)
        except exceptions.TransportError as error:
            if self._clock.monotonic() - sent_at < PROCESS_PAUSE_THRESHOLD:
                self._record_failure(record, error, sent_at)
        else:
            if not self._registry.apply_report(server_id, report):
                self._record_other_answer(record, 'restarted', sent_at)
                return
            now = self._clock.monotonic()
            with self._log_changes(record, ''):
                self._health.record_answer(server_id, sent_at, now)
            self._confirmed.discard(server_id)
            self.requests[server_id] = report.requests
        finally:
            self._in_flight.discard(server_id)

    def _record_other_answer(self, record, reason, sent_at):
        self._confirmed.add(record.server_id)
        with self._log_changes(record, reason):
            self._health.record_other_answer(record.server_id, sent_at)
        self._next_probe_at[record.server_id] = 0.0

    def _record_failure(self, record, error, sent_at):
        with self._log_changes(record, str(error)):
            self._health.record_failure(
                record.server_id,
                sent_at,
                record.listed,
                isinstance(error, exceptions.ConnectionRefused),
                is_unopened=not error.sent,
            )
        self._ask_if_failed(record)
        # An immediate second probe tells a lost packet from a lost engine.
        if not self.is_blind:
            self._next_probe_at[record.server_id] = 0.0

    def _awaits_opinion(self, server_id):
        """Tell whether another node must be asked about an engine.

        The path of this node to this engine alone may be lost, also if the
        engine has lost its own to the store.
        """
        return self._opinions is not None and server_id not in self._confirmed

    def _ask_if_failed(self, record):
        """Ask other nodes about an engine, and again while it is down."""
        server_id = record.server_id
        now = self._clock.monotonic()
        if (
            self._opinions is None
            or not self._asks_others
            or not self._health.has_failed(server_id)
            or server_id in self._asking
            or (
                server_id in self._confirmed
                and now < self._next_ask_at.get(server_id, 0.0)
            )
        ):
            return
        self._asking.add(server_id)
        asyncio.ensure_future(self._ask(record))

    async def _ask(self, record):
        server_id = record.server_id
        reach = relay.Reach.UNKNOWN
        try:
            reach = await self._opinions.ask(record)
        except Exception:
            self._log.exception('opinion_failed', engine=server_id)
        finally:
            self._asking.discard(server_id)
        self._next_ask_at[server_id] = self._clock.monotonic() + (
            REPEATED_ASK_INTERVAL
            if self._opinions.are_enough(record)
            else ASK_INTERVAL
        )
        if reach is relay.Reach.ANSWERS:
            self._record_vouched(record)
            return
        with self._log_changes(record, f'another node: {reach.value}'):
            self._confirmed.add(server_id)

    def _record_vouched(self, record):
        server_id = record.server_id
        self._log.info('engine_answers_another_node', engine=server_id)
        with self._log_changes(record, ''):
            self._health.record_vouched(server_id)
            self._confirmed.discard(server_id)

    @contextlib.contextmanager
    def _log_changes(self, record, reason):
        """Log the engines that are down, or no longer, after the block."""
        before = self.down
        yield
        after = self.down
        for server_id in after - before:
            known = self._registry.get(server_id) or record
            self._log.info(
                'engine_down',
                engine=server_id,
                group=known.membership and known.membership.group,
                listed=known.listed,
                reason=reason or 'no answer, while others answer',
            )
        for server_id in before - after:
            self._log.info('engine_answers_again', engine=server_id)
