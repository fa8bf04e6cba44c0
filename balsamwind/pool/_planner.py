"""Planner of the replica groups of a shard.

The planner decides which groups to close, open and form, and which models to
stage. It is a pure function of a view of the shard; the caller carries out the
actions.
"""

import dataclasses

from balsamwind.pool import _actions
from balsamwind.pool import _conversion
from balsamwind.pool import _groups
from balsamwind.pool import _model_capacity
from balsamwind.pool import _records
from balsamwind.pool import _reuse


@dataclasses.dataclass(slots=True, frozen=True)
class PoolView:
    """State of a shard, as its leader knows it.

    Parameters
    ----------
    records : tuple of ServerRecord
        Entries of the engines of the shard.
    terms : balsamwind.traffic.EngineProfile
        Terms of the service, with its models and their group sizes.
    down : frozenset of str
        Ids of engines that do not answer.
    lost : frozenset of str
        Ids of those engines that will not go on: they have ended, or have not
        answered for longer than a sound engine may be silent.
    silent_heads : dict of str to HeadSilent
        Engines that are no longer listed and have not answered for so long
        that none of them can be the head of an open group any more, by id.
    doubtful_heads : frozenset of str
        Ids of engines of which the same is true but that not enough other
        nodes could say whether they reach them.
    busy : frozenset of str
        Ids of engines that an action in progress affects.
    late_joiners : frozenset of str
        Ids of engines that may still carry out a join that they have not
        answered.
    late_openers : frozenset of str
        Ids of heads that may still carry out an order to open that they have
        not answered.
    late_leavers : frozenset of str
        Ids of engines that may still carry out an order to leave their group.
    forming_engines : dict of str to int
        Number of engines in groups that are being formed, by model (count).
    before_traffic : bool
        Whether this is the first start and no traffic has begun, so that
        loads from the weight store disturb nothing and engines are still
        registering.
    growing_domains : frozenset of str
        Domains in which an engine was first seen a moment ago, so that others
        may follow.
    recently_returned : frozenset of str
        Ids of engines that were first seen, or answered again, a moment ago.
    former_heads : dict of (str, int) to HeadMovedOn, HeadEnded or HeadUnknown
        What has become of the heads of groups that no engine reports to head,
        by the name and the epoch of the group.
    loads_allowed : int
        Number of loads from the weight store that may begin now (count).
    max_concurrent_loads : int
        Number of loads from the weight store that may run concurrently in
        this shard (count).
    staging : dict of str to str
        Models that are being copied to the hosts of engines, by engine id.
    demand : dict of str to float
        Number of requests that run or wait in the shard, by model (count);
        empty before traffic.
    reserved_domains : dict of str to str
        Models for which the engines of a domain are reserved, by domain.
    may_convert : bool
        Whether groups may be closed now because another model needs their
        engines.
    evacuated : bool
        Whether nothing is formed, opened, staged or converted, because the
        data centre is evacuated.
    """

    records: tuple
    terms: object
    down: frozenset = frozenset()
    lost: frozenset = frozenset()
    silent_heads: dict = dataclasses.field(default_factory=dict)
    doubtful_heads: frozenset = frozenset()
    busy: frozenset = frozenset()
    late_joiners: frozenset = frozenset()
    late_openers: frozenset = frozenset()
    late_leavers: frozenset = frozenset()
    forming_engines: dict = dataclasses.field(default_factory=dict)
    before_traffic: bool = False
    growing_domains: frozenset = frozenset()
    recently_returned: frozenset = frozenset()
    former_heads: dict = dataclasses.field(default_factory=dict)
    loads_allowed: int = 0
    max_concurrent_loads: int = 0
    staging: dict = dataclasses.field(default_factory=dict)
    demand: dict = dataclasses.field(default_factory=dict)
    reserved_domains: dict = dataclasses.field(default_factory=dict)
    may_convert: bool = False
    evacuated: bool = False


