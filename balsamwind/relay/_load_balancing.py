"""Choice of a backend by the predicted time to the first event.

Nodes send unequal numbers of requests to replica groups with few slots. Each
node sees its own requests at once and those of the other nodes late. A random
term in the cost keeps nodes with the same outdated load reports from all
choosing the same group.
"""

import dataclasses

from balsamwind.relay import _quiet_servers

CROSS_DATA_CENTRE_COST = 0.04
"""Cost added to a backend in another data centre (seconds)."""

FULL_OCCUPANCY_COST = 0.05
"""Cost added to a backend with all slots occupied, besides the predicted
time; less in proportion if fewer are occupied (seconds)."""

MAX_JITTER = 0.01
"""Upper bound of the random term in the cost (seconds)."""

PASSES_BEFORE_FIRST_EVENT = 1.5
"""Passes of a replica group before the first event of a request (count)."""

PLAIN_SERVICE_TIME = 0.05
"""Duration of one call of a plain service (seconds)."""

DEFAULT_RETRY_AFTER = 0.25
"""Retry delay for callers if it is not known when a backend becomes free
(seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRequirements:
    """Properties of a request that decide which backend can serve it.

    Parameters
    ----------
    model : str
        Requested model; empty for a plain service.
    prompt_tokens : int
        Length of the prompt (tokens).
    output_tokens : int
        Expected length of the output (tokens).
    time_left : float
        Time until the deadline of the request (seconds).
    rank : int
        Rank of the request; 0 is the most urgent.
    account : str
        Name of the client account; empty if none.
    route : str
        Name of the route.
    latency_objective : float
        Time until the latency objective of the request (seconds), less than 0
        if it has passed; 0 if it has none.
    key : str
        Recognises the request when its caller comes back; empty if it can't
        be recognised.
    data_centres : tuple of str or None
        Data centres in which it may run; None for all.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    time_left: float
    rank: int = 0
    account: str = ''
    route: str = ''
    latency_objective: float = 0.0
    key: str = ''
    data_centres: tuple[str, ...] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class NoBackendAvailable:
    """Result of a choice if no backend can serve the request in time.

    Parameters
    ----------
    reason : str
        Explanation for the caller and the log.
    retry_after : float
        Time after which the caller should retry (seconds).
    has_candidates : bool
        Whether some backend may be sent the request, though it would be late.
    """

    reason: str
    retry_after: float
    has_candidates: bool = False


def predict_time_to_first_event(backend, engine, requirements, now):
    """Predict the time until a backend sends the first event of a request.

    Parameters
    ----------
    backend : Backend
        Backend that the request would be sent to.
    engine : balsamwind.traffic.EngineProfile or None
        Timing parameters of the engines; None for a plain service.
    requirements : RequestRequirements
        What the request needs.
    now : float
        Current time (seconds, boot clock).

    Returns
    -------
    float
        Predicted time (seconds).
    """
    if engine is None:
        return _predict_plain(backend.occupancy(now), backend.slots)
    predict = _make_predictor(engine, requirements, backend.model)
    return predict(
        backend.occupancy(now), backend.slots, backend.pending_prompt_tokens
    )


def predict_with_room(engine, requirements, model_name):
    """Predict the time to the first event at a group that just has room.

    A request that has waited is the one beyond the slots there: it starts
    when the next slot becomes free.

    Parameters
    ----------
    engine : balsamwind.traffic.EngineProfile
        Timing parameters of the engines.
    requirements : RequestRequirements
        What the request needs.
    model_name : str
        Model of the group.

    Returns
    -------
    float
        Predicted time (seconds).
    """
    predict = _make_predictor(engine, requirements, model_name)
    return predict(engine.slots, engine.slots, 0)


def _predict_plain(occupancy, slots, pending_prompt_tokens=0):
    overload = max(0.0, occupancy - slots + 1) / slots
    return PLAIN_SERVICE_TIME * (1.0 + overload)


def _make_predictor(engine, requirements, model_name):
    """Prepare the prediction for one request at any backend of a model.

    What does not depend on the backend is computed once, as a choice compares
    hundreds of them.

    Returns
    -------
    callable
        Takes the occupancy, the slots and the pending prompt tokens of a
        backend (counts) and returns the predicted time (seconds).
    """
    model = engine.find_model(model_name)
    time_factor = model.time_factor if model is not None else 1.0
    prompt_tokens = requirements.prompt_tokens
    step_time = engine.step_time
    time_per_running_request = (
        engine.step_time_per_request
        + engine.step_time_per_context_token * prompt_tokens
    )
    first_steps = PASSES_BEFORE_FIRST_EVENT * engine.steps_per_pass
    queued_steps = max(requirements.output_tokens, engine.steps_per_pass)
    time_per_prompt_token = 1.0 / engine.prefill_rate

    def predict(occupancy, slots, pending_prompt_tokens):
        running = occupancy if occupancy < slots else slots
        steps = first_steps
        if occupancy > slots - 1:
            steps += (occupancy - slots + 1) / slots * queued_steps
        prefill_time = (
            pending_prompt_tokens + prompt_tokens
        ) * time_per_prompt_token
        return time_factor * (
            steps * (step_time + time_per_running_request * running)
            + prefill_time
        )

    return predict


