"""Backend servers that state how many requests they take from all nodes."""

import asyncio
import time

import pytest

from balsamwind.node.tests import helpers

RATE_LIMIT = 1.0
"""Requests that a limited engine takes from all nodes (per second)."""

WINDOW = 4.0
"""Time over which the requests of an engine are counted (seconds)."""

MAX_IN_WINDOW = 1.5 * RATE_LIMIT * WINDOW + 5.0
"""Requests that a limited engine may get within it (count)."""

NOTICE_TIME = 3.0
"""Time in which all nodes must know of a limit (seconds)."""

ONE_DATA_CENTRE = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z1'))
TWO_DATA_CENTRES = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z2'), ('n4', 'z2'))


def _find_heads(fake_platform):
    return [
        engine
        for engine in fake_platform.engines.values()
        if engine.group and engine.group['State'] == 'open'
    ]


async def _send_steadily(nodes, rate, seconds):
    """Send requests to the nodes in turn; return their answers."""
    tasks = []
    for number in range(int(rate * seconds)):
        request = helpers.make_request(request_id=f's{number}')
        process = nodes[number % len(nodes)]
        tasks.append(
            asyncio.ensure_future(helpers.send_request(process, request))
        )
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


def _count_in_worst_window(times):
    return max(
        (sum(start <= at < start + WINDOW for at in times) for start in times),
        default=0,
    )


@pytest.mark.parametrize(
    'placement',
    [
        pytest.param(ONE_DATA_CENTRE, id='one data centre'),
        pytest.param(TWO_DATA_CENTRES, id='two data centres'),
    ],
)
def test_limited_engine_gets_no_more_than_its_limit_from_all_nodes(placement):
    """Others have room, so that all requests are served."""

    async def scenario():
        async with helpers.open_fleet(placement, 8) as (fake_platform, nodes):
            limited = _find_heads(fake_platform)[:2]
            for engine in limited:
                engine.rate_limit = RATE_LIMIT
            begun_at = time.monotonic()
            answers = await _send_steadily(nodes, 25.0, NOTICE_TIME + 6.0)
            counted = [
                [
                    at
                    for at in engine.arrival_times
                    if at >= begun_at + NOTICE_TIME
                ]
                for engine in limited
            ]
            return answers, counted

    answers, counted = asyncio.run(scenario())
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    for times in counted:
        assert 1 <= _count_in_worst_window(times) <= MAX_IN_WINDOW
