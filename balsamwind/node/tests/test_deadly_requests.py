"""Requests that crash each server that runs them, repeated by their caller."""

import asyncio
import copy
import time

import pytest

from balsamwind.node.tests import helpers

DEADLY = b'deadly'
"""Body that crashes the servers that run it."""

NOTICE_TIME = 3.0
"""Time after the third crash in which all nodes must know the request
(seconds)."""

MAX_LATER_REPEATS = 3
"""Repeats that may reach servers after that (count)."""

PLAIN_ROUTE = {
    'Name': 'balance',
    'Host': 'a.example',
    'PathPrefix': '/balance/',
    'Kind': 'idempotent',
    'TimeoutMs': 600,
    'SloMs': 125,
    'Service': 'ledger',
    'MaxAttempts': 2,
}

ONE_DATA_CENTRE = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z1'))
TWO_DATA_CENTRES = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z2'), ('n4', 'z2'))


def _make_configuration():
    configuration = copy.deepcopy(helpers.CONFIGURATION)
    configuration['Routes'].append(PLAIN_ROUTE)
    configuration['Services'].append({'Name': 'ledger'})
    return configuration


def make_request(path, number, body=b'hi'):
    head = helpers.make_request(path, f'{number}').split(b'Content-Length')[0]
    return head + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)


async def _send_deadly_repeats(nodes, path, seconds, interval=0.25):
    """Repeat the deadly request at one node after the other."""
    ends_at = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends_at:
        request = make_request(path, f'd{number}', DEADLY)
        await helpers.send_request(nodes[number % len(nodes)], request)
        number += 1
        await asyncio.sleep(interval)


async def _send_sound(nodes, path, seconds, interval=0.05):
    """Send sound requests, no two alike; return when each was served."""
    ends_at = time.monotonic() + seconds
    tasks = []
    while time.monotonic() < ends_at:
        number = len(tasks)
        request = make_request(path, f's{number}', b'sound%d' % number)
        tasks.append(
            asyncio.ensure_future(
                helpers.send_request(nodes[number % len(nodes)], request)
            )
        )
        await asyncio.sleep(interval)
    return await asyncio.gather(*tasks)


def _is_success(answer):
    return answer.startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    ('path', 'fleet'),
    [
        pytest.param('/balance/x', {'servers': 3}, id='plain service'),
        pytest.param('/ask/x', {'engines': 12}, id='model engines'),
    ],
)
@pytest.mark.parametrize(
    'placement',
    [
        pytest.param(ONE_DATA_CENTRE, id='one data centre'),
        pytest.param(TWO_DATA_CENTRES, id='two data centres'),
    ],
)
def test_deadly_request_does_not_crash_server_after_server(
    path, fleet, placement
):
    """Sound requests, of the same caller and path, are served meanwhile."""

    async def scenario():
        async with helpers.open_fleet(
            placement, **fleet, configuration=_make_configuration()
        ) as (fake_platform, nodes):
            fake_platform.deadly_bodies.add(DEADLY)
            answers, _ = await asyncio.gather(
                _send_sound(nodes, path, 8.0),
                _send_deadly_repeats(nodes, path, 8.0),
            )
            return answers, list(fake_platform.deadly_arrivals)

    answers, arrivals = asyncio.run(scenario())
    assert arrivals
    if len(arrivals) >= 3:
        noticed_at = arrivals[2] + NOTICE_TIME
        later = sum(at > noticed_at for at in arrivals)
        assert later <= MAX_LATER_REPEATS
    half = answers[len(answers) // 2 :]
    assert sum(map(_is_success, half)) >= 0.9 * len(half)