def choose_backend(
    backends,
    engine,
    requirements,
    data_centre,
    tried,
    now,
    rng,
    restrictions=_quiet_servers.NOTHING_QUIET,
):
    """Choose the backend with the lowest cost.

    The cost is the predicted time to the first event, plus terms for
    occupancy and for another data centre, plus jitter. A replica group whose
    ramp allows no more requests is chosen only if that is so for all.

    Parameters
    ----------
    backends : iterable of Backend
        All backends of the service.
    engine : balsamwind.traffic.EngineProfile or None
        Timing parameters of the engines; None for a plain service.
    requirements : RequestRequirements
        What the request needs.
    data_centre : str
        Data centre of this node.
    tried : container of tuple
        Keys of the backends that earlier attempts of the request used.
    now : float
        Current time (seconds, boot clock).
    rng : random.Random
        Source of the jitter.
    restrictions : Restrictions or QuietServers
        Servers that may not be sent a request now.

    Returns
    -------
    Backend or NoBackendAvailable
    """
    of_model = [
        backend for backend in backends if backend.model == requirements.model
    ]
    if requirements.data_centres is not None:
        of_model = [
            backend
            for backend in of_model
            if backend.record.data_centre in requirements.data_centres
        ]
    candidates = of_model
    if tried:
        candidates = [
            backend for backend in candidates if backend.key not in tried
        ]
    if restrictions.is_active(now):
        # What forbids anything now is found once, not for each backend.
        find_end = restrictions.make_finder(now)
        candidates = [
            backend
            for backend in candidates
            if find_end(backend.record, now) is None
        ]
    if not candidates:
        return _explain_no_candidates(
            requirements,
            of_model,
            len(backends),
            tried,
            restrictions,
            now,
        )
    # If all candidates are ejected at once, the cause is more likely at this
    # node than at every one of them, so the ejections are ignored.
    healthy = [
        backend for backend in candidates if backend.ejected_until <= now
    ]
    predict = (
        _predict_plain
        if engine is None
        else _make_predictor(engine, requirements, requirements.model)
    )
    local, remote = [], []
    for backend in _select_by_pace(healthy or candidates, now):
        is_local = backend.record.data_centre == data_centre
        (local if is_local else remote).append(backend)
    best, best_cost, best_time = _find_best(local, predict, 0.0, now, rng)
    # An idle backend elsewhere is the best that the others can offer.
    least_remote_cost = predict(0, 1, 0) + CROSS_DATA_CENTRE_COST
    if remote and best_cost > least_remote_cost:
        elsewhere = _find_best(
            remote, predict, CROSS_DATA_CENTRE_COST, now, rng
        )
        if elsewhere[1] < best_cost:
            best, best_cost, best_time = elsewhere
    if best_time > requirements.time_left:
        reason = (
            'no backend can start the request before its deadline:'
            f' {len(candidates)} candidates,'
            f' {len(candidates) - len(healthy)} ejected, first event of the'
            f' best one predicted in {best_time:.2f} s,'
            f' {requirements.time_left:.2f} s left'
        )
        return NoBackendAvailable(reason, best_time / 2, True)
    return best


def _select_by_pace(backends, now):
    """Leave out those whose ramp allows no more, while others have room.

    If all others are full, too, they are all compared; if there are no
    others, the one with the most window left is chosen.
    """
    full = [
        backend
        for backend in backends
        if backend.pace is not None and not backend.has_window(now)
    ]
    if not full:
        return backends
    if len(full) == len(backends):
        return [max(full, key=lambda item: item.find_window_left(now))]
    excluded = {id(backend) for backend in full}
    others = [item for item in backends if id(item) not in excluded]
    if any(backend.occupancy(now) < backend.slots for backend in others):
        return others
    return backends


def _explain_no_candidates(
    requirements, of_model, known, tried, restrictions, now
):
    """Say why no backend can be chosen, and when the first one can."""
    restricted = [
        backend.record
        for backend in of_model
        if restrictions.find_end(backend.record, now) is not None
    ]
    return_at = restrictions.plan_return(
        restricted, now, requirements.time_left
    )
    served = requirements.model or 'the service'
    if requirements.data_centres is not None:
        served += f' in {", ".join(requirements.data_centres) or "no region"}'
    reason = (
        f'no group serves {served}: {known} backends known,'
        f' {len(tried)} already tried, {len(restricted)} want no request now'
    )
    retry_after = DEFAULT_RETRY_AFTER if return_at is None else return_at - now
    return NoBackendAvailable(reason, retry_after)


def _find_best(backends, predict, extra_cost, now, rng):
    """Find the backend of the lowest cost.

    Returns
    -------
    (Backend or None, float, float)
        The backend, its cost and its predicted time (seconds).
    """
    best = None
    best_cost = float('inf')
    best_time = 0.0
    for backend in backends:
        occupancy = backend.occupancy(now)
        predicted_time = predict(
            occupancy, backend.slots, backend.pending_prompt_tokens
        )
        if backend.pace is not None:
            predicted_time *= backend.pace.find_ratio(now)
        cost = (
            predicted_time
            + FULL_OCCUPANCY_COST * occupancy / backend.slots
            + MAX_JITTER * rng.random()
            + extra_cost
        )
        if cost < best_cost:
            best, best_cost, best_time = backend, cost, predicted_time
    return best, best_cost, best_time
