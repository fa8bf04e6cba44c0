"""Lease takeover and store outage, shown with real processes."""

import signal

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
import pytest

PROMPT = 'one two three four five six seven'


@pytest.fixture(scope='module')
def cluster():
    settings = {'placement': {'load_time': 0.2, 'cached_load_time': 0.1}}
    with cluster_module.open_cluster(overrides=settings) as started:
        conditions.wait_for(
            lambda: all(started.get_status(name) for name in started.entries),
            'all entries answer',
        )
        started.apply_contract(callers.make_contract())
        started.wait_until_serving(3)
        yield started


def find_holder(cluster, shard, excluded=()):
    """Find the entry that holds the lease of a shard; None if none does."""
    for name in cluster.entries:
        if name in excluded:
            continue
        status = cluster.get_status(name)
        if status and shard in status['shards']:
            return name
    return None


def wait_for_holder(cluster, shard, excluded=()):
    return conditions.wait_for(
        lambda: find_holder(cluster, shard, excluded), f'a holder of {shard}'
    )


def kill_member(cluster, data_centre):
    """Kill the second member of the data centre's group; return the group."""
    group = next(
        g
        for g in cluster.get_serving_groups('entry-a1')
        if g['data_centre'] == data_centre
    )
    cluster.inject_fault(group['members'][1], 'kill')
    return group


def has_replacement_group(cluster, group, name):
    """Whether a group with other members serves in the data centre."""
    return any(
        g['data_centre'] == group['data_centre']
        and g['members'] != group['members']
        for g in cluster.get_serving_groups(name)
    )


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_repair_is_finished_by_successor_of_lease_holder(cluster, number):
    shard = 'tbilisi-a'
    cluster.wait_until_serving(3)
    holder = wait_for_holder(cluster, shard)
    process = cluster.processes[holder]
    others = [name for name in cluster.entries if name != holder]
    group = kill_member(cluster, shard)
    process.send_signal(number)
    successor = wait_for_holder(cluster, shard, excluded=(holder,))
    conditions.wait_for(
        lambda: all(
            has_replacement_group(cluster, group, name) for name in others
        ),
        'another member serves',
    )
    if number == signal.SIGSTOP:
        repaired = cluster.get_serving_groups(successor)
        process.send_signal(signal.SIGCONT)
        conditions.wait_for(
            lambda: (
                holds_no_lease_of(cluster, holder, shard)
                and has_replacement_group(cluster, group, holder)
            ),
            'the paused holder follows its successor',
        )
        assert find_holder(cluster, shard) == successor
        assert _find_generations(
            cluster.get_serving_groups(successor)
        ) == _find_generations(repaired)
    else:
        process.wait()
        cluster.start_entry(holder)
        conditions.wait_for(
            lambda: cluster.get_status(holder), 'the entry is back'
        )
    cluster.inject_fault(group['members'][1], 'wipe')


def holds_no_lease_of(cluster, name, shard):
    status = cluster.get_status(name)
    return status is not None and shard not in status['shards']


def _find_generations(groups):
    return sorted((g['name'], g['generation']) for g in groups)


def holds_no_lease(cluster, name):
    status = cluster.get_status(name)
    return status is not None and not status['shards']


def test_requests_are_served_while_platform_is_down(cluster):
    cluster.wait_until_serving(3)
    groups = _find_generations(cluster.get_groups('entry-b1'))
    faults = f'http://{cluster.platform_address}/admin/faults'
    conditions.post_json(faults, {'down': True})
    try:
        conditions.wait_for(
            lambda: all(holds_no_lease(cluster, n) for n in cluster.entries),
            'all leases have lapsed',
        )
        for name in cluster.entries:
            stream = callers.StreamingCaller(cluster, name, PROMPT, 7)
            stream.start()
            stream.join(conditions.WAIT_TIMEOUT)
            assert ''.join(stream.tokens).split() == PROMPT.split()
        cluster.wait_until_serving(3)
    finally:
        conditions.post_json(faults, {'down': False})
    for shard in ('fleet', 'tbilisi-a', 'tbilisi-b', 'tbilisi-c'):
        wait_for_holder(cluster, shard)
    cluster.wait_until_serving(3)
    assert _find_generations(cluster.get_groups('entry-b1')) == groups