def plan_pool(view):
    """Plan the next actions of a shard.

    Parameters
    ----------
    view : PoolView
        State of the shard.

    Returns
    -------
    list of CloseGroup, OpenGroup, FormGroup, StageModel, DisbandGroup or \
HoldMembers
        Actions in the order in which they are to be started.
    """
    groups = _groups.find_groups(view.records, view.terms)
    closings, openings = _plan_existing_groups(view, groups)
    if view.evacuated:
        # Whole groups are kept, so that they serve at once afterwards.
        return closings
    opening_ids = {
        member.server_id
        for action in openings
        for member in action.group.members
    }
    verdicts = {
        key: _reuse.judge_reuse(view, group) for key, group in groups.items()
    }
    free_engines = _find_free_engines(view, groups, verdicts, opening_ids)
    group_counts = _count_groups(view, groups)
    conversions = []
    if view.may_convert:
        conversions = _conversion.plan_conversion(
            view, groups, free_engines, group_counts
        )
    # Free engines of a domain under conversion are left to the model for
    # which the groups are closed.
    converting_domains = {action.group.head.domain for action in conversions}
    available = [
        engine
        for engine in free_engines
        if engine.domain not in converting_domains
    ]
    formations = _plan_formations(view, available, group_counts, verdicts)
    forming_ids = {
        member.server_id for action in formations for member in action.members
    }
    idle_engines = [
        record for record in available if record.server_id not in forming_ids
    ]
    stagings = _plan_staging(view, idle_engines, group_counts)
    return [
        *closings,
        *openings,
        *formations,
        *stagings,
        *conversions,
        *_plan_lost_groups(view, groups, verdicts),
    ]


def _plan_existing_groups(view, groups):
    """Plan closings and openings of the groups that engines report.

    A group whose head is unknown or does not answer is left alone: the head
    can't be ordered to do anything, and it may still be open.
    """
    closings = []
    openings = []
    for group in groups.values():
        member_ids = {member.server_id for member in group.members}
        if member_ids & view.busy:
            continue
        head = group.head
        if head is None or head.server_id in view.down:
            continue
        match group.state:
            case _records.MemberState.OPEN:
                action = _plan_closing(view, group, member_ids)
                if action is not None:
                    closings.append(action)
            case _records.MemberState.READY:
                if _may_open(view, group, member_ids):
                    openings.append(_actions.OpenGroup(group))
    return closings, openings


def _may_open(view, group, member_ids):
    """Whether a group whose head is ready is complete and still needed.

    A group in a domain that is reserved for another model is not needed. A
    group is not opened while one of its members may yet join another one.
    """
    needed_model = view.reserved_domains.get(group.head.domain, group.model)
    return (
        group.all_ranks_usable
        and group.all_ready
        and not member_ids & view.down
        and not member_ids & view.late_joiners
        and needed_model == group.model
    )


def _plan_closing(view, group, member_ids):
    """Close an open group that lacks a member or is about to lose one.

    Running requests are aborted only if a member is lost already; one that is
    silent may go on, and its requests with it. Returns None if the group may
    stay open.
    """
    lost_ids = member_ids & view.lost
    if lost_ids:
        return _actions.CloseGroup(
            group, True, f'{sorted(lost_ids)} do not answer'
        )
    if member_ids & view.down:
        return None
    if not group.size:
        return _actions.CloseGroup(
            group, False, 'its model is not configured any more'
        )
    if len(group.members) < group.size:
        return _actions.CloseGroup(group, True, 'a member is missing')
    if not group.all_ranks_usable:
        return _actions.CloseGroup(
            group,
            False,
            'a member is draining or unlisted, or the ranks do not fit the '
            'group size',
        )
    return None


