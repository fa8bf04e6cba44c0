"""Tests that the examples run and return what they describe."""

import asyncio

from examples import embed_lease
from examples import embed_relay
from examples import embed_routing


def test_routing():
    assert embed_routing.main() == (['blue', 'green'], ['green'])


def test_lease():
    holders_by_second = embed_lease.main()
    assert all(len(holders) <= 1 for holders in holders_by_second)
    fencing_numbers = [
        holders[0][1] for holders in holders_by_second if holders
    ]
    assert fencing_numbers == sorted(fencing_numbers)
    assert holders_by_second[-1] == [('b', 2)]


def test_relay():
    answer, requested_groups = asyncio.run(embed_relay.run())
    assert answer == embed_relay.ANSWER
    assert len(set(requested_groups)) == 2
