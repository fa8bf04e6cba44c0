"""Servers whose answers are none, also behind another node."""

import asyncio
import contextlib

import pytest
from structlog import testing

from balsamwind.adapters.tests import broken_answers
from balsamwind import exceptions
from balsamwind.node.tests import carrying
from balsamwind.node.tests import harms
from balsamwind.node.tests import helpers
from balsamwind.node.tests import test_odd_entries
from balsamwind.relay.tests import forwarding
from standins import raw_server

pytestmark = pytest.mark.usefixtures('patient_relays')

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


def make_configuration():
    """Make a configuration with routes that run once, and may run again."""
    configuration = test_odd_entries.make_configuration()
    lookup = {
        **configuration['Routes'][-1],
        'Name': 'lookup',
        'PathPrefix': '/lookup/',
        'Kind': 'idempotent',
    }
    configuration['Routes'].append(lookup)
    return configuration


@contextlib.asynccontextmanager
async def _open_node(servers):
    """Run a node with plain servers until the block ends."""
    async with (
        helpers.open_platform(0) as fake_platform,
        helpers.open_node(fake_platform) as process,
        contextlib.AsyncExitStack() as stack,
    ):
        fake_platform.store.put('config', 'main', make_configuration())
        for number, server in enumerate(servers):
            await stack.enter_async_context(server.listen())
            entry = {
                'Service': 'ledger',
                'Address': server.address,
                'Zone': 'z1',
                'State': 'ready',
                'SlotCount': 6,
            }
            fake_platform.store.put('servers', f's{number}', entry)
        await helpers.wait_until(
            lambda: helpers.is_serving(process, 0, len(servers))
        )
        yield process


def _make_answer(status, fields=b'', body=harms.BODY):
    return b'HTTP/1.1 %s X\r\n%s%sContent-Length: %d\r\n\r\n%s' % (
        status,
        harms.FIELDS,
        fields,
        len(body),
        body,
    )


@pytest.mark.parametrize(
    ('answer', 'defect', 'code'),
    [
        (_make_answer(b'000'), 'status', b'bad_answer'),
        (_make_answer(b'600', NOT_EXECUTED), 'status', b'bad_answer'),
        (_make_answer(b'101'), 'protocol', b'bad_answer'),
        (
            _make_answer(b'503', NOT_EXECUTED + b'Content-Length: 1\r\n'),
            'framing',
            b'bad_answer',
        ),
        (_make_answer(b'200', b'X Na\x01me: 1\r\n'), 'syntax', b'transport_'),
        (
            b'HTTP/1.1 200 X\r\n%sTransfer-Encoding: chunked\r\n\r\nx\r\n'
            % harms.FIELDS,
            'syntax',
            b'transport_',
        ),
    ],
)
def test_broken_answer_is_explained_to_the_operator(answer, defect, code):
    async def scenario():
        server = raw_server.RawServer([answer, harms.WHOLE])
        async with _open_node([server]) as process:
            with testing.capture_logs() as rows:
                request = helpers.make_request('/balance/x')
                broken = await helpers.send_request(process, request)
                whole = await helpers.send_request(process, request)
            count = process._request_log.metrics_registry.get_sample_value(
                'balsamwind_malformed_answers_total', {'defect': defect}
            )
            facts = (
                count,
                process.relay.paths.is_open('ledger'),
                process.relay.crash_quarantine.has_suspects,
                server.requests,
            )
            return broken, whole, rows, facts, server.address

    broken, whole, rows, facts, address = asyncio.run(scenario())
    assert broken.startswith(b'HTTP/1.1 502 ')
    assert code in broken
    assert whole.startswith(b'HTTP/1.1 200 ')
    assert whole.endswith(harms.BODY)
    assert facts == (1.0, True, False, 2)
    (row,) = [row for row in rows if row['event'] == 'answer_malformed']
    assert (row['server'], row['id']) == (address, 'r1')
    assert row['defect'] == defect
    (row,) = [row for row in rows if row['event'] == 'attempt_failed']
    assert (row['server'], row['id'], row['fault']) == ('s0', 'r1', 'server')
    assert 'malformed answer' in row['reason']


def test_idempotent_request_goes_on_after_a_broken_answer():
    async def scenario():
        servers = [raw_server.RawServer([_make_answer(b'000')])]
        servers.append(raw_server.RawServer([harms.WHOLE]))
        async with _open_node(servers) as process:
            answers = [
                await helpers.send_request(
                    process, helpers.make_request('/lookup/x')
                )
                for _ in range(12)
            ]
            return answers, servers[0].requests

    answers, asked = asyncio.run(scenario())
    assert asked > 0
    # A server that fails each time is soon passed over.
    assert asked < 12
    assert all(
        answer.startswith(b'HTTP/1.1 200 ') and answer.endswith(harms.BODY)
        for answer in answers
    )


def _answer(request_id, body):
    answer = _make_answer(b'200', body=body)
    return answer.replace(harms.ID, harms.ID.replace(b'r1', request_id))


