"""Whole answers, which speak for the parts of their prompts.

Some answers to a deadly prompt are whole: those that are over before the
engine ends. So one answer does not outweigh a crash, and one that was shorter
than the answer under which the engine crashed weighs little.
"""

import collections
import dataclasses

from balsamwind.relay import _crash_suspects

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

    def weigh(self, key, suspect):
        """Use up answers for the crashes of a part.

        The crash that an answer outlasts most easily comes first.

        Parameters
        ----------
        key : (str, str)
            Service and part.
        suspect : Suspect
            Crashes on record for it, which are not changed.

        Returns
        -------
        dict of str to int
            Weight by crash, up to what clears the part of it.
        """
        answers = self._answers.get(key)
        crashes = sorted(
            suspect.crashes.items(), key=lambda item: item[1].duration
        )
        weights = {}
        for crash_id, crash in crashes:
            known = sum(suspect.answer_weights.get(crash_id, {}).values())
            while (
                answers
                and known + weights.get(crash_id, 0)
                < _crash_suspects.CRASH_WEIGHT
            ):
                weight = _find_weight(answers.popleft(), crash)
                if weight:
                    weights[crash_id] = weights.get(crash_id, 0) + weight
        return weights


def _find_weight(answer, crash):
    if answer.completed_at < crash.crashed_at - MAX_AGE:
        return 0
    if answer.duration >= crash.duration:
        return _crash_suspects.ANSWER_WEIGHT
    return _crash_suspects.SHORT_ANSWER_WEIGHT
