"""Choice of a place for one request, by the time to its first event.

Answers the load pattern of uneven nodes before groups with few slots: each
node sees its own requests at once and those of others late, so a random part
keeps nodes with the same late news from choosing the same group.
"""

import dataclasses

DISTANCE = 0.01
"""What a place in another data centre is taken to cost (seconds)."""

SPREAD = 0.05
"""What a full place is taken to cost beyond its own times (seconds)."""

JITTER = 0.01
"""Random part (seconds)."""

PASSES = 1.5
"""Passes of a group before the first event of a request (count)."""

PLAIN_WORK = 0.05
"""Time of one call of a plain service (seconds)."""

RETURN = 0.25
"""When to come back if nothing is known of when there is room (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """What a request asks of a place.

    Parameters
    ----------
    model : str
        Model asked for; empty for a plain service.
    prompt_tokens, output_tokens : int
        Tokens to read, and to write as far as is known (count).
    time_left : float
        Time until its deadline (seconds).
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    time_left: float


@dataclasses.dataclass(slots=True, frozen=True)
class NoPlace:
    """No place can serve the request in time.

    Parameters
    ----------
    reason : str
        Why.
    retry_after : float
        When to come back (seconds).
    """

    reason: str
    retry_after: float


def predict_first_event(place, terms, demand, now):
    """Time until the first event at a place (seconds).

    Parameters
    ----------
    place : Place
        Where.
    terms : balsamwind.traffic.EngineTerms or None
        Terms of the engines; None for a plain service.
    demand : Demand
        What is asked for.
    now : float
        Boot time (seconds).
    """
    occupancy = place.occupancy(now)
    over = max(0.0, occupancy - place.slots + 1) / place.slots
    if terms is None:
        return PLAIN_WORK * (1.0 + over)
    model = terms.find_model(place.model)
    pace = model.pace if model is not None else 1.0
    running = min(occupancy, place.slots)
    context = demand.prompt_tokens * running
    step = (
        terms.step
        + terms.step_per_request * running
        + terms.step_per_context * context
    )
    reading = (
        place.pending_tokens + demand.prompt_tokens
    ) / terms.prefill_rate
    waiting = over * step * max(demand.output_tokens, terms.stride)
    return pace * (PASSES * terms.stride * step + reading + waiting)


def choose_place(places, terms, demand, data_centre, tried, now, rng):
    """Choose the place with the soonest first event.

    Parameters
    ----------
    places : iterable of Place
        All places of the service.
    terms : balsamwind.traffic.EngineTerms or None
        Terms of the engines.
    demand : Demand
        What is asked for.
    data_centre : str
        Where this node is.
    tried : container of tuple
        Keys of places that the request was sent to before.
    now : float
        Boot time (seconds).
    rng : random.Random
        Source of chance.

    Returns
    -------
    Place or NoPlace
    """
    fitting = [
        place
        for place in places
        if place.model == demand.model and place.key not in tried
    ]
    if not fitting:
        reason = (
            f'no group serves {demand.model or "the service"}:'
            f' {len(places)} places, {len(tried)} tried'
        )
        return NoPlace(reason, RETURN)
    # If all look bad at once, this node is more likely the cause.
    sound = [place for place in fitting if not place.is_avoided(now)]
    best = None
    best_cost = float('inf')
    best_first = 0.0
    for place in sound or fitting:
        first = predict_first_event(place, terms, demand, now)
        cost = first + SPREAD * place.occupancy(now) / place.slots
        cost += JITTER * rng.random()
        if place.record.data_centre != data_centre:
            cost += DISTANCE
        if cost < best_cost:
            best, best_cost, best_first = place, cost, first
    if best_first > demand.time_left:
        reason = (
            f'no room before the deadline: {len(fitting)} places,'
            f' {len(fitting) - len(sound)} avoided, soonest in'
            f' {best_first:.2f} s, {demand.time_left:.2f} s left'
        )
        return NoPlace(reason, best_first / 2)
    return best
