"""Messages between nodes that do not come from the store."""

import pytest

from balsamwind.node import _updates
from balsamwind.node.tests import update_fleet

LAPSE_TIME = 3.6
"""Time after which the entries of servers lapse in an outage (seconds)."""


def _set_paths(fleet, fault):
    for node in fleet.nodes.values():
        node.path.fault = fault


def _send_notice(node, kind):
    match kind:
        case 'leaving':
            node.registry.mark_leaving('s0', 0)
            node.publisher.publish_leaving(node.registry.get('s0'))
        case 'evacuation':
            node.publisher.broadcast(_updates.ServerUpdate(notice=True))


@pytest.mark.parametrize('kind', ['', 'leaving', 'evacuation'])
@pytest.mark.parametrize('sender', ['n0', 'n1'])
@pytest.mark.parametrize('time_left', [0.3, 0.6, 1.0, 2.0])
def test_notice_in_an_outage_was_taken_for_news(kind, sender, time_left):
    # Nodes took it for a sign of life of the store, and had no servers left
    # as the store answered again, since the entries had lapsed.
    with update_fleet.open_fleet() as fleet:
        _set_paths(fleet, 'refused')
        update_fleet.run(fleet, LAPSE_TIME)
        for server_id in update_fleet.SERVER_IDS:
            fleet.store.remove(server_id, fleet.clock.monotonic())
        update_fleet.run(fleet, 2.0 - time_left)
        _send_notice(fleet.nodes[sender], kind)
        update_fleet.run(fleet, 0.1)
        nodes = list(fleet.nodes.values())
        assert not any(node.subscriber.has_fresh_servers() for node in nodes)
        update_fleet.run(fleet, time_left)
        _set_paths(fleet, '')
        for _ in range(20):
            update_fleet.run(fleet, 0.05)
            assert {len(node.listed) for node in nodes} == {
                len(update_fleet.SERVER_IDS)
            }


@pytest.mark.parametrize('teller', update_fleet.NODES)
@pytest.mark.parametrize('told_after', [0.1, 0.7, 1.4, 2.2, 3.1])
def test_node_was_not_told_in_an_outage_that_a_server_leaves(
    teller, told_after
):
    # It was told once, when there mostly was no connection between nodes.
    with update_fleet.open_fleet() as fleet:
        _set_paths(fleet, 'refused')
        update_fleet.run(fleet, 2.0 + told_after)
        leaving_servers = fleet.nodes[teller].leaving_servers
        fleet.loop.call_soon(leaving_servers.report, 's0', 0)
        update_fleet.run(fleet, 6.0)
        for node in fleet.nodes.values():
            assert not node.registry.get('s0').usable
