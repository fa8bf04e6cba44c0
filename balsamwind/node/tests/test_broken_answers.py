"""Servers whose answers are none, also behind another node."""

import asyncio

import pytest

from balsamwind.adapters.tests import broken_answers
from balsamwind.node.tests import harms
from standins import raw_server

NOT_EXECUTED = b'X-Balsamwind-Not-Executed: 1\r\nRetry-After: 1\r\n'

STATUSES = broken_answers.make_statuses(harms.FIELDS, harms.BODY)
REFUSALS = broken_answers.make_statuses(harms.ID + NOT_EXECUTED, b'')
HEADS = broken_answers.make_other_heads(harms.FIELDS, harms.BODY)
REFUSING_HEADS = {
    name: answer.replace(b'200 OK', b'503 X')
    for name, answer in broken_answers.make_other_heads(
        harms.ID + NOT_EXECUTED, b'1'
    ).items()
    # This one is whole, and its body is cut.
    if name != 'chunked without chunks'
}


def _find_harms(answers, rest, routes, ending, through_peer):
    answers = {name: (answer, *rest) for name, answer in answers.items()}
    return asyncio.run(harms.find_harms(answers, routes, ending, through_peer))


@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize(
    'ending', [raw_server.KEEP, raw_server.CLOSE, raw_server.BYTE_BY_BYTE]
)
@pytest.mark.parametrize(
    ('answers', 'rest', 'routes'),
    [
        pytest.param(STATUSES, (), harms.ROUTES, id='answers'),
        pytest.param(
            STATUSES,
            (harms.WHOLE,),
            harms.REPEATABLE,
            id='answers, then whole',
        ),
        pytest.param(REFUSALS, (), ['not idempotent'], id='refusals'),
    ],
)
def test_status_that_is_none_was_an_answer(
    answers, rest, routes, ending, through_peer
):
    assert _find_harms(answers, rest, routes, ending, through_peer) == {}


@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('ending', [raw_server.KEEP, raw_server.CLOSE])
def test_head_whose_framing_contradicts_itself_was_believed(
    ending, through_peer
):
    # A booking that ran was sent again, as such a head said it had not.
    found = _find_harms(
        REFUSING_HEADS, (), ['not idempotent'], ending, through_peer
    )
    assert found == {}


@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('rest', [(), (harms.WHOLE,)])
def test_head_that_is_none_is_no_answer(rest, through_peer):
    routes = harms.REPEATABLE if rest else harms.ROUTES
    assert (
        _find_harms(HEADS, rest, routes, raw_server.CLOSE, through_peer) == {}
    )