@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('is_early', [True, False])
@pytest.mark.parametrize('route', ['idempotent', 'not idempotent'])
@pytest.mark.parametrize('name', STATUSES)
def test_bytes_after_an_answer_are_not_those_of_the_next_request(
    name, route, is_early, through_peer
):
    # They come with the answer before, or as the next request is under way.
    first, second = _answer(b'a', b'first'), _answer(b'b', b'second')
    answers = [first + STATUSES[name], second]
    if not is_early:
        answers = [first, STATUSES[name] + second, second]

    async def scenario():
        server = raw_server.RawServer(answers)
        async with server.listen():
            addresses = [server.address] * 2
            async with carrying.open_relay(addresses, through_peer) as own:
                for request_id in ('a', 'b'):
                    responder = forwarding.Responder()
                    error = await forwarding.send_one(
                        own,
                        responder,
                        route=harms.ROUTES[route],
                        request_id=request_id,
                    )
                    yield responder, error

    (first, no_error), (second, error) = asyncio.run(_collect(scenario()))
    assert (no_error, first.body) == (None, b'first')
    if error is None:
        assert (second.status, second.body) == (200, b'second')
        return
    # It has run, and its own answer may be lost.
    assert (is_early, route) == (False, 'not idempotent')
    assert (error.status, second.starts) == (502, 0)


async def _collect(results):
    return [result async for result in results]


@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('is_resumed', [True, False])
@pytest.mark.parametrize('name', STATUSES)
def test_resumed_stream_holds_nothing_of_a_broken_answer(
    name, is_resumed, through_peer
):
    events = [forwarding.make_event(number) for number in range(3)]
    begun = b'HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%s' % (
        harms.FIELDS,
        forwarding.make_chunk(events[0]),
    )
    broken = broken_answers.make_statuses(harms.FIELDS, b''.join(events[1:]))
    answers = [begun, broken[name]]
    if is_resumed:
        answers.append(_make_answer(b'200', body=b''.join(events[1:])))

    async def scenario():
        server = raw_server.RawServer(answers, raw_server.BYTE_BY_BYTE)
        responder = forwarding.Responder()
        async with server.listen():
            addresses = [server.address] * 4
            async with carrying.open_relay(addresses, through_peer) as own:
                error = await forwarding.send_one(
                    own, responder, route=forwarding.make_route(3)
                )
        return responder, error

    responder, error = asyncio.run(scenario())
    assert (responder.starts, responder.status) == (1, 200)
    assert responder.complete is is_resumed
    if is_resumed:
        assert error is None
        assert responder.body == harms.BODY
    else:
        assert error.run != exceptions.NOT_RUN
        assert responder.body == events[0]


def _make_bare_answer(status, framing):
    return b'HTTP/1.1 %s X\r\n%s%s\r\n' % (status, harms.FIELDS, framing)


@pytest.mark.parametrize(
    ('method', 'answer'),
    [
        ('GET', _make_bare_answer(b'304', b'Content-Length: 5\r\n')),
        ('GET', _make_bare_answer(b'304', b'Transfer-Encoding: chunked\r\n')),
        ('GET', _make_bare_answer(b'304', b'')),
        ('GET', _make_bare_answer(b'204', b'')),
        ('GET', _make_bare_answer(b'204', b'Content-Length: 0\r\n')),
        ('HEAD', _make_bare_answer(b'200', b'Content-Length: 5\r\n')),
        ('HEAD', _make_bare_answer(b'200', b'Transfer-Encoding: chunked\r\n')),
        ('HEAD', _make_bare_answer(b'404', b'Content-Length: 5\r\n')),
    ],
)
def test_no_body_follows_where_there_is_none(method, answer):
    # Whatever the fields say, and whatever the server sends behind the head.
    async def scenario():
        server = raw_server.RawServer(
            [answer + b'5\r\nhello\r\n0\r\n\r\n', _answer(b'b', b'next')]
        )
        async with _open_node([server]) as process:
            host, port = process.settings.callers.rsplit(':', 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            request = helpers.make_request('/lookup/x', 'r1')
            writer.write(request.replace(b'POST', method.encode(), 1))
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 4.0)
            writer.write(helpers.make_request('/lookup/x', 'b'))
            following = await asyncio.wait_for(reader.readuntil(b'next'), 4.0)
            writer.close()
            return head, following

    head, following = asyncio.run(scenario())
    assert head.split()[1] == answer.split()[1]
    assert following.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: +5\r\n',
        b'Content-Length: 5\r\nContent-Length: 6\r\n',
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
    ],
)
@pytest.mark.parametrize(
    ('method', 'status'), [('GET', b'304'), ('HEAD', b'200')]
)
def test_malformed_length_of_an_answer_without_a_body_was_passed_on(
    method, status, framing
):
    async def scenario():
        answer = _make_bare_answer(status, framing)
        async with _open_node([raw_server.RawServer([answer])]) as process:
            host, port = process.settings.callers.rsplit(':', 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            request = helpers.make_request('/balance/x')
            writer.write(request.replace(b'POST', method.encode(), 1))
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 4.0)
            writer.close()
            return head

    assert asyncio.run(scenario()).startswith(b'HTTP/1.1 502 ')
