"""``store accept`` raises the epoch, also when its answer is lost."""

import asyncio

import pytest

from balsamwind.cli import _store
from standins import platform


@pytest.mark.parametrize('lost', [0, 1])
def test_accept_raises_the_epoch(lost):
    async def run():
        state = platform.Platform()
        port = platform.listen(platform.make_server(state))
        url = f'http://127.0.0.1:{port}'
        first = await _store._raise_epoch(url)
        state.faults['lose_answers'] = lost
        second = await _store._raise_epoch(url)
        assert second.value.number > first.value.number >= 1
        assert second.revision > first.revision
        assert state.revision == 2

    asyncio.run(run())
