"""Which replica groups to close, open and form next; no effects here."""

import dataclasses

from balsamwind.pool import _actions
from balsamwind.pool import _conversion
from balsamwind.pool import _groups
from balsamwind.pool import _needs
from balsamwind.pool import _records


@dataclasses.dataclass(slots=True, frozen=True)
class PoolView:
    """What the leader of a shard knows.

    Parameters
    ----------
    records : tuple of ServerRecord
        Engines of the shard.
    terms : balsamwind.traffic.EngineTerms
        Terms of the service.
    down : frozenset of str
        Engines that do not answer.
    gone : frozenset of str
        Engines that are no longer listed, and have not answered for so long
        that none of them can be an open head any more.
    busy : frozenset of str
        Engines that an action under way deals with.
    forming : dict of str to int
        Engines in groups that are being formed, by model (count).
    before_traffic : bool
        Whether loads are cheap and engines still register.
    growing : frozenset of str
        Domains in which an engine was first seen a moment ago.
    returned : frozenset of str
        Engines that have come back, or were first seen, a moment ago.
    knows_past : bool
        Whether this node has watched long enough to know the head of every
        group that may still be open.
    loads_allowed : int
        Loads from the weight store that may begin now (count).
    loads_beside : int
        Loads that may run side by side in this shard (count).
    staging : dict of str to str
        Models that are being copied to the hosts of engines.
    demand : dict of str to float
        Requests that run and wait in the shard, by model (count); empty
        before traffic.
    reserved : dict of str to str
        Models for which domains are kept, by domain.
    may_convert : bool
        Whether a group may be closed for the sake of another model.
    """

    records: tuple
    terms: object
    down: frozenset = frozenset()
    gone: frozenset = frozenset()
    busy: frozenset = frozenset()
    forming: dict = dataclasses.field(default_factory=dict)
    before_traffic: bool = False
    growing: frozenset = frozenset()
    returned: frozenset = frozenset()
    knows_past: bool = True
    loads_allowed: int = 0
    loads_beside: int = 0
    staging: dict = dataclasses.field(default_factory=dict)
    demand: dict = dataclasses.field(default_factory=dict)
    reserved: dict = dataclasses.field(default_factory=dict)
    may_convert: bool = False


def plan_pool(view):
    """Plan the next actions of a shard.

    Parameters
    ----------
    view : PoolView
        What is known.

    Returns
    -------
    list
        Of `CloseGroup`, `OpenGroup`, `FormGroup`, `StageModel`.
    """
    groups = _groups.find_groups(view.records, view.terms)
    closings, openings = _plan_standing(view, groups)
    held = {
        member.server_id
        for action in openings
        for member in action.group.members
    }
    free = _find_free(view, groups, held)
    counts = _count_groups(view, groups)
    conversions = []
    if view.may_convert:
        conversions = _conversion.plan_conversion(view, groups, free, counts)
    kept = {action.group.head.domain for action in conversions}
    usable = [engine for engine in free if engine.domain not in kept]
    formings = _plan_forming(view, usable, counts)
    formed = {
        member.server_id for action in formings for member in action.members
    }
    rest = [item for item in usable if item.server_id not in formed]
    stagings = _plan_staging(view, rest, counts)
    return [*closings, *openings, *formings, *stagings, *conversions]


def _plan_standing(view, groups):
    closings = []
    openings = []
    for group in groups.values():
        ids = {member.server_id for member in group.members}
        if ids & view.busy:
            continue
        head = group.head
        if head is None or head.server_id in view.down:
            continue
        match group.state:
            case _records.MemberState.OPEN:
                action = _check_open(view, group, ids)
                if action is not None:
                    closings.append(action)
            case _records.MemberState.READY:
                if _may_open(view, group, ids):
                    openings.append(_actions.OpenGroup(group))
    return closings, openings


def _may_open(view, group, ids):
    """Whether a group that stands ready is whole and wanted."""
    wanted = view.reserved.get(group.head.domain, group.model)
    return (
        group.all_ranks_usable
        and group.all_ready
        and not ids & view.down
        and wanted == group.model
    )


def _check_open(view, group, ids):
    """Close an open group that is not whole, or will not be for long."""
    lost = ids & view.down
    if lost:
        return _actions.CloseGroup(
            group, True, f'{sorted(lost)} do not answer'
        )
    if len(group.members) < group.size:
        return _actions.CloseGroup(group, True, 'a member is missing')
    if not group.all_ranks_usable:
        return _actions.CloseGroup(group, False, 'a member is leaving')
    return None


