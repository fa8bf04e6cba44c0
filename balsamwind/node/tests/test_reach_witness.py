"""What a node tells others that ask whether it reaches an engine."""

import asyncio
import dataclasses
import types

import pytest

from balsamwind import exceptions
from balsamwind.node import _reach_witness
from balsamwind.node.tests import doubles
from balsamwind import pool
from balsamwind import relay

RECORD = pool.ServerRecord('e1', 'llm', '127.0.0.1:1', 'z1', born=5)


OTHER = pool.ServerRecord('e2', 'llm', '127.0.0.1:2', 'z1')


def _find(
    is_open, is_open_after, answers, known=(RECORD, OTHER), address='x:1'
):
    """Ask a node whose path is, and then turns out to be, open or not."""

    async def fetch_report(record, timeout):
        if not answers:
            raise exceptions.AnswerTimeout('silent')

    async def settle_path(service):
        return is_open_after

    registry = pool.ServerRegistry()
    for record in known:
        registry.apply_entry(record, 0.0)
    request_relay = types.SimpleNamespace(
        clock=doubles.Clock(),
        paths=types.SimpleNamespace(
            is_open=lambda service: is_open,
            record_unreachable=lambda service, server_id, now: None,
        ),
        settle_path=settle_path,
    )
    witness = _reach_witness.ReachWitness(
        registry, request_relay, fetch_report
    )
    query = relay.ReachQuery('llm', 'e1', RECORD.born, True, address=address)
    return asyncio.run(witness.find(query))


@pytest.mark.parametrize(
    ('is_open', 'is_open_after', 'answers', 'expected'),
    [
        (True, True, True, relay.Reach.ANSWERS),
        (True, True, False, relay.Reach.SILENT),
        (True, False, False, relay.Reach.UNKNOWN),
        # It was not tried, and the head that answered was taken for dead.
        (False, False, True, relay.Reach.ANSWERS),
        (False, True, False, relay.Reach.UNKNOWN),
    ],
)
def test_node_in_doubt_of_its_path_did_not_try_the_engine(
    is_open, is_open_after, answers, expected
):
    assert _find(is_open, is_open_after, answers) is expected


EARLIER = dataclasses.replace(RECORD, born=RECORD.born - 1)
LATER = dataclasses.replace(RECORD, born=RECORD.born + 1)


@pytest.mark.parametrize(
    ('known', 'address', 'answers', 'expected'),
    [
        ((OTHER,), 'x:1', True, relay.Reach.ANSWERS),
        ((OTHER,), 'x:1', False, relay.Reach.SILENT),
        ((), 'x:1', True, relay.Reach.ANSWERS),
        # Nothing shows that its own path is open.
        ((), 'x:1', False, relay.Reach.UNKNOWN),
        ((RECORD,), 'x:1', False, relay.Reach.UNKNOWN),
        ((EARLIER, OTHER), 'x:1', True, relay.Reach.ANSWERS),
        ((LATER, OTHER), 'x:1', True, relay.Reach.UNKNOWN),
        # An earlier build asks.
        ((OTHER,), '', True, relay.Reach.UNKNOWN),
    ],
)
def test_node_that_had_just_started_did_not_try_the_engine(
    known, address, answers, expected
):
    # It did not know the head, which served on without an entry, and had its
    # say all the same (TWO).
    assert _find(True, True, answers, known, address) is expected
