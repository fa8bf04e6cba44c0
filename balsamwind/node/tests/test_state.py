"""Metrics of a node, as its page shows them."""

import asyncio
import urllib.request

import pytest

from balsamwind.node.tests import parts


def _read_metrics(process):
    url = f'http://{process.settings.metrics}/metrics'
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        return answer.read().decode('utf-8')


async def _scrape():
    async with (
        parts.open_platform(4) as outside,
        parts.open_node(outside) as process,
    ):
        await parts.wait_until(lambda: parts.count_served(process) == 2)
        await parts.call(process, parts.make_request())
        await parts.wait_until(lambda: not process.relay.open_requests)
        return await asyncio.to_thread(_read_metrics, process)


@pytest.fixture(scope='module')
def page():
    return asyncio.run(_scrape())


@pytest.mark.parametrize(
    'line',
    [
        'balsamwind_configuration_version 3.0',
        'balsamwind_lease_held{shard="z1"} 1.0',
        f'balsamwind_groups{{model="{parts.MODEL}",state="open"}} 2.0',
        f'balsamwind_shard_demand{{model="{parts.MODEL}",shard="z1"}}',
        'balsamwind_store_calls_total{object="servers",purpose="list"}',
        'balsamwind_store_calls_total{object="leases",purpose="write"}',
        'balsamwind_open_requests 0.0',
        'balsamwind_answers_total{outcome="ok"} 1.0',
    ],
)
def test_page_shows(page, line):
    assert line in page


def test_age_of_the_proof_is_young(page):
    name = 'balsamwind_configuration_proof_age_seconds '
    found = [row for row in page.split('\n') if row.startswith(name)]
    assert 0.0 <= float(found[0].split()[1]) < 3.0
