"""Baselines that the placement is compared with."""

from balsamwind import placement


def first_fit_formations(needs, free, loads):
    """Contracts by name; first domain with room, first VMs of it."""
    formations = {}
    for need in sorted(needs, key=lambda n: (n.contract, n.terms.model)):
        for _, rows in sorted(free.domains.items()):
            if len(rows) >= need.terms.group_size:
                rows = rows[: need.terms.group_size]
                free.take(rows)
                formations[need.contract, need.terms.model] = rows
                break
    return formations


def first_fit_repairs(broken, victims, free, loads):
    """At once: the first spares of the domain, else release the group."""
    repairs = {}
    for item in sorted(broken, key=lambda item: item.group.name):
        rows = free.domains.get(item.group.fabric_domain, ())
        count = len(item.lost)
        if len(rows) >= count and count < len(item.group.members):
            repair = _make_repair(placement.Way.SPARE, item, rows[:count])
        else:
            repair = _make_repair(placement.Way.REFORM, item, ())
        free.take(repair.rows)
        repairs[item.group.name] = repair
    return repairs


def reform_repairs(broken, victims, free, loads):
    """At once: release the group; a new one is formed elsewhere."""
    return {
        item.group.name: _make_repair(placement.Way.REFORM, item, ())
        for item in broken
    }


def _make_repair(way, item, rows):
    cost = placement.Cost(0.0, 0.0)
    return placement.Repair(way, item.lost, cost, 'baseline', tuple(rows))


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
"""Policy -> functions of `balsamwind.placement` that it replaces, and
settings that it changes."""

BASELINES = ('first-fit', 'reform-only')
"""Policies that the others are compared with."""
