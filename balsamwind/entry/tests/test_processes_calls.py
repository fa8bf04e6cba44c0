"""Service calls take effect at most once, shown with real processes."""

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
def start_cluster():
    """Six entries with one contract that has services but no model."""
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
        lambda: all(cluster.get_status(name) for name in cluster.entries),
        'all entries answer',
    )
    completed = cluster.run_command('contract', 'apply', path)
    assert completed.returncode == 0, completed.stderr
    conditions.wait_for(
        lambda: all(_accepts_key(cluster, name) for name in cluster.entries),
        'the contract is in force everywhere',
    )


def _accepts_key(cluster, name):
    return cluster.send_request(name, '/v1/models', key=KEY)[0] == 200


def _pay(cluster, name, key, answers=None):
    """Send a payout through an entry; append the answer to `answers`."""
    answer = cluster.send_request(
        name,
        '/services/circle-ledger/payouts',
        PAYOUT,
        KEY,
        {'Idempotency-Key': key},
    )
    if answers is not None:
        answers.append(answer)
    return answer


def _pay_in_background(cluster, name, key):
    def pay():
        try:
            _pay(cluster, name, key)
        except OSError:
            return

    thread = threading.Thread(target=pay, daemon=True)
    thread.start()
    return thread


def _set_fault(cluster, data_centre, **faults):
    address = cluster.service_addresses[data_centre]
    conditions.post_json(f'http://{address}/admin', faults)


def _find_effects(cluster, key):
    """Calls with an idempotency key that took effect at a backend server."""
    return [effect for effect in cluster.get_effects() if effect['key'] == key]


def test_call_is_not_repeated_after_entry_is_killed(cluster):
    _set_fault(cluster, 'tbilisi-a', delay=20.0)
    caller = _pay_in_background(cluster, 'entry-a1', 'killed-entry')
    conditions.wait_for(
        lambda: _find_effects(cluster, 'killed-entry'), 'the call took effect'
    )
    process = cluster.processes['entry-a1']
    process.send_signal(signal.SIGKILL)
    process.wait()
    caller.join(conditions.WAIT_TIMEOUT)
    _set_fault(cluster, 'tbilisi-a', delay=0.0)
    for name in ('entry-a2', 'entry-b1'):
        status, _, body = _pay(cluster, name, 'killed-entry')
        assert status == 504
        assert json.loads(body)['error']['run'] == 'outcome_unknown'
    assert len(_find_effects(cluster, 'killed-entry')) == 1


def test_call_is_not_repeated_after_backend_is_killed(cluster):
    _set_fault(cluster, 'tbilisi-b', delay=20.0)
    answers = []
    thread = threading.Thread(
        target=_pay, args=(cluster, 'entry-b1', 'killed-backend', answers)
    )
    thread.start()
    conditions.wait_for(
        lambda: answers or _find_effects(cluster, 'killed-backend'),
        'the call took effect',
    )
    assert not answers
    process = cluster.processes['service-tbilisi-b']
    process.send_signal(signal.SIGKILL)
    process.wait()
    thread.join(conditions.WAIT_TIMEOUT)
    repeat = _pay(cluster, 'entry-c1', 'killed-backend')
    for status, _, body in (*answers, repeat):
        assert status == 504
        assert json.loads(body)['error']['run'] == 'outcome_unknown'
    del cluster.service_addresses['tbilisi-b']
    assert not _find_effects(cluster, 'killed-backend')
    status, _, _ = _pay(cluster, 'entry-b2', 'after-the-death')
    assert status == 200
    assert len(_find_effects(cluster, 'after-the-death')) == 1
