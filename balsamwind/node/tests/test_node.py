"""A node that forms replica groups and relays requests to them."""

import asyncio
import dataclasses

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import node
from balsamwind.node.tests import helpers


def _run_scenario(scenario, engines=4):
    async def body():
        async with (
            helpers.open_platform(engines) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(process) == engines // 2
            )
            return await scenario(fake_platform, process)

    return asyncio.run(body())


def _open_heads(fake_platform):
    return [
        engine
        for engine in fake_platform.engines.values()
        if engine.group and engine.group['State'] == 'open'
    ]


def test_stream_is_relayed_with_the_engines_response_stamp():
    async def scenario(fake_platform, process):
        answer = await helpers.send_request(process, helpers.make_request())
        served = [
            e for e in fake_platform.engines.values() if e.served_headers
        ]
        return answer, served

    answer, served = _run_scenario(scenario)
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.count(b'data: token') == 6
    assert len(served) == 1
    headers = served[0].served_headers[0]
    assert f'X-Balsamwind-Response-Stamp: {served[0].server_id}'.encode() in (
        answer
    )
    assert headers['X-Balsamwind-Tenant'] == 'acme'
    assert 'Authorization' not in headers
    assert 0 < int(headers['X-Balsamwind-Time-Budget-Ms']) <= 4000


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (helpers.make_request(path='/nowhere/x'), b'404'),
        (helpers.make_request(key='other'), b'401'),
        (helpers.make_request(extra='Content-Length: 9\r\n'), b'400'),
        (
            helpers.make_request(extra=f'X-Big: {"x" * 17000}\r\n'),
            b'431',
        ),
        (
            helpers.make_request().replace(
                b'Content-Length: 2', b'Content-Length: 99999999'
            ),
            b'413',
        ),
    ],
)
def test_bad_requests_reach_no_engine(request_bytes, status):
    async def scenario(fake_platform, process):
        answer = await helpers.send_request(process, request_bytes)
        return answer, sum(
            len(e.served_headers) for e in fake_platform.engines.values()
        )

    answer, served = _run_scenario(scenario, engines=2)
    assert answer.split(b' ')[1] == status
    assert served == 0


def test_broken_stream_is_resumed_at_another_group():
    async def scenario(fake_platform, process):
        for head in _open_heads(fake_platform):
            head.cut_after_event = 3
        asyncio.get_running_loop().call_later(
            0.0,
            lambda: setattr(
                _open_heads(fake_platform)[0], 'cut_after_event', None
            ),
        )
        answers = []
        for number in range(4):
            request = helpers.make_request(request_id=f'r{number}')
            answers.append(await helpers.send_request(process, request))
        return answers, [e.server_id for e in _open_heads(fake_platform)]

    answers, heads = _run_scenario(scenario)
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


def test_broken_stream_without_resumption_ends_without_a_last_chunk():
    async def scenario(fake_platform, process):
        for head in _open_heads(fake_platform):
            head.cut_after_event = 3
        return await helpers.send_request(
            process, helpers.make_request(path='/once/x')
        )

    answer = _run_scenario(scenario, engines=2)
    assert answer.startswith(b'HTTP/1.1 200')
    assert not answer.endswith(b'0\r\n\r\n')
    assert answer.count(b'data: token') == 3


def test_request_in_flight_at_its_deadline_is_not_reported_as_not_run():
    async def scenario(fake_platform, process):
        for engine in fake_platform.engines.values():
            engine.dark = True
        request = helpers.make_request(path='/once/x')
        answer = await helpers.send_request(process, request)
        return answer, process._request_log.metrics_registry.get_sample_value(
            'balsamwind_failed_attempts_total', {'reason': 'deadline_exceeded'}
        )

    answer, attempts = _run_scenario(scenario, engines=2)
    assert answer.split(b' ')[1] == b'504'
    # The attempt is recorded with its place, so that its cause can be found.
    assert attempts == 1


def test_lost_member_is_replaced_by_a_spare_engine():
    async def scenario(fake_platform, process):
        before = {
            e.server_id for e in fake_platform.engines.values() if e.group
        }
        helpers.add_spare_engine(fake_platform)
        lost = next(
            e
            for e in fake_platform.engines.values()
            if e.group and e.group['rank'] == 1
        )
        lost.dark = True
        await helpers.wait_until(
            lambda: (
                fake_platform.engines['spare'].group is not None
                and helpers.count_serving_groups(process) == 1
                and helpers.find_serving_backends(process)[0].key[1]
                in _open_names(fake_platform)
            )
        )
        answer = await helpers.send_request(process, helpers.make_request())
        return before, answer

    def _open_names(fake_platform):
        return [e.group['Name'] for e in _open_heads(fake_platform)]

    _, answer = _run_scenario(scenario, engines=2)
    assert answer.count(b'data: token') == 6


