"""Choice of members for new groups and of replacements for lost ones."""

import dataclasses

from balsamwind import objects


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """A group that is allocated and does not exist yet.

    Parameters
    ----------
    contract : str
        Name of the contract.
    priority : int
        Priority of the contract.
    terms : balsamwind.objects.ModelTerms
        What the group is for.
    """

    contract: str
    priority: int
    terms: objects.ModelTerms


def plan_formations(needs, free, loads):
    """Choose the members of new groups, in the order of priority.

    Parameters
    ----------
    needs : iterable of Need
        Groups to form.
    free : FreeVms
        VMs to choose from; what is chosen is taken out.
    loads : LoadModel
        Expected load times.

    Returns
    -------
    dict of (str, str) to list of balsamwind.ports.ListedVm
        Contract and model -> members; what has no room is left out.
    """
    formations = {}
    for need in sorted(
        needs, key=lambda n: (-n.priority, n.contract, n.terms.model)
    ):
        rows = plan_members(need.terms, free, loads)
        if rows:
            free.take(rows)
            formations[need.contract, need.terms.model] = rows
    return formations


def plan_members(terms, free, loads):
    """Choose the members of a new group.

    Prefers the fabric domain where the group is loaded soonest, then the
    one whose rest beside whole groups is largest: a rest is a spare for the
    new group there, and whole free groups stay elsewhere.

    Parameters
    ----------
    terms : balsamwind.objects.ModelTerms
        What the group is for.
    free : FreeVms
        VMs to choose from.
    loads : LoadModel
        Expected load times.

    Returns
    -------
    list of balsamwind.ports.ListedVm
        Empty if no fabric domain has room.
    """
    best = None
    size = terms.group_size
    for domain, rows in sorted(free.domains.items()):
        if len(rows) < size:
            continue
        members = prefer_holders(terms, rows, free)[:size]
        time = loads.load_time(free.missing(members, terms))
        key = (time, -(len(rows) % size), len(rows), domain)
        if best is None or key < best[0]:
            best = (key, members)
    return [] if best is None else best[1]


def prefer_holders(terms, rows, free):
    """Sort VMs: those that hold the weights first."""
    return sorted(
        rows,
        key=lambda row: not free.holds(row.name, terms.model, terms.version),
    )
