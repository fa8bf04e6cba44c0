"""A data centre that is cut off goes on serving; nothing is torn down."""

import json
import time

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
import pytest

PLACE = 'tbilisi-a'
PROMPT = 'one two three'


@pytest.fixture
def cluster():
    with cluster_module.open_cluster(links=True) as made:
        conditions.wait_for(
            lambda: all(made.status(name) for name in made.entries),
            'all entries answer',
        )
        made.apply(callers.make_contract())
        made.wait_until_serving(3)
        yield made


def ask(cluster, name):
    status, _, body = cluster.request(
        name,
        '/v1/completions',
        {'model': 'rota-model', 'prompt': PROMPT, 'max_tokens': 3},
        callers.KEY,
    )
    return status, body.decode('utf-8')


def identities(cluster, name):
    return sorted((g['name'], g['generation']) for g in cluster.groups(name))


def alive(cluster, name):
    return sorted(
        node['name'] for node in cluster.status(name)['nodes'] if node['alive']
    )


def leaders(cluster, place):
    """Shards led by the entries of a data centre."""
    return {
        shard
        for name, entry in cluster.entries.items()
        if entry['data_centre'] == place
        for shard in cluster.status(name)['shards']
    }


def test_cut_data_centre(cluster):
    conditions.wait_for(
        lambda: all(
            place in leaders(cluster, place)
            for place in cluster_module.DATA_CENTRES
        ),
        'every data centre leads its own shard',
    )
    before = identities(cluster, 'entry-b1')
    inside = [n for n in cluster.entries if n.startswith('entry-a')]
    outside = [n for n in cluster.entries if n not in inside]
    cluster.cut(PLACE)
    conditions.wait_for(
        lambda: (
            alive(cluster, 'entry-a1') == inside
            and alive(cluster, 'entry-b1') == outside
        ),
        'both sides see the cut',
    )
    # Longer than any lease, so that leases of the other side are taken.
    until = time.monotonic() + 12.0
    while time.monotonic() < until:
        for name in cluster.entries:
            status, body = ask(cluster, name)
            assert status == 200, (name, body)
            text = json.loads(body)['choices'][0]['text']
            assert text == 'one two three '
        time.sleep(0.2)
    contract = callers.make_contract()
    contract['priority'] = 8
    path = cluster.folder / 'amended.json'
    path.write_text(json.dumps(contract), encoding='utf-8')
    assert cluster.command('contract', 'apply', path).returncode == 0
    cluster.cut()
    conditions.wait_for(
        lambda: (
            len({cluster.status(n)['revision'] for n in cluster.entries}) == 1
        ),
        'one revision in force everywhere',
    )
    cluster.wait_until_serving(3)
    assert identities(cluster, 'entry-b1') == before
