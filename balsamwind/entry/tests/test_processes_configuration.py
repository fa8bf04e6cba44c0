"""Contracts stay in force during failures, shown with real processes."""

import hashlib
import json
import pathlib
import signal

from build_tools import cluster as cluster_module
from build_tools import conditions

KEY = 'configuration-key'


def write_contract(cluster):
    example = cluster_module.ROOT / 'examples/rotagzeli-contract.json'
    contract = json.loads(example.read_text(encoding='utf-8'))
    contract['api_key_hashes'] = [hashlib.sha256(KEY.encode()).hexdigest()]
    path = pathlib.Path(cluster.folder) / 'contract.json'
    path.write_text(json.dumps(contract), encoding='utf-8')
    return path


def apply_contract(cluster, path, entry):
    address = cluster.entries[entry]['operators']
    return cluster.run_command(
        'contract', 'apply', path, '--wait', '--entry', address
    )


def set_platform_down(cluster, down):
    url = f'http://{cluster.platform_address}/admin/faults'
    conditions.post_json(url, {'down': down})


def accepts_key(cluster, entry):
    try:
        status, _, _ = cluster.send_request(entry, '/v1/models', key=KEY)
    except OSError:
        return False
    return status == 200


def all_nodes_alive(cluster):
    states = [cluster.get_status(name) for name in cluster.entries]
    return all(
        state and sum(node['alive'] for node in state['nodes']) == 6
        for state in states
    )


def count_serving_groups(cluster, entry):
    return sum(group['serving'] for group in cluster.get_groups(entry))


def test_contract_stays_in_force_over_outage_and_restart():
    with cluster_module.open_cluster() as cluster:
        wait_for = conditions.wait_for
        wait_for(lambda: all_nodes_alive(cluster), 'six nodes see each other')
        path = write_contract(cluster)
        completed = apply_contract(cluster, path, 'entry-a1')
        assert completed.returncode == 0, completed.stderr
        assert 'in force at 6 of 6 nodes' in completed.stdout
        wait_for(
            lambda: count_serving_groups(cluster, 'entry-a1') == 3,
            'groups serve',
        )

        set_platform_down(cluster, True)
        cluster.processes['entry-a1'].kill()
        cluster.processes['entry-a1'].wait()
        cluster.start_entry('entry-a1')
        wait_for(
            lambda: accepts_key(cluster, 'entry-a1'),
            'the restarted entry takes the contract from its peers',
        )
        wait_for(
            lambda: count_serving_groups(cluster, 'entry-a1') == 3,
            'groups serve at the restarted entry',
        )
        set_platform_down(cluster, False)

        cluster.processes['entry-b2'].send_signal(signal.SIGSTOP)
        completed = apply_contract(cluster, path, 'entry-a1')
        assert completed.returncode != 0
        assert 'in force at 5 of 6 nodes' in completed.stderr
        assert 'entry-b2 not heard for' in completed.stderr
        cluster.processes['entry-b2'].send_signal(signal.SIGCONT)
        revision = cluster.get_status('entry-a1')['revision']
        wait_for(
            lambda: (
                all_nodes_alive(cluster)
                and cluster.get_status('entry-b2')['revision'] >= revision
            ),
            'the paused entry is back and up to date',
        )
