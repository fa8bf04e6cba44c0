"""Servers that stop in the head of an answer, also behind another node."""

import asyncio

import pytest

from balsamwind.adapters.tests import cut_heads
from balsamwind.node.tests import harms
from balsamwind.relay.tests import forwarding
from standins import raw_server

CUTS = cut_heads.make_cuts(
    harms.FIELDS, harms.BODY, forwarding.make_chunk(harms.BODY)
)

NOT_EXECUTED = b'X-Balsamwind-Not-Executed: 1\r\n'
CUT_REFUSALS = {
    name: answer.replace(b'200 OK', b'503 X')
    for name, answer in cut_heads.make_cuts(
        harms.ID + NOT_EXECUTED, b'', b'1\r\nx\r\n'
    ).items()
    # These show the whole head of a refusal.
    if b'\r\n\r\n'
    not in answer.replace(b'Early Hints\r\nLink: x\r\n\r\n', b'')
}


@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('ending', raw_server.ENDINGS)
@pytest.mark.parametrize(
    ('cuts', 'rest', 'routes'),
    [
        pytest.param(CUTS, (), harms.ROUTES, id='answers'),
        pytest.param(
            CUTS, (harms.WHOLE,), harms.REPEATABLE, id='answers, then whole'
        ),
        pytest.param(CUT_REFUSALS, (), ['not idempotent'], id='refusals'),
    ],
)
def test_answer_cut_in_its_head_was_taken_for_a_whole_one(
    cuts, rest, routes, ending, through_peer
):
    answers = {cut: (answer, *rest) for cut, answer in cuts.items()}
    found = asyncio.run(
        harms.find_harms(answers, routes, ending, through_peer)
    )
    assert found == {}
