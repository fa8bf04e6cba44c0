"""Time of the decisions of one node at the target's size.

One node in memory, with 369 peers, 200 groups of 16 VMs in 8 data centres and
the VM list; no sockets. Prints milliseconds a call, the least of five
repetitions.
"""

import argparse
import timeit

import structlog

from balsamwind.entry.tests import parts
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

DATA_CENTRES = 8
"""Data centres (count)."""

GROUP_SIZE = 16
"""Members of a group (count)."""

REPEATS = 5
"""Repetitions, of which the least counts (count)."""


def make_groups(count):
    """Records of `count` ready groups."""
    records = []
    for number in range(count):
        members = tuple(
            objects.Member(f'vm-{number:03d}-{rank:02d}', f'10.0.0.1:{rank}')
            for rank in range(GROUP_SIZE)
        )
        group = objects.Group(
            f'contract-model-{number:06x}',
            'c',
            'm',
            '1',
            f'dc{number % DATA_CENTRES}',
            f'domain-{number:03d}',
            members,
            1,
            objects.GroupState.READY,
        )
        records.append(objects.Stored('group', group.name, number + 1, group))
    return records


def make_node(nodes, groups):
    """A node that knows all groups, VMs and peers."""
    fleet = parts.Fleet(**{'n000': 'dc0'})
    node = fleet['n000']
    records = make_groups(groups)
    node.list_store(1000, *records)
    node.entry.groups.listed = {
        member.vm: ports.ListedVm(
            member.vm,
            member.address,
            record.value.data_centre,
            record.value.fabric_domain,
        )
        for record in records
        for member in record.value.members
    }
    for number in range(1, nodes):
        place = f'dc{number % DATA_CENTRES}'
        node.entry.registry.hear(f'n{number:03d}', place, fleet.clock.now)
    return fleet, node, records


def make_status(record):
    """Status of a group that is well."""
    head = record.value.vms[0]
    report = ports.EngineReport(head, ports.EngineState.READY)
    return peers.make_status(record.value, report)


def run_table(fleet, entry, nodes):
    """Ten uses of the group table in a second with heartbeats."""
    for number in range(1, nodes):
        entry.observations.hear(f'n{number:03d}', fleet.clock.now, 0.5)
    for _ in range(10):
        fleet.clock.now += 0.1
        entry.groups.serving('c', 'm', fleet.clock.now)


def main():
    """Time each decision."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, default=370)
    parser.add_argument('--groups', type=int, default=200)
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    fleet, node, records = make_node(arguments.nodes, arguments.groups)
    entry = node.entry
    peer = peers.Hello('n008', 'dc0', 'i')
    beat = peers.Heartbeat(1000, 0.5, False, {}, False, 0, 1.0)
    statuses = peers.Reports((), (), tuple(map(make_status, records)))
    node.peering.on_message(peer, statuses)
    frame = peers.encode_frame([beat])
    cases = {
        'observation round': node.observer.run_round,
        'heartbeat taken in': lambda: node.peering.on_message(peer, beat),
        'heartbeat decoded': lambda: peers.decode_frame(frame),
        'a status of each group taken in': lambda: node.peering.on_message(
            peer, statuses
        ),
        'own beat planned': node.peering.beat,
        'group table, one second of use': lambda: run_table(
            fleet, entry, arguments.nodes
        ),
    }
    print(f'{arguments.nodes} nodes, {arguments.groups} groups')
    for name, run in cases.items():
        times = timeit.repeat(run, number=10, repeat=REPEATS)
        print(f'{name}: {min(times) / 10 * 1e3:.4f} ms')


if __name__ == '__main__':
    main()