def _plan_lost_groups(view, groups, verdicts):
    """Hold the members of groups whose heads are out of sight, or free them.

    They are free some time after they have left their group.
    """
    actions = []
    for key, verdict in verdicts.items():
        group = groups[key]
        if {member.server_id for member in group.members} & view.busy:
            continue
        members = _find_leavers(view, group)
        reason = _reuse.find_disband_reason(view, group)
        if members and reason:
            actions.append(_actions.DisbandGroup(group, members, reason))
        elif isinstance(verdict, _reuse.Held) and (
            group.head is None or group.head.server_id in view.down
        ):
            actions.append(_actions.HoldMembers(group, verdict.reason))
    return actions


def _find_leavers(view, group):
    """Find the members that can be ordered to leave."""
    return tuple(
        member
        for member in group.members
        if member.usable and member.server_id not in view.down
    )


def _find_free_engines(view, groups, verdicts, opening_ids):
    """Find engines that may join a new group."""
    taken_ids = set(opening_ids) | view.late_leavers
    for key, group in groups.items():
        if isinstance(verdicts[key], _reuse.Held):
            taken_ids.update(member.server_id for member in group.members)
    return [
        record
        for record in view.records
        if record.usable
        and record.server_id not in view.down
        and record.server_id not in view.busy
        and record.server_id not in taken_ids
    ]


def _count_groups(view, groups):
    """Count the groups of each model that serve or are being formed."""
    group_counts = {model.name: 0 for model in view.terms.models}
    for model in view.terms.models:
        engine_count = view.forming_engines.get(model.name, 0)
        group_counts[model.name] += engine_count // max(model.group_size, 1)
    for group in groups.values():
        if group.serving and group.model in group_counts:
            group_counts[group.model] += 1
    return group_counts


def _plan_formations(view, available, group_counts, verdicts):
    """Plan new groups; no group spans several domains.

    `group_counts` is updated with the groups that are planned.
    """
    engines_by_domain = {}
    for record in available:
        engines_by_domain.setdefault(
            (record.data_centre, record.domain), []
        ).append(record)
    actions = []
    for (_, domain), engines in sorted(engines_by_domain.items()):
        while True:
            action = _plan_formation(view, domain, engines, group_counts)
            if action is None:
                break
            evidence = _find_evidence(action.members, verdicts)
            actions.append(dataclasses.replace(action, evidence=evidence))
            group_counts[action.model] += 1
            for member in action.members:
                engines.remove(member)
    return actions


def _find_evidence(members, verdicts):
    return {
        member.server_id: verdicts[member.membership.key]
        for member in members
        if member.membership is not None
    }


def _plan_formation(view, domain, engines, group_counts):
    """Form one group from free engines of a domain, or return None.

    Models are tried in the order of their capacity ratios. After traffic has
    begun, only engines that hold the model's weights are used. Before that, a
    domain in which engines still register waits until they suffice for the
    first model that may use the domain, instead of forming a group of another.
    """
    growing = view.before_traffic and domain in view.growing_domains
    for model in _model_capacity.sort_by_capacity_ratio(view, group_counts):
        if view.reserved_domains.get(domain, model.name) != model.name:
            continue
        candidates = [
            engine
            for engine in engines
            if view.before_traffic
            or _model_capacity.is_warm(engine, model.name)
        ]
        if len(candidates) >= model.group_size > 0:
            candidates.sort(key=lambda engine: _join_cost(engine, model.name))
            return _actions.FormGroup(
                model.name, tuple(candidates[: model.group_size])
            )
        if growing:
            return None
    return None


def _join_cost(engine, model):
    """Return a sort key that grows with the time that a join takes.

    It is 0 if the model is in memory, 1 if its weights are on the host, and 2
    if they have to be loaded from the weight store.
    """
    if engine.model == model:
        return 0
    return 1 if model in engine.staged else 2


