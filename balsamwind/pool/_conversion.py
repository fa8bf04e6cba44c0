"""Which groups to close so that another model gets their engines.

Answers the load pattern of a model whose groups shrink with each lost engine,
as survivors of a large group only suffice for small ones.
"""

from balsamwind.pool import _actions
from balsamwind.pool import _needs

SHORT = 1.6
"""Places for each request under which a model is short."""

GAIN = 1.25
"""How much more room the model with the least must have afterwards
(factor)."""


def plan_conversion(view, groups, free, counts):
    """Plan closings that let the model that is short form one more group.

    Parameters
    ----------
    view : PoolView
        What is known.
    groups : dict of (str, int) to PoolGroup
        All groups of the shard.
    free : list of ServerRecord
        Engines in no group.
    counts : dict of str to int
        Groups of each model (count).

    Returns
    -------
    list of CloseGroup
    """
    if not view.demand or len(view.terms.models) < 2:
        return []
    ordered = _needs.order_models(view, counts)
    short, rich = ordered[0], ordered[-1]
    room = _needs.measure_room(view, short, counts[short.name])
    if room >= SHORT:
        return []
    best = None
    for domain in {record.domain for record in view.records}:
        found = _find_closings(view, groups, free, domain, short, rich)
        if found is None or not _pays(view, counts, short, rich, len(found)):
            continue
        if best is None or len(found) < len(best):
            best = found
    return [
        _actions.CloseGroup(group, False, f'{short.name} is short', short.name)
        for group in best or ()
    ]


def _pays(view, counts, short, rich, closed):
    """Whether the model with the least room is better off afterwards."""
    if counts[rich.name] <= closed:
        return False
    before = _needs.measure_room(view, short, counts[short.name])
    after = min(
        _needs.measure_room(view, short, counts[short.name] + 1),
        _needs.measure_room(view, rich, counts[rich.name] - closed),
    )
    return after > GAIN * before


def _find_closings(view, groups, free, domain, short, rich):
    """Groups of a domain whose engines suffice; None if there are none."""
    count = sum(
        engine.domain == domain and _needs.is_warm(engine, short.name)
        for engine in free
    )
    chosen = []
    for group in groups.values():
        if count >= short.size:
            break
        if _is_convertible(view, group, domain, short, rich):
            chosen.append(group)
            count += group.size
    if count < short.size or not chosen:
        return None
    return chosen


def _is_convertible(view, group, domain, short, rich):
    return (
        group.serving
        and group.model == rich.name
        and group.head.domain == domain
        and not any(member.server_id in view.busy for member in group.members)
        and all(_needs.is_warm(member, short.name) for member in group.members)
    )
