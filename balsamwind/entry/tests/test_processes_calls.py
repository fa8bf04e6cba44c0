"""Calls that take effect at most once, over real processes."""

import hashlib
import json
import signal
import threading

import pytest

from build_tools import cluster as cluster_module
from build_tools import conditions


KEY = 'processes-key'
PAYOUT = {'circle': 'varketili', 'member': 'ნინო', 'amount': 250}


@pytest.fixture(scope='module', name='cluster')
def make_running():
    """Six entries that serve one contract without a model."""
    with cluster_module.open_cluster(domains=1, vms_per_domain=1) as started:
        _apply_contract(started)
        yield started


def _apply_contract(cluster):
    example = cluster_module.ROOT / 'examples/rotagzeli-contract.json'
    contract = json.loads(example.read_text(encoding='utf-8'))
    contract['api_key_hashes'] = [hashlib.sha256(KEY.encode()).hexdigest()]
    contract['models'] = []
    path = cluster.folder / 'contract.json'
    path.write_text(json.dumps(contract), encoding='utf-8')
    conditions.wait_for(
        lambda: all(cluster.status(name) for name in cluster.entries),
        'all entries answer',
    )
    done = cluster.command('contract', 'apply', path)
    assert done.returncode == 0, done.stderr
    conditions.wait_for(
        lambda: all(_knows(cluster, name) for name in cluster.entries),
        'the contract is in force everywhere',
    )


def _knows(cluster, name):
    return cluster.request(name, '/v1/models', key=KEY)[0] == 200


def _pay(cluster, name, key, out=None):
    answer = cluster.request(
        name,
        '/services/circle-ledger/payouts',
        PAYOUT,
        KEY,
        {'Idempotency-Key': key},
    )
    if out is not None:
        out.append(answer)
    return answer


def _pay_in_background(cluster, name, key):
    def run():
        try:
            _pay(cluster, name, key)
        except OSError:
            return

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def _set_fault(cluster, place, **faults):
    address = cluster.service[place]
    conditions.post_json(f'http://{address}/admin', faults)


def _effects(cluster, key):
    return [e for e in cluster.effects() if e['key'] == key]


def test_entry_killed_between_record_and_answer(cluster):
    _set_fault(cluster, 'tbilisi-a', delay=20.0)
    caller = _pay_in_background(cluster, 'entry-a1', 'killed-entry')
    conditions.wait_for(
        lambda: _effects(cluster, 'killed-entry'), 'the call took effect'
    )
    process = cluster.processes['entry-a1']
    process.send_signal(signal.SIGKILL)
    process.wait()
    caller.join(conditions.WAIT)
    _set_fault(cluster, 'tbilisi-a', delay=0.0)
    for name in ('entry-a2', 'entry-b1'):
        status, _, body = _pay(cluster, name, 'killed-entry')
        assert status == 504
        assert json.loads(body)['error']['run'] == 'outcome_unknown'
    assert len(_effects(cluster, 'killed-entry')) == 1


def test_backend_killed_before_its_answer(cluster):
    _set_fault(cluster, 'tbilisi-b', delay=20.0)
    answers = []
    thread = threading.Thread(
        target=_pay, args=(cluster, 'entry-b1', 'killed-backend', answers)
    )
    thread.start()
    conditions.wait_for(
        lambda: answers or _effects(cluster, 'killed-backend'),
        'the call took effect',
    )
    assert not answers
    process = cluster.processes['service-tbilisi-b']
    process.send_signal(signal.SIGKILL)
    process.wait()
    thread.join(conditions.WAIT)
    repeat = _pay(cluster, 'entry-c1', 'killed-backend')
    for status, _, body in (*answers, repeat):
        assert status == 504
        assert json.loads(body)['error']['run'] == 'outcome_unknown'
    del cluster.service['tbilisi-b']
    assert not _effects(cluster, 'killed-backend')
    status, _, _ = _pay(cluster, 'entry-b2', 'after-the-death')
    assert status == 200
    assert len(_effects(cluster, 'after-the-death')) == 1
