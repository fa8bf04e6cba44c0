"""Nodes that keep requests in their regions, against a fake platform."""

import asyncio
import copy
import dataclasses

import pytest

from balsamwind.node import _update_subscriber
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import pool
from balsamwind import traffic

PLACEMENT = (('n1', 'z1'), ('n2', 'z2'))

REGIONS = {'z1': 'north', 'z2': 'south'}


def _count_requests(fake_platform):
    counts = dict.fromkeys(REGIONS, 0)
    for engine in fake_platform.engines.values():
        counts[engine._zone] += len(engine.arrival_times)
    return counts


@pytest.mark.parametrize(
    ('route_regions', 'account_regions', 'statuses', 'used'),
    [
        pytest.param(['south'], None, {200}, {'z2'}, id='route'),
        pytest.param(None, ['north'], {200}, {'z1'}, id='account'),
        pytest.param(['north'], ['south'], {503}, set(), id='no common'),
        pytest.param('south', None, {503}, set(), id='malformed'),
        pytest.param(['east'], None, {503}, set(), id='unknown'),
    ],
)
def test_requests_run_in_their_regions(
    route_regions, account_regions, statuses, used
):
    configuration = copy.deepcopy(helpers.CONFIGURATION)
    configuration['Routes'][0]['AllowedRegions'] = route_regions
    configuration['Tenants'][0]['AllowedRegions'] = account_regions

    async def scenario():
        async with helpers.open_fleet(
            PLACEMENT, 4, configuration=configuration, regions=REGIONS
        ) as (fake_platform, nodes):
            for process in nodes:
                await helpers.wait_until(process.is_ready)
            started_at = asyncio.get_running_loop().time()
            answers = [
                await helpers.send_request(
                    nodes[number % 2],
                    helpers.make_request(request_id=f'r{number}'),
                )
                for number in range(12)
            ]
            duration = asyncio.get_running_loop().time() - started_at
            return answers, _count_requests(fake_platform), duration

    answers, counts, duration = asyncio.run(scenario())
    assert {int(answer.split(b' ')[1]) for answer in answers} == statuses
    assert {place for place, count in counts.items() if count} == used
    # The deadline of each request is 4 s.
    assert duration < 4.0


class _Updater:
    """Configuration in force, version 1, and the changes put in force."""

    version = 1

    def __init__(self):
        self.applied = []

    def apply(self, change, revision, proved_at):
        self.applied.append(change.version)


@pytest.mark.parametrize(
    ('with_regions', 'applied', 'reads_store'),
    [(True, [2], False), (False, [], True)],
)
def test_change_of_an_older_publisher_is_read_from_the_store(
    with_regions, applied, reads_store
):
    # It lacks the regions of routes and accounts: applied as it is, it would
    # let their requests run anywhere.
    updater = _Updater()
    subscriber = _update_subscriber.UpdateSubscriber(
        'n9',
        pool.ServerRegistry(),
        updater,
        doubles.Clock(),
        doubles.Log(),
        None,
        3.0,
        2.0,
        None,
        None,
        False,
        None,
    )
    subscriber._clock_offset = 0.0
    change = dataclasses.replace(
        traffic.plan_change(
            traffic.Configuration(1, (), ()), traffic.Configuration(2, (), ())
        ),
        with_regions=with_regions,
    )
    proof = _updates.ConfigurationProof(2, 70, 99.0)
    subscriber._handle(_updates.ConfigurationUpdate(change, proof))
    assert updater.applied == applied
    assert subscriber.knows_newer_version() is reads_store
