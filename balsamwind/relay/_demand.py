"""How the work that callers ask for is split between models.

Counted on arrival, so that a model whose requests are all refused for want of
groups is still seen to be asked for.
"""

import math

MEMORY = 5.0
"""Time in which past arrivals fade to a third (seconds)."""

MIN_WORK = 2.0
"""Work under which nothing is said of the split (seconds)."""


class DemandMeter:
    """Fading sum of the expected times of requests, by model."""

    __slots__ = ('_faded_at', '_work')

    def __init__(self):
        self._work = {}
        self._faded_at = 0.0

    def note(self, model, seconds, now):
        """Count an arrival that would keep a place busy for `seconds`."""
        self._fade(now)
        self._work[model] = self._work.get(model, 0.0) + seconds

    def shares(self, now):
        """Part of the work of each model; empty if there is too little."""
        self._fade(now)
        total = sum(self._work.values())
        if total < MIN_WORK:
            return {}
        return {model: work / total for model, work in self._work.items()}

    def _fade(self, now):
        factor = math.exp(-max(0.0, now - self._faded_at) / MEMORY)
        self._faded_at = now
        for model in self._work:
            self._work[model] *= factor


def predict_busy_time(terms, model_name, prompt_tokens, output_tokens):
    """Time that a request keeps a place of a group busy (seconds)."""
    model = terms.find_model(model_name)
    pace = 1.0 if model is None else model.pace
    step = terms.step + terms.step_per_request * terms.slots
    return pace * (prompt_tokens / terms.prefill_rate + output_tokens * step)
