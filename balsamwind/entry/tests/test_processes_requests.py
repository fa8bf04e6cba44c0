"""Faults on the request path, shown with real processes."""

import json
import signal

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
import pytest

PROMPT = 'one two three four five six seven'


def make_answer(count):
    """Tokens that the engine stand-in generates for `PROMPT`."""
    words = PROMPT.split()
    return [f'{words[i % len(words)]} ' for i in range(count)]


@pytest.fixture(scope='module')
def cluster():
    with cluster_module.open_cluster() as started:
        conditions.wait_for(
            lambda: all(started.get_status(name) for name in started.entries),
            'all entries answer',
        )
        started.apply_contract(callers.make_contract())
        started.wait_until_serving(3)
        yield started


def get_engine_state(cluster, vm):
    data_centre = next(
        row['data_centre'] for row in cluster.vms if row['name'] == vm
    )
    return conditions.get_json(
        f'http://{cluster.engine_admin_addresses[data_centre]}/admin/{vm}'
    )


def find_busy_group(cluster):
    """Find the group whose head runs a request; None if none does."""
    for group in cluster.get_serving_groups('entry-a1'):
        if get_engine_state(cluster, group['members'][0])['running']:
            return group
    return None


@pytest.mark.parametrize('rank, fault', [(0, 'kill'), (1, 'kill')])
def test_stream_is_resumed_after_loss_of_a_member(cluster, rank, fault):
    cluster.wait_until_serving(3)
    stream = callers.StreamingCaller(cluster, 'entry-b1', PROMPT, 120)
    stream.start()
    conditions.wait_for(lambda: len(stream.tokens) > 3, 'some tokens')
    group = conditions.wait_for(
        lambda: find_busy_group(cluster), 'a busy group'
    )
    failed_vm = group['members'][rank]
    cluster.inject_fault(failed_vm, fault)
    stream.join(conditions.WAIT_TIMEOUT)
    assert stream.tokens == make_answer(120)
    assert stream.done
    cluster.inject_fault(failed_vm, 'wipe')


def test_stream_of_killed_entry_ends_with_an_error(cluster):
    stream = callers.StreamingCaller(cluster, 'entry-c2', PROMPT, 400)
    stream.start()
    conditions.wait_for(lambda: len(stream.tokens) > 3, 'some tokens')
    cluster.processes['entry-c2'].send_signal(signal.SIGKILL)
    stream.join(conditions.WAIT_TIMEOUT)
    assert not stream.done
    assert stream.error
    conditions.wait_for(
        lambda: find_busy_group(cluster) is None, 'the slot is free'
    )
    cluster.processes['entry-c2'].wait()
    cluster.start_entry('entry-c2')
    cluster.wait_until_serving(3)


def test_leaving_vm_gets_no_new_requests(cluster):
    cluster.wait_until_serving(3)
    group = cluster.get_serving_groups('entry-a1')[0]
    leaving = group['members'][1]
    rows = [
        {**row, 'state': 'leaving'} if row['name'] == leaving else row
        for row in cluster.vms
    ]
    conditions.post_json(
        f'http://{cluster.platform_address}/admin/vms', {'vms': rows}
    )

    def is_offered_by_no_entry():
        return all(
            group['name']
            not in [g['name'] for g in cluster.get_serving_groups(name)]
            or leaving
            not in sum(
                (g['members'] for g in cluster.get_serving_groups(name)), []
            )
            for name in cluster.entries
        )

    conditions.wait_for(is_offered_by_no_entry, 'no entry offers the VM')
    started_before = get_engine_state(cluster, leaving)['started']
    for name in cluster.entries:
        for _ in range(4):
            status, _, body = cluster.send_request(
                name,
                '/v1/completions',
                {'model': 'rota-model', 'prompt': PROMPT, 'max_tokens': 2},
                callers.KEY,
            )
            assert status == 200, body
            text = json.loads(body)['choices'][0]['text']
            assert text == ''.join(make_answer(2))
    assert get_engine_state(cluster, leaving)['started'] == started_before
    cluster.wait_until_serving(3)
