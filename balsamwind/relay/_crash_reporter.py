"""Confirmation that an engine has crashed, after an answer was broken off."""

import asyncio

from balsamwind import exceptions
from balsamwind.relay import _crash_evidence
from balsamwind.relay import _fingerprint

CONFIRMATION_TIMEOUT = 0.35
"""Longest wait for the refusal of a connection (seconds)."""

LATER_CHECK_DELAY = 0.6
"""Time after an unfinished answer at which its server is looked at if it had
not ended by then, or the node itself ended the attempt (seconds)."""


class CrashReporter:
    """Reports crashes of engines that were giving an answer.

    A broken connection alone proves no crash: links are reset, and engines
    break off single answers. The port of an engine that has crashed refuses
    connections, of all nodes.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Takes the evidence.
    client : balsamwind.adapters.HttpClient
        Client with the connections to engines.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    judge_refusal : callable
        Coroutine function that takes the entry of a server that refuses
        connections of this node, and returns the `EndVerdict`.

    Attributes
    ----------
    on_evidence : callable
        Called with the `CrashEvidence` that other nodes must know.
    on_verdict : callable
        Called with the entry of a server that did not finish an answer, the
        `EndVerdict`, and the parts or fingerprint of the request.
    """

    __slots__ = (
        '_abandoned',
        '_checks',
        '_client',
        '_clock',
        '_judge_refusal',
        '_log',
        '_quarantine',
        '_tasks',
        'on_evidence',
        'on_verdict',
    )

    def __init__(self, quarantine, client, clock, log, judge_refusal):
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._log = log
        self._judge_refusal = judge_refusal
        self._tasks = set()
        self._checks = {}
        self._abandoned = {}
        self.on_evidence = _ignore
        self.on_verdict = _ignore

    @property
    def has_open_checks(self):
        """Whether it is still to be found out what a server has done."""
        return bool(self._tasks)

    def report_broken_answer(
        self, backend, service, parts, fingerprint, progress
    ):
        """Report that an answer was broken off by its server.

        Parameters
        ----------
        backend : Backend
            Backend that the request was sent to.
        service : str
            Name of its service.
        parts : tuple of str
            Parts of the prompt that other requests may share.
        fingerprint : str
            Fingerprint of the request.
        progress : AttemptProgress
            How far the attempt had come.
        """
        now = self._clock.monotonic()
        suspected = _list_suspected(parts, fingerprint, progress, now)
        self._start(self._confirm(backend.record, service, suspected, now))

    async def _confirm(self, record, service, suspected, broken_at):
        verdict = await self._find_verdict(record)
        if verdict.is_preliminary:
            self._watch(record, service, suspected)
            return
        self._settle(record, service, suspected, verdict, broken_at)

    def watch_abandoned(self, backend, service, parts, fingerprint, progress):
        """Report if a server crashes soon after an attempt was ended.

        Whoever ended the attempt, its server may still work on it, and its
        connection shows nothing any more. Attempts at one server that end
        together cost one connection at most.

        Parameters
        ----------
        backend, service, parts, fingerprint, progress
            As for `report_broken_answer`.
        """
        now = self._clock.monotonic()
        suspected = _list_suspected(parts, fingerprint, progress, now)
        self._watch(backend.record, service, suspected)

    def _watch(self, record, service, suspected):
        key = (record.server_id, record.born)
        if key in self._abandoned:
            self._abandoned[key] += suspected
            return
        self._abandoned[key] = suspected
        self._start(self._check_later(record, service, key))

    async def _check_later(self, record, service, key):
        try:
            await asyncio.sleep(LATER_CHECK_DELAY)
        finally:
            suspected = self._abandoned.pop(key)
        checked_at = self._clock.monotonic()
        verdict = _crash_evidence.EndVerdict.LISTENS
        if not self._client.has_idle_connection(record.address):
            verdict = await self._find_verdict(record)
        self._settle(record, service, suspected, verdict, checked_at)

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _settle(self, record, service, suspected, verdict, broken_at):
        for names, duration in suspected:
            self.on_verdict(record, verdict, names)
            if verdict.is_shown:
                self._record(record, service, names, duration, broken_at)

    async def _find_verdict(self, record):
        """Find out once for all answers that one server has broken off."""
        key = (record.server_id, record.born)
        check = self._checks.get(key)
        if check is None:
            check = asyncio.ensure_future(self._check(record))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key))
        return await asyncio.shield(check)

    async def _check(self, record):
        error = await self._client.try_connecting(
            record.address, CONFIRMATION_TIMEOUT
        )
        match error:
            case None:
                return _crash_evidence.EndVerdict.LISTENS
            case exceptions.ConnectionRefused():
                return await self._judge_refusal(record)
        return _crash_evidence.EndVerdict.SILENT

    def _record(self, record, service, parts, duration, broken_at):
        crash = f'{record.server_id}:{record.born}'
        now = self._clock.monotonic()
        evidence = self._quarantine.record_crash(
            crash, service, parts, duration, now, now - broken_at
        )
        self._log.info(
            'engine_crashed_on_request'
            if _fingerprint.is_fingerprint(parts[0])
            else 'engine_crashed_on_prompt',
            engine=record.server_id,
            crash=crash,
            parts=list(parts),
            suspected=_find_uncleared(evidence),
        )
        if evidence:
            self.on_evidence(evidence)

    def record_answer(self, service, parts, fingerprint, progress):
        """Record that one server gave a whole answer to a request.

        Parameters
        ----------
        service : str
            Name of the service that answered.
        parts : tuple of str
            Parts of the prompt that other requests may share; empty if the
            answer has no events.
        fingerprint : str or None
            Fingerprint of the request; None if nothing is suspected.
        progress : AttemptProgress
            Times of the attempt.
        """
        now = self._clock.monotonic()
        if parts and progress.began_at is not None:
            self._share_answer(service, parts, now - progress.began_at, now)
        if fingerprint is not None:
            self._share_answer(
                service, (fingerprint,), now - progress.sent_at, now
            )

    def _share_answer(self, service, parts, duration, now):
        evidence = self._quarantine.record_answer(
            service, parts, duration, now
        )
        if evidence:
            self.on_evidence(evidence)

    def close(self):
        """Cancel the checks that are under way."""
        for task in [*self._tasks, *self._checks.values()]:
            task.cancel()


def _list_suspected(parts, fingerprint, progress, now):
    """Return prompt parts, the fingerprint, and how long each had run."""
    suspected = []
    if parts and progress.began_at is not None:
        suspected.append((parts, now - progress.began_at))
    suspected.append(((fingerprint,), now - progress.sent_at))
    return suspected


def _find_uncleared(evidence):
    """Return the parts of new reports that no answer clears (list of str)."""
    cleared = {item.part for item in evidence.sound}
    return [
        part
        for report in evidence.reports
        for part in report.parts
        if part not in cleared
    ]


def _ignore(*values):
    """Stand in until the evidence is shared and logged."""
