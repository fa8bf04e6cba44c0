"""What only real processes show of the request path."""

import json
import signal

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
import pytest

PROMPT = 'one two three four five six seven'


def make_answer(count):
    words = PROMPT.split()
    return [f'{words[i % len(words)]} ' for i in range(count)]


@pytest.fixture(scope='module')
def cluster():
    with cluster_module.open_cluster() as made:
        conditions.wait_for(
            lambda: all(made.status(name) for name in made.entries),
            'all entries answer',
        )
        made.apply(callers.make_contract())
        made.wait_until_serving(3)
        yield made


def engine_state(cluster, vm):
    place = next(r['data_centre'] for r in cluster.vms if r['name'] == vm)
    return conditions.get_json(f'http://{cluster.admin[place]}/admin/{vm}')


def busy_group(cluster):
    """The group whose head runs a request."""
    for group in cluster.serving('entry-a1'):
        if engine_state(cluster, group['members'][0])['running']:
            return group
    return None


@pytest.mark.parametrize('rank, fault', [(0, 'kill'), (1, 'kill')])
def test_stream_survives_the_loss_of_a_member(cluster, rank, fault):
    cluster.wait_until_serving(3)
    stream = callers.Stream(cluster, 'entry-b1', PROMPT, 120)
    stream.start()
    conditions.wait_for(lambda: len(stream.tokens) > 3, 'some tokens')
    group = conditions.wait_for(lambda: busy_group(cluster), 'a busy group')
    victim = group['members'][rank]
    cluster.fault(victim, fault)
    stream.join(conditions.WAIT)
    assert stream.tokens == make_answer(120)
    assert stream.done
    cluster.fault(victim, 'wipe')


def test_killed_entry_gives_no_clean_end(cluster):
    stream = callers.Stream(cluster, 'entry-c2', PROMPT, 400)
    stream.start()
    conditions.wait_for(lambda: len(stream.tokens) > 3, 'some tokens')
    cluster.processes['entry-c2'].send_signal(signal.SIGKILL)
    stream.join(conditions.WAIT)
    assert not stream.done
    assert stream.error
    conditions.wait_for(
        lambda: busy_group(cluster) is None, 'the slot is free'
    )
    cluster.processes['entry-c2'].wait()
    cluster.start_entry('entry-c2')
    cluster.wait_until_serving(3)


def test_leaving_vm_gets_nothing_new(cluster):
    cluster.wait_until_serving(3)
    group = cluster.serving('entry-a1')[0]
    leaving = group['members'][1]
    rows = [
        {**row, 'state': 'leaving'} if row['name'] == leaving else row
        for row in cluster.vms
    ]
    conditions.post_json(f'http://{cluster.platform}/admin/vms', {'vms': rows})

    def gone_everywhere():
        return all(
            group['name'] not in [g['name'] for g in cluster.serving(name)]
            or leaving
            not in sum((g['members'] for g in cluster.serving(name)), [])
            for name in cluster.entries
        )

    conditions.wait_for(gone_everywhere, 'no entry offers the VM')
    before = engine_state(cluster, leaving)['started']
    for name in cluster.entries:
        for _ in range(4):
            status, _, body = cluster.request(
                name,
                '/v1/completions',
                {'model': 'rota-model', 'prompt': PROMPT, 'max_tokens': 2},
                callers.KEY,
            )
            assert status == 200, body
            text = json.loads(body)['choices'][0]['text']
            assert text == ''.join(make_answer(2))
    assert engine_state(cluster, leaving)['started'] == before
    cluster.wait_until_serving(3)
