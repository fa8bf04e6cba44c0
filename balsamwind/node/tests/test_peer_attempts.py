"""Attempts that another node carries."""

import asyncio
import contextlib

import pytest
import websockets

from balsamwind.node import _attempt_frames
from balsamwind.node import _attempt_server
from balsamwind.node.tests import helpers
from balsamwind.node.tests import paths
from balsamwind.node.tests import test_lost_paths
from balsamwind import relay

CANCELLATION_TIME = 0.5
"""Time after a caller has left in which its work must end (seconds)."""

FINAL_ANSWER_TIME = 1.3
"""Time in which a request that nobody can serve is rejected (seconds)."""


@contextlib.asynccontextmanager
async def _open_cut_fleet(monkeypatch, cut_count=1, how=paths.RESET):
    """Run a fleet in which the first nodes have no path."""
    async with test_lost_paths.open_fleet(monkeypatch) as (platform, nodes):
        for process in nodes[:cut_count]:
            paths.cut_paths(process, how)
        for process in nodes[:cut_count]:
            # The first requests show the node that it has no path.
            await test_lost_paths.send_series(process, 0.3, prefix='first')
        yield platform, nodes


def _slow_down(platform, event_count=60, interval=0.05):
    for engine in platform.engines.values():
        engine.event_count = event_count
        engine.event_interval = interval


def _count_running(platform):
    return sum(engine.running for engine in platform.engines.values())


def _find_carrier(nodes):
    """Return the node that carries an attempt, or None."""
    for process in nodes:
        if process._attempt_carrier.open_attempts:
            return process
    return None


def _get_run(platform, request_id):
    (run,) = [
        run for run in platform.trace.runs if run.request_id == request_id
    ]
    return run


@pytest.mark.parametrize('path', ['/ask/x?y=1', '/balance/x'])
def test_server_gets_the_same_request_as_without_a_detour(monkeypatch, path):
    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            for number in (0, 1):
                await helpers.send_request(
                    nodes[number],
                    helpers.make_request(
                        path,
                        f'same{number}',
                        extra='X-Other: 1\r\nX-Balsamwind-Time-Budget-Ms: 500'
                        '\r\nX-Balsamwind-Tenant: other\r\n',
                    ),
                )
            headers = [
                {name.lower(): value for name, value in served.items()}
                for server in (
                    *platform.engines.values(),
                    *platform.services.values(),
                )
                for served in getattr(server, 'served_headers', ())
            ]
            runs = [_get_run(platform, f'same{number}') for number in (0, 1)]
            return runs, headers

    runs, headers = asyncio.run(scenario())
    assert runs[0].path == runs[1].path
    assert runs[0].body == runs[1].body == 'hi'
    assert runs[0].account == runs[1].account == 'acme'
    own = [item for item in headers if 'same' in str(item)]
    if own:
        detour, direct = sorted(
            own, key=lambda item: item['x-balsamwind-request-id']
        )
        ignored = {
            'x-balsamwind-request-id',
            'x-balsamwind-time-budget-ms',
            'x-balsamwind-expect-instance',
        }
        for item in own:
            budget = int(item['x-balsamwind-time-budget-ms'])
            assert 0 < budget <= 500
        assert {k: v for k, v in detour.items() if k not in ignored} == {
            k: v for k, v in direct.items() if k not in ignored
        }


