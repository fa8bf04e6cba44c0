"""Commands that apply to the platform's object store as a whole."""

import asyncio
import secrets
import time

import click

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import objects

STORE_TIMEOUT = 5.0
"""Timeout of one call to the object API (seconds)."""


@click.group()
def store():
    """Manage the platform's object store."""


@store.command()
@click.option(
    '--platform',
    envvar='BALSAMWIND_PLATFORM',
    required=True,
    help='Base URL of the platform.',
)
def accept(platform):
    """Accept the store's current content after a restore from a backup.

    Raises the store epoch. Nodes then discard their copy of the objects and
    read the store again, even if its revision is lower than theirs.
    """
    stored = asyncio.run(_raise_epoch(platform))
    click.echo(f'epoch {stored.value.number}, revision {stored.revision}')


async def _raise_epoch(platform):
    client = adapters.HttpClient()
    try:
        object_store = adapters.HttpObjectStore(
            client, platform, STORE_TIMEOUT, STORE_TIMEOUT
        )
        current = await object_store.get('epoch', objects.EPOCH_NAME)
        current_number = 0 if current is None else current.value.number
        number = max(current_number + 1, int(time.time()))
        expected_revision = 0 if current is None else current.revision
        epoch = objects.Epoch(number, secrets.token_hex(8))
        try:
            return await object_store.put(
                'epoch', objects.EPOCH_NAME, epoch, expected_revision
            )
        except exceptions.StoreError:
            # The write may have taken effect although its answer was lost.
            stored = await object_store.get('epoch', objects.EPOCH_NAME)
            if stored is not None and stored.value == epoch:
                return stored
            raise
    finally:
        client.close()