def _find_free(view, groups, held):
    """Engines that may join a new group."""
    taken = set(held)
    for group in groups.values():
        if not _is_released(view, group):
            taken.update(member.server_id for member in group.members)
    return [
        record
        for record in view.records
        if record.usable
        and record.server_id not in view.down
        and record.server_id not in view.busy
        and record.server_id not in taken
    ]


def _is_released(view, group):
    """Whether the head of a group can't be serving any more.

    The engines of a domain that was dark come back one after the other: a
    head that is not back yet may still be open.
    """
    head = group.head
    if head is None or head.server_id in view.gone:
        ids = {member.server_id for member in group.members}
        settled = not ids & view.returned
        return settled and (head is not None or view.knows_past)
    return group.state not in (
        _records.MemberState.OPEN,
        _records.MemberState.CLOSING,
    )


def _count_groups(view, groups):
    """Groups that serve or are being formed, by model."""
    counts = {model.name: 0 for model in view.terms.models}
    for model in view.terms.models:
        forming = view.forming.get(model.name, 0)
        counts[model.name] += forming // max(model.size, 1)
    for group in groups.values():
        if group.serving and group.model in counts:
            counts[group.model] += 1
    return counts


def _plan_forming(view, free, counts):
    domains = {}
    for record in free:
        domains.setdefault((record.data_centre, record.domain), []).append(
            record
        )
    actions = []
    for (_, domain), engines in sorted(domains.items()):
        while True:
            action = _plan_one(view, domain, engines, counts)
            if action is None:
                break
            actions.append(action)
            counts[action.model] += 1
            for member in action.members:
                engines.remove(member)
    return actions


def _plan_one(view, domain, engines, counts):
    """Form one group among the free engines of a domain, if any fits."""
    growing = view.before_traffic and domain in view.growing
    for model in _needs.order_models(view, counts):
        if view.reserved.get(domain, model.name) != model.name:
            continue
        ready = [
            engine
            for engine in engines
            if view.before_traffic or _needs.is_warm(engine, model.name)
        ]
        if len(ready) >= model.size > 0:
            ready.sort(key=lambda engine: _join_cost(engine, model.name))
            return _actions.FormGroup(model.name, tuple(ready[: model.size]))
        if growing:
            return None
    return None


def _join_cost(engine, model):
    if engine.model == model:
        return 0
    return 1 if model in engine.staged else 2


def _plan_staging(view, rest, counts):
    """Copy models to hosts ahead of need.

    Engines without any weights come first: of the models whose group the
    domain can complete, they get the one that lacks most. Then each host gets
    a model that its engine does not hold, so that the engine can serve either;
    without traffic that costs nothing, later few run side by side.
    """
    if view.before_traffic:
        return _plan_second_models(view)
    cold = [engine for engine in rest if not _has_weights(view, engine)]
    actions = []
    for engine in cold[: view.loads_allowed]:
        peers = [
            item
            for item in rest
            if item.domain == engine.domain
            and item.data_centre == engine.data_centre
        ]
        model = _choose_staged(view, peers, counts)
        if model is not None:
            actions.append(_actions.StageModel(engine, model.name))
    under_way = len(actions) + sum(
        model not in record.staged
        for record in view.records
        for model in (view.staging.get(record.server_id),)
        if model is not None
    )
    spare = min(
        view.loads_allowed - len(actions), view.loads_beside - under_way
    )
    if spare > 0:
        actions += _plan_second_models(view)[:spare]
    return actions


def _has_weights(view, engine):
    return engine.server_id in view.staging or any(
        _needs.is_warm(engine, model.name) for model in view.terms.models
    )


def _choose_staged(view, peers, counts):
    for model in _needs.order_models(view, counts):
        fitting = [
            item
            for item in peers
            if not _has_weights(view, item)
            or _needs.is_warm(item, model.name)
            or view.staging.get(item.server_id) == model.name
        ]
        if len(fitting) >= model.size:
            return model
    return min(view.terms.models, key=lambda model: model.size, default=None)


def _plan_second_models(view):
    """Models for hosts that hold none but their engine's, large ones first."""
    actions = []
    for engine in view.records:
        if not engine.usable or engine.server_id in view.busy:
            continue
        if engine.server_id in view.staging:
            continue
        place = engine.membership
        if not engine.model or engine.server_id in view.down:
            continue
        if place is None or place.state is _records.MemberState.JOINING:
            continue
        others = [
            model.name
            for model in view.terms.models
            if model.name != engine.model
        ]
        if others and not set(others) & set(engine.staged):
            actions.append(_actions.StageModel(engine, others[0]))
    sizes = {model.name: model.size for model in view.terms.models}
    return sorted(actions, key=lambda action: -sizes[action.model])