def test_work_for_a_caller_that_left_ends_at_the_engine(monkeypatch):
    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            _slow_down(platform)
            host, port = nodes[0].settings.callers.rsplit(':', 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(helpers.make_request())
            await reader.readuntil(b'data:')
            was_running = _count_running(platform)
            writer.close()
            await asyncio.sleep(CANCELLATION_TIME)
            return was_running, _count_running(platform)

    assert asyncio.run(scenario()) == (1, 0)


@pytest.mark.parametrize(
    ('path', 'is_complete'),
    [
        pytest.param('/ask/x', True, id='stream that may be resumed'),
        pytest.param('/once/x', False, id='stream that may run once'),
    ],
)
def test_node_that_dies_as_it_carries_a_stream(monkeypatch, path, is_complete):
    """The stream goes on elsewhere, or ends as broken off; never both."""

    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            _slow_down(platform, 20, 0.02)
            sending = asyncio.ensure_future(
                helpers.send_request(nodes[0], helpers.make_request(path))
            )
            await helpers.wait_until(lambda: _find_carrier(nodes) is not None)
            await asyncio.sleep(0.15)
            carrier = _find_carrier(nodes)
            for connection in list(carrier._publisher.server._others):
                connection.transport.abort()
            answer = await sending
            return answer, list(platform.trace.violations)

    answer, violations = asyncio.run(scenario())
    assert violations == []
    assert answer.endswith(b'0\r\n\r\n') is is_complete
    if is_complete:
        for number in range(1, 21):
            assert answer.count(b'id: %d\n' % number) == 1


def test_draining_node_carries_nothing_new_and_finishes_what_it_has(
    monkeypatch,
):
    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            _slow_down(platform, 20, 0.05)
            sending = asyncio.ensure_future(
                helpers.send_request(nodes[0], helpers.make_request())
            )
            await helpers.wait_until(lambda: _find_carrier(nodes) is not None)
            carrier = _find_carrier(nodes)
            draining = asyncio.ensure_future(carrier.drain())
            answers = await test_lost_paths.send_series(nodes[0], 1.5)
            most = carrier._attempt_carrier.open_attempts
            answer = await sending
            await draining
            return answer, answers, most

    answer, answers, most = asyncio.run(scenario())
    assert answer.endswith(b'0\r\n\r\n')
    assert test_lost_paths.count_served(answers) == len(answers)
    assert most <= 1


@pytest.mark.parametrize('how', [paths.HANG, paths.RESET])
def test_request_that_no_node_can_serve_is_rejected_and_not_handed_round(
    monkeypatch, how
):
    """To all nodes at once it looks as if the service were gone."""

    async def scenario():
        async with _open_cut_fleet(monkeypatch, 3, how) as (platform, nodes):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await helpers.send_request(
                nodes[0], helpers.make_request(request_id='lost')
            )
            duration = loop.time() - started_at
            carried = sum(
                process._attempt_carrier.open_attempts for process in nodes
            )
            reached = [
                arrival
                for arrival in platform.trace.arrivals
                if arrival[2] == 'lost'
            ]
            return answer, duration, carried, reached

    answer, duration, carried, reached = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer
    assert duration < FINAL_ANSWER_TIME
    assert carried == 0
    assert reached == []


def test_node_is_back_on_its_own_path_within_a_second(monkeypatch):
    async def scenario():
        async with _open_cut_fleet(monkeypatch, how=paths.HANG) as (_, nodes):
            lost = list(nodes[0].relay.paths.lost_services)
            paths.heal_paths(nodes[0])
            await asyncio.sleep(1.0)
            carried = nodes[0].relay.peers.carried_attempts
            answers = await test_lost_paths.send_series(nodes[0], 0.5)
            more = nodes[0].relay.peers.carried_attempts - carried
            return lost, answers, more

    lost, answers, more = asyncio.run(scenario())
    assert sorted(lost) == ['ledger', 'llm']
    assert test_lost_paths.count_served(answers) == len(answers)
    assert more == 0


def test_lost_path_of_one_node_ejects_no_group_for_others(monkeypatch):
    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch) as (_, nodes):
            series = asyncio.ensure_future(
                test_lost_paths.send_series(nodes[2], 2.0)
            )
            await asyncio.sleep(0.4)
            paths.cut_paths(nodes[2], paths.HANG)
            ejected = 0
            while not series.done():
                now = nodes[0]._clock.monotonic()
                ejected += sum(
                    backend.is_ejected(now)
                    for backend in helpers.find_serving_backends(nodes[0])
                )
                await asyncio.sleep(0.02)
            return ejected

    assert asyncio.run(scenario()) == 0


def test_reset_links_of_one_node_quarantine_no_request(monkeypatch):
    """All connections are cut at once and refused, as by dead engines."""

    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch) as (
            platform,
            nodes,
        ):
            _slow_down(platform, 20, 0.02)
            request = helpers.make_request(
                extra='X-Balsamwind-Prompt-Prefix: aa:10,bb:10\r\n'
            )
            for _ in range(3):
                tasks = [
                    asyncio.ensure_future(
                        helpers.send_request(nodes[2], request)
                    )
                    for _ in range(6)
                ]
                await asyncio.sleep(0.1)
                paths.cut_paths(nodes[2], paths.RESET)
                await asyncio.gather(*tasks)
                paths.heal_paths(nodes[2])
                await asyncio.sleep(0.6)
            now = nodes[2]._clock.monotonic()
            quarantine = nodes[2].relay.crash_quarantine
            return quarantine.has_suspects, quarantine.count_quarantined(now)

    assert asyncio.run(scenario()) == (False, 0)


