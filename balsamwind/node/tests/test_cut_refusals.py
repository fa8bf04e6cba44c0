"""Nodes whose own paths are cut by refusals blame no sound server."""

import asyncio

import pytest

from balsamwind.node.tests import helpers
from balsamwind.node.tests import paths
from balsamwind.node.tests import test_lost_paths
from balsamwind import relay

FOUR = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z2'), ('n4', 'z2'))
CUTS = 3
"""Times that the paths are cut (count)."""


async def _repeat(process, seconds):
    """Send the same request again and again, with new ids."""
    ends_at = asyncio.get_running_loop().time() + seconds
    number = 0
    while asyncio.get_running_loop().time() < ends_at:
        number += 1
        request_id = f'{process.settings.name}-{number}'
        request = helpers.make_request('/balance/x', request_id)
        await helpers.send_request(process, request)


def _is_run(platform, process):
    """Tell whether a server runs a request that a node has received."""
    return any(
        run.ended_at is None
        and run.request_id.startswith(process.settings.name)
        for run in platform.trace.runs
    )


@pytest.mark.parametrize(
    'cut_names',
    [
        pytest.param(('n1',), id='one node'),
        pytest.param(('n1', 'n3'), id='half of the nodes'),
        pytest.param(('n1', 'n2'), id='a data centre'),
    ],
)
def test_cut_path_was_taken_for_the_end_of_servers(monkeypatch, cut_names):
    """Each cut breaks off the same request, at two of two servers."""

    async def scenario():
        async with test_lost_paths.open_fleet(monkeypatch, FOUR) as (
            platform,
            nodes,
        ):
            verdicts = []
            for process in nodes:
                process.relay.crash_reporter.on_verdict = (
                    lambda record, verdict, parts: verdicts.append(verdict)
                )
            for server in platform.services.values():
                server.processing_time = 0.1
            cut_nodes = [
                process
                for process in nodes
                if process.settings.name in cut_names
            ]
            tasks = [
                asyncio.ensure_future(_repeat(process, 1.2 * CUTS + 0.5))
                for process in nodes
                for _ in range(3)
            ]
            for _ in range(CUTS):
                await asyncio.sleep(0.6)
                # The requests of a node go in step, so that there are
                # moments without any.
                await helpers.wait_until(
                    lambda: all(
                        _is_run(platform, process) for process in cut_nodes
                    )
                )
                for process in cut_nodes:
                    paths.cut_paths(process, paths.RESET)
                await asyncio.sleep(0.6)
                for process in cut_nodes:
                    paths.heal_paths(process)
            await asyncio.gather(*tasks)
            return verdicts

    verdicts = asyncio.run(scenario())
    assert relay.EndVerdict.REACHED in verdicts
    assert relay.EndVerdict.ENDED not in verdicts
