"""Quarantine of what crashes the servers that run it.

Load pattern: requests that share one part of their prompt crash each engine
that answers them. They come at any node, a few at each, among sound
requests that share their other parts and their caller. Or one request crashes
each server that runs it, and its caller repeats it at any node. Sent again
and again, they take down one server after the other.

The engine need not end at once: it may have sent events for a while, or
nothing for a while, and sound answers run beside the deadly one.

The nodes share the evidence: which prompt parts an engine was answering when
it crashed, and which requests ran there, by their fingerprints. Below, a part
is either of them. A part is quarantined after crashes that followed each
other, unless another part explains all of them, or enough whole answers to
requests with that part speak for it.
"""

import collections
import contextlib
import dataclasses

from balsamwind.relay import _crash_evidence
from balsamwind.relay import _crash_suspects
from balsamwind.relay import _fingerprint
from balsamwind.relay import _node_order
from balsamwind.relay import _sound_answers

RETENTION_TIME = 2.0 * _crash_suspects.MAX_QUARANTINE_TIME
"""Time for which a crash is remembered (seconds)."""

MAX_SUSPECTS = 1024
"""Parts of which crashes are remembered (count)."""

MAX_CLEARED = 256
"""Crashes that parts were cleared of and that are remembered (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Quarantine:
    """A part whose requests are not sent to servers.

    Parameters
    ----------
    part : str
        Id of the part.
    crashes : int
        Crashes that followed each other (count).
    time_left : float
        Time until requests with the part are sent again (seconds).
    """

    part: str
    crashes: int
    time_left: float


class CrashQuarantine:
    """Evidence of crashes, and the parts that are quarantined by it.

    Parameters
    ----------
    data_centre : str
        Data centre of the node, for its reports.

    Attributes
    ----------
    on_change : callable
        Called with each `QuarantineBegun` and `PartCleared`.
    node_order : NodeOrder
        Place of this node among all nodes.
    """

    __slots__ = (
        '_answers',
        '_cleared',
        '_data_centre',
        '_listeners',
        '_suspects',
        'node_order',
        'on_change',
    )

    def __init__(self, data_centre):
        self._data_centre = data_centre
        self._listeners = set()
        self.on_change = _ignore
        self.node_order = _node_order.NodeOrder()
        self._suspects = collections.OrderedDict()
        self._cleared = collections.OrderedDict()
        self._answers = _sound_answers.SoundAnswers()

    @property
    def has_suspects(self):
        """Whether crashes are on record for any part."""
        return bool(self._suspects)

    @property
    def concerns_others(self):
        """Whether crashes are on record that other data centres must know."""
        return any(map(self._concerns_others, self._suspects))

    @contextlib.contextmanager
    def watch(self, listener):
        """Tell a request of parts that are quarantined during the block.

        Parameters
        ----------
        listener : callable
            Called without arguments each time; it must not ask at once.
        """
        self._listeners.add(listener)
        try:
            yield
        finally:
            self._listeners.discard(listener)

    def _concerns_others(self, key):
        """Tell whether other data centres must know the crashes of a part.

        A request that ran during one crash only is mostly a sound one that
        happened to be there; few of them are seen again.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        if not _fingerprint.is_fingerprint(key[1]):
            return True
        return suspect.find_series().count >= _crash_suspects.MIN_EARLY_CRASHES

    def find_news_for_others(self, evidence):
        """Find what other data centres must know of new evidence.

        Parameters
        ----------
        evidence : CrashEvidence
            Evidence that is new here.

        Returns
        -------
        CrashEvidence
        """
        reports = [
            report
            for report in evidence.reports
            if any(
                self._concerns_others((report.service, part))
                for part in report.parts
            )
        ]
        return _crash_evidence.CrashEvidence(tuple(reports), evidence.sound)

    def count_quarantined(self, now):
        """Count the parts that are quarantined, unless others explain them.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        int
        """
        return sum(
            self.find(service, (part,), now) is not None
            for service, part in self._suspects
        )

    def find(self, service, parts, now):
        """Find a quarantined part of a request.

        A part is not to blame if a part that the request lacks has been in
        all the crashes of the first one: then the other explains them. Of two
        requests, only the one that has been in more crashes does.

        Parameters
        ----------
        service : str
            Service of the request.
        parts : tuple of str
            Parts of its prompt, and its fingerprint.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Quarantine or None
        """
        blamed = self._find_blamed(service, parts)
        return _find_held(blamed, now)

    def find_obstacle(self, service, parts, now, trial=None):
        """Find why a request may not be sent, or not yet again.

        Once a quarantine is over, the nodes follow each other, see
        `NodeOrder`, and each lets one request through at a time until enough
        answers speak for the part.

        Parameters
        ----------
        service, parts, now
            As for `find`.
        trial : object or None
            The attempt, as given to `begin_trial`.

        Returns
        -------
        Quarantine or None
        """
        blamed = self._find_blamed(service, parts)
        held = _find_held(blamed, now)
        if held is not None:
            return held
        for part, suspect, series in blamed:
            begins_at = series.quarantine_ends_at
            begins_at += self.node_order.find_trial_delay(part, series.count)
            if suspect.trial is not trial:
                begins_at = max(begins_at, suspect.trial_ends_at)
            if begins_at > now:
                return Quarantine(part, series.count, begins_at - now)
        return None

    def begin_trial(self, service, parts, trial, now):
        """Record that a request is sent whose parts were quarantined.

        Parameters
        ----------
        service, parts, trial, now
            As for `find_obstacle`.
        """
        for _, suspect, series in self._find_blamed(service, parts):
            if series.quarantine_ends_at <= now:
                suspect.trial = trial
                suspect.trial_ends_at = now + _crash_suspects.MAX_TRIAL_TIME

    def _find_blamed(self, service, parts):
        """Find parts that are, or were, quarantined, and not cleared since.

        Returns
        -------
        list of (str, Suspect, CrashSeries)
        """
        blamed = []
        for part in parts:
            suspect = self._suspects.get((service, part))
            if suspect is None:
                continue
            series = suspect.find_series()
            if series.quarantine_time and not self._is_explained(
                service, part, parts
            ):
                blamed.append((part, suspect, series))
        return blamed

    def _is_explained(self, service, suspected, parts):
        crashes = self._suspects[service, suspected].crashes.keys()
        return any(
            crashes < other.crashes.keys()
            or (
                crashes == other.crashes.keys()
                and not _are_requests(part, suspected)
            )
            for (other_service, part), other in self._suspects.items()
            if other_service == service and part not in parts
        )

    def record_crash(self, crash, service, parts, duration, now, age=0.0):
        """Record that an engine crashed as it gave an answer.

        Parameters
        ----------
        crash, service, parts, duration, age
            As for `CrashReport`.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        CrashEvidence
            What the other nodes must know; empty if nothing is new.
        """
        report = _crash_evidence.CrashReport(
            crash, service, parts, duration, age, self._data_centre
        )
        return self.merge(_crash_evidence.CrashEvidence((report,)), now)

    def record_answer(self, service, parts, duration, now):
        """Record that one server gave a whole answer to a prompt.

        Parameters
        ----------
        service : str
            Service that answered.
        parts : tuple of str
            Parts of the prompt.
        duration : float
            Time that the answer took (seconds).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        CrashEvidence
            What the other nodes must know; empty if it clears nothing.
        """
        sound, answers = [], []
        for part in parts:
            key = (service, part)
            self._answers.record(key, duration, now)
            if key in self._suspects:
                self._suspects[key].trial_ends_at = now
                answers += self._weigh_answers(key)
                sound += self._clear_outweighed(key, now)
        return _crash_evidence.CrashEvidence(
            sound=tuple(sound), answers=tuple(answers)
        )

    def merge(self, evidence, now):
        """Add the evidence of another node.

        Parameters
        ----------
        evidence : CrashEvidence
            Evidence, which may be known already.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        CrashEvidence
            What of it was new here, and what this node knows against it.
        """
        self._drop_expired(now)
        sound = [item for item in evidence.sound if self._clear(item, now)]
        answers = [
            item for item in evidence.answers if self._add_answers(item)
        ]
        for item in answers:
            sound += self._clear_outweighed((item.service, item.part), now)
        reports = []
        for report in evidence.reports:
            new_parts = tuple(
                part for part in report.parts if self._add(report, part, now)
            )
            if new_parts:
                reports.append(dataclasses.replace(report, parts=new_parts))
            for part in new_parts:
                key = (report.service, part)
                answers += self._weigh_answers(key)
                sound += self._clear_outweighed(key, now)
            self._report_begun(report.service, new_parts, now)
        return _crash_evidence.CrashEvidence(
            tuple(reports), tuple(sound), tuple(answers)
        )

    def make_snapshot(self, now, data_centre=None):
        """Make the evidence that a node without any must be told.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        data_centre : str or None
            Data centre whose reports other data centres are told; None for
            all evidence.

        Returns
        -------
        CrashEvidence
        """
        self._drop_expired(now)
        reports = [
            _crash_evidence.CrashReport(
                crash,
                service,
                (part,),
                record.duration,
                now - record.crashed_at,
                record.data_centre,
            )
            for (service, part), suspect in self._suspects.items()
            for crash, record in suspect.crashes.items()
            if data_centre is None
            or (
                data_centre == record.data_centre
                and self._concerns_others((service, part))
            )
        ]
        sound = [
            _crash_evidence.SoundPart(service, part, (crash,))
            for service, part, crash in self._cleared
        ]
        return _crash_evidence.CrashEvidence(tuple(reports), tuple(sound))

    def _add(self, report, part, now):
        """Put a crash on record for one part; False if nothing is new."""
        key = (report.service, part)
        if (*key, report.crash) in self._cleared:
            return False
        crashed_at = now - report.age
        if now - crashed_at > RETENTION_TIME:
            return False
        suspect = self._suspects.get(key)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[key] = _crash_suspects.Suspect()
        return suspect.add(
            report.crash,
            _crash_suspects.Crash(
                crashed_at, report.duration, report.data_centre
            ),
        )

    def _make_room(self):
        """Drop the parts that the least is known against, if there are many.

        Quarantined ones stay longest.
        """
        if len(self._suspects) < MAX_SUSPECTS:
            return
        ranked = sorted(
            self._suspects,
            key=lambda key: self._suspects[key].find_series().severity,
        )
        for key in ranked[: MAX_SUSPECTS // 8]:
            del self._suspects[key]

    def _report_begun(self, service, parts, now):
        for part in parts:
            found = self.find(service, (part,), now)
            if found is not None:
                crashes = tuple(self._suspects[service, part].crashes)
                self.on_change(
                    _crash_evidence.QuarantineBegun(
                        service, part, crashes, found.time_left
                    )
                )
                for listener in self._listeners:
                    listener()

    def _weigh_answers(self, key):
        """Let answers of this node speak for a part; list of AnswerWeight."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return []
        found = []
        own = self.node_order.name
        for crash, weight in self._answers.weigh(key, suspect).items():
            weight += suspect.answer_weights.get(crash, {}).get(own, 0)
            suspect.add_answers(crash, own, weight)
            found.append(
                _crash_evidence.AnswerWeight(*key, crash, own, weight)
            )
        return found

    def _add_answers(self, item):
        """Let answers of another node speak; False if that was known."""
        suspect = self._suspects.get((item.service, item.part))
        if suspect is None or item.crash not in suspect.crashes:
            return False
        return suspect.add_answers(item.crash, item.node, item.weight)

    def _clear_outweighed(self, key, now):
        """Clear a part of the crashes that answers outweigh.

        Returns
        -------
        list of SoundPart
            None or one.
        """
        suspect = self._suspects.get(key)
        crashes = () if suspect is None else suspect.find_outweighed()
        if not crashes:
            return []
        item = _crash_evidence.SoundPart(*key, crashes)
        self._clear(item, now, by_answer=True)
        return [item]

    def _clear(self, item, now, by_answer=False):
        """Clear a part of crashes; False if it was cleared of all before."""
        key = (item.service, item.part)
        suspect = self._suspects.get(key)
        if self.find(item.service, (item.part,), now) is not None:
            self.on_change(
                _crash_evidence.PartCleared(*key, item.crashes, by_answer)
            )
        is_new = False
        for crash in item.crashes:
            is_new |= (*key, crash) not in self._cleared
            self._cleared[*key, crash] = None
            if suspect is not None:
                suspect.drop(crash)
        _trim(self._cleared, MAX_CLEARED)
        if suspect is not None and not suspect.crashes:
            del self._suspects[key]
        return is_new

    def _drop_expired(self, now):
        for key, suspect in list(self._suspects.items()):
            for crash, record in list(suspect.crashes.items()):
                if now - record.crashed_at > RETENTION_TIME:
                    suspect.drop(crash)
            if not suspect.crashes:
                del self._suspects[key]


def _find_held(blamed, now):
    """Find the first part whose quarantine is not over; None if all are."""
    for part, _, series in blamed:
        time_left = series.quarantine_ends_at - now
        if time_left > 0.0:
            return Quarantine(part, series.count, time_left)
    return None


def _ignore(change):
    """Stand in until changes are logged."""


def _are_requests(part, other):
    return all(map(_fingerprint.is_fingerprint, (part, other)))


def _trim(table, size):
    while len(table) > size:
        table.popitem(last=False)
