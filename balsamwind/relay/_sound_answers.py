"""Whole answers, which speak for the parts of their prompts.

Some answers to a deadly prompt are whole: those that are over before the
engine ends. So one answer does not outweigh a crash, and one that was shorter
than the answer under which the engine crashed weighs little.
"""

import collections
import dataclasses

ANSWER_WEIGHT = 10
"""Weight of an answer that lasted as long as the one at a crash."""

SHORT_ANSWER_WEIGHT = 1
"""Weight of a shorter answer."""

CRASH_WEIGHT = 3 * ANSWER_WEIGHT
"""Weight of the answers that clear a part of one crash."""

MAX_AGE = 30.0
"""Time before a crash from which on answers speak for a part (seconds)."""

MAX_PARTS = 4096
"""Parts whose answers are remembered (count)."""

MAX_ANSWERS = 60
"""Answers that are remembered for each part (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Answer:
    completed_at: float
    duration: float


class SoundAnswers:
    """Whole answers of this node that have not cleared anything yet."""

    __slots__ = ('_answers',)

    def __init__(self):
        self._answers = collections.OrderedDict()

    def record(self, key, duration, now):
        """Record that an answer was completed.

        Parameters
        ----------
        key : (str, str)
            Service and part.
        duration : float
            Time for which one server gave the whole answer (seconds).
        now : float
            Current time (seconds, boot clock).
        """
        answers = self._answers.get(key)
        if answers is None:
            answers = collections.deque(maxlen=MAX_ANSWERS)
            self._answers[key] = answers
        self._answers.move_to_end(key)
        answers.append(_Answer(now, duration))
        if len(self._answers) > MAX_PARTS:
            self._answers.popitem(last=False)

    def find_cleared(self, key, suspect):
        """Find the crashes that a part is cleared of, and use up answers.

        The crash that an answer outlasts most easily comes first.

        Parameters
        ----------
        key : (str, str)
            Service and part.
        suspect : Suspect
            Crashes on record for it, which are not changed.

        Returns
        -------
        tuple of str
            Ids of crashes.
        """
        answers = self._answers.get(key)
        crashes = sorted(
            suspect.crashes.items(), key=lambda item: item[1].duration
        )
        cleared = []
        while answers and len(cleared) < len(crashes):
            crash_id, crash = crashes[len(cleared)]
            answer = answers.popleft()
            if answer.completed_at < crash.crashed_at - MAX_AGE:
                continue
            suspect.answer_weight += (
                ANSWER_WEIGHT
                if answer.duration >= crash.duration
                else SHORT_ANSWER_WEIGHT
            )
            if suspect.answer_weight >= CRASH_WEIGHT:
                suspect.answer_weight = 0
                cleared.append(crash_id)
        return tuple(cleared)
