"""Nodes beside entries of another writer among those of the servers."""

import asyncio
import copy

import pytest

from balsamwind.node.tests import helpers
from standins import pool as pool_standin

GROUP = {'Name': 'small.z1.3', 'epoch': 3, 'rank': 0, 'State': 'open'}

FOREIGN_ENTRY = {
    'Service': 'llm',
    'Address': '127.0.0.1:9',
    'Zone': 'z1',
    'State': 'ready',
    'SlotCount': 9,
    'Seq': 1,
    'born': 1700000000000,
    'Domain': 'd1',
    'Models': [],
    'Staged': [],
    'group': GROUP,
}

CHANGES = [
    pytest.param({'group': {**GROUP, 'Name': ['x']}}, id='name is a list'),
    pytest.param({'SlotCount': float('inf')}, id='infinite count'),
    pytest.param({'Zone': 'x\ud800'}, id='string that CBOR does not carry'),
    pytest.param({'born': 2**60}, id='integer that nodes do not pass on'),
    pytest.param({'Address': '127.0.0.1:99999'}, id='port out of range'),
    pytest.param(
        {'Models': pool_standin.RawJson('[' * 20000 + ']' * 20000)},
        id='nested deeply',
    ),
    pytest.param(
        {'SlotCount': pool_standin.RawJson('9' * 6000)}, id='many digits'
    ),
]


def make_configuration():
    configuration = copy.deepcopy(helpers.CONFIGURATION)
    configuration['Routes'].append(
        {
            **configuration['Routes'][0],
            'Name': 'balance',
            'PathPrefix': '/balance/',
            'Kind': 'non_idempotent',
            'Service': 'ledger',
        }
    )
    configuration['Services'].append({'Name': 'ledger'})
    return configuration


def knows(process, server_id):
    record = process.registry.get(server_id)
    return record is not None and record.listed


@pytest.mark.parametrize('change', CHANGES)
def test_nodes_follow_the_entries_beside_an_odd_one(change):
    # Such an entry ended the task that reads the list, at every node and for
    # good: new servers were not used, and those that had left were (DRAIN).
    async def scenario():
        async with helpers.open_fleet(
            (('n1', 'z1'), ('n2', 'z1')),
            engines=2,
            servers=1,
            configuration=make_configuration(),
        ) as (fake_platform, nodes):
            odd = {**FOREIGN_ENTRY, **change}
            fake_platform.store.put('servers', 'another-writer', odd)
            await asyncio.sleep(0.5)
            fake_platform.add_service('s9', 'ledger', 'z1')
            fake_platform.store.delete('servers', 's0')
            for process in nodes:
                await helpers.wait_until(
                    lambda process=process: (
                        knows(process, 's9') and not knows(process, 's0')
                    ),
                    timeout=5.0,
                )
                answer = await helpers.send_request(
                    process, helpers.make_request()
                )
                assert answer.startswith(b'HTTP/1.1 200')

    asyncio.run(scenario())


@pytest.mark.parametrize('change', CHANGES)
def test_node_that_starts_beside_an_odd_entry_serves(change):
    # Every request to the model service was answered with status 500 for as
    # long as the entry was there (RECOVER).
    async def scenario():
        async with helpers.open_platform(2) as fake_platform:
            odd = {**FOREIGN_ENTRY, **change}
            fake_platform.store.put('servers', 'another-writer', odd)
            async with helpers.open_node(fake_platform) as process:
                await helpers.wait_until(
                    lambda: helpers.count_serving_groups(process) == 1
                )
                answer = await helpers.send_request(
                    process, helpers.make_request()
                )
                assert answer.startswith(b'HTTP/1.1 200')

    asyncio.run(scenario())
