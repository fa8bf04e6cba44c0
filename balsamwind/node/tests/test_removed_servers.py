"""Servers that have left, as nodes know that were cut off or not."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from balsamwind import exceptions
from balsamwind.node import _entry_contact
from balsamwind.node import _update_publisher
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind.node.tests import test_odd_entries
from balsamwind.node.tests import test_updates
from balsamwind import pool
from balsamwind.pool import _registry

CUT_TIME = 4.0
"""Time for which a node is cut from the store (seconds)."""


class _CuttableStore:
    """HTTP client of a node, whose path to the store can be cut."""

    def __init__(self, client):
        self._client = client
        self.is_cut = False

    async def fetch(self, method, url, *, timeout, **arguments):
        answer = asyncio.ensure_future(
            self._client.fetch(method, url, timeout=timeout, **arguments)
        )
        deadline = asyncio.get_running_loop().time() + timeout
        while self.is_cut or not answer.done():
            if asyncio.get_running_loop().time() > deadline:
                answer.cancel()
                raise exceptions.TransportError('cut off')
            await asyncio.sleep(0.01)
        return answer.result()


def _make_cuttable(process):
    store = process.platform.store
    store._client = _CuttableStore(store._client)
    return store._client


def _is_listed(process, server_id):
    record = process.registry.get(server_id)
    return record is not None and record.listed


@pytest.mark.parametrize(
    ('cut_name', 'names'),
    [
        pytest.param('n1', ('n1', 'n2'), id='publisher'),
        pytest.param('n1', ('n1', 'n2', 'n3'), id='publisher of two'),
        pytest.param('n2', ('n1', 'n2', 'n3'), id='second publisher'),
    ],
)
def test_node_in_touch_does_not_unlearn_that_a_server_has_left(
    cut_name, names
):
    # A node that reached the store again kept what had left for a while, and
    # told its subscribers that it was there: they sent requests (DRAIN).
    async def scenario():
        async with helpers.open_fleet(
            tuple((name, 'z1') for name in names),
            servers=2,
            configuration=test_odd_entries.make_configuration(),
        ) as (fake_platform, nodes):
            by_name = dict(zip(names, nodes, strict=True))
            path = _make_cuttable(by_name[cut_name])
            others = [by_name[name] for name in names if name != cut_name]
            await asyncio.sleep(1.0)
            path.is_cut = True
            await asyncio.sleep(CUT_TIME - 0.6)
            fake_platform.services['s0'].gone = True
            fake_platform.store.delete('servers', 's0')
            await asyncio.sleep(0.6)
            path.is_cut = False
            relisted = []
            for _ in range(60):
                await asyncio.sleep(0.05)
                relisted += [
                    process.settings.name
                    for process in others
                    if _is_listed(process, 's0')
                ]
            # The node that was cut off counts as in touch from now on.
            return relisted, _is_listed(by_name[cut_name], 's0')

    relisted, is_listed = asyncio.run(scenario())
    # An update may be on its way at the moment of the removal.
    assert len(relisted) <= 2
    assert not is_listed


def test_all_nodes_keep_entries_that_lapsed_in_an_outage_of_the_store():
    # The facts that a publisher tells are no reason to drop servers that
    # could not renew their entries.
    async def scenario():
        async with helpers.open_fleet(
            (('n1', 'z1'), ('n2', 'z1')),
            servers=2,
            configuration=test_odd_entries.make_configuration(),
        ) as (fake_platform, nodes):
            fake_platform.store.faults.down = 'reset'
            await asyncio.sleep(CUT_TIME)
            entry = fake_platform.store.get_objects('servers')['s0']['Spec']
            fake_platform.store.delete('servers', 's0')
            fake_platform.store.faults.down = ''
            listed = []
            for _ in range(36):
                await asyncio.sleep(0.05)
                listed += [_is_listed(process, 's0') for process in nodes]
            fake_platform.store.put('servers', 's0', entry)
            await asyncio.sleep(1.6)
            listed += [_is_listed(process, 's0') for process in nodes]
            return listed

    assert all(asyncio.run(scenario()))


def _make_record(server_id, revision):
    return pool.ServerRecord(
        server_id, 'llm', '10.0.0.1:80', 'z1', revision=revision
    )


@dataclasses.dataclass
class _StoreView:
    """What a list of the store shows at a revision."""

    revision: int
    entries: dict


CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['e1', 'e2', 'e3']), strategies.booleans()
    ),
    min_size=1,
    max_size=12,
)


def _play(changes):
    """Return the views of a store after each write or removal of a server."""
    views = []
    entries = {}
    for revision, (server_id, is_written) in enumerate(changes, 1):
        entries = dict(entries)
        if is_written:
            entries[server_id] = revision
        else:
            entries.pop(server_id, None)
        views.append(_StoreView(revision, entries))
    return views


@hypothesis.given(CHANGES, strategies.data())
def test_newest_list_counts_and_not_the_last_one(changes, data):
    views = _play(changes)
    arrivals = data.draw(
        strategies.lists(strategies.sampled_from(views), max_size=8)
    )
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    registry = subscriber._registry
    newest = _StoreView(0, {})
    for view in arrivals:
        records = tuple(_make_record(*entry) for entry in view.entries.items())
        subscriber._handle(
            _updates.ServerUpdate(True, records, revision=view.revision)
        )
        if view.revision >= newest.revision:
            newest = view
        listed = {
            record.server_id: record.revision
            for record in registry
            if record.listed
        }
        assert listed == newest.entries


def test_list_that_does_not_state_its_revision_lists_nothing_again():
    # An earlier build tells what it knows without saying as of when.
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    registry = subscriber._registry
    record = _make_record('e1', 7)
    registry.apply_entry(record, clock.now)
    registry.apply_removal(pool.RemovedServer('e1', 7), clock.now)
    subscriber._handle(_updates.ServerUpdate(True, (record,)))
    assert not registry.get('e1').listed
    subscriber._handle(_updates.ServerUpdate(True, (_make_record('e1', 9),)))
    assert registry.get('e1').listed


def test_publisher_that_knows_less_is_not_relied_upon():
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    subscriber._registry.revision = 12
    subscriber._handle(_updates.ServerUpdate(revision=11))
    assert not subscriber.has_fresh_servers()
    subscriber._handle(_updates.ServerUpdate(revision=12))
    assert subscriber.has_fresh_servers()


def test_outdated_update_still_tells_of_a_server_that_leaves():
    # A server says so itself; no revision of the store shows it.
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    registry = subscriber._registry
    record = _make_record('e1', 7)
    registry.apply_full_list([record], clock.now, 12)
    leaving = dataclasses.replace(record, state=pool.ServerState.DRAINING)
    subscriber._handle(_updates.ServerUpdate(records=(leaving,), revision=11))
    assert not registry.get('e1').usable


@pytest.mark.parametrize(
    ('silence', 'grace', 'is_kept'),
    [
        pytest.param(0.5, 2.0, False, id='only the publisher was cut off'),
        pytest.param(4.0, 0.0, False, id='only this node was cut off'),
        pytest.param(4.0, 2.0, True, id='the store was down'),
    ],
)
def test_each_node_judges_by_its_own_outage_what_it_keeps(
    silence, grace, is_kept
):
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    registry = subscriber._registry
    records = (_make_record('e1', 7), _make_record('e2', 8))
    subscriber._handle(_updates.ServerUpdate(True, records, revision=9))
    clock.now += silence
    subscriber._handle(
        _updates.ServerUpdate(True, records[:1], revision=20, grace=grace)
    )
    assert registry.get('e2').listed is is_kept
    clock.now += grace + 0.1
    registry.evict_expired(clock.now)
    assert not registry.get('e2').listed


def test_notice_of_a_leaving_server_is_no_sign_of_life():
    # A publisher that was cut off was relied upon for as long as servers said
    # that they leave, and hid what the store said (DRAIN).
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    registry = subscriber._registry
    notices = []
    subscriber.forward_notice = notices.append
    record = _make_record('e1', 7)
    subscriber._handle(_updates.ServerUpdate(True, (record,), revision=9))
    leaving = dataclasses.replace(record, state=pool.ServerState.DRAINING)
    notice = _updates.ServerUpdate(records=(leaving,))
    for _ in range(4):
        clock.now += 1.0
        subscriber._handle(notice)
    assert not registry.get('e1').usable
    assert notices[0] == notice
    assert not subscriber.has_fresh_servers()
    assert registry.revision == 9


def test_entry_without_a_revision_was_taken_for_a_leaving_server():
    # Its publisher heard it from an earlier build, which states none.
    clock = doubles.Clock()
    subscriber, _, _ = test_updates._make_subscriber(clock)
    record = _make_record('e1', 7)
    subscriber._handle(_updates.ServerUpdate(True, (record,), revision=9))
    newer = _make_record('e1', 10)
    subscriber._handle(_updates.ServerUpdate(records=(newer,)))
    assert subscriber._registry.get('e1') == newer


class _Server:
    """Connection of a subscriber."""

    subscriber_count = 1

    def __init__(self):
        self.sent = []

    def broadcast(self, frame):
        self.sent.append(_updates.decode_frame(frame))


def _make_publisher(clock):
    registry = pool.ServerRegistry()
    publisher = _update_publisher.UpdatePublisher(
        registry, None, clock, doubles.Log(), None
    )
    publisher.server = _Server()
    return publisher, registry


def test_publisher_tells_what_the_store_lacks_after_an_outage():
    clock = doubles.Clock()
    publisher, registry = _make_publisher(clock)
    records = [_make_record('e1', 7), _make_record('e2', 8)]
    registry.apply_full_list(records, clock.now, 10)
    publisher.publish_news()
    contact = _entry_contact.EntryContact(registry, clock)
    clock.now += 4.0
    contact.record_failure(clock.now)
    assert contact.record_answer()
    registry.apply_full_list(records[:1], clock.now, 20)
    publisher.publish_news()
    _, update = publisher.server.sent
    assert registry.get('e2').listed
    assert update == _updates.ServerUpdate(
        removed=(pool.RemovedServer('e2', 20),),
        revision=20,
        grace=update.grace,
        digest=registry.listing.digest,
    )
    assert update.grace == pytest.approx(_registry.RELISTING_GRACE)
    clock.now += _registry.RELISTING_GRACE + 0.1
    registry.evict_expired(clock.now)
    assert not registry.get('e2').listed


def test_subscriber_without_a_first_list_gets_the_next_one():
    # It connected while the publisher heard nothing from the store.
    clock = doubles.Clock()
    publisher, registry = _make_publisher(clock)
    assert publisher._make_first_frame() is None
    registry.apply_full_list([_make_record('e1', 7)], clock.now, 9)
    publisher.publish_news()
    publisher.publish_news()
    assert [update.whole for update in publisher.server.sent] == [True, False]


@pytest.mark.parametrize('forwards', [False, True])
def test_list_of_a_silent_publisher_passed_for_news(forwards):
    # Each new subscriber got it for 1.3 s after the last news, and relied on
    # the publisher for as long again (DRAIN).
    clock = doubles.Clock()
    publisher, registry = _make_publisher(clock)
    subscriber, _, _ = test_updates._make_subscriber(clock, rank=1)
    second, _ = _make_publisher(clock)
    subscriber._forward = second.forward
    registry.apply_full_list([_make_record('e1', 7)], clock.now, 9)
    publisher.publish_news()
    clock.now += 1.25
    frame = publisher._make_first_frame()
    if forwards:
        subscriber._handle(_updates.decode_frame(frame))
        clock.now += 0.04
        subscriber, _, _ = test_updates._make_subscriber(
            doubles.Clock(), rank=1
        )
        subscriber._clock = clock
        frame = second._make_first_frame()
    subscriber._handle(_updates.decode_frame(frame))
    assert subscriber.has_fresh_servers()
    clock.now += 0.06
    assert not subscriber.has_fresh_servers()
