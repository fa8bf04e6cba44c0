"""Object API calls a second, steady and after the loss of a fabric domain.

Counts what the control path writes (`LeaseManager`, `plan_allocations` and
`plan_groups` under a virtual clock), and computes the watch calls that
follow: each reader has one watch pending, each write completes it, and a
watch counts as one call, whether a write or its timeout ends it. Writes that
the executor sends concurrently (up to `MAX_CONCURRENT_DECISIONS`) complete a
watch only once. One node of each data centre reads the store
(`StoreWatcher`); the figures with every node as a reader are printed for
comparison. List calls are left out, as a reader makes one only when it
starts.
"""

import json
import math
import random
import sys

from balsamwind.control import _controller
from balsamwind.control import _executor
from balsamwind import settings
from benchmarks import _trace
from benchmarks import _virtual_fleet

STEADY_TIME = 60.0
"""Time over which steady-state writes are counted (seconds)."""

OUTAGE_TIME = 300
"""Time over which writes are counted after the loss (seconds)."""

TARGET_DOMAINS = {f'{dc}-d{i}': 80 for dc in 'abcdefgh' for i in range(5)}

SIZES = {
    6: {
        'domains': _trace.FLEETS['whole'],
        'size': 4,
        'groups': 12,
        'lost': 'a-d0',
        'ticket_interval': 10.0,
    },
    370: {
        'domains': TARGET_DOMAINS,
        'size': 16,
        'groups': 190,
        'lost': 'a-d0',
        'ticket_interval': 0.05,
    },
}
"""Nodes (count) -> fleet that they control.

``domains`` is as for `FleetSimulation`, ``size`` the VMs in a group (count),
``groups`` the replicas over all contracts (count), ``lost`` the fabric
domain that fails, and ``ticket_interval`` the time between two loads that
the weight store grants (seconds).
"""

NODE_SETTINGS = {
    'node': {'name': 'n', 'data_centre': 'a'},
    'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
    'platform': {'url': 'http://h:4'},
}


def count_lease_writes(data_centres):
    """Count the lease writes of the holders of all shards.

    Parameters
    ----------
    data_centres : list of str
        Data centres; each is a shard, beside the shard of the fleet.

    Returns
    -------
    float
        Writes a second (1/s).
    """
    node_settings = settings.check_settings(NODE_SETTINGS)
    managers = _controller.make_lease_managers(
        node_settings, data_centres, random.Random(1)
    )
    leases = dict.fromkeys(managers)
    writes = 0
    now = 0.0
    while now < STEADY_TIME:
        for shard, manager in managers.items():
            write = manager.plan_write(leases[shard], 0.0, now, 'op')
            if write is not None:
                writes += 1
                manager.confirm_write(write.value, now)
                leases[shard] = _StoredLease(write.value, writes)
        now += node_settings.control.interval
    return writes / STEADY_TIME


class _StoredLease:
    """Lease with its revision, as read from the store."""

    def __init__(self, value, revision):
        self.value = value
        self.revision = revision


def make_simulation(domains, size, groups, ticket_interval, **_):
    """Simulate a fleet until all its groups serve, and a minute more.

    Parameters
    ----------
    domains : dict of str to int
        ``<data centre>-<domain>`` -> VMs (count).
    size : int
        VMs in a group (count).
    groups : int
        Replicas over all contracts (count).
    ticket_interval : float
        Time between two loads that the weight store grants (seconds).

    Returns
    -------
    benchmarks._virtual_fleet.FleetSimulation
    """
    contracts = [
        (f'c{i}', i % 10, f'm{i % 3}', groups // 10) for i in range(10)
    ]
    placement_settings = {'load_time': _virtual_fleet.LOAD_TIME, 'preloads': 2}
    placement_settings['ticket_interval'] = ticket_interval
    simulation = _virtual_fleet.FleetSimulation(
        domains, contracts, placement_settings, 1, size, ticket_interval
    )
    while simulation.now < 3600.0 and (
        simulation.measure()[0] or simulation.now < 60.0
    ):
        simulation.run_round()
        simulation.now += _virtual_fleet.ROUND_INTERVAL
    for _ in range(60):
        simulation.run_round()
        simulation.now += _virtual_fleet.ROUND_INTERVAL
    return simulation


def count_outage_writes(simulation, domain, count):
    """Count the writes in each second after a fabric domain went down.

    Parameters
    ----------
    simulation : benchmarks._virtual_fleet.FleetSimulation
        Fleet in steady state.
    domain : str
        Fabric domain that goes down, as ``<data centre>-<domain>``.
    count : int
        VMs in it (count).

    Returns
    -------
    list of int
        Writes in each of `OUTAGE_TIME` seconds (count).
    """
    for index in range(count):
        event = _trace.Event(simulation.now, 'down', f'{domain}-{index}')
        simulation.apply_event(event)
    per_second = []
    for _ in range(OUTAGE_TIME):
        writes_before = simulation.writes
        simulation.run_round()
        simulation.now += _virtual_fleet.ROUND_INTERVAL
        per_second.append(simulation.writes - writes_before)
    return per_second


def main():
    """Print one JSON line for each fleet in `SIZES`."""
    watch_timeout = settings.check_settings(
        NODE_SETTINGS
    ).platform.watch_timeout
    for nodes, shape in SIZES.items():
        data_centres = sorted({name[0] for name in shape['domains']})
        lease_writes = count_lease_writes(data_centres)
        simulation = make_simulation(**shape)
        writes_before = simulation.writes
        for _ in range(int(STEADY_TIME)):
            simulation.run_round()
            simulation.now += _virtual_fleet.ROUND_INTERVAL
        other_writes = (simulation.writes - writes_before) / STEADY_TIME
        wakeups_per_reader = max(
            lease_writes + other_writes, 1.0 / watch_timeout
        )
        readers = len(data_centres)
        result = {'nodes': nodes, 'engines': len(simulation.vms)}
        result['steady_lease_writes_per_s'] = round(lease_writes, 2)
        result['steady_other_writes_per_s'] = round(other_writes, 2)
        result['steady_watch_calls_per_s'] = round(
            readers * wakeups_per_reader, 1
        )
        result['steady_watch_calls_if_all_read'] = round(
            nodes * wakeups_per_reader, 1
        )
        lost_vms = shape['domains'][shape['lost']]
        writes_per_second = count_outage_writes(
            simulation, shape['lost'], lost_vms
        )
        result['loss_vms'] = lost_vms
        result['loss_writes'] = sum(writes_per_second)
        result['loss_peak_writes_per_s'] = max(writes_per_second)
        wakeups = math.ceil(
            max(writes_per_second) / _executor.MAX_CONCURRENT_DECISIONS
        )
        peak_wakeups = wakeups + lease_writes
        result['loss_peak_watch_calls_per_s'] = round(
            readers * peak_wakeups, 1
        )
        result['loss_peak_watch_calls_if_all_read'] = round(
            nodes * peak_wakeups, 1
        )
        result['replicas_out_at_the_end'] = simulation.measure()[0]
        print(json.dumps(result), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
