"""Choice of members for a new group and of a replacement for a lost one."""


def plan_members(terms, free):
    """Choose the members of a new group.

    Prefers the fabric domain whose free VMs leave the smallest rest beside
    whole groups, then the one that holds more of the weights.

    Parameters
    ----------
    terms : balsamwind.objects.ModelTerms
        What the group is for.
    free : FreeVms
        VMs to choose from.

    Returns
    -------
    list of balsamwind.ports.ListedVm
        Empty if no fabric domain has room.
    """
    size = terms.group_size
    fitting = [
        (domain, rows)
        for domain, rows in sorted(free.domains.items())
        if len(rows) >= size
    ]
    if not fitting:
        return []
    _, rows = min(
        fitting,
        key=lambda item: (
            -(len(item[1]) % size),
            -_holders(terms, item[1], free),
            len(item[1]),
        ),
    )
    return _prefer_holders(terms, rows, free)[:size]


def plan_replacement(group, count, free):
    """Choose VMs of the group's fabric domain in place of lost ones.

    Returns
    -------
    list of balsamwind.ports.ListedVm
        Empty if the fabric domain has too few free VMs.
    """
    rows = free.domains.get(group.fabric_domain, [])
    if len(rows) < count:
        return []
    return _prefer_holders(group, rows, free)[:count]


def _holders(terms, rows, free):
    return sum(
        free.holds(row.name, terms.model, terms.version) for row in rows
    )


def _prefer_holders(terms, rows, free):
    return sorted(
        rows,
        key=lambda row: not free.holds(row.name, terms.model, terms.version),
    )
