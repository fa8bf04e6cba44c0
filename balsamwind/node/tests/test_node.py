"""A node that forms groups from a pool and relays streams."""

import asyncio
import dataclasses

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import node
from balsamwind.node.tests import parts


def _run(scenario, engines=4):
    async def body():
        async with (
            parts.open_platform(engines) as outside,
            parts.open_node(outside) as process,
        ):
            await parts.wait_until(
                lambda: parts.count_served(process) == engines // 2
            )
            return await scenario(outside, process)

    return asyncio.run(body())


def _heads(outside):
    return [
        engine
        for engine in outside.engines.values()
        if engine.group and engine.group['State'] == 'open'
    ]


def test_stream_is_relayed_with_the_engines_signature():
    async def scenario(outside, process):
        answer = await parts.call(process, parts.make_request())
        served = [e for e in outside.engines.values() if e.served]
        return answer, served

    answer, served = _run(scenario)
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.count(b'data: token') == 6
    assert len(served) == 1
    headers = served[0].served[0]
    assert f'X-Balsamwind-Response-Stamp: {served[0].server_id}'.encode() in (
        answer
    )
    assert headers['X-Balsamwind-Tenant'] == 'acme'
    assert 'Authorization' not in headers
    assert 0 < int(headers['X-Balsamwind-Time-Budget-Ms']) <= 4000


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (parts.make_request(path='/nowhere/x'), b'404'),
        (parts.make_request(key='other'), b'401'),
        (parts.make_request(extra='Content-Length: 9\r\n'), b'400'),
        (
            parts.make_request(extra=f'X-Big: {"x" * 17000}\r\n'),
            b'431',
        ),
        (
            parts.make_request().replace(
                b'Content-Length: 2', b'Content-Length: 99999999'
            ),
            b'413',
        ),
    ],
)
def test_bad_requests_reach_no_engine(request_bytes, status):
    async def scenario(outside, process):
        answer = await parts.call(process, request_bytes)
        return answer, sum(len(e.served) for e in outside.engines.values())

    answer, served = _run(scenario, engines=2)
    assert answer.split(b' ')[1] == status
    assert served == 0


def test_cut_stream_is_resumed_at_another_group():
    async def scenario(outside, process):
        for head in _heads(outside):
            head.cut_after = 3
        asyncio.get_running_loop().call_later(
            0.0, lambda: setattr(_heads(outside)[0], 'cut_after', None)
        )
        answers = []
        for number in range(4):
            request = parts.make_request(request_id=f'r{number}')
            answers.append(await parts.call(process, request))
        return answers, [e.server_id for e in _heads(outside)]

    answers, heads = _run(scenario)
    for answer in answers:
        ids = [
            int(line[4:])
            for line in answer.split(b'\n')
            if line.startswith(b'id: ')
        ]
        if answer.endswith(b'0\r\n\r\n'):
            assert ids == [1, 2, 3, 4, 5, 6]
    assert any(answer.endswith(b'0\r\n\r\n') for answer in answers)
    assert len(heads) == 2


def test_cut_stream_that_may_not_be_resumed_looks_cut():
    async def scenario(outside, process):
        for head in _heads(outside):
            head.cut_after = 3
        return await parts.call(process, parts.make_request(path='/once/x'))

    answer = _run(scenario, engines=2)
    assert answer.startswith(b'HTTP/1.1 200')
    assert not answer.endswith(b'0\r\n\r\n')
    assert answer.count(b'data: token') == 3


def test_in_flight_at_the_deadline_is_not_called_not_run():
    async def scenario(outside, process):
        for engine in outside.engines.values():
            engine.dark = True
        request = parts.make_request(path='/once/x')
        answer = await parts.call(process, request)
        return answer, process._journal.registry.get_sample_value(
            'balsamwind_failed_attempts_total', {'reason': 'deadline_exceeded'}
        )

    answer, attempts = _run(scenario, engines=2)
    assert answer.split(b' ')[1] == b'504'
    # A line names the place, so that the cause can be found.
    assert attempts == 1