def test_restarted_node_adopts_the_existing_groups():
    async def body():
        async with helpers.open_platform(4) as fake_platform:
            async with helpers.open_node(fake_platform) as process:
                await helpers.wait_until(
                    lambda: helpers.count_serving_groups(process) == 2
                )
            order_counts = [
                e.order_count for e in fake_platform.engines.values()
            ]
            async with helpers.open_node(fake_platform) as process:
                await helpers.wait_until(
                    lambda: helpers.count_serving_groups(process) == 2
                )
                await asyncio.sleep(0.5)
            return order_counts, [
                e.order_count for e in fake_platform.engines.values()
            ]

    before, after = asyncio.run(body())
    assert before == after


def test_no_key_is_accepted_without_proof_of_the_configuration():
    async def scenario(fake_platform, process):
        fake_platform.store.faults.down = 'refuse'
        # An answer that is still on its way proves the version.
        updater = process._configuration_watcher._updater
        await helpers.wait_until(lambda: updater.revision == 0)
        process.configuration_cache._proved_at -= 10.0
        answer = await helpers.send_request(process, helpers.make_request())
        return answer, process.is_ready()

    answer, ready = _run_scenario(scenario, engines=2)
    assert answer.split(b' ')[1] == b'503'
    assert b'keys_unproved' in answer
    assert not ready


def test_reload_applies_valid_settings_and_keeps_them_over_invalid_ones():
    async def scenario(fake_platform, process):
        settings = process.settings
        changed = dataclasses.replace(
            settings, bounds=node.Bounds(key_revocation=3.0)
        )
        process.reload(lambda: changed, False)
        applied = process.configuration_cache.max_proof_age

        def refuse():
            raise exceptions.InvalidInput(['bad'])

        process.reload(refuse, True)
        return applied, process.configuration_cache.max_proof_age

    applied, kept = _run_scenario(scenario, engines=2)
    assert applied == kept == pytest.approx(2.6)


def test_idle_connections_are_closed_while_draining():
    async def scenario(fake_platform, process):
        host, port = process.settings.callers.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(helpers.make_request(path='/nowhere/x'))
        await reader.readuntil(b'\r\n\r\n')
        await process.drain()
        writer.write(helpers.make_request())
        rest = await asyncio.wait_for(reader.read(), 2.0)
        return rest, sum(
            len(e.served_headers) for e in fake_platform.engines.values()
        )

    rest, served = _run_scenario(scenario, engines=2)
    assert b'HTTP/1.1' not in rest
    assert served == 0


def test_draining_node_finishes_its_streams():
    async def scenario(fake_platform, process):
        for engine in fake_platform.engines.values():
            engine.event_interval = 0.1
        answer = asyncio.ensure_future(
            helpers.send_request(process, helpers.make_request())
        )
        await helpers.wait_until(lambda: process.relay.open_requests == 1)
        await process.drain()
        return await answer, process.is_ready()

    answer, ready = _run_scenario(scenario, engines=2)
    assert answer.count(b'data: token') == 6
    assert not ready


def test_answer_is_closed_when_the_caller_disconnects_as_it_arrives(
    monkeypatch,
):
    """The engine must not go on generating without a caller."""

    async def scenario(fake_platform, process):
        for engine in fake_platform.engines.values():
            engine.event_interval = 0.2
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
            helpers.send_request(process, helpers.make_request())
        )
        await helpers.wait_until(
            lambda: any(run.ending for run in fake_platform.trace.runs)
        )
        caller.cancel()
        return [run.ending for run in fake_platform.trace.runs]

    assert _run_scenario(scenario, engines=2) == ['caller gone']


def test_request_with_a_budget_of_many_digits_is_served():
    # Its connection was closed without an answer, and it counted as open
    # until the node stopped.
    async def scenario(fake_platform, process):
        digits = '9' * 400
        answer = await helpers.send_request(
            process,
            helpers.make_request(
                extra=f'X-Balsamwind-Time-Budget-Ms: {digits}\r\n'
            ),
        )
        await asyncio.sleep(0.05)
        return answer, process.relay.open_requests

    answer, open_requests = _run_scenario(scenario, engines=2)
    assert answer.startswith(b'HTTP/1.1 200')
    assert open_requests == 0
