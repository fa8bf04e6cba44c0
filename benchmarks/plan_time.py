"""Time of one plan, for the fleet of today and for the target.

Prints one JSON line for each fleet, state and plan. Times are the median and
the largest of `ROUNDS` runs in this process. Before each run one group and
one claim are written, so that no run finds its lists sorted.
"""

import json
import statistics
import sys
import time

from balsamwind import control
from balsamwind.control.tests import fleet

ROUNDS = 15
"""Runs of each plan (count)."""

STATES = ('steady', 'one lost', 'domain dark', 'data centre dark')

FLEETS = {
    60: {'data_centres': 3, 'domains': 2, 'vms': 10, 'size': 4},
    3200: {'data_centres': 8, 'domains': 5, 'vms': 80, 'size': 16},
}
"""Engines -> shape of the fleet; `vms` is for one fabric domain."""


def make_fleet(data_centres, domains, vms, size):
    """Fleet of whole groups, with one group of slack in each data centre."""
    names = [
        f'dc{i}-d{j}' for i in range(data_centres) for j in range(domains)
    ]
    made = fleet.Fleet(dict.fromkeys(names, vms), preloads=2)
    for index, name in enumerate(names):
        data_centre = name.split('-')[0]
        count = vms // size
        if name.endswith('d0'):
            count -= 1
        for number in range(count):
            contract = f'c{index}-{number}'
            made.contract(contract, index % 10, 1, {data_centre: 1}, size)
            first = number * size
            members = [f'{name}-{first + rank}' for rank in range(size)]
            made.group(f'g-{contract}', contract, members)
    return made


def measure(plan, touch):
    """Median and largest time of a plan (milliseconds)."""
    times = []
    for _ in range(ROUNDS):
        touch()
        started = time.perf_counter()
        plan()
        times.append((time.perf_counter() - started) * 1000.0)
    return {
        'median_ms': round(statistics.median(times), 2),
        'largest_ms': round(max(times), 2),
    }


def plans(made):
    """Name -> plan, over a view that is given."""
    view = made.view()
    return {
        'groups': lambda: control.plan_groups(view, 'dc0', 1),
        'allocations': lambda: control.plan_allocations(view, 1),
    }


def touch(made):
    """Write one object of each kind that is large."""
    for kind in ('group', 'claim'):
        stored = made.catalogue.items(kind)[0]
        made.put(kind, stored.name, stored.value)


def find_lost(state, shape):
    """VMs that are down in a state of the fleet."""
    domains = {'steady': 0, 'one lost': 1, 'domain dark': 1}
    vms = {'steady': 0, 'one lost': 1}
    return [
        f'dc0-d{domain}-{index}'
        for domain in range(domains.get(state, shape['domains']))
        for index in range(vms.get(state, shape['vms']))
    ]


def main():
    """Measure every fleet, steady and in three states of loss."""
    for engines, shape in FLEETS.items():
        for state in STATES:
            made = make_fleet(**shape)
            for vm in find_lost(state, shape):
                made.report(vm, 100.0)
            for name, plan in plans(made).items():
                line = {'engines': engines, 'state': state, 'plan': name}
                line.update(measure(plan, lambda: touch(made)))
                print(json.dumps(line))
    return 0


if __name__ == '__main__':
    sys.exit(main())