def test_lost_member_is_replaced_by_a_spare():
    async def scenario(outside, process):
        before = {e.server_id for e in outside.engines.values() if e.group}
        parts.add_spare(outside)
        lost = next(
            e
            for e in outside.engines.values()
            if e.group and e.group['rank'] == 1
        )
        lost.dark = True
        await parts.wait_until(
            lambda: (
                outside.engines['spare'].group is not None
                and parts.count_served(process) == 1
                and parts.find_served(process)[0].key[1]
                in _open_names(outside)
            )
        )
        answer = await parts.call(process, parts.make_request())
        return before, answer

    def _open_names(outside):
        return [e.group['Name'] for e in _heads(outside)]

    _, answer = _run(scenario, engines=2)
    assert answer.count(b'data: token') == 6


def test_restarted_node_adopts_what_stands():
    async def body():
        async with parts.open_platform(4) as outside:
            async with parts.open_node(outside) as process:
                await parts.wait_until(
                    lambda: parts.count_served(process) == 2
                )
            orders = [e.orders for e in outside.engines.values()]
            async with parts.open_node(outside) as process:
                await parts.wait_until(
                    lambda: parts.count_served(process) == 2
                )
                await asyncio.sleep(0.5)
            return orders, [e.orders for e in outside.engines.values()]

    before, after = asyncio.run(body())
    assert before == after


def test_without_proof_of_the_configuration_no_key_is_honoured():
    async def scenario(outside, process):
        outside.store.faults.down = 'refuse'
        process.book._proved_at -= 10.0
        answer = await parts.call(process, parts.make_request())
        return answer, process.is_ready()

    answer, ready = _run(scenario, engines=2)
    assert answer.split(b' ')[1] == b'503'
    assert b'keys_unproved' in answer
    assert not ready


def test_settings_are_read_again():
    async def scenario(outside, process):
        settings = process.settings
        changed = dataclasses.replace(
            settings, bounds=node.Bounds(key_revocation=3.0)
        )
        process.reload(lambda: changed, False)
        taken = process.book.key_lifetime

        def refuse():
            raise exceptions.InvalidInput(['bad'])

        process.reload(refuse, True)
        return taken, process.book.key_lifetime

    taken, kept = _run(scenario, engines=2)
    assert taken == kept == pytest.approx(2.6)


def test_kept_connections_are_closed_in_time_when_draining():
    async def scenario(outside, process):
        host, port = process.settings.callers.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(parts.make_request(path='/nowhere/x'))
        await reader.readuntil(b'\r\n\r\n')
        await process.drain()
        writer.write(parts.make_request())
        rest = await asyncio.wait_for(reader.read(), 2.0)
        return rest, sum(len(e.served) for e in outside.engines.values())

    rest, served = _run(scenario, engines=2)
    assert b'HTTP/1.1' not in rest
    assert served == 0


def test_drained_node_finishes_its_streams():
    async def scenario(outside, process):
        for engine in outside.engines.values():
            engine.pause = 0.1
        answer = asyncio.ensure_future(
            parts.call(process, parts.make_request())
        )
        await parts.wait_until(lambda: process.relay.open_requests == 1)
        await process.drain()
        return await answer, process.is_ready()

    answer, ready = _run(scenario, engines=2)
    assert answer.count(b'data: token') == 6
    assert not ready


def test_answer_that_comes_as_the_caller_leaves_is_closed(monkeypatch):
    """The engine must not work on for nobody."""

    async def scenario(outside, process):
        for engine in outside.engines.values():
            engine.pause = 0.2
        opened = []
        client_open = adapters.HttpClient.open

        async def open_and_leave(client, method, url, **values):
            response = await client_open(client, method, url, **values)
            if '/ask/' not in url:
                return response
            opened.append(response)
            for task in asyncio.all_tasks():
                if 'Relay.run' in repr(task.get_coro()):
                    task.cancel()
            return response

        monkeypatch.setattr(adapters.HttpClient, 'open', open_and_leave)
        caller = asyncio.ensure_future(
            parts.call(process, parts.make_request())
        )
        await parts.wait_until(
            lambda: any(run.ending for run in outside.witness.runs)
        )
        caller.cancel()
        return [run.ending for run in outside.witness.runs]

    assert _run(scenario, engines=2) == ['caller gone']
