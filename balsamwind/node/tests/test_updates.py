"""Updates between the nodes of one data centre."""

import asyncio
import contextlib

import pytest

from balsamwind import exceptions
from balsamwind.node import _update_feed
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind import traffic

RECORD = pool.ServerRecord(
    'e1',
    'llm',
    '10.0.0.1:80',
    'z1',
    slots=9,
    born=1700000000000,
    domain='d1',
    model='m0',
    staged=('m1',),
    membership=pool.Membership('m0.z1.7', 7, 0, pool.MemberState.OPEN),
    revision=12,
)


@pytest.mark.parametrize(
    'message',
    [
        _updates.ServerUpdate(),
        _updates.ServerUpdate(True, (RECORD,), ()),
        _updates.ServerUpdate(False, (), (pool.RemovedServer('e1', 13),)),
        _updates.ConfigurationProofRequest(4),
        _updates.ConfigurationProof(4, 7, 0.25),
    ],
)
def test_frame_round_trip(message):
    assert _updates.decode_frame(_updates.encode_frame(message)) == message


@pytest.mark.parametrize(
    'data',
    [b'', b'\xff', b'\x82\x09\xa0', b'\x82\x01\x05', b'\x80'],
)
def test_malformed_frame_is_rejected(data):
    with pytest.raises(exceptions.TransportError):
        _updates.decode_frame(data)


def _run_scenario(scenario, names=('n1', 'n2', 'n3')):
    async def body():
        async with (
            helpers.open_platform(2) as fake_platform,
            contextlib.AsyncExitStack() as stack,
        ):
            nodes = [
                await stack.enter_async_context(
                    helpers.open_node(fake_platform, name)
                )
                for name in names
            ]
            return await scenario(fake_platform, nodes)

    return asyncio.run(body())


def test_subscriber_does_not_watch_the_configuration():
    """The publisher's proof is older than its answer, but still fresh."""

    async def scenario(fake_platform, nodes):
        third = nodes[2]
        await helpers.wait_until(
            lambda: (
                third.subscriber.has_fresh_servers()
                and third.subscriber.has_fresh_proof()
            )
        )
        await asyncio.sleep(1.0)
        before = third.platform.store_call_counts.get(
            ('configuration', 'watch'), 0
        )
        gaps = 0
        for _ in range(100):
            await asyncio.sleep(0.05)
            gaps += not third.subscriber.has_fresh_proof()
        after = third.platform.store_call_counts.get(
            ('configuration', 'watch'), 0
        )
        return gaps, after - before

    assert _run_scenario(scenario) == (0, 0)


def test_subscriber_makes_few_store_calls():
    async def scenario(fake_platform, nodes):
        third = nodes[2]
        await helpers.wait_until(
            lambda: (
                third.subscriber.has_fresh_servers()
                and third.subscriber.has_fresh_proof()
            )
        )
        fake_platform.store.put('config', 'main', {**helpers.CONFIGURATION})
        await asyncio.sleep(0.3)
        calls = [sum(n.platform.store_call_counts.values()) for n in nodes]
        await asyncio.sleep(2.0)
        after = [sum(n.platform.store_call_counts.values()) for n in nodes]
        fake_platform.add_engine('e9', 'llm', 'z1', 'd1')
        await helpers.wait_until(lambda: third.registry.get('e9') is not None)
        age = third.configuration_cache.get_proof_age(third._clock.monotonic())
        return [b - a for a, b in zip(calls, after, strict=True)], age

    calls, age = _run_scenario(scenario)
    assert calls[2] < min(calls[0], calls[1])
    assert age < 3.0


def _count_watches(node):
    return node.platform.store_call_counts.get(('servers', 'watch'), 0)


def test_second_node_watches_the_store_after_the_first_has_stopped():
    async def scenario(fake_platform, nodes):
        first, second, third = nodes
        await helpers.wait_until(
            lambda: (
                second.subscriber.has_fresh_servers()
                and third.subscriber.has_fresh_servers()
            )
        )
        leads = [leader.lease.held for leader in first._leaders]
        before = _count_watches(second)
        await asyncio.sleep(1.5)
        watches = _count_watches(second) - before
        await first.stop()
        await helpers.wait_until(lambda: _count_watches(second) > before + 1)
        await helpers.wait_until(third.subscriber.has_fresh_servers, 4.0)
        fake_platform.add_engine('e9', 'llm', 'z1', 'd1')
        await helpers.wait_until(lambda: third.registry.get('e9') is not None)
        return leads, watches, _count_watches(third)

    leads, watches, _ = _run_scenario(scenario)
    assert leads == [True]
    assert watches == 0


def test_second_node_forwards_updates():
    """A node that can't reach the first one subscribes to the second."""

    async def scenario(fake_platform, nodes):
        second, third = nodes[1:]
        await helpers.wait_until(second.subscriber.has_fresh_servers)
        addresses = [('n2', second.settings.news), ('n3', 'unused')]
        third.subscriber.set_nodes(addresses)
        await helpers.wait_until(third.subscriber.has_fresh_servers)
        await asyncio.sleep(1.5)
        fake_platform.add_engine('e9', 'llm', 'z1', 'd1')
        await helpers.wait_until(lambda: third.registry.get('e9') is not None)
        return (
            third.subscriber.has_fresh_servers(),
            second.subscriber.has_fresh_servers(),
        )

    assert _run_scenario(scenario) == (True, True)


def test_subscriber_reads_the_store_when_its_publishers_have_stopped():
    async def scenario(fake_platform, nodes):
        third = nodes[2]
        await helpers.wait_until(third.subscriber.has_fresh_servers)
        for node in nodes[:2]:
            await node.stop()
        await helpers.wait_until(
            lambda: not third.subscriber.has_fresh_servers()
        )
        fake_platform.add_engine('e9', 'llm', 'z1', 'd1')
        await helpers.wait_until(lambda: third.registry.get('e9') is not None)
        return third.is_ready()

    assert _run_scenario(scenario)


def test_subscriber_reads_a_newer_configuration_from_the_store():
    async def scenario(fake_platform, nodes):
        third = nodes[2]
        await helpers.wait_until(third.subscriber.has_fresh_proof)
        newer = {**helpers.CONFIGURATION, 'Version': 9}
        fake_platform.store.put('config', 'main', newer)
        await helpers.wait_until(
            lambda: third.configuration_cache.version == 9, 1.5
        )
        return True

    assert _run_scenario(scenario)


@pytest.mark.parametrize(
    ('version', 'age', 'listens'),
    [
        pytest.param(5, 0.5, True, id='fresh'),
        pytest.param(
            5, 3.0, False, id='the publisher is cut off from the store'
        ),
        pytest.param(6, 0.0, False, id='the publisher has a newer version'),
        pytest.param(4, 0.0, False, id='the publisher has an older version'),
    ],
)
def test_only_a_fresh_proof_of_the_same_version_counts(version, age, listens):
    clock = doubles.Clock()
    configuration_cache = traffic.ConfigurationCache(4.6)
    configuration_cache.accept(traffic.Configuration(5, (), ()), 99.0)
    subscriber = _update_feed.UpdateSubscriber(
        'n3',
        pool.ServerRegistry(),
        configuration_cache,
        clock,
        None,
        lambda message: None,
    )
    subscriber.set_nodes([('n1', 'x'), ('n2', 'y'), ('n3', 'z')])
    subscriber._pending_requests = {1: clock.now}
    subscriber._handle(_updates.ConfigurationProof(1, version, age))
    assert subscriber.has_fresh_proof() is listens
    assert configuration_cache.version == 5
