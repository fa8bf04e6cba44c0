"""Capacity of the models of a service relative to their demand."""

MIN_DEMAND = 1.0
"""Lower limit of a model's demand in its capacity ratio (count)."""


def sort_by_capacity_ratio(view, group_counts):
    """Sort models by their capacity ratio, the lowest first.

    Of two models with the same ratio, the one with larger groups comes first.

    Parameters
    ----------
    view : PoolView
        State of the shard.
    group_counts : dict of str to int
        Number of groups of each model (count).

    Returns
    -------
    list of balsamwind.traffic.ModelProfile
    """
    return sorted(
        view.terms.models,
        key=lambda model: (
            compute_capacity_ratio(view, model, group_counts[model.name]),
            -model.group_size,
        ),
    )


def compute_capacity_ratio(view, model, group_count):
    """Compute the slots of a model per request; a lower ratio is more urgent.

    While the demand is not known, the ratio is the number of engines per
    share of the work that the configuration gives for the model.

    Parameters
    ----------
    view : PoolView
        State of the shard.
    model : balsamwind.traffic.ModelProfile
        Profile of the model.
    group_count : int
        Number of groups that serve the model (count).

    Returns
    -------
    float
    """
    if not view.demand:
        return (
            group_count
            * model.group_size
            / max(model.expected_work_share, 0.01)
        )
    demand = max(view.demand.get(model.name, 0.0), MIN_DEMAND)
    return group_count * view.terms.slots / demand


def is_warm(engine, model):
    """Whether an engine can join without a load from the weight store.

    Parameters
    ----------
    engine : ServerRecord
        Entry of the engine.
    model : str
        Name of the model.

    Returns
    -------
    bool
    """
    return engine.model == model or model in engine.staged
