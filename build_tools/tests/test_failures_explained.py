"""Tests that `explain` finds the cause of a failed request from logs alone.

They follow the steps of docs/operations/platform.md for three kinds of
failure.
"""

import asyncio
import subprocess
import sys
import time

import pytest

from build_tools.pool_soak import _callers
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _traffic

REQUEST_KINDS = {kind.name: kind for kind in _traffic.REQUEST_KINDS}

STREAM_COUNT = 6
"""Number of open streams when members fail."""

START_TIMEOUT = 30.0
"""Time within which the fleet must serve after the start (seconds)."""


def _ignore_call(call):
    return None


async def _send_request(fleet, node, kind, number=0):
    caller = _callers.Caller(fleet, _ignore_call, number, number)
    caller.may_disconnect = False
    return await caller.send_request(node, REQUEST_KINDS[kind])


async def _wait_until_serving(fleet):
    deadline = time.monotonic() + START_TIMEOUT
    for node in fleet.nodes:
        for kind in ('ask', 'pay'):
            number = 0
            while (
                await _send_request(fleet, node, kind, number)
            ).status != 200:
                assert time.monotonic() < deadline, f'{node.name}: {kind}'
                number += 1
                await asyncio.sleep(0.2)


async def _hang_members(fleet):
    """Let the second member of each group hang while streams are open."""
    calls = [
        asyncio.ensure_future(
            _send_request(fleet, fleet.nodes[0], 'once', 100 + n)
        )
        for n in range(STREAM_COUNT)
    ]
    await asyncio.sleep(0.15)
    groups = (await fleet.fetch_records())['groups']
    for name, group in groups.items():
        if group and group['rank'] == 1:
            await fleet.send_command(server=name, set={'dark': True})
    return await asyncio.gather(*calls)


async def _drop_service_answers(fleet):
    for name in fleet.service_names:
        await fleet.send_command(server=name, set={'lose_answers': 1.0})
    calls = [await _send_request(fleet, fleet.nodes[1], 'pay', 200)]
    for name in fleet.service_names:
        await fleet.send_command(server=name, set={'lose_answers': 0.0})
    return calls


async def _partition_node(fleet):
    node = fleet.nodes[2]
    node.store_proxy.faults.silent_down = True
    await asyncio.sleep(_traffic.MAX_REVOCATION_DELAY + 0.5)
    return [
        await _send_request(fleet, node, 'read', 300),
        await _send_request(fleet, fleet.nodes[1], 'read', 301),
    ]


def _explain(fleet, call):
    completed = subprocess.run(
        [
            sys.executable,
            '-m',
            'balsamwind',
            'explain',
            call.request_id,
            *(str(node.log_path) for node in fleet.nodes),
        ],
        cwd=_fleet.ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


@pytest.fixture(scope='module')
def failed(tmp_path_factory):
    """Failed calls by kind of failure, each with the output of `explain`."""
    folder = tmp_path_factory.mktemp('fleet')

    async def run_failures():
        async with _fleet.open_fleet(folder, 1, 1) as fleet:
            await _wait_until_serving(fleet)
            calls_by_failure = {'unknown': await _drop_service_answers(fleet)}
            calls_by_failure['refused'] = await _partition_node(fleet)
            calls_by_failure['cut'] = await _hang_members(fleet)
            await asyncio.sleep(1.0)
            return {
                kind: [
                    (call, _explain(fleet, call))
                    for call in calls
                    if call.outcome != 'whole'
                ]
                for kind, calls in calls_by_failure.items()
            }, (folder / f'{fleet.nodes[2].name}.log').read_text()

    return asyncio.run(run_failures())


def test_refusal_by_partitioned_node_names_lost_store(failed):
    calls_by_failure, log = failed
    [(call, explanation)] = calls_by_failure['refused']
    assert call.status == 503
    assert 'outcome=keys_unproved' in explanation
    assert 'configuration last proved' in explanation
    assert '"store_lost"' in log


def test_incomplete_stream_names_lost_member(failed):
    calls_by_failure, _ = failed
    assert calls_by_failure['cut']
    for call, explanation in calls_by_failure['cut']:
        assert call.status in (200, 504)
        assert 'attempt_failed' in explanation
        assert 'engine_down' in explanation
        assert 'group_closing' in explanation
        assert 'do not answer' in explanation


def test_unknown_outcome_names_server_that_may_have_executed(failed):
    calls_by_failure, _ = failed
    [(call, explanation)] = calls_by_failure['unknown']
    assert call.status == 502
    assert 'sent=True' in explanation
    assert 'server=z' in explanation
