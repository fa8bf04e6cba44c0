"""Division of the requested work among models.

Requests are counted on arrival, so that demand is also seen for a model whose
requests are all rejected because no replica group serves it.
"""

import math

DECAY_TIME = 5.0
"""Time constant of the exponential decay: past work counts 1/e, about a
third, after it (seconds)."""

MIN_TOTAL_WORK = 2.0
"""Total work below which no shares are given (seconds)."""


class DemandMeter:
    """Exponentially decayed sum of the work that is requested of each model.

    Work is the predicted service time of the requests.
    """

    __slots__ = ('_decayed_at', '_work')

    def __init__(self):
        self._work = {}
        self._decayed_at = 0.0

    def record_arrival(self, model, service_time, now):
        """Add the work of a request.

        Parameters
        ----------
        model : str
            Requested model.
        service_time : float
            Predicted time that the request occupies a slot (seconds).
        now : float
            Time of its arrival (seconds, boot clock).
        """
        self._decay(now)
        self._work[model] = self._work.get(model, 0.0) + service_time

    def shares(self, now):
        """Return the share of each model in the requested work.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        dict of str to float
            Shares, which sum to 1; empty if there is too little work to tell.
        """
        self._decay(now)
        total = sum(self._work.values())
        if total < MIN_TOTAL_WORK:
            return {}
        return {model: work / total for model, work in self._work.items()}

    def _decay(self, now):
        factor = math.exp(-max(0.0, now - self._decayed_at) / DECAY_TIME)
        self._decayed_at = now
        for model in self._work:
            self._work[model] *= factor


def predict_service_time(engine, model_name, prompt_tokens, output_tokens):
    """Predict how long a request occupies a slot of a replica group.

    Parameters
    ----------
    engine : balsamwind.traffic.EngineProfile
        Timing parameters of the engines.
    model_name : str
        Requested model.
    prompt_tokens : int
        Length of the prompt (tokens).
    output_tokens : int
        Expected length of the output (tokens).

    Returns
    -------
    float
        Predicted time if all slots are occupied (seconds).
    """
    model = engine.find_model(model_name)
    time_factor = 1.0 if model is None else model.time_factor
    step_time = engine.step_time + engine.step_time_per_request * engine.slots
    return time_factor * (
        prompt_tokens / engine.prefill_rate + output_tokens * step_time
    )