def test_attempts_of_hosts_that_are_no_nodes_are_not_carried(monkeypatch):
    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch) as (
            platform,
            nodes,
        ):
            nodes[0]._attempt_server.set_nodes([])
            url = f'ws://{nodes[0].settings.news}{_attempt_frames.PATH}'
            (backend, *_) = helpers.find_serving_backends(nodes[0])
            attempt = relay.OutgoingAttempt(
                'x1',
                relay.BackendKey(*backend.key),
                'POST',
                '/ask/x',
                'a.example',
                (),
                b'',
                1.0,
                'acme',
            )
            async with websockets.connect(url, proxy=None) as connection:
                await connection.send(_attempt_frames.CODEC.encode(attempt))
                reply = _attempt_frames.CODEC.decode(await connection.recv())
                with pytest.raises(websockets.ConnectionClosed):
                    await connection.send(
                        _attempt_frames.CODEC.encode(attempt)
                    )
                    await connection.recv()
            return reply, [run.request_id for run in platform.trace.runs]

    # A close without a reply is a fault of the server to older builds.
    reply, runs = asyncio.run(scenario())
    assert reply.cause is relay.CarryFailure.NO_PATH
    assert runs == []


def test_host_that_is_no_node_and_says_nothing_is_disconnected(monkeypatch):
    # Guards against connections of strangers that stay open.
    monkeypatch.setattr(_attempt_server, 'REFUSAL_TIMEOUT', 0.1)

    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch) as (_, nodes):
            nodes[0]._attempt_server.set_nodes([])
            url = f'ws://{nodes[0].settings.news}{_attempt_frames.PATH}'
            async with websockets.connect(url, proxy=None) as connection:
                with pytest.raises(websockets.ConnectionClosedOK):
                    await asyncio.wait_for(connection.recv(), 2.0)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'data', [b'\xff', b'\x82\x01', b'\x82\x18\x63\x05', b'\x82\x01\xa0']
)
def test_malformed_frame_ends_its_connection_only(monkeypatch, data):
    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch) as (_, nodes):
            url = f'ws://{nodes[0].settings.news}{_attempt_frames.PATH}'
            async with websockets.connect(url, proxy=None) as connection:
                await connection.send(data)
                with pytest.raises(websockets.ConnectionClosed):
                    await connection.recv()
            return await test_lost_paths.send_series(nodes[0], 0.2)

    answers = asyncio.run(scenario())
    assert test_lost_paths.count_served(answers) == len(answers)


def test_message_of_a_newer_build_leaves_its_connection_open(monkeypatch):
    """Guards against attempts that fail at each message of a newer build."""

    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch) as (_, nodes):
            url = f'ws://{nodes[0].settings.news}{_attempt_frames.PATH}'
            query = relay.ReachQuery('llm', 'unknown', 1)
            async with websockets.connect(url, proxy=None) as connection:
                await connection.send(b'\x82\x18\x63\xa0')
                await connection.send(_attempt_frames.CODEC.encode(query))
                async with asyncio.timeout(2.0):
                    return _attempt_frames.CODEC.decode(
                        await connection.recv()
                    )

    assert asyncio.run(scenario()) == relay.ReachReply(relay.Reach.UNKNOWN)


def _count_runs(platform, request_id):
    return sum(run.request_id == request_id for run in platform.trace.runs)


def _choose_in_order(monkeypatch, process, carriers):
    """Let a node turn to its carriers in this order."""
    peers = [relay.Peer(carrier.settings.news, 'z1') for carrier in carriers]

    def choose(self, service, tried, now, data_centres=None):
        for peer in self._find_usable(service, tried, now):
            if peer.address == peers[len(tried)].address:
                return peer
        return None

    process._peer_selector.set_peers(peers)
    monkeypatch.setattr(relay.PeerSelector, 'choose', choose)


