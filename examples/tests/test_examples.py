"""The examples run and show what they say."""

import asyncio

from examples import embed_lease
from examples import embed_relay
from examples import embed_routing


def test_routing():
    assert embed_routing.main() == (['blue', 'green'], ['green'])


def test_lease():
    acting = embed_lease.main()
    assert all(len(holders) <= 1 for holders in acting)
    numbers = [holders[0][1] for holders in acting if holders]
    assert numbers == sorted(numbers)
    assert acting[-1] == [('b', 2)]


def test_relay():
    answer, asked = asyncio.run(embed_relay.run())
    assert answer == embed_relay.ANSWER
    assert len(set(asked)) == 2
