"""Choice of the members of new groups."""

import dataclasses

from balsamwind import objects


@dataclasses.dataclass(slots=True, frozen=True)
class PendingGroup:
    """A group that is allocated and does not exist yet.

    Parameters
    ----------
    contract : str
        Name of the contract.
    priority : int
        Priority of the contract; higher values come first.
    terms : balsamwind.objects.ModelTerms
        Model, version and group size that the contract asks for.
    """

    contract: str
    priority: int
    terms: objects.ModelTerms


def plan_formations(pending, free, durations):
    """Choose the members of new groups, highest priority first.

    Parameters
    ----------
    pending : iterable of PendingGroup
        Groups to form.
    free : FreeVms
        VMs to choose from. The chosen VMs are removed from it.
    durations : DurationEstimator
        Estimator of load times.

    Returns
    -------
    dict of (str, str) to list of balsamwind.ports.ListedVm
        Contract and model -> members. Groups that fit in no fabric domain
        are left out.
    """
    formations = {}
    for pending_group in sorted(
        pending, key=lambda n: (-n.priority, n.contract, n.terms.model)
    ):
        vms = plan_members(pending_group.terms, free, durations)
        if vms:
            free.remove(vms)
            formations[pending_group.contract, pending_group.terms.model] = vms
    return formations


def plan_members(terms, free, durations):
    """Choose the members of a new group.

    The fabric domain with the shortest expected load time is preferred. Ties
    go to the domain with most VMs left over beside whole groups, then to the
    one with fewest free VMs: left-over VMs are spares for the new group, and
    whole free groups stay intact in other domains.

    Parameters
    ----------
    terms : balsamwind.objects.ModelTerms
        Model, version and size of the group.
    free : FreeVms
        VMs to choose from. It is not changed.
    durations : DurationEstimator
        Estimator of load times.

    Returns
    -------
    list of balsamwind.ports.ListedVm
        Empty if no fabric domain has enough free VMs.
    """
    best = None
    group_size = terms.group_size
    for domain, vms in sorted(free.domains.items()):
        if len(vms) < group_size:
            continue
        members = sort_cached_first(terms, vms, free)[:group_size]
        load_time = durations.expected_load_time(
            free.count_missing(members, terms)
        )
        key = (load_time, -(len(vms) % group_size), len(vms), domain)
        if best is None or key < best[0]:
            best = (key, members)
    return [] if best is None else best[1]


def sort_cached_first(weights, vms, free):
    """Sort VMs so that those with the weights in their cache come first.

    Parameters
    ----------
    weights : object
        Any object with the attributes `model` and `version`, such as
        `balsamwind.objects.ModelTerms` or `balsamwind.objects.Group`.
    vms : iterable of balsamwind.ports.ListedVm
        VMs to sort; the order among VMs of the same kind is kept.
    free : FreeVms
        Cache contents of the VMs.

    Returns
    -------
    list of balsamwind.ports.ListedVm
    """
    return sorted(
        vms,
        key=lambda vm: (
            not free.has_weights(vm.name, weights.model, weights.version)
        ),
    )
