"""A partitioned data centre keeps serving and no group is released."""

import json
import time

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
import pytest

ISOLATED_DATA_CENTRE = 'tbilisi-a'
PROMPT = 'one two three'


@pytest.fixture
def cluster():
    with cluster_module.open_cluster(has_proxies=True) as started:
        conditions.wait_for(
            lambda: all(started.get_status(name) for name in started.entries),
            'all entries answer',
        )
        started.apply_contract(callers.make_contract())
        started.wait_until_serving(3)
        yield started


def send_completion(cluster, name):
    status, _, body = cluster.send_request(
        name,
        '/v1/completions',
        {'model': 'rota-model', 'prompt': PROMPT, 'max_tokens': 3},
        callers.KEY,
    )
    return status, body.decode('utf-8')


def find_generations(cluster, name):
    return sorted(
        (g['name'], g['generation']) for g in cluster.get_groups(name)
    )


def list_live_nodes(cluster, name):
    return sorted(
        node['name']
        for node in cluster.get_status(name)['nodes']
        if node['alive']
    )


def find_led_shards(cluster, data_centre):
    """Shards whose lease is held by an entry of the data centre."""
    return {
        shard
        for name, entry in cluster.entries.items()
        if entry['data_centre'] == data_centre
        for shard in cluster.get_status(name)['shards']
    }


def test_partitioned_data_centre_keeps_serving(cluster):
    conditions.wait_for(
        lambda: all(
            data_centre in find_led_shards(cluster, data_centre)
            for data_centre in cluster_module.DATA_CENTRES
        ),
        'every data centre leads its own shard',
    )
    generations_before = find_generations(cluster, 'entry-b1')
    isolated_nodes = [n for n in cluster.entries if n.startswith('entry-a')]
    other_nodes = [n for n in cluster.entries if n not in isolated_nodes]
    cluster.partition(ISOLATED_DATA_CENTRE)
    conditions.wait_for(
        lambda: (
            list_live_nodes(cluster, 'entry-a1') == isolated_nodes
            and list_live_nodes(cluster, 'entry-b1') == other_nodes
        ),
        'both sides see the cut',
    )
    # Longer than any lease, so that leases held on the other side are taken
    # over.
    end = time.monotonic() + 12.0
    while time.monotonic() < end:
        for name in cluster.entries:
            status, body = send_completion(cluster, name)
            assert status == 200, (name, body)
            text = json.loads(body)['choices'][0]['text']
            assert text == 'one two three '
        time.sleep(0.2)
    contract = callers.make_contract()
    contract['priority'] = 8
    path = cluster.folder / 'amended.json'
    path.write_text(json.dumps(contract), encoding='utf-8')
    assert cluster.run_command('contract', 'apply', path).returncode == 0
    cluster.partition()
    conditions.wait_for(
        lambda: (
            len({cluster.get_status(n)['revision'] for n in cluster.entries})
            == 1
        ),
        'one revision in force everywhere',
    )
    cluster.wait_until_serving(3)
    assert find_generations(cluster, 'entry-b1') == generations_before
