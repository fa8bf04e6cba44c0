"""Metrics page of a node."""

import asyncio
import urllib.request

import pytest

from balsamwind.node.tests import helpers


def _read_metrics(process):
    url = f'http://{process.settings.metrics}/metrics'
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        return answer.read().decode('utf-8')


async def _scrape():
    async with (
        helpers.open_platform(4) as fake_platform,
        helpers.open_node(fake_platform) as process,
    ):
        await helpers.wait_until(
            lambda: helpers.count_serving_groups(process) == 2
        )
        await helpers.send_request(process, helpers.make_request())
        await helpers.wait_until(lambda: not process.relay.open_requests)
        return await asyncio.to_thread(_read_metrics, process)


@pytest.fixture(scope='module')
def metrics_page():
    return asyncio.run(_scrape())


@pytest.mark.parametrize(
    'line',
    [
        'balsamwind_configuration_version 3.0',
        'balsamwind_lease_held{shard="z1"} 1.0',
        f'balsamwind_groups{{model="{helpers.MODEL}",state="open"}} 2.0',
        f'balsamwind_shard_demand{{model="{helpers.MODEL}",shard="z1"}}',
        'balsamwind_store_calls_total{object="servers",purpose="list"}',
        'balsamwind_store_calls_total{object="leases",purpose="write"}',
        'balsamwind_open_requests 0.0',
        'balsamwind_quarantined_prompt_parts 0.0',
        'balsamwind_limited_servers 0.0',
        'balsamwind_lost_paths 0.0',
        'balsamwind_attempts_through_peers_total 0.0',
        'balsamwind_answers_total{outcome="ok"} 1.0',
    ],
)
def test_page_contains_metric(metrics_page, line):
    assert line in metrics_page


def test_proof_age_is_low(metrics_page):
    name = 'balsamwind_configuration_proof_age_seconds '
    lines = [row for row in metrics_page.split('\n') if row.startswith(name)]
    assert 0.0 <= float(lines[0].split()[1]) < 3.0
