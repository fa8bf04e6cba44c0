"""Updates between the nodes of one data centre."""

import asyncio
import contextlib
import dataclasses
import types

import cbor2
import pytest

from balsamwind import exceptions
from balsamwind.node import _configuration_updater
from balsamwind.node import _entry_contact
from balsamwind.node import _placement_client
from balsamwind.node import _publisher_link
from balsamwind.node import _ranking
from balsamwind.node import _update_publisher
from balsamwind.node import _update_subscriber
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind import relay
from balsamwind import servers
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


ROUTE = traffic.Route(
    'ask',
    'a.example',
    '/ask/',
    traffic.RequestKind.STREAM,
    4.0,
    0.3,
    1,
    (traffic.Target('llm', 0.5), traffic.Target('llm2', 0.5)),
)

CONFIGURATION = traffic.Configuration(
    5,
    (ROUTE,),
    (
        traffic.Service(
            'llm',
            engine=traffic.EngineProfile((traffic.ModelProfile('m0', 4),)),
        ),
    ),
    accounts=(traffic.ClientAccount('acme', ('k1', 'k2')),),
)

PROOF = _updates.ConfigurationProof(5, 70, 11.25)

UPDATE = _updates.ConfigurationUpdate(
    traffic.plan_change(traffic.NO_CONFIGURATION, CONFIGURATION), PROOF
)


NOTICE = _updates.EvacuationNotice(
    servers.EvacuationState(('z1', 'z2'), (7 << 40) + 12), 11.25
)

EVIDENCE = relay.CrashEvidence(
    (relay.CrashReport('e1:17', 'llm', ('a', 'b'), 0.25, 1.5, 'z1'),),
    (relay.SoundPart('llm', 'a', ('e1:17',)),),
)


@pytest.mark.parametrize(
    'message',
    [
        _updates.ServerUpdate(),
        _updates.ServerUpdate(evacuations=NOTICE),
        _updates.ServerUpdate(True, (RECORD,), ()),
        _updates.ServerUpdate(False, (), (pool.RemovedServer('e1', 13),)),
        _updates.ClockRequest(4, 7),
        _updates.ClockReading(4, 12.5),
        _updates.ClockReading(4, 12.5, PROOF, UPDATE),
        PROOF,
        UPDATE,
        _updates.PlacementRequest(
            3,
            'llm',
            relay.RequestRequirements('m0', 700, 150, 4.0),
            (relay.BackendKey('llm', 'm0.z1.7', 7),),
        ),
        _updates.PlacementRequest(
            3,
            'llm',
            relay.RequestRequirements(
                'm0', 700, 150, 4.0, 1, 'acme', 'ask', -0.2, '0123'
            ),
            max_wait=3.5,
            waited=0.5,
        ),
        _updates.PlacementWaiting(3, 0.5),
        _updates.PlacementProgress(3, 0.1, relay.ReportedLoad(7, 2, 7)),
        _updates.PlacementReply(3, relay.BackendKey('llm', 'm0.z1.8', 8)),
        _updates.PlacementReply(3, None, 'all are full', 0.5),
        _updates.PlacementStall(3),
        EVIDENCE,
        _updates.EvidenceRequest(EVIDENCE),
        _updates.PlacementEnd(
            3, relay.Outcome.REFUSED, relay.ReportedLoad(7, 2, 7)
        ),
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


def test_update_of_an_older_build_does_not_state_the_evacuations():
    # It must not be taken for a state without evacuations.
    frame = cbor2.dumps([1, {'whole': False, 'records': [], 'removed': []}])
    assert _updates.decode_frame(frame).evacuations is None


class _Server:
    """Connection of one subscriber."""

    subscriber_count = 1

    def __init__(self):
        self.sent = []

    def broadcast(self, frame):
        self.sent.append(_updates.decode_frame(frame))


@pytest.mark.parametrize('own', [None, NOTICE])
def test_notice_of_another_node_is_replaced_by_the_own_one(own):
    # Its time is that of another clock.
    foreign = dataclasses.replace(NOTICE, confirmed_at=99999.0)
    publisher = _update_publisher.UpdatePublisher(
        pool.ServerRegistry(), None, doubles.Clock(), doubles.Log(), None
    )
    publisher.server = _Server()
    publisher.evacuations = types.SimpleNamespace(make_notice=lambda: own)
    publisher.forward(_updates.ServerUpdate(evacuations=foreign))
    (sent,) = publisher.server.sent
    assert sent.evacuations == own


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
        await helpers.wait_until(first._is_leader)
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
        ranked = [
            _ranking.RegisteredNode('n2', second.settings.news),
            _ranking.RegisteredNode('n3', 'unused'),
        ]
        third.subscriber.set_nodes(ranked)
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


class _Publisher:
    """Records what a node passes on to its own subscribers."""

    def __init__(self):
        self.proofs = []
        self.versions = []

    def publish_proof(self, revision, proved_at):
        self.proofs.append((revision, proved_at))

    def publish_configuration(
        self, previous, configuration, revision, proved_at
    ):
        self.versions.append(configuration.version)


def _make_subscriber(
    clock, configuration=CONFIGURATION, rank=2, waits_at_start=True
):
    """Make a subscriber that has compared its clock with the publisher's.

    The clock of the publisher is 50 s behind that of the subscriber.
    """
    cache = traffic.ConfigurationCache(4.6)
    if configuration is not None:
        cache.accept(configuration, 80.0)
    updater = _configuration_updater.ConfigurationUpdater(
        cache, _Publisher(), doubles.Log(), lambda: None
    )
    nodes = [
        _ranking.RegisteredNode(f'n{number}', 'x')
        for number in range(rank + 1)
    ]
    link = _publisher_link.PublisherLink()
    registry = pool.ServerRegistry()
    subscriber = _update_subscriber.UpdateSubscriber(
        f'n{rank}',
        registry,
        updater,
        clock,
        doubles.Log(),
        lambda message: None,
        2.0,
        4.0,
        link,
        _placement_client.PlacementClient(link, clock, doubles.Log()),
        waits_at_start,
        _entry_contact.EntryContact(registry, clock),
    )
    subscriber.set_nodes(nodes)
    clock.now += _update_subscriber.SUBSCRIPTION_TIME
    subscriber._pending_requests = {1: clock.now}
    subscriber._handle(_updates.ClockReading(1, clock.now - 50.0))
    return subscriber, updater, cache


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
    subscriber, updater, cache = _make_subscriber(clock)
    proved_at = clock.now - 50.0 - age
    subscriber._handle(_updates.ConfigurationProof(version, 70, proved_at))
    assert subscriber.has_fresh_proof() is listens
    assert cache.version == 5


def test_proof_without_compared_clocks_does_not_count():
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock)
    subscriber._clock_offset = None
    subscriber._handle(_updates.ConfigurationProof(5, 70, clock.now))
    assert not subscriber.has_fresh_proof()
    assert cache.get_proof_age(clock.now) > 10.0


def test_slow_clock_reading_makes_a_proof_older_never_younger():
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock)
    subscriber._clock_offset = None
    subscriber._pending_requests = {2: clock.now}
    clock.now += 0.9
    # The publisher reads its clock just before the answer arrives.
    subscriber._handle(_updates.ClockReading(2, clock.now - 50.0))
    subscriber._handle(
        _updates.ConfigurationProof(5, 70, clock.now - 50.0 - 0.5)
    )
    assert cache.get_proof_age(clock.now) == pytest.approx(1.4)


