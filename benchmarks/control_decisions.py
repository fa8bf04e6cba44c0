"""Processor time of one node's decisions at the target fleet size.

Runs one node in memory, without sockets, that knows 369 peers, 200 groups of
16 VMs in 8 data centres and the VM list. Prints the milliseconds of one call,
as the minimum of five repetitions.
"""

import argparse
import timeit

import structlog

from balsamwind.entry.tests import in_memory_fleet
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

DATA_CENTRES = 8
"""Data centres (count)."""

GROUP_SIZE = 16
"""Members of a group (count)."""

REPEATS = 5
"""Repetitions, of which the fastest is printed (count)."""


def make_groups(count):
    """Make stored records of ready groups.

    Parameters
    ----------
    count : int
        Groups (count).

    Returns
    -------
    list of balsamwind.objects.ObjectVersion
    """
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
        records.append(
            objects.ObjectVersion('group', group.name, number + 1, group)
        )
    return records


def make_node(nodes, groups):
    """Make a node that knows all groups, VMs and peers.

    Parameters
    ----------
    nodes : int
        Nodes in the fleet, this one included (count).
    groups : int
        Groups (count).

    Returns
    -------
    tuple
        In-memory fleet, node, and stored records of the groups.
    """
    fleet = in_memory_fleet.Fleet(**{'n000': 'dc0'})
    node = fleet['n000']
    records = make_groups(groups)
    node.list_store(1000, *records)
    node.entry.groups.listed_vms = {
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
        data_centre = f'dc{number % DATA_CENTRES}'
        node.entry.registry.record_contact(
            f'n{number:03d}', data_centre, fleet.clock.now
        )
    return fleet, node, records


def make_status(record):
    """Make the status of a group whose head reports that it is ready.

    Parameters
    ----------
    record : balsamwind.objects.ObjectVersion
        Record of the group.

    Returns
    -------
    balsamwind.peers.GroupStatus
    """
    head = record.value.vms[0]
    report = ports.EngineReport(head, ports.EngineState.READY)
    return peers.make_group_status(record.value, report)


def use_group_table(fleet, entry, nodes):
    """Read the group table ten times in a second, after new heartbeats.

    Parameters
    ----------
    fleet : balsamwind.entry.tests.in_memory_fleet.Fleet
        Fleet whose clock is moved on by a second.
    entry : balsamwind.entry.Entry
        Entry of the node.
    nodes : int
        Nodes in the fleet (count).
    """
    for number in range(1, nodes):
        entry.observations.record_heartbeat(
            f'n{number:03d}', fleet.clock.now, 0.5
        )
    for _ in range(10):
        fleet.clock.now += 0.1
        entry.groups.find_serving_groups('c', 'm', fleet.clock.now)


def main():
    """Time each decision and print one line for it."""
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
    heartbeat = peers.Heartbeat(1000, 0.5, False, {}, False, 0, 1.0)
    statuses = peers.ObservationChanges(
        (), (), tuple(map(make_status, records))
    )
    node.peering.on_message(peer, statuses)
    frame = peers.encode_frame([heartbeat])
    cases = {
        'observation round': node.observer.run_round,
        'heartbeat taken in': lambda: node.peering.on_message(peer, heartbeat),
        'heartbeat decoded': lambda: peers.decode_frame(frame),
        'a status of each group taken in': lambda: node.peering.on_message(
            peer, statuses
        ),
        'own beat planned': node.peering.send_heartbeat,
        'group table, one second of use': lambda: use_group_table(
            fleet, entry, arguments.nodes
        ),
    }
    print(f'{arguments.nodes} nodes, {arguments.groups} groups')
    for name, function in cases.items():
        times = timeit.repeat(function, number=10, repeat=REPEATS)
        print(f'{name}: {min(times) / 10 * 1e3:.4f} ms')


if __name__ == '__main__':
    main()
