"""Which replica groups to close, open and form next; no effects here."""

import dataclasses

from balsamwind.pool import _groups
from balsamwind.pool import _records


@dataclasses.dataclass(slots=True, frozen=True)
class CloseGroup:
    """Close a group that has lost a member, or is about to.

    Parameters
    ----------
    group : PoolGroup
        The group.
    cut : bool
        Whether what runs in it is broken off, as it stands still anyway.
    reason : str
        Why.
    """

    group: _groups.PoolGroup
    cut: bool
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class OpenGroup:
    """Open a whole group that stands ready."""

    group: _groups.PoolGroup


@dataclasses.dataclass(slots=True, frozen=True)
class FormGroup:
    """Form a new group.

    Parameters
    ----------
    model : str
        Model that it serves.
    members : tuple of ServerRecord
        Its members; the first is the head.
    """

    model: str
    members: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class StageModel:
    """Copy a model to an engine's host, ahead of need."""

    engine: _records.ServerRecord
    model: str


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
        Engines that do not answer and are no longer listed.
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
    assigned = _count_assigned(view, groups)
    formings = _plan_forming(view, free, assigned)
    formed = {
        member.server_id for action in formings for member in action.members
    }
    rest = [item for item in free if item.server_id not in formed]
    stagings = _plan_staging(view, rest, assigned)
    return [*closings, *openings, *formings, *stagings]


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
                if group.complete and group.all_ready and not ids & view.down:
                    openings.append(OpenGroup(group))
    return closings, openings


def _check_open(view, group, ids):
    """Close an open group that is not whole, or will not be for long."""
    lost = ids & view.down
    if lost:
        return CloseGroup(group, True, f'{sorted(lost)} do not answer')
    if len(group.members) < group.size:
        return CloseGroup(group, True, 'a member is missing')
    if not group.complete:
        return CloseGroup(group, False, 'a member is leaving')
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


def _count_assigned(view, groups):
    assigned = {model.name: 0 for model in view.terms.models}
    for name, count in view.forming.items():
        assigned[name] = assigned.get(name, 0) + count
    for group in groups.values():
        if group.serving and group.model in assigned:
            assigned[group.model] += group.size
    return assigned


def _plan_forming(view, free, assigned):
    domains = {}
    for record in free:
        domains.setdefault((record.data_centre, record.domain), []).append(
            record
        )
    actions = []
    for (_, domain), engines in sorted(domains.items()):
        growing = view.before_traffic and domain in view.growing
        while True:
            action = _plan_one(view, engines, assigned, growing)
            if action is None:
                break
            actions.append(action)
            assigned[action.model] += len(action.members)
            for member in action.members:
                engines.remove(member)
    return actions


def _plan_one(view, engines, assigned, growing):
    """Form one group among the free engines of a domain, if any fits."""
    for model in _order_models(view.terms, assigned):
        ready = [
            engine
            for engine in engines
            if view.before_traffic or is_warm(engine, model.name)
        ]
        if len(ready) >= model.size > 0:
            ready.sort(key=lambda engine: _join_cost(engine, model.name))
            return FormGroup(model.name, tuple(ready[: model.size]))
        if growing:
            return None
    return None


def _order_models(terms, assigned):
    """Models, that with the least of its share first."""
    return sorted(
        terms.models,
        key=lambda model: (
            assigned[model.name] / max(model.share, 0.01),
            -model.size,
        ),
    )


def is_warm(engine, model):
    """Whether an engine can join without a load from the weight store."""
    return engine.model == model or model in engine.staged


def _join_cost(engine, model):
    if engine.model == model:
        return 0
    return 1 if model in engine.staged else 2


def _plan_staging(view, rest, assigned):
    """Copy models to hosts ahead of need.

    Before traffic each host gets a model that its engine does not hold, so
    that the engine can change between both; later only engines without any
    weights get the model that lacks most.
    """
    if view.before_traffic:
        return _plan_second_models(view)
    actions = []
    counts = dict(assigned)
    for engine in rest:
        if len(actions) >= view.loads_allowed:
            break
        if any(is_warm(engine, model.name) for model in view.terms.models):
            continue
        model = _order_models(view.terms, counts)[0]
        counts[model.name] += 1
        actions.append(StageModel(engine, model.name))
    return actions


def _plan_second_models(view):
    actions = []
    for engine in view.records:
        if not engine.usable or engine.server_id in view.busy:
            continue
        if engine.membership is None or not engine.model:
            continue
        if engine.membership.state is _records.MemberState.JOINING:
            continue
        others = [
            model.name
            for model in view.terms.models
            if model.name != engine.model
        ]
        if others and not set(others) & set(engine.staged):
            actions.append(StageModel(engine, others[0]))
    return actions
