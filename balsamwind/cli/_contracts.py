"""Commands on contracts."""

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
"""Time-out of one call of the object API (seconds)."""

WAIT_TIMEOUT = 30.0
"""Longest wait of ``--wait`` (seconds)."""

COLUMNS = ('customer', 'priority', 'starts_at', 'ends_at', 'revision')


def _platform_option(function):
    return click.option(
        '--platform',
        envvar='BALSAMWIND_PLATFORM',
        required=True,
        help='URL of the platform.',
    )(function)


def _json_option(function):
    return click.option('--json', 'as_json', is_flag=True, help='Print JSON.')(
        function
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
@click.option('--revision', type=int, help='Revision that was read.')
@click.option('--wait', is_flag=True, help='Wait until it is in force.')
@click.option('--entry', help='Operators address of an entry, for --wait.')
@_platform_option
def apply(path, revision, wait, entry, platform):
    """Write a contract from a JSON file."""
    value = objects.check_contract(settings_package.load_json(path), path)
    stored = asyncio.run(_put(platform, value, revision))
    click.echo(f'{stored.name}: revision {stored.revision}')
    if wait:
        _wait(entry, stored)


@contract.command()
@click.argument('customer')
@_platform_option
def show(customer, platform):
    """Print a contract and its revision."""
    stored = asyncio.run(_get(platform, customer))
    click.echo(json.dumps(_row(stored), ensure_ascii=False, indent=2))


@contract.command(name='list')
@_json_option
@_platform_option
def list_contracts(as_json, platform):
    """List all contracts."""
    snapshot = asyncio.run(_list(platform))
    rows = [_row(stored) for stored in snapshot.items]
    _output.print_rows(rows, COLUMNS, as_json)


@contract.command()
@click.argument('customer')
@click.option('--set', 'changes', multiple=True, help='KEY=JSON, repeatable.')
@click.option('--revision', type=int, required=True, help='Revision read.')
@click.option('--wait', is_flag=True, help='Wait until it is in force.')
@click.option('--entry', help='Operators address of an entry, for --wait.')
@_platform_option
def amend(customer, changes, revision, wait, entry, platform):
    """Change top-level keys of a contract."""
    stored = asyncio.run(_amend(platform, customer, changes, revision))
    click.echo(f'{stored.name}: revision {stored.revision}')
    if wait:
        _wait(entry, stored)


@contract.command()
@click.argument('customer')
@click.option('--at', 'instant', help='When (UTC, ISO 8601); default now.')
@click.option('--revision', type=int, help='Revision read.')
@_platform_option
def end(customer, instant, revision, platform):
    """End a contract; requests in flight finish."""
    now = datetime.datetime.now(datetime.timezone.utc)
    instant = instant or now.strftime('%Y-%m-%dT%H:%M:%S.%fZ')
    changes = [f'ends_at={json.dumps(instant)}']
    stored = asyncio.run(_amend(platform, customer, changes, revision))
    click.echo(f'{stored.name}: ends at {instant}, revision {stored.revision}')


def _row(stored):
    return {**objects.encode(stored.value), 'revision': stored.revision}


async def _get(platform, customer):
    with _open_store(platform) as store:
        stored = await store.get('contract', customer)
    if stored is None:
        raise exceptions.BadRequest(f'no contract of {customer}')
    return stored


async def _list(platform):
    with _open_store(platform) as store:
        return await store.list(('contract',))


async def _put(platform, value, revision):
    with _open_store(platform) as store:
        if revision is None:
            known = await store.get('contract', value.customer)
            revision = 0 if known is None else known.revision
        try:
            return await store.put('contract', value.customer, value, revision)
        except exceptions.Conflict as conflict:
            raise _make_conflict(value, conflict) from None


async def _amend(platform, customer, changes, revision):
    stored = await _get(platform, customer)
    data = objects.encode(stored.value)
    for change in changes:
        key, _, text = change.partition('=')
        try:
            data[key] = json.loads(text)
        except ValueError:
            raise exceptions.BadRequest(
                f'--set {change}: the value must be JSON'
            ) from None
    value = objects.check_contract(data, f'contract {customer}')
    if revision is None:
        revision = stored.revision
    return await _put(platform, value, revision)


def _make_conflict(value, conflict):
    theirs = conflict.current
    text = 'it was deleted'
    if theirs is not None:
        text = json.dumps(_row(theirs), ensure_ascii=False)
    yours = json.dumps(objects.encode(value), ensure_ascii=False)
    return exceptions.Conflict(
        f'{value.customer}: changed since it was read\n'
        f'  theirs: {text}\n  yours:  {yours}',
        theirs,
    )


def _wait(entry, stored):
    if not entry:
        raise exceptions.BadRequest('--wait needs --entry')
    deadline = time.monotonic() + WAIT_TIMEOUT
    while True:
        status = _status.fetch(entry)
        seen = _in_force.check_in_force(status['nodes'], stored.revision)
        current = status['store']['state'] == 'current'
        if current and seen.everywhere:
            click.echo(str(seen))
            return
        if (current and seen.decided) or time.monotonic() > deadline:
            break
        time.sleep(0.1)
    reason = '' if current else f'; the store is {status["store"]["state"]}'
    raise exceptions.StoreError(f'{seen}{reason}')
