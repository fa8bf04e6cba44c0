"""Baseline policies for placement, as replacements of its functions."""

from balsamwind import placement


def first_fit_formations(needs, free, loads):
    """Form groups first-fit, in the order of contract and model names.

    Each group takes the first VMs of the first fabric domain that has
    enough free ones.

    Parameters
    ----------
    needs : iterable of balsamwind.placement.PendingGroup
        Groups to form.
    free : balsamwind.placement.FreeVms
        Free VMs; those of the new groups are removed.
    loads : balsamwind.placement.DurationEstimator
        Expected load times; not used.

    Returns
    -------
    dict of (str, str) to list of balsamwind.ports.ListedVm
        Contract and model -> members. A group that fits no fabric domain is
        left out.
    """
    formations = {}
    for need in sorted(needs, key=lambda n: (n.contract, n.terms.model)):
        for _, vms in sorted(free.domains.items()):
            if len(vms) >= need.terms.group_size:
                vms = vms[: need.terms.group_size]
                free.remove(vms)
                formations[need.contract, need.terms.model] = vms
                break
    return formations


def first_fit_repairs(broken, victims, free, loads):
    """Replace lost members by the first free VMs, without waiting for them.

    A group is released if its fabric domain has too few free VMs, or if all
    its members are lost.

    Parameters
    ----------
    broken : iterable of balsamwind.placement.BrokenGroup
        Groups that lost members.
    victims : dict of str to list of balsamwind.placement.PreemptionCandidate
        Fabric domain -> groups that could be broken up; not used.
    free : balsamwind.placement.FreeVms
        Free VMs; those used as replacements are removed.
    loads : balsamwind.placement.DurationEstimator
        Expected load times; not used.

    Returns
    -------
    dict of str to balsamwind.placement.Repair
        Group name -> repair.
    """
    repairs = {}
    for broken_group in sorted(
        broken, key=lambda broken_group: broken_group.group.name
    ):
        vms = free.domains.get(broken_group.group.fabric_domain, ())
        count = len(broken_group.lost)
        if len(vms) >= count and count < len(broken_group.group.members):
            repair = _make_repair(
                placement.RepairKind.USE_SPARE, broken_group, vms[:count]
            )
        else:
            repair = _make_repair(
                placement.RepairKind.RECREATE, broken_group, ()
            )
        free.remove(repair.listed_vms)
        repairs[broken_group.group.name] = repair
    return repairs


def reform_repairs(broken, victims, free, loads):
    """Release every group that lost a member, so that a new one is formed.

    Parameters
    ----------
    broken : iterable of balsamwind.placement.BrokenGroup
        Groups that lost members.
    victims : dict of str to list of balsamwind.placement.PreemptionCandidate
        Fabric domain -> groups that could be broken up; not used.
    free : balsamwind.placement.FreeVms
        Free VMs; not used.
    loads : balsamwind.placement.DurationEstimator
        Expected load times; not used.

    Returns
    -------
    dict of str to balsamwind.placement.Repair
        Group name -> repair.
    """
    return {
        broken_group.group.name: _make_repair(
            placement.RepairKind.RECREATE, broken_group, ()
        )
        for broken_group in broken
    }


def _make_repair(kind, broken_group, vms):
    cost = placement.Cost(0.0, 0.0)
    return placement.Repair(
        kind, broken_group.lost, cost, 'baseline', tuple(vms)
    )


FIRST_FIT = {
    'plan_formations': first_fit_formations,
    'plan_repairs': first_fit_repairs,
}

POLICIES = {
    'first-fit': (FIRST_FIT, {'preloads': 0}),
    'reform-only': ({'plan_repairs': reform_repairs}, {'preloads': 0}),
    'balsamwind': ({}, {}),
    'balsamwind, no loads ahead': ({}, {'preloads': 0}),
    'first-fit, loads ahead': (FIRST_FIT, {}),
}
"""Policy name -> replaced functions of `balsamwind.placement`, and changed
placement settings. ``preloads: 0`` turns off loading weights ahead of need."""

BASELINES = ('first-fit', 'reform-only')
"""Names of the policies that `balsamwind` is compared with."""
