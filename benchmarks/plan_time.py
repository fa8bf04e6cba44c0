"""Time of one control plan, for the present and for the target fleet size.

Prints one JSON line for each fleet, state and plan. Times are the median and
the largest of `RUNS` runs in this process. Before each run one group and one
claim are written, so that no run can reuse lists that an earlier run sorted.
"""

import json
import statistics
import sys
import time

from balsamwind import control
from balsamwind.control.tests import fleet

RUNS = 15
"""Runs of each plan (count)."""

STATES = ('steady', 'one lost', 'domain dark', 'data centre dark')

FLEETS = {
    60: {'data_centres': 3, 'domains': 2, 'vms': 10, 'size': 4},
    3200: {'data_centres': 8, 'domains': 5, 'vms': 80, 'size': 16},
}
"""Engines (count) -> parameters of `make_fleet`."""


def make_fleet(data_centres, domains, vms, size):
    """Make a fleet of complete groups, with spare VMs.

    In each data centre enough VMs for one more group are free.

    Parameters
    ----------
    data_centres : int
        Data centres (count).
    domains : int
        Fabric domains in a data centre (count).
    vms : int
        VMs in a fabric domain (count).
    size : int
        VMs in a group (count).

    Returns
    -------
    balsamwind.control.tests.fleet.Fleet
    """
    names = [
        f'dc{i}-d{j}' for i in range(data_centres) for j in range(domains)
    ]
    test_fleet = fleet.Fleet(dict.fromkeys(names, vms), preloads=2)
    for index, name in enumerate(names):
        data_centre = name.split('-')[0]
        count = vms // size
        if name.endswith('d0'):
            count -= 1
        for number in range(count):
            contract = f'c{index}-{number}'
            test_fleet.put_contract(
                contract, index % 10, 1, {data_centre: 1}, size
            )
            first = number * size
            members = [f'{name}-{first + rank}' for rank in range(size)]
            test_fleet.put_group(f'g-{contract}', contract, members)
    return test_fleet


def measure(plan, prepare):
    """Time a plan.

    Parameters
    ----------
    plan : callable
        Plan to time, called without arguments.
    prepare : callable
        Called without arguments before each run; not timed.

    Returns
    -------
    dict of str to float
        Median and largest time (milliseconds).
    """
    times = []
    for _ in range(RUNS):
        prepare()
        start = time.perf_counter()
        plan()
        times.append((time.perf_counter() - start) * 1000.0)
    return {
        'median_ms': round(statistics.median(times), 2),
        'largest_ms': round(max(times), 2),
    }


def make_plans(test_fleet):
    """Make the plans to time, over one view of the fleet.

    Parameters
    ----------
    test_fleet : balsamwind.control.tests.fleet.Fleet
        Fleet to plan for.

    Returns
    -------
    dict of str to callable
        Name of the plan -> function without arguments that makes it.
    """
    view = test_fleet.view()
    return {
        'groups': lambda: control.plan_groups(view, 'dc0', 1),
        'allocations': lambda: control.plan_allocations(view, 1),
    }


def invalidate_lists(test_fleet):
    """Write a group and a claim again, so that their sorted lists are stale.

    Parameters
    ----------
    test_fleet : balsamwind.control.tests.fleet.Fleet
        Fleet whose objects are written.
    """
    for kind in ('group', 'claim'):
        stored = test_fleet.catalogue.list_objects(kind)[0]
        test_fleet.put(kind, stored.name, stored.value)


def find_down_vms(state, shape):
    """Find the VMs that are down in a state of the fleet.

    Parameters
    ----------
    state : str
        One of `STATES`.
    shape : dict of str to int
        Parameters of `make_fleet`.

    Returns
    -------
    list of str
        Names of the VMs, all in the first data centre.
    """
    domains = {'steady': 0, 'one lost': 1, 'domain dark': 1}
    vms = {'steady': 0, 'one lost': 1}
    return [
        f'dc0-d{domain}-{index}'
        for domain in range(domains.get(state, shape['domains']))
        for index in range(vms.get(state, shape['vms']))
    ]


def main():
    """Time the plans for every fleet, steady and after three kinds of loss."""
    for engines, shape in FLEETS.items():
        for state in STATES:
            test_fleet = make_fleet(**shape)
            for vm in find_down_vms(state, shape):
                test_fleet.record_observation(vm, 100.0)
            for name, plan in make_plans(test_fleet).items():
                line = {'engines': engines, 'state': state, 'plan': name}
                line.update(
                    measure(plan, lambda: invalidate_lists(test_fleet))
                )
                print(json.dumps(line))
    return 0


if __name__ == '__main__':
    sys.exit(main())
