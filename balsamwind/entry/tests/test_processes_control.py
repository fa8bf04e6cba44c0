"""What only real processes show of the control path."""

import signal

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
import pytest

PROMPT = 'one two three four five six seven'


@pytest.fixture(scope='module')
def cluster():
    settings = {'placement': {'load_time': 0.2, 'cached_load_time': 0.1}}
    with cluster_module.open_cluster(overrides=settings) as made:
        conditions.wait_for(
            lambda: all(made.status(name) for name in made.entries),
            'all entries answer',
        )
        made.apply(callers.make_contract())
        made.wait_until_serving(3)
        yield made


def find_holder(cluster, shard, but=()):
    """Name of the entry that holds the lease of a shard."""
    for name in cluster.entries:
        if name in but:
            continue
        status = cluster.status(name)
        if status and shard in status['shards']:
            return name
    return None


def wait_for_holder(cluster, shard, but=()):
    return conditions.wait_for(
        lambda: find_holder(cluster, shard, but), f'a holder of {shard}'
    )


def kill_member(cluster, place):
    """Kill a member of the group of a data centre; the group as it was."""
    group = next(
        g for g in cluster.serving('entry-a1') if g['data_centre'] == place
    )
    cluster.fault(group['members'][1], 'kill')
    return group


def is_repaired(cluster, group, name):
    """Whether another set of VMs serves in the place of a group's."""
    return any(
        g['data_centre'] == group['data_centre']
        and g['members'] != group['members']
        for g in cluster.serving(name)
    )


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_lease_holder_is_lost_during_a_repair(cluster, number):
    place = 'tbilisi-a'
    cluster.wait_until_serving(3)
    holder = wait_for_holder(cluster, place)
    process = cluster.processes[holder]
    others = [name for name in cluster.entries if name != holder]
    group = kill_member(cluster, place)
    process.send_signal(number)
    successor = wait_for_holder(cluster, place, but=(holder,))
    conditions.wait_for(
        lambda: all(is_repaired(cluster, group, name) for name in others),
        'another member serves',
    )
    if number == signal.SIGSTOP:
        repaired = cluster.serving(successor)
        process.send_signal(signal.SIGCONT)
        conditions.wait_for(
            lambda: (
                is_follower(cluster, holder, place)
                and is_repaired(cluster, group, holder)
            ),
            'the paused holder follows its successor',
        )
        assert find_holder(cluster, place) == successor
        assert _versions(cluster.serving(successor)) == _versions(repaired)
    else:
        process.wait()
        cluster.start_entry(holder)
        conditions.wait_for(
            lambda: cluster.status(holder), 'the entry is back'
        )
    cluster.fault(group['members'][1], 'wipe')


def is_follower(cluster, name, shard):
    status = cluster.status(name)
    return status is not None and shard not in status['shards']


def _versions(groups):
    return sorted((g['name'], g['generation']) for g in groups)


def has_no_lease(cluster, name):
    status = cluster.status(name)
    return status is not None and not status['shards']


def test_requests_go_on_while_the_platform_is_down(cluster):
    cluster.wait_until_serving(3)
    groups = _versions(cluster.groups('entry-b1'))
    faults = f'http://{cluster.platform}/admin/faults'
    conditions.post_json(faults, {'down': True})
    try:
        conditions.wait_for(
            lambda: all(has_no_lease(cluster, n) for n in cluster.entries),
            'all leases have lapsed',
        )
        for name in cluster.entries:
            stream = callers.Stream(cluster, name, PROMPT, 7)
            stream.start()
            stream.join(conditions.WAIT)
            assert ''.join(stream.tokens).split() == PROMPT.split()
        cluster.wait_until_serving(3)
    finally:
        conditions.post_json(faults, {'down': False})
    for shard in ('fleet', 'tbilisi-a', 'tbilisi-b', 'tbilisi-c'):
        wait_for_holder(cluster, shard)
    cluster.wait_until_serving(3)
    assert _versions(cluster.groups('entry-b1')) == groups
