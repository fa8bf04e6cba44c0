"""Planned stops of nodes that act for others."""

import asyncio
import contextlib

import pytest

from balsamwind.node import _drain
from balsamwind.node import _request_log
from balsamwind.node.tests import helpers
from balsamwind.node.tests import paths
from balsamwind.node.tests import test_lost_paths
from balsamwind import relay

EVENT_COUNT = 20
"""Events of a stream (count)."""


@contextlib.asynccontextmanager
async def _open_fleet(monkeypatch):
    """Run nodes, of which the first has no path and the last may be stopped.

    The last comes with the callable that stops it as a signal does.
    """
    monkeypatch.setattr(_drain, 'READINESS_PROPAGATION_TIME', 0.2)
    async with (
        test_lost_paths.open_fleet(monkeypatch) as (platform, nodes),
        contextlib.AsyncExitStack() as stack,
    ):
        last = await stack.enter_async_context(
            helpers.open_node(platform, 'n4', data_centre='z1')
        )
        await helpers.wait_until(
            lambda: helpers.count_serving_groups(last) == 4
        )
        nodes[0]._peer_selector.set_peers(
            relay.Peer(process.settings.news, 'z1')
            for process in (nodes[1], last)
        )
        last._attempt_server.set_nodes(
            [relay.Peer(process.settings.news, 'z1') for process in nodes]
        )
        paths.cut_paths(nodes[0], paths.RESET)
        await test_lost_paths.send_series(nodes[0], 0.3, prefix='first')

        async def stop():
            await last.drain()
            await stack.aclose()

        yield platform, nodes, last, stop


def _prefer(monkeypatch, preferred):
    """Let all attempts go through one node while it may be chosen."""
    choose = relay.PeerSelector.choose

    def choose_preferred(self, service, tried, now, data_centres=None):
        for peer in self._find_usable(service, tried, now):
            if peer.address == preferred.settings.news:
                return peer
        return choose(self, service, tried, now, data_centres)

    monkeypatch.setattr(relay.PeerSelector, 'choose', choose_preferred)


@pytest.mark.parametrize('has_time', [True, False])
def test_stream_carried_by_a_node_that_stops_is_whole(monkeypatch, has_time):
    # What it still carries at its exit goes on elsewhere, and the server is
    # not blamed.
    async def scenario():
        async with _open_fleet(monkeypatch) as (platform, nodes, last, stop):
            for engine in platform.engines.values():
                engine.event_count = EVENT_COUNT
                engine.event_interval = 0.05
            _prefer(monkeypatch, last)
            failures = []
            monkeypatch.setattr(
                _request_log.RequestLog,
                'record_failed_attempt',
                lambda *values: failures.append(values[3].fault.value),
            )
            sending = asyncio.ensure_future(
                helpers.send_request(nodes[0], helpers.make_request())
            )
            await helpers.wait_until(
                lambda: last._attempt_carrier.open_attempts
            )
            await asyncio.sleep(0.2)
            if not has_time:
                monkeypatch.setattr(_drain, 'EXIT_MARGIN', 7.7)
            await stop()
            now = nodes[0]._clock.monotonic()
            ejected = [
                backend.key
                for backend in helpers.find_serving_backends(nodes[0])
                if backend.is_ejected(now)
            ]
            return await sending, failures, ejected

    answer, failures, ejected = asyncio.run(scenario())
    assert answer.endswith(b'0\r\n\r\n')
    for number in range(1, EVENT_COUNT + 1):
        assert answer.count(b'id: %d\n' % number) == 1
    assert failures == ([] if has_time else ['peer'])
    assert ejected == []


@pytest.mark.parametrize('path', ['/ask/x', '/once/x', '/balance/x'])
def test_no_request_is_lost_as_a_node_stops_that_carries_many(
    monkeypatch, path
):
    # Idle links to it end while requests are about to use them.
    async def scenario():
        async with _open_fleet(monkeypatch) as (platform, nodes, last, stop):
            _prefer(monkeypatch, last)
            series = asyncio.ensure_future(
                test_lost_paths.send_series(
                    nodes[0], 2.0, interval=0.02, path=path
                )
            )
            await asyncio.sleep(0.5)
            await stop()
            answers = await series
            ids = [run.request_id for run in platform.trace.runs]
            return answers, ids

    answers, ids = asyncio.run(scenario())
    assert test_lost_paths.count_served(answers) == len(answers)
    assert len(set(ids)) == len(ids)


@pytest.mark.parametrize('state', ['asks', 'waits', 'runs'])
def test_request_whose_placing_node_stops_is_served(monkeypatch, state):
    # Guards against requests that end with the node that chose their server.
    monkeypatch.setattr(_drain, 'READINESS_PROPAGATION_TIME', 0.2)

    async def scenario():
        async with (
            helpers.open_platform(4) as platform,
            contextlib.AsyncExitStack() as stack,
            contextlib.AsyncExitStack() as first_stack,
        ):
            first = await first_stack.enter_async_context(
                helpers.open_node(platform, 'n1')
            )
            others = [
                await stack.enter_async_context(
                    helpers.open_node(platform, name)
                )
                for name in ('n2', 'n3')
            ]
            for process in (first, *others):
                await helpers.wait_until(
                    lambda node=process: (
                        helpers.count_serving_groups(node) == 2
                        and node.is_ready()
                    )
                )
            sender = others[1]
            await helpers.wait_until(sender.subscriber.has_fresh_servers)
            if state == 'waits':
                for backend in helpers.find_serving_backends(first):
                    backend.in_flight += backend.slots + 1
            elif state == 'runs':
                for engine in platform.engines.values():
                    engine.event_interval = 0.2
            if state == 'asks':
                sending = asyncio.ensure_future(
                    test_lost_paths.send_series(sender, 1.5, 0.02, '/ask/x')
                )
            else:
                sending = asyncio.gather(
                    *(
                        helpers.send_request(
                            sender, helpers.make_request(request_id=f'r{i}')
                        )
                        for i in range(4)
                    )
                )
            await asyncio.sleep(0.3)
            was_waiting = len(first.relay.waiting_room)
            await first.drain()
            await first_stack.aclose()
            answers = await sending
            ids = [run.request_id for run in platform.trace.runs]
            return was_waiting, answers, ids

    was_waiting, answers, ids = asyncio.run(scenario())
    assert was_waiting == (4 if state == 'waits' else 0)
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 200')
        assert answer.endswith(b'0\r\n\r\n')
    assert sorted(ids) == sorted(set(ids))
    assert len(ids) == len(answers)
