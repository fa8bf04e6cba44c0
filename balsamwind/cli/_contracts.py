"""Commands that read and write contracts."""

import asyncio
import contextlib
import datetime
import json
import time

import click

from balsamwind import adapters
from balsamwind.cli import _in_force
from balsamwind.cli import _output
from balsamwind.cli import _status
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import settings as settings_package

STORE_TIMEOUT = 5.0
"""Timeout of one call to the object API (seconds)."""

ROLLOUT_TIMEOUT = 30.0
"""Longest time that ``--wait`` waits for all nodes (seconds)."""

CONTRACT_COLUMNS = ('customer', 'priority', 'starts_at', 'ends_at', 'revision')


def _platform_option(command):
    return click.option(
        '--platform',
        envvar='BALSAMWIND_PLATFORM',
        required=True,
        help='Base URL of the platform.',
    )(command)


def _json_option(command):
    return click.option('--json', 'as_json', is_flag=True, help='Print JSON.')(
        command
    )


@contextlib.contextmanager
def _open_store(platform):
    client = adapters.HttpClient()
    try:
        yield adapters.HttpObjectStore(
            client, platform, STORE_TIMEOUT, STORE_TIMEOUT
        )
    finally:
        client.close()


@click.group()
def contract():
    """Read, write, amend and end contracts."""


@contract.command()
@click.argument('path')
@click.option(
    '--revision',
    type=int,
    help='Expected current revision; without it, the newest is replaced.',
)
@click.option(
    '--wait', is_flag=True, help='Wait until all nodes have applied it.'
)
@click.option(
    '--entry', help='Operators address of the entry that --wait asks.'
)
@_platform_option
def apply(path, revision, wait, entry, platform):
    """Create or replace a contract from a JSON file."""
    value = objects.check_contract(settings_package.load_json(path), path)
    stored = asyncio.run(_write_contract(platform, value, revision))
    click.echo(f'{stored.name}: revision {stored.revision}')
    if wait:
        _wait_until_applied(entry, stored)


@contract.command()
@click.argument('customer')
@_platform_option
def show(customer, platform):
    """Print a contract and its revision as JSON."""
    stored = asyncio.run(_fetch_contract(platform, customer))
    click.echo(
        json.dumps(_encode_contract(stored), ensure_ascii=False, indent=2)
    )


@contract.command(name='list')
@_json_option
@_platform_option
def list_contracts(as_json, platform):
    """List all contracts in the store."""
    contracts = asyncio.run(_fetch_contracts(platform))
    rows = [_encode_contract(stored) for stored in contracts.items]
    _output.print_rows(rows, CONTRACT_COLUMNS, as_json)


@contract.command()
@click.argument('customer')
@click.option('--set', 'changes', multiple=True, help='KEY=JSON, repeatable.')
@click.option(
    '--revision', type=int, required=True, help='Expected current revision.'
)
@click.option(
    '--wait', is_flag=True, help='Wait until all nodes have applied it.'
)
@click.option(
    '--entry', help='Operators address of the entry that --wait asks.'
)
@_platform_option
def amend(customer, changes, revision, wait, entry, platform):
    """Replace top-level keys of a contract."""
    stored = asyncio.run(
        _amend_contract(platform, customer, changes, revision)
    )
    click.echo(f'{stored.name}: revision {stored.revision}')
    if wait:
        _wait_until_applied(entry, stored)


@contract.command()
@click.argument('customer')
@click.option(
    '--at', 'instant', help='End time (UTC, ISO 8601); defaults to now.'
)
@click.option(
    '--revision',
    type=int,
    help='Expected current revision; defaults to the one in the store.',
)
@_platform_option
def end(customer, instant, revision, platform):
    """Set the end time of a contract.

    Requests in flight at that time run to completion.
    """
    now = datetime.datetime.now(datetime.timezone.utc)
    instant = instant or now.strftime('%Y-%m-%dT%H:%M:%S.%fZ')
    changes = [f'ends_at={json.dumps(instant)}']
    stored = asyncio.run(
        _amend_contract(platform, customer, changes, revision)
    )
    click.echo(f'{stored.name}: ends at {instant}, revision {stored.revision}')


def _encode_contract(stored):
    return {**objects.encode(stored.value), 'revision': stored.revision}


async def _fetch_contract(platform, customer):
    with _open_store(platform) as store:
        stored = await store.get('contract', customer)
    if stored is None:
        raise exceptions.BadRequest(f'customer {customer} has no contract')
    return stored


async def _fetch_contracts(platform):
    with _open_store(platform) as store:
        return await store.list(('contract',))


async def _write_contract(platform, value, revision):
    with _open_store(platform) as store:
        if revision is None:
            current = await store.get('contract', value.customer)
            revision = 0 if current is None else current.revision
        try:
            return await store.put('contract', value.customer, value, revision)
        except exceptions.Conflict as conflict:
            raise _make_conflict_error(value, conflict) from None


async def _amend_contract(platform, customer, changes, revision):
    stored = await _fetch_contract(platform, customer)
    data = objects.encode(stored.value)
    for change in changes:
        key, _, json_text = change.partition('=')
        try:
            data[key] = json.loads(json_text)
        except ValueError:
            raise exceptions.BadRequest(
                f'--set {change}: expected KEY=VALUE with VALUE in JSON'
            ) from None
    value = objects.check_contract(data, f'contract {customer}')
    if revision is None:
        revision = stored.revision
    return await _write_contract(platform, value, revision)


def _make_conflict_error(value, conflict):
    stored = conflict.current
    stored_text = 'it was deleted'
    if stored is not None:
        stored_text = json.dumps(_encode_contract(stored), ensure_ascii=False)
    rejected_text = json.dumps(objects.encode(value), ensure_ascii=False)
    return exceptions.Conflict(
        f'contract of {value.customer} changed since it was read\n'
        f'  theirs: {stored_text}\n  yours:  {rejected_text}',
        stored,
    )


def _wait_until_applied(entry, stored):
    if not entry:
        raise exceptions.BadRequest('--wait requires --entry')
    deadline = time.monotonic() + ROLLOUT_TIMEOUT
    while True:
        status = _status.fetch_status(entry)
        rollout = _in_force.check_rollout(status['nodes'], stored.revision)
        store_is_current = status['store']['state'] == 'current'
        if store_is_current and rollout.is_complete:
            click.echo(str(rollout))
            return
        if (
            store_is_current and rollout.is_final
        ) or time.monotonic() > deadline:
            break
        time.sleep(0.1)
    reason = (
        ''
        if store_is_current
        else f'; the store is {status["store"]["state"]}'
    )
    raise exceptions.StoreError(f'{rollout}{reason}')
