"""Commands on the platform's object API as a whole."""

import asyncio
import secrets
import time

import click

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import objects

TIMEOUT = 5.0
"""Time-out of one call of the object API (seconds)."""


@click.group()
def store():
    """Commands on the platform's object API."""


@store.command()
@click.option(
    '--platform',
    envvar='BALSAMWIND_PLATFORM',
    required=True,
    help='URL of the platform.',
)
def accept(platform):
    """Put the store's present content in force, after a restore.

    Nodes then drop what they know and follow the store as it is.
    """
    stored = asyncio.run(_raise_epoch(platform))
    click.echo(f'epoch {stored.value.number}, revision {stored.revision}')


async def _raise_epoch(platform):
    client = adapters.HttpClient()
    try:
        api = adapters.HttpObjectStore(client, platform, TIMEOUT, TIMEOUT)
        known = await api.get('epoch', objects.EPOCH_NAME)
        least = 0 if known is None else known.value.number
        number = max(least + 1, int(time.time()))
        expected = 0 if known is None else known.revision
        value = objects.Epoch(number, secrets.token_hex(8))
        try:
            return await api.put('epoch', objects.EPOCH_NAME, value, expected)
        except exceptions.StoreError:
            stored = await api.get('epoch', objects.EPOCH_NAME)
            if stored is not None and stored.value == value:
                return stored
            raise
    finally:
        client.close()
