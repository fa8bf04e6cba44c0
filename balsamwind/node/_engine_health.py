"""Which engines of a shard are down, by the probes of the shard's leader.

Failure pattern: the leader loses its path to all engines, for a moment or for
longer, while they serve the requests of other nodes. Its probes then fail as
if all engines were down; and when the path is back, the first answers make it
look as if just the others were. A failed probe therefore counts only if a
probe of another engine, sent at the same moment, was answered.
"""

import collections

FAILURE_THRESHOLD = 2
"""Consecutive failed probes after which an engine counts as down (count)."""

WITNESS_TIME = 0.06
"""Largest time between two probes that count as sent at the same moment
(seconds). It is shorter than the time between two probes of one engine."""

BLIND_TIME = 0.6
"""Time without any answer, while probes fail, after which this node counts as
having no path to the engines (seconds)."""

LONGEST_GAP = 0.15
"""Longest time from a failure to the next answer of any engine, as another
engine is always probed beside one that fails; beyond it this node saw nothing
meanwhile (seconds)."""

MAX_PROBE_GAP = 0.9
"""Longest time between two failed probes of an engine in which it has
certainly not answered (seconds). Beyond it this node may have been paused."""

WITNESS_MEMORY = 1.0
"""Time for which answers are remembered as witnesses (seconds)."""


class EngineHealth:
    """Counts the failed probes of each engine.

    All times are of the boot clock (seconds).

    Attributes
    ----------
    answered_at : dict of str to float
        When each engine answered last.
    recovered_at : dict of str to float
        When each engine answered again after it had been down.
    """

    __slots__ = (
        '_answers',
        '_ended',
        '_failed_at',
        '_failures',
        '_pending',
        '_silent_since',
        '_unopened',
        '_unwitnessed_since',
        'answered_at',
        'recovered_at',
    )

    def __init__(self):
        self._answers = collections.deque()
        self._ended = set()
        self._failures = {}
        self._failed_at = {}
        self._pending = {}
        self._silent_since = {}
        self._unopened = {}
        self._unwitnessed_since = None
        self.answered_at = {}
        self.recovered_at = {}

    @property
    def down(self):
        """Ids of the engines that are down."""
        return frozenset(
            server_id
            for server_id in self._failures
            if self.is_down(server_id)
        )

    @property
    def suspects(self):
        """Ids of the engines whose last probe failed."""
        return frozenset(self._failures) | frozenset(self._pending)

    def is_down(self, server_id):
        """Tell whether an engine is down."""
        return self._failures.get(server_id, 0) >= FAILURE_THRESHOLD

    def is_blind(self, now):
        """Tell whether this node has no path to any engine.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        bool
        """
        since = self._unwitnessed_since
        return since is not None and now - since >= BLIND_TIME

    def silent_for(self, server_id, now):
        """Return how long an engine has certainly not answered (seconds).

        The row of failed probes has no gap in which it may have done so.
        """
        if now - self._failed_at.get(server_id, now) > MAX_PROBE_GAP:
            return 0.0
        return now - self._silent_since.get(server_id, now)

    def has_ended(self, server_id):
        """Tell whether an engine shows that it is more than silent.

        It refuses connections, has started again, or its host does not even
        open connections, as that of a paused process does.
        """
        return (
            server_id in self._ended
            or self._unopened.get(server_id, 0) >= FAILURE_THRESHOLD
        )

    def record_answer(self, server_id, sent_at, now):
        """Record that an engine has answered.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        sent_at : float
            When the probe was sent.
        now : float
            Current time.

        Returns
        -------
        bool
            Whether the engine was down before.
        """
        was_down = self.is_down(server_id)
        if self._saw_nothing_until(sent_at):
            self.forget_failures()
        self._forget(server_id)
        self._unwitnessed_since = None
        self.answered_at[server_id] = now
        if was_down:
            self.recovered_at[server_id] = now
        while self._answers and self._answers[0] < now - WITNESS_MEMORY:
            self._answers.popleft()
        self._answers.append(sent_at)
        self._count_witnessed()
        return was_down

    def record_failure(
        self,
        server_id,
        sent_at,
        is_listed,
        is_refused=False,
        is_unopened=False,
    ):
        """Record that a probe has failed.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        sent_at : float
            When the probe was sent.
        is_listed : bool
            Whether the platform still lists the engine. If not, the failure
            needs no witness.
        is_refused : bool
            Whether nothing listens at the address of the engine.
        is_unopened : bool
            Whether no connection could be opened.
        """
        if is_unopened:
            self._unopened[server_id] = self._unopened.get(server_id, 0) + 1
        else:
            self._unopened.pop(server_id, None)
        if is_refused:
            self._ended.add(server_id)
        else:
            self._ended.discard(server_id)
        if not is_listed:
            self._count(server_id, sent_at, 1)
            return
        if self._unwitnessed_since is None and not self._has_witness(sent_at):
            self._unwitnessed_since = sent_at
        self._pending.setdefault(server_id, []).append(sent_at)
        self._count_witnessed()

    def record_vouched(self, server_id):
        """Record that an engine answers another node.

        Only the path of this node to that engine is lost.
        """
        self._forget(server_id)

    def _forget(self, server_id):
        self._ended.discard(server_id)
        for known in self._list_known():
            known.pop(server_id, None)

    def _list_known(self):
        return (
            self._failed_at,
            self._failures,
            self._pending,
            self._silent_since,
            self._unopened,
        )

    def has_failed(self, server_id):
        """Tell whether a failure of an engine has been counted."""
        return server_id in self._failures

    def record_other_answer(self, server_id, sent_at):
        """Record that the address of an engine gave a wrong answer.

        Another engine has the address, or the engine has started again; no
        witness is needed, as an answer has come.
        """
        self._ended.add(server_id)
        self._count(server_id, sent_at, FAILURE_THRESHOLD)

    def _saw_nothing_until(self, sent_at):
        since = self._unwitnessed_since
        return since is not None and sent_at - since > LONGEST_GAP

    def _count_witnessed(self):
        """Count the failures that an answer of another engine witnesses."""
        for server_id, times in list(self._pending.items()):
            for sent_at in times:
                if self._has_witness(sent_at):
                    self._count(server_id, sent_at, 1)
            left = [item for item in times if not self._has_witness(item)]
            if left:
                self._pending[server_id] = left[-FAILURE_THRESHOLD:]
            else:
                del self._pending[server_id]

    def _has_witness(self, sent_at):
        return any(
            abs(sent_at - answered) <= WITNESS_TIME
            for answered in reversed(self._answers)
        )

    def _count(self, server_id, sent_at, count):
        self._failures[server_id] = self._failures.get(server_id, 0) + count
        failed_at = self._failed_at.get(server_id, sent_at)
        if sent_at - failed_at > MAX_PROBE_GAP:
            self._silent_since[server_id] = sent_at
        self._silent_since.setdefault(server_id, sent_at)
        self._failed_at[server_id] = max(failed_at, sent_at)

    def forget_failures(self):
        """Forget all failures, as this node sees nothing.

        What was seen before does not tell what has happened meanwhile.
        """
        self._ended.clear()
        for known in self._list_known():
            known.clear()

    def keep_only(self, server_ids):
        """Forget the engines that are not among `server_ids`."""
        self._ended &= server_ids
        for known in self._list_known():
            for server_id in [
                item for item in known if item not in server_ids
            ]:
                del known[server_id]

    def reset(self):
        """Forget what was seen, as this node no longer leads the shard."""
        self.forget_failures()
        self._unwitnessed_since = None
