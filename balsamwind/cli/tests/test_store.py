"""Epoch increase by ``store accept``, also if the store's answer is lost."""

import asyncio

import pytest

from balsamwind.cli import _store
from standins import platform


@pytest.mark.parametrize('lost', [0, 1])
def test_accept_raises_epoch_once(lost):
    async def run():
        platform_state = platform.Platform()
        port = platform.listen(platform.make_server(platform_state))
        url = f'http://127.0.0.1:{port}'
        first = await _store._raise_epoch(url)
        platform_state.faults['lose_answers'] = lost
        second = await _store._raise_epoch(url)
        assert second.value.number > first.value.number >= 1
        assert second.revision > first.revision
        assert platform_state.revision == 2

    asyncio.run(run())