NEWER = dataclasses.replace(
    CONFIGURATION,
    version=8,
    routes=(dataclasses.replace(ROUTE, timeout=3.0),),
    accounts=(traffic.ClientAccount('acme', ('k2',)),),
)


def _send_change(subscriber, clock, base, configuration, age=0.1):
    change = traffic.plan_change(base, configuration)
    proof = _updates.ConfigurationProof(
        configuration.version, 90, clock.now - 50.0 - age
    )
    subscriber._handle(_updates.ConfigurationUpdate(change, proof))


def test_change_is_put_in_force_without_the_store():
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock)
    _send_change(subscriber, clock, CONFIGURATION, NEWER)
    assert cache.configuration == NEWER
    assert subscriber.has_fresh_proof()
    assert updater.revision == 90
    assert updater._publisher.versions == [8]


def test_first_configuration_comes_from_the_publisher():
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock, None)
    _send_change(subscriber, clock, traffic.NO_CONFIGURATION, NEWER)
    assert cache.configuration == NEWER


def test_change_of_another_version_is_read_from_the_store():
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock)
    base = dataclasses.replace(CONFIGURATION, version=6)
    _send_change(subscriber, clock, base, NEWER)
    assert cache.version == 5
    assert not subscriber.has_fresh_proof()
    assert subscriber.knows_newer_version()


def test_change_does_not_bring_back_an_older_version():
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock, NEWER)
    older = dataclasses.replace(CONFIGURATION, version=7)
    _send_change(subscriber, clock, CONFIGURATION, older)
    assert cache.configuration == NEWER


@pytest.mark.parametrize(
    ('rank', 'servers_after', 'proof_after'),
    [
        pytest.param(1, 1.3, 2.0 * 2 / 3 + 0.2, id='second publisher'),
        pytest.param(2, 2.8, 2.0, id='subscriber'),
    ],
)
def test_second_publisher_turns_to_the_store_first(
    rank, servers_after, proof_after
):
    """Subscribers of a silent publisher wait for its successor."""
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock, rank=rank)
    subscriber._handle(_updates.ServerUpdate())
    subscriber._handle(_updates.ConfigurationProof(5, 70, clock.now - 50.0))
    start = clock.now
    clock.now = start + servers_after - 0.01
    assert subscriber.has_fresh_servers()
    clock.now = start + servers_after + 0.01
    assert not subscriber.has_fresh_servers()
    clock.now = start + proof_after - 0.01
    assert subscriber.has_fresh_proof()
    clock.now = start + proof_after + 0.01
    assert not subscriber.has_fresh_proof()


