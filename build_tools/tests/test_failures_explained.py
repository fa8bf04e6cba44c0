"""Three kinds of failed request; each cause is found from logs alone.

The steps are those of docs/operations/platform.md.
"""

import asyncio
import subprocess
import sys
import time

import pytest

from build_tools.pool_soak import _callers
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _traffic

KINDS = {kind.name: kind for kind in _traffic.KINDS}

STREAMS = 6
"""Streams that are open when members are lost (count)."""

START = 30.0
"""Longest time until the fleet serves (seconds)."""


def _ignore(call):
    return None


async def _ask(fleet, node, kind, number=0):
    caller = _callers.Caller(fleet, _ignore, number, number)
    caller.leaves = False
    return await caller.ask(node, KINDS[kind])


async def _wait_until_serving(fleet):
    end = time.monotonic() + START
    for node in fleet.nodes:
        for kind in ('ask', 'pay'):
            number = 0
            while (await _ask(fleet, node, kind, number)).status != 200:
                assert time.monotonic() < end, f'{node.name}: {kind}'
                number += 1
                await asyncio.sleep(0.2)


async def _lose_members(fleet):
    """Lose a member of each group while streams run."""
    calls = [
        asyncio.ensure_future(_ask(fleet, fleet.nodes[0], 'once', 100 + n))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.15)
    groups = (await fleet.look())['groups']
    for name, group in groups.items():
        if group and group['rank'] == 1:
            await fleet.tell(server=name, set={'dark': True})
    return await asyncio.gather(*calls)


async def _lose_answers(fleet):
    for name in fleet.service_names:
        await fleet.tell(server=name, set={'lose_answers': 1.0})
    calls = [await _ask(fleet, fleet.nodes[1], 'pay', 200)]
    for name in fleet.service_names:
        await fleet.tell(server=name, set={'lose_answers': 0.0})
    return calls


async def _cut_node(fleet):
    node = fleet.nodes[2]
    node.wire.faults.silent_down = True
    await asyncio.sleep(_traffic.REVOCATION + 0.5)
    return [
        await _ask(fleet, node, 'read', 300),
        await _ask(fleet, fleet.nodes[1], 'read', 301),
    ]


def _explain(fleet, call):
    done = subprocess.run(
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
    assert done.returncode == 0, done.stderr
    return done.stdout


@pytest.fixture(scope='module')
def failed(tmp_path_factory):
    """The failed calls of each kind, with what `explain` prints of them."""
    folder = tmp_path_factory.mktemp('fleet')

    async def play():
        async with _fleet.open_fleet(folder, 1, 1) as fleet:
            await _wait_until_serving(fleet)
            found = {'unknown': await _lose_answers(fleet)}
            found['refused'] = await _cut_node(fleet)
            found['cut'] = await _lose_members(fleet)
            await asyncio.sleep(1.0)
            return {
                kind: [
                    (call, _explain(fleet, call))
                    for call in calls
                    if call.outcome != 'whole'
                ]
                for kind, calls in found.items()
            }, (folder / f'{fleet.nodes[2].name}.log').read_text()

    return asyncio.run(play())


def test_refusal_with_room_elsewhere_names_the_lost_store(failed):
    found, log = failed
    [(call, story)] = found['refused']
    assert call.status == 503
    assert 'outcome=keys_unproved' in story
    assert 'configuration last proved' in story
    assert '"store_lost"' in log


def test_cut_stream_names_the_lost_member(failed):
    found, _ = failed
    assert found['cut']
    for call, story in found['cut']:
        assert call.status in (200, 504)
        assert 'attempt_failed' in story
        assert 'engine_down' in story
        assert 'group_closing' in story
        assert 'do not answer' in story


def test_unknown_outcome_names_the_server_that_may_have_run_it(failed):
    found, _ = failed
    [(call, story)] = found['unknown']
    assert call.status == 502
    assert 'sent=True' in story
    assert 'server=z' in story
