"""Command that prints the status of an entry."""

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

STATUS_TIMEOUT = 5.0
"""Timeout of the status request to the entry (seconds)."""


def fetch_status(entry):
    """Fetch the status of an entry.

    Parameters
    ----------
    entry : str
        Operators address of the entry, ``host:port``.

    Returns
    -------
    dict
        Parsed JSON of ``GET /status``.

    Raises
    ------
    balsamwind.exceptions.StoreError
        The entry answered with a status other than 200.
    """
    return asyncio.run(_fetch_status(entry))


async def _fetch_status(entry):
    client = adapters.HttpClient()
    try:
        response = await client.fetch(
            'GET', f'http://{entry}/status', timeout=STATUS_TIMEOUT
        )
    finally:
        client.close()
    if response.status != 200:
        raise exceptions.StoreError(
            f'{entry}: GET /status answered {response.status}, expected 200'
        )
    return json.loads(response.body)


@click.command()
@click.option(
    '--entry', required=True, help='Operators address of the entry, host:port.'
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def status(entry, as_json):
    """Show nodes, groups, group members and the revision in force."""
    data = fetch_status(entry)
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
    group_rows = [
        {**group, 'members': ','.join(group['members'])}
        for group in data['groups']
    ]
    _output.print_rows(group_rows, GROUP_COLUMNS, False)
    for contract, unmet_models in data['short'].items():
        for model, reason in unmet_models.items():
            click.echo(f'short: {contract} {model}: {reason}')
