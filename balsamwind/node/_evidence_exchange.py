"""Exchange of the evidence of crashes between all nodes.

Within a data centre, evidence goes along the updates: a subscriber sends it to
its publisher, which sends it to all subscribers. Between data centres it goes
through the store, where the publisher of each one keeps an object.
"""

import asyncio

from balsamwind import exceptions
from balsamwind.node import _store_availability
from balsamwind.node import _updates

SETTLE_TIME = 0.05
"""Time before evidence is written to the store, in which nodes of the data
centre may clear parts (seconds)."""

CALL_TIMEOUT = 0.8
"""Timeout of one call to the store (seconds)."""

WATCH_TIME = 5.0
"""Longest wait of one watch while nothing is suspected (seconds)."""

ALERT_WATCH_TIME = 1.5
"""Longest wait of one watch while something is (seconds). A connection may
have gone silent."""

WATCH_MARGIN = 0.5
"""Time added to the longest wait of a watch for its timeout (seconds)."""

RETRY_INTERVAL = 0.3
"""Wait after a call that failed or a write that met another one (seconds)."""


class EvidenceExchange:
    """Passes on what this node learns of prompt parts.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    quarantine : balsamwind.relay.CrashQuarantine
        Evidence of this node.
    records : EvidenceRecords
        Evidence in the store.
    publisher : UpdatePublisher
        Sends to the subscribers of this node.
    link : PublisherLink
        Connection to the publisher of this node.
    has_publisher : callable
        Returns whether a publisher keeps this node up to date.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.

    Attributes
    ----------
    is_known : bool
        Whether this node has been told all that others knew as it started.
    on_known : callable
        Called once it has.
    """

    def __init__(
        self,
        data_centre,
        quarantine,
        records,
        publisher,
        link,
        has_publisher,
        clock,
        log,
    ):
        self._data_centre = data_centre
        self._quarantine = quarantine
        self._records = records
        self._publisher = publisher
        self._link = link
        self._has_publisher = has_publisher
        self._clock = clock
        self._log = log
        self._stored_pairs = set()
        self._write_due = asyncio.Event()
        self._is_writing = False
        self.is_known = False
        self.on_known = _ignore

    @property
    def has_unwritten(self):
        """Whether other data centres are still to be told of evidence."""
        return not self._has_publisher() and (
            self._write_due.is_set() or self._is_writing
        )

    def start(self):
        """Exchange all evidence with the publisher of a new connection."""
        self._link.send(_updates.EvidenceRequest(self._make_snapshot()))

    def answer_request(self, request):
        """Take the evidence of a new subscriber, and make the answer.

        Parameters
        ----------
        request : EvidenceRequest
            What the subscriber knows.

        Returns
        -------
        balsamwind.relay.CrashEvidence
            What this node knows.
        """
        self.receive(request.evidence)
        return self._make_snapshot()

    def receive_from_publisher(self, evidence):
        """Take evidence of the publisher, which answers `start` with all.

        Parameters
        ----------
        evidence : balsamwind.relay.CrashEvidence
            Evidence, which may be known already.
        """
        self.receive(evidence)
        self._note_known()

    def _note_known(self):
        if not self.is_known:
            self.is_known = True
            self.on_known()

    def receive(self, evidence):
        """Take evidence of another node, and pass on what is new.

        Parameters
        ----------
        evidence : balsamwind.relay.CrashEvidence
            Evidence, which may be known already.
        """
        news = self._quarantine.merge(evidence, self._clock.monotonic())
        if news:
            self.share(news)

    def share(self, news):
        """Send evidence that is new here to the other nodes.

        Parameters
        ----------
        news : balsamwind.relay.CrashEvidence
            New evidence.
        """
        self._publisher.broadcast(news)
        self._link.send(news)
        if self._concerns_store(news):
            self._write_due.set()

    def write_again(self):
        """Write the evidence again, as the store may have lost it."""
        self._write_due.set()

    def _concerns_store(self, news):
        news = self._quarantine.find_news_for_others(news)
        is_own = any(
            report.data_centre == self._data_centre for report in news.reports
        )
        return is_own or not self._stored_pairs.isdisjoint(
            _find_sound_pairs(news)
        )

    def _make_snapshot(self):
        return self._quarantine.make_snapshot(self._clock.monotonic())

    def _make_own_snapshot(self):
        """Make what other data centres must know of this one."""
        return self._quarantine.make_snapshot(
            self._clock.monotonic(), self._data_centre
        )

    async def run(self):
        """Exchange evidence with other data centres; never returns."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_watches())
            tasks.create_task(self._run_writes())

    async def _run_watches(self):
        while True:
            if self._has_publisher():
                await asyncio.sleep(
                    _store_availability.PUBLISHER_CHECK_INTERVAL
                )
                continue
            try:
                await self._watch()
            except (exceptions.HistoryGone, exceptions.StoreError) as error:
                self._log.debug('evidence_not_read', reason=str(error))
                await asyncio.sleep(RETRY_INTERVAL)

    async def _watch(self):
        revision, items = await self._records.list(CALL_TIMEOUT)
        self._check_written(items)
        while True:
            for evidence in items:
                self._receive_stored(evidence)
            self._note_known()
            if self._has_publisher():
                return
            wait = (
                ALERT_WATCH_TIME
                if self._quarantine.concerns_others
                else WATCH_TIME
            )
            revision, items = await self._records.watch(
                revision, wait, wait + WATCH_MARGIN
            )

    def _check_written(self, items):
        """Have written what an earlier publisher was told, and did not write.

        Parameters
        ----------
        items : list of balsamwind.relay.CrashEvidence
            All evidence in the store.
        """
        pairs = set().union(*map(_find_pairs, items))
        sound = set().union(*map(_find_sound_pairs, items))
        own = self._make_own_snapshot()
        if (
            _find_pairs(own) <= pairs
            and _find_sound_pairs(own) & pairs <= sound
        ):
            return
        self._log.info('evidence_unwritten', reports=len(own.reports))
        self._write_due.set()

    def _receive_stored(self, evidence):
        self._stored_pairs |= _find_pairs(evidence)
        self.receive(evidence)

    async def _run_writes(self):
        while True:
            await self._write_due.wait()
            await asyncio.sleep(SETTLE_TIME)
            self._write_due.clear()
            if self._has_publisher():
                continue
            self._is_writing = True
            try:
                await self._write()
            except (exceptions.Conflict, exceptions.StoreError) as error:
                self._log.debug('evidence_not_written', reason=str(error))
                self._write_due.set()
                await asyncio.sleep(RETRY_INTERVAL)
            finally:
                self._is_writing = False

    async def _write(self):
        """Write the evidence of this data centre, if it has changed."""
        revision, stored = await self._records.read(
            self._data_centre, CALL_TIMEOUT
        )
        self._receive_stored(stored)
        evidence = self._make_own_snapshot()
        if _find_pairs(evidence) == _find_pairs(stored) and _find_sound_pairs(
            evidence
        ) == _find_sound_pairs(stored):
            return
        await self._records.write(
            self._data_centre, evidence, revision, CALL_TIMEOUT
        )
        self._stored_pairs |= _find_pairs(evidence)


def _ignore():
    """Stand in until the node waits for the evidence."""


def _find_pairs(evidence):
    """Return the crashes on record with their parts, as a set of tuples."""
    return {
        (report.service, part, report.crash)
        for report in evidence.reports
        for part in report.parts
    }


def _find_sound_pairs(evidence):
    """Return the crashes that parts are cleared of, as a set of tuples."""
    return {
        (item.service, item.part, crash)
        for item in evidence.sound
        for crash in item.crashes
    }