@pytest.mark.parametrize(
    ('drain_time', 'expected'), [(2.0, 0.0), (3.0, 1.0), (4.0, 1.5)]
)
def test_succession_fits_into_the_drain_time(drain_time, expected):
    time = _update_subscriber.find_succession_time(drain_time)
    assert time == pytest.approx(expected)


@pytest.mark.parametrize(
    ('waits_at_start', 'rank', 'waits'),
    [
        pytest.param(True, 2, True, id='all nodes start, one publishes'),
        pytest.param(True, 0, False, id='the first node has no publisher'),
        pytest.param(False, 2, True, id='a restarted node waits, too'),
        pytest.param(False, 1, False, id='two nodes read after a restart'),
        pytest.param(False, 0, False, id='the first node after a restart'),
    ],
)
def test_nodes_that_start_wait_for_the_publisher(waits_at_start, rank, waits):
    # All nodes start at once after a loss of power, and would all read the
    # whole configuration from the store.
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(
        clock, None, rank, waits_at_start
    )
    clock.now -= _update_subscriber.SUBSCRIPTION_TIME
    assert subscriber.is_starting() is waits
    clock.now += _update_subscriber.DISCOVERY_TIME
    assert not subscriber.is_starting()


def test_restarted_node_waits_only_briefly_for_a_publisher():
    # Callers wait for a restarted node: one without a publisher reads itself.
    clock = doubles.Clock()
    subscriber, updater, cache = _make_subscriber(clock, None, 2, False)
    clock.now -= _update_subscriber.SUBSCRIPTION_TIME
    clock.now += _update_subscriber.RESTART_GRACE
    assert not subscriber.is_starting()


LARGE = dataclasses.replace(
    CONFIGURATION,
    routes=tuple(
        dataclasses.replace(ROUTE, prefix=f'/ask/{number}/')
        for number in range(3000)
    ),
)


def _make_large_publisher(clock):
    """Make a publisher with a configuration that is too large for a frame."""
    cache = traffic.ConfigurationCache(4.6)
    cache.accept(LARGE, 10.0)
    publisher = _update_publisher.UpdatePublisher(
        pool.ServerRegistry(), cache, clock, doubles.Log(), lambda: None
    )
    publisher.publish_proof(70, 11.25)
    return publisher


def test_large_configuration_reaches_a_node_that_starts():
    # Nodes that got only a proof read the whole configuration from the store.
    clock = doubles.Clock()
    publisher = _make_large_publisher(clock)
    frame = publisher.answer_clock_request(_updates.ClockRequest(1, 0))
    assert len(frame) <= _update_publisher.MAX_CHANGE_BYTES
    subscriber, updater, cache = _make_subscriber(clock, None)
    subscriber._pending_requests = {1: clock.now}
    subscriber._handle(_updates.decode_frame(frame))
    assert cache.configuration == LARGE
    assert subscriber.has_fresh_proof() == (clock.now - cache.proved_at < 2.0)


def test_later_reading_proves_a_version_that_was_packed_before():
    # The proof inside a packed version is as old as the packing.
    clock = doubles.Clock()
    publisher = _make_large_publisher(clock)
    publisher.answer_clock_request(_updates.ClockRequest(1, 0))
    publisher.publish_proof(71, 12.25)
    frame = publisher.answer_clock_request(_updates.ClockRequest(1, 0))
    reading = _updates.decode_frame(frame)
    subscriber, updater, cache = _make_subscriber(clock, None)
    subscriber._pending_requests = {1: clock.now}
    subscriber._handle(reading)
    assert reading.proof.proved_at == 12.25
    assert cache.proved_at == 12.25 + 50.0


def test_large_change_is_published_packed():
    # Each node read the whole configuration after a change by many routes.
    clock = doubles.Clock()
    publisher = _make_large_publisher(clock)
    frames = []
    publisher.server = types.SimpleNamespace(
        subscriber_count=1, broadcast=frames.append
    )
    older = dataclasses.replace(CONFIGURATION, version=4)
    publisher.publish_configuration(older, LARGE, 70, 11.25)
    subscriber, updater, cache = _make_subscriber(clock, older)
    proof = _updates.decode_frame(frames[0])
    assert proof.version == 5
    subscriber._handle(proof)
    assert cache.version == 5
    assert set(cache.configuration.routes) >= set(LARGE.routes)


@pytest.mark.parametrize(
    'packed',
    [
        pytest.param(b'no zlib', id='not compressed'),
        pytest.param(_updates.pack(b'no frame'), id='no frame'),
        pytest.param(
            _updates.pack(_updates.encode_frame(PROOF)), id='another message'
        ),
        pytest.param(_updates.pack(b'x' * 64)[:-6], id='cut short'),
        pytest.param(
            _updates.pack(bytes(_updates.MAX_UNPACKED_BYTES + 1)),
            id='too large',
        ),
    ],
)
def test_malformed_packed_update_is_refused(packed):
    with pytest.raises(exceptions.TransportError):
        _updates.unpack(packed)
