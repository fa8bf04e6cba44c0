"""Time of one plan, for the fleet of today and for the target.

Prints one JSON line for each fleet and plan. Times are the median and the
largest of `ROUNDS` runs in this process; the views are built before.
"""

import json
import statistics
import sys
import time

from balsamwind import control
from balsamwind.control.tests import fleet

ROUNDS = 15
"""Runs of each plan (count)."""

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
    made = fleet.Fleet(dict.fromkeys(names, vms))
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


def measure(plan):
    """Median and largest time of a plan (milliseconds)."""
    times = []
    for _ in range(ROUNDS):
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


def main():
    """Measure every fleet, steady and in three states of loss."""
    for engines, shape in FLEETS.items():
        for state in ('steady', 'one lost', 'domain dark'):
            made = make_fleet(**shape)
            dark = shape['vms'] if state == 'domain dark' else 1
            if state != 'steady':
                for index in range(dark):
                    made.report(f'dc0-d1-{index}', 100.0)
            for name, plan in plans(made).items():
                line = {'engines': engines, 'state': state, 'plan': name}
                line.update(measure(plan))
                print(json.dumps(line))
    return 0


if __name__ == '__main__':
    sys.exit(main())