def _plan_staging(view, idle_engines, group_counts):
    """Plan copies of models to hosts before a group needs them there.

    Engines without any weights come first. They get the model with the lowest
    capacity ratio of those for which the domain has enough engines. Then each
    host gets a model that its engine does not hold, so that the engine can
    serve either. Before traffic these copies disturb nothing and are not
    limited; later only a few run concurrently.
    """
    if view.before_traffic:
        return [*_plan_second_models(view), *_plan_spares(view, idle_engines)]
    cold_engines = [
        engine
        for engine in idle_engines
        if not _has_or_stages_weights(view, engine)
    ]
    actions = []
    for engine in cold_engines[: view.loads_allowed]:
        domain_engines = [
            other
            for other in idle_engines
            if other.domain == engine.domain
            and other.data_centre == engine.data_centre
        ]
        model = _choose_model_to_stage(view, domain_engines, group_counts)
        if model is not None:
            actions.append(_actions.StageModel(engine, model.name))
    load_count = len(actions) + sum(
        model not in record.staged
        for record in view.records
        for model in (view.staging.get(record.server_id),)
        if model is not None
    )
    remaining_loads = min(
        view.loads_allowed - len(actions),
        view.max_concurrent_loads - load_count,
    )
    if remaining_loads > 0:
        actions += _plan_second_models(view)[:remaining_loads]
    return actions


def _plan_spares(view, idle_engines):
    """Plan copies to the engines that a domain has left over.

    A spare without weights replaces a lost member only after a load from the
    weight store. The spares of a domain get the models in turn, that with the
    largest groups first, as those lose members most often.
    """
    models = sorted(
        (model for model in view.terms.models if model.group_size > 1),
        key=lambda model: -model.group_size,
    )
    spares_by_domain = {}
    for engine in sorted(idle_engines, key=lambda record: record.server_id):
        if engine.domain not in view.growing_domains:
            domain = (engine.data_centre, engine.domain)
            spares_by_domain.setdefault(domain, []).append(engine)
    if not models:
        return []
    return [
        _actions.StageModel(engine, models[number % len(models)].name)
        for spares in spares_by_domain.values()
        for number, engine in enumerate(spares)
        if not _has_or_stages_weights(view, engine)
    ]


def _has_or_stages_weights(view, engine):
    """Whether an engine holds weights or some are being copied to its host."""
    return engine.server_id in view.staging or any(
        _model_capacity.is_warm(engine, model.name)
        for model in view.terms.models
    )


def _choose_model_to_stage(view, domain_engines, group_counts):
    """Choose the model for engines of a domain that hold no weights.

    It is the model with the lowest capacity ratio for which the domain has
    enough engines that hold no weights, hold the model's or are receiving
    them. If there is none, it is the model with the smallest groups; None if
    there are no models.
    """
    for model in _model_capacity.sort_by_capacity_ratio(view, group_counts):
        candidates = [
            engine
            for engine in domain_engines
            if not _has_or_stages_weights(view, engine)
            or _model_capacity.is_warm(engine, model.name)
            or view.staging.get(engine.server_id) == model.name
        ]
        if len(candidates) >= model.group_size:
            return model
    return min(
        view.terms.models, key=lambda model: model.group_size, default=None
    )


def _plan_second_models(view):
    """Plan copies to hosts that hold no model but the one of their engine.

    Models with larger groups come first.
    """
    actions = []
    for engine in view.records:
        if not engine.usable or engine.server_id in view.busy:
            continue
        if engine.server_id in view.staging:
            continue
        membership = engine.membership
        if not engine.model or engine.server_id in view.down:
            continue
        if (
            membership is None
            or membership.state is _records.MemberState.JOINING
        ):
            continue
        other_models = [
            model.name
            for model in view.terms.models
            if model.name != engine.model
        ]
        if other_models and not set(other_models) & set(engine.staged):
            actions.append(_actions.StageModel(engine, other_models[0]))
    group_sizes = {model.name: model.group_size for model in view.terms.models}
    return sorted(actions, key=lambda action: -group_sizes[action.model])
