"""Which model lacks capacity most."""

MIN_DEMAND = 1.0
"""Requests that a model is taken to have at least (count)."""


def order_models(view, counts):
    """Models, the one that lacks capacity most first.

    Parameters
    ----------
    view : PoolView
        What is known.
    counts : dict of str to int
        Groups of each model (count).

    Returns
    -------
    list of balsamwind.traffic.ModelTerms
    """
    return sorted(
        view.terms.models,
        key=lambda model: (
            measure_room(view, model, counts[model.name]),
            -model.size,
        ),
    )


def measure_room(view, model, groups):
    """Places of a model for each request; less is more urgent.

    Before there is traffic the published share of the work stands in for the
    requests.
    """
    if not view.demand:
        return groups * model.size / max(model.share, 0.01)
    demand = max(view.demand.get(model.name, 0.0), MIN_DEMAND)
    return groups * view.terms.slots / demand


def is_warm(engine, model):
    """Whether an engine can join without a load from the weight store."""
    return engine.model == model or model in engine.staged
