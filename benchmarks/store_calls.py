"""Object API calls a second, steady and while one fabric domain is lost.

Counts what the control path writes (`LeaseKeeper`, `plan_allocations` and
`plan_groups` under a virtual clock), and the watch calls that follow: every
reader waits in one watch, every write wakes it, and a waiting watch counts as
one call. Writes that the executor sends at once (`WRITES_AT_ONCE`) wake a
reader once. One node of each data centre reads (`StoreFollower`); the figures
with every node as a reader stand beside. Lists count once for each reader at
its start and are left out.
"""

import json
import math
import random
import sys

from balsamwind.control import _controller
from balsamwind.control import _executor
from balsamwind import settings
from benchmarks import _trace
from benchmarks import _world

STEADY_TIME = 60.0
"""Time over which the steady state is counted (seconds)."""

LOSS_TIME = 300
"""Time over which the loss is counted (seconds)."""

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
"""Nodes -> fleet."""

NODE = {
    'node': {'name': 'n', 'data_centre': 'a'},
    'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
    'platform': {'url': 'http://h:4'},
}


def count_lease_writes(data_centres):
    """Lease writes a second, of the holders of all shards."""
    made = settings.check_settings(NODE)
    keepers = _controller.make_keepers(made, data_centres, random.Random(1))
    leases = dict.fromkeys(keepers)
    writes = 0
    now = 0.0
    while now < STEADY_TIME:
        for shard, keeper in keepers.items():
            write = keeper.plan(leases[shard], 0.0, now, 'op')
            if write is not None:
                writes += 1
                keeper.accept(write.value, now)
                leases[shard] = _Held(write.value, writes)
        now += made.control.interval
    return writes / STEADY_TIME


class _Held:
    """A lease as the store keeps it."""

    def __init__(self, value, revision):
        self.value = value
        self.revision = revision


def make_world(domains, size, groups, ticket_interval, **_):
    """A fleet where all groups serve."""
    contracts = [
        (f'c{i}', i % 10, f'm{i % 3}', groups // 10) for i in range(10)
    ]
    placement = {'load_time': _world.LOAD_TIME, 'preloads': 2}
    placement['ticket_interval'] = ticket_interval
    world = _world.World(
        domains, contracts, placement, 1, size, ticket_interval
    )
    while world.now < 3600.0 and (world.measure()[0] or world.now < 60.0):
        world.run_round()
        world.now += _world.STEP
    for _ in range(60):
        world.run_round()
        world.now += _world.STEP
    return world


def count_loss(world, domain, count):
    """Writes in each second after a fabric domain went dark."""
    for index in range(count):
        event = _trace.Event(world.now, 'down', f'{domain}-{index}')
        world.happen(event)
    seconds = []
    for _ in range(LOSS_TIME):
        before = world.writes
        world.run_round()
        world.now += _world.STEP
        seconds.append(world.writes - before)
    return seconds


def main():
    """Count for every size."""
    watch_timeout = settings.check_settings(NODE).platform.watch_timeout
    for nodes, shape in SIZES.items():
        data_centres = sorted({name[0] for name in shape['domains']})
        leases = count_lease_writes(data_centres)
        world = make_world(**shape)
        before = world.writes
        for _ in range(int(STEADY_TIME)):
            world.run_round()
            world.now += _world.STEP
        other = (world.writes - before) / STEADY_TIME
        watches = max(leases + other, 1.0 / watch_timeout)
        readers = len(data_centres)
        line = {'nodes': nodes, 'engines': len(world.vms)}
        line['steady_lease_writes_per_s'] = round(leases, 2)
        line['steady_other_writes_per_s'] = round(other, 2)
        line['steady_watch_calls_per_s'] = round(readers * watches, 1)
        line['steady_watch_calls_if_all_read'] = round(nodes * watches, 1)
        lost = shape['domains'][shape['lost']]
        seconds = count_loss(world, shape['lost'], lost)
        line['loss_vms'] = lost
        line['loss_writes'] = sum(seconds)
        line['loss_peak_writes_per_s'] = max(seconds)
        wakes = math.ceil(max(seconds) / _executor.WRITES_AT_ONCE)
        peak = wakes + leases
        line['loss_peak_watch_calls_per_s'] = round(readers * peak, 1)
        line['loss_peak_watch_calls_if_all_read'] = round(nodes * peak, 1)
        line['replicas_out_at_the_end'] = world.measure()[0]
        print(json.dumps(line), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
