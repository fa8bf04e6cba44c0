"""Closing of groups whose engines another model needs.

The survivors of a large group that loses an engine suffice only for groups of
a smaller model, so with each lost engine the large model has fewer groups.
A conversion gives it engines back.
"""

from balsamwind.pool import _actions
from balsamwind.pool import _model_capacity

SHORTAGE_RATIO = 1.6
"""Capacity ratio below which a model lacks capacity (slots per request)."""

MIN_IMPROVEMENT = 1.25
"""Least ratio of the lowest capacity ratio after a conversion to the one of
the recipient before it (factor)."""


def plan_conversion(view, groups, free_engines, group_counts):
    """Plan closings that let the model with the least capacity form a group.

    The model with the lowest capacity ratio is the recipient, the one with
    the highest is the donor. Of the domains in which closing groups of the
    donor yields enough engines, the one with the fewest closings is used.

    Parameters
    ----------
    view : PoolView
        State of the shard.
    groups : dict of (str, int) to PoolGroup
        All groups of the shard by name and epoch.
    free_engines : list of ServerRecord
        Engines that may join a new group.
    group_counts : dict of str to int
        Number of groups of each model (count).

    Returns
    -------
    list of CloseGroup
        Empty if no conversion is needed or none improves the capacity enough.
    """
    if not view.demand or len(view.terms.models) < 2:
        return []
    models = _model_capacity.sort_by_capacity_ratio(view, group_counts)
    recipient, donor = models[0], models[-1]
    ratio = _model_capacity.compute_capacity_ratio(
        view, recipient, group_counts[recipient.name]
    )
    if ratio >= SHORTAGE_RATIO:
        return []
    best = None
    for domain in {record.domain for record in view.records}:
        candidates = _find_groups_to_close(
            view, groups, free_engines, domain, recipient, donor
        )
        if candidates is None or not _improves_capacity(
            view, group_counts, recipient, donor, len(candidates)
        ):
            continue
        if best is None or len(candidates) < len(best):
            best = candidates
    return [
        _actions.CloseGroup(
            group,
            False,
            f'{recipient.name} lacks capacity',
            recipient.name,
        )
        for group in best or ()
    ]


def _improves_capacity(view, group_counts, recipient, donor, closed_count):
    """Whether a conversion improves the lowest capacity ratio enough.

    Both models must then have clearly more capacity than the recipient has
    now, and the donor must keep at least one group.
    """
    if group_counts[donor.name] <= closed_count:
        return False
    before = _model_capacity.compute_capacity_ratio(
        view, recipient, group_counts[recipient.name]
    )
    after = min(
        _model_capacity.compute_capacity_ratio(
            view, recipient, group_counts[recipient.name] + 1
        ),
        _model_capacity.compute_capacity_ratio(
            view, donor, group_counts[donor.name] - closed_count
        ),
    )
    return after > MIN_IMPROVEMENT * before


def _find_groups_to_close(
    view, groups, free_engines, domain, recipient, donor
):
    """Find groups of a domain whose engines complete a group.

    Free engines that hold the recipient's weights count, too. Returns None if
    the engines do not suffice, or already do without any closing.
    """
    engine_count = sum(
        engine.domain == domain
        and _model_capacity.is_warm(engine, recipient.name)
        for engine in free_engines
    )
    chosen = []
    for group in groups.values():
        if engine_count >= recipient.group_size:
            break
        if _is_convertible(view, group, domain, recipient, donor):
            chosen.append(group)
            engine_count += group.size
    if engine_count < recipient.group_size or not chosen:
        return None
    return chosen


def _is_convertible(view, group, domain, recipient, donor):
    """Whether a serving group of the donor can be closed for the recipient.

    All members must hold the recipient's weights, so that the new group needs
    no load from the weight store.
    """
    return (
        group.serving
        and group.model == donor.name
        and group.head.domain == domain
        and not any(member.server_id in view.busy for member in group.members)
        and all(
            _model_capacity.is_warm(member, recipient.name)
            for member in group.members
        )
    )
