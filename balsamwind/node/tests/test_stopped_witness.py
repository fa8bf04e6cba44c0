"""A node that stops tells the others which request has ended a server."""

import asyncio
import copy

import pytest

from balsamwind.node.tests import helpers
from balsamwind.node.tests import test_deadly_requests
from standins import pool as pool_standin

PLACEMENTS = [
    pytest.param(test_deadly_requests.ONE_DATA_CENTRE[:2], id='subscriber'),
    pytest.param((('n2', 'z1'), ('n1', 'z1')), id='publisher'),
]


def _make_configuration():
    configuration = copy.deepcopy(helpers.CONFIGURATION)
    route = {
        **test_deadly_requests.PLAIN_ROUTE,
        'Kind': 'non_idempotent',
        'TimeoutMs': 6000,
        'MaxAttempts': 1,
    }
    configuration['Routes'].append(route)
    configuration['Services'].append({'Name': 'ledger'})
    return configuration


@pytest.mark.parametrize('placement', PLACEMENTS)
def test_stop_lost_the_last_end_of_a_server(placement):
    """Its answer is the last one that the node waits for."""

    async def scenario():
        async with helpers.open_fleet(
            placement, servers=2, configuration=_make_configuration()
        ) as (platform, (other, stopping)):
            platform.deadly_bodies.add(test_deadly_requests.DEADLY)
            platform.deadly_run = pool_standin.DeadlyRun(
                (3.0, 3.0), pool_standin.UNSIGNED_HEAD, (0.3, 0.3)
            )
            request = test_deadly_requests.make_request(
                '/balance/x', 'r1', test_deadly_requests.DEADLY
            ).replace(b'Host:', b'X-Balsamwind-Time-Budget-Ms: 5000\r\nHost:')
            sending = asyncio.ensure_future(
                helpers.send_request(stopping, request)
            )
            await helpers.wait_until(lambda: platform.deadly_arrivals)
            await stopping.drain()
            await stopping.stop()
            sending.cancel()
            await asyncio.sleep(0.2)
            return other.relay.crash_quarantine.has_suspects

    assert asyncio.run(scenario())
