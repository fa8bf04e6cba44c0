"""Servers of the older interface that stop in the head of an answer."""

import asyncio
import json

import pytest

from balsamwind import adapters
from balsamwind.adapters.tests import completion_helpers
from balsamwind.adapters.tests import cut_heads
from balsamwind.adapters.tests import scripted
from balsamwind import exceptions
from balsamwind import ports
from balsamwind.requests import _resume
from standins import raw_server

EVENTS = b''.join(
    b'data: %s\n\n' % json.dumps({**event, 'attempt': 'r.1'}).encode()
    for event in (
        *map(scripted.make_token, range(4)),
        scripted.make_finish(4),
    )
)
STREAM_CUTS = cut_heads.make_cuts(
    b'Content-Type: text/event-stream\r\n',
    EVENTS[:-40],
    scripted.make_chunk(EVENTS[:-40]),
)

BODY = b'{"recorded": 1}'
CALL_CUTS = cut_heads.make_cuts(
    b'Content-Type: application/json\r\n', BODY, scripted.make_chunk(BODY)
)
REFUSAL = b'{"not_run": true}'
CUT_REFUSALS = {
    name: answer.replace(b'200 OK', b'503 X')
    for name, answer in cut_heads.make_cuts(
        b'', REFUSAL, scripted.make_chunk(REFUSAL)
    ).items()
}


async def call(server, method):
    client = adapters.HttpClient()
    sent = ports.ServiceCall(method, '/x', b'', 'text/plain', 'k', 'r')
    try:
        await adapters.HttpPlainService(client).call(server.address, sent, 1.0)
    except exceptions.TransportError as error:
        return '' if error.sent else 'is said not to have run'
    except exceptions.BackendRefused:
        return 'is said not to have run'
    finally:
        client.close()
    return 'is not whole'


async def complete(server):
    path = completion_helpers.CompletionPath([server.address])
    try:
        await path.collect()
    except exceptions.BalsamwindError as error:
        is_promised = error.run == exceptions.NOT_RUN
        return 'is said not to have run' if is_promised else ''
    finally:
        path.client.close()
    return 'is not whole'


def find_harms(cuts, ending, send):
    """Describe the harm that a request comes to by each cut, if any."""

    async def play(cut):
        server = raw_server.RawServer([cut], ending)
        async with server.listen():
            harm = await send(server)
        return harm if server.requests else 'was not sent'

    async def play_all():
        harms = await asyncio.gather(*map(play, cuts.values()))
        return {
            name: harm for name, harm in zip(cuts, harms, strict=True) if harm
        }

    return asyncio.run(play_all())


@pytest.mark.parametrize('ending', raw_server.ENDINGS)
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'cuts',
    [
        pytest.param(CALL_CUTS, id='answers'),
        pytest.param(CUT_REFUSALS, id='refusals'),
    ],
)
def test_call_whose_answer_was_cut_in_its_head_promises_nothing(
    cuts, method, ending
):
    # Neither a success that is not whole, nor 'not run'.
    harms = find_harms(cuts, ending, lambda server: call(server, method))
    assert harms == {}


@pytest.mark.parametrize('ending', raw_server.ENDINGS)
def test_completion_whose_answer_was_cut_in_its_head_promises_nothing(
    monkeypatch, ending
):
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)
    assert find_harms(STREAM_CUTS, ending, complete) == {}


@pytest.mark.parametrize('ending', raw_server.ENDINGS)
def test_completion_whose_refusal_was_cut_promises_nothing(
    monkeypatch, ending
):
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)
    assert find_harms(CUT_REFUSALS, ending, complete) == {}