@pytest.mark.parametrize('path', ['/ask/x', '/once/x', '/balance/x'])
@pytest.mark.parametrize(('refusing', 'status'), [(1, b'200'), (2, b'503')])
def test_node_that_has_just_started_costs_no_attempt(
    monkeypatch, path, refusing, status
):
    # It knows no nodes, and closed its links. That was taken for a fault of
    # the server: streams were cut, and calls that may run once given up.
    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            nodes[0]._attempt_client.close()
            _choose_in_order(monkeypatch, nodes[0], nodes[1:])
            for process in nodes[1 : 1 + refusing]:
                process._attempt_server.set_nodes([])
            answer = await helpers.send_request(
                nodes[0], helpers.make_request(path, 'carried')
            )
            return answer, _count_runs(platform, 'carried')

    answer, runs = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert runs == (status == b'200')


@pytest.mark.parametrize(
    ('path', 'runs'), [('/ask/x', 2), ('/once/x', 1), ('/balance/x', 1)]
)
@pytest.mark.parametrize('is_reset', [False, True])
def test_attempt_whose_link_ends_after_it_was_accepted(
    monkeypatch, path, runs, is_reset
):
    # What was accepted may have run, so that only a request that may run
    # twice is sent again.
    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            _slow_down(platform)
            for server in platform.services.values():
                server.processing_time = 0.3
            sending = asyncio.ensure_future(
                helpers.send_request(
                    nodes[0], helpers.make_request(path, 'carried')
                )
            )
            await helpers.wait_until(lambda: _count_runs(platform, 'carried'))
            carrier = _find_carrier(nodes)
            for connection in list(carrier._publisher.server._others):
                if is_reset:
                    connection.transport.abort()
                else:
                    await connection.close()
            await sending
            return _count_runs(platform, 'carried')

    assert asyncio.run(scenario()) == runs


def _choose_first(monkeypatch, address):
    """Let nodes turn to one carrier first, as long as it seems usable."""

    def choose(self, service, tried, now, data_centres=None):
        usable = list(self._find_usable(service, tried, now))
        usable.sort(key=lambda peer: peer.address != address)
        return usable[0] if usable else None

    monkeypatch.setattr(relay.PeerSelector, 'choose', choose)


async def _abort(server, attempt, connection):
    connection.transport.abort()
    return False


async def _stand_still(server, attempt, connection):
    await connection.wait_closed()
    return False


@pytest.mark.parametrize('how', [_abort, _stand_still])
@pytest.mark.parametrize(
    ('path', 'is_whole'),
    [('/ask/x', True), ('/once/x', False), ('/balance/x', False)],
)
def test_request_whose_carrier_is_gone_got_no_final_answer(
    monkeypatch, how, path, is_whole
):
    """The first carrier is gone before it accepts; the others are sound."""

    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            _choose_first(monkeypatch, nodes[1].settings.news)
            gone = nodes[1]._attempt_server
            carry = _attempt_server.AttemptServer._carry

            async def carry_or_not(server, attempt, connection):
                chosen = how if server is gone else carry
                return await chosen(server, attempt, connection)

            monkeypatch.setattr(
                _attempt_server.AttemptServer, '_carry', carry_or_not
            )
            async with asyncio.timeout(FINAL_ANSWER_TIME + 1.0):
                answer = await helpers.send_request(
                    nodes[0], helpers.make_request(path, 'carried')
                )
            return answer, _count_runs(platform, 'carried')

    answer, runs = asyncio.run(scenario())
    print(answer, runs)
    assert answer.startswith(b'HTTP/1.1 ')
    if is_whole:
        assert answer.startswith(b'HTTP/1.1 200')
        assert answer.endswith(b'0\r\n\r\n')


def test_body_of_an_attempt_found_no_room_and_was_carried(monkeypatch):
    """All nodes but the first are full; none runs out of memory."""

    async def scenario():
        async with _open_cut_fleet(monkeypatch) as (platform, nodes):
            for process in nodes[1:]:
                process.relay.held_bytes.capacity = 0
                holding = process.relay.held_bytes.open(None, 0.0)
                process.relay.held_bytes.reserve(holding, 1 << 20, 0.0)
            answer = await helpers.send_request(
                nodes[0], helpers.make_request('/once/x', 'carried')
            )
            return answer, _count_runs(platform, 'carried')

    answer, runs = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 503')
    assert runs == 0
