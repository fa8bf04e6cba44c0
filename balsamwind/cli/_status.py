"""Command that shows what an entry knows."""

import asyncio
import json

import click

from balsamwind import adapters
from balsamwind.cli import _output
from balsamwind import exceptions

GROUP_COLUMNS = (
    'name',
    'state',
    'serving',
    'generation',
    'version',
    'data_centre',
    'fabric_domain',
    'members',
    'reason',
)
NODE_COLUMNS = (
    'name',
    'data_centre',
    'alive',
    'heard_ago',
    'draining',
    'revision',
)

TIMEOUT = 5.0
"""Time-out of the question to the entry (seconds)."""


def fetch(entry):
    """Status of the entry whose operators address is ``host:port``."""
    return asyncio.run(_fetch(entry))


async def _fetch(entry):
    client = adapters.HttpClient()
    try:
        response = await client.fetch(
            'GET', f'http://{entry}/status', timeout=TIMEOUT
        )
    finally:
        client.close()
    if response.status != 200:
        raise exceptions.StoreError(f'{entry}: answered {response.status}')
    return json.loads(response.body)


@click.command()
@click.option('--entry', required=True, help='Operators address, host:port.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def status(entry, as_json):
    """Show groups, members, nodes and the revision in force."""
    data = fetch(entry)
    if as_json:
        click.echo(json.dumps(data, ensure_ascii=False, indent=2))
        return
    click.echo(f'node {data["node"]}, revision {data["revision"]}')
    store = data['store']
    if store['state'] != 'current':
        click.echo(f'ALARM store {store["state"]}: {store["reason"]}')
    if store['unreadable']:
        click.echo(f'ALARM unreadable: {", ".join(store["unreadable"])}')
    click.echo(f'leases held: {data["shards"] or "none"}')
    _output.print_rows(data['nodes'], NODE_COLUMNS, False)
    rows = [
        {**group, 'members': ','.join(group['members'])}
        for group in data['groups']
    ]
    _output.print_rows(rows, GROUP_COLUMNS, False)
    for contract, models in data['short'].items():
        for model, reason in models.items():
            click.echo(f'short: {contract} {model}: {reason}')
