"""Requests that crash each engine that begins to answer them."""

import asyncio

import pytest

from balsamwind.node import _evidence_records
from balsamwind.node.tests import helpers

DEADLY = 'dead01'
"""Id of the prompt part that crashes engines."""

MAX_CRASHES = 5
"""Crashes after which all nodes must know the part (count)."""

MAX_LATER_CRASHES = 3
"""Crashes that are allowed after that (count)."""

ONE_DATA_CENTRE = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z1'))
TWO_DATA_CENTRES = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z2'), ('n4', 'z2'))


def _make_request(number, *parts):
    prefix = ','.join(f'{part}:40' for part in (*parts, f'own{number}'))
    return helpers.make_request(
        request_id=f'r{number}',
        extra=f'X-Balsamwind-Prompt-Prefix: {prefix}\r\n',
    )


def _is_whole(answer):
    return answer.startswith(b'HTTP/1.1 200') and answer.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize(
    'placement',
    [
        pytest.param(ONE_DATA_CENTRE, id='one data centre'),
        pytest.param(TWO_DATA_CENTRES, id='two data centres'),
    ],
)
def test_deadly_part_does_not_crash_one_engine_after_the_other(placement):
    """No two deadly requests share another part, and all nodes get some."""

    async def scenario():
        async with helpers.open_fleet(placement, 16) as (
            fake_platform,
            nodes,
        ):
            fake_platform.deadly_parts.add(DEADLY)
            for number in range(24):
                process = nodes[number % len(nodes)]
                request = _make_request(number, f'a{number}', DEADLY)
                await helpers.send_request(process, request)
                await asyncio.sleep(0.1)
            return len(fake_platform.crashes)

    assert asyncio.run(scenario()) <= MAX_CRASHES + MAX_LATER_CRASHES


def test_sound_requests_of_the_same_first_part_are_served_meanwhile():
    """The part that deadly and sound requests share is not to blame."""

    async def scenario():
        async with helpers.open_fleet(ONE_DATA_CENTRE, 16) as (
            fake_platform,
            nodes,
        ):
            fake_platform.deadly_parts.add(DEADLY)
            served = []
            for number in range(24):
                process = nodes[number % len(nodes)]
                deadly = _make_request(number, 'shared', DEADLY)
                await helpers.send_request(process, deadly)
                sound = _make_request(100 + number, 'shared')
                answer = await helpers.send_request(process, sound)
                served.append(_is_whole(answer))
                await asyncio.sleep(0.1)
            return served

    served = asyncio.run(scenario())
    assert sum(served[8:]) >= 0.5 * len(served[8:])


@pytest.mark.parametrize('data_centre', ['z1', 'z2'])
def test_node_that_starts_later_knows_the_deadly_part(data_centre):
    """What was withdrawn from use is not in use again after a restart."""

    async def scenario():
        async with helpers.open_fleet(TWO_DATA_CENTRES, 16) as (
            fake_platform,
            nodes,
        ):
            fake_platform.deadly_parts.add(DEADLY)
            for number in range(8):
                request = _make_request(number, f'a{number}', DEADLY)
                await helpers.send_request(nodes[0], request)
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            crashes = len(fake_platform.crashes)
            async with helpers.open_node(
                fake_platform,
                'n9',
                data_centre=data_centre,
                data_centres=('z1', 'z2'),
            ) as process:
                await helpers.wait_until(
                    lambda: helpers.count_serving_groups(process) > 0
                )
                request = _make_request(99, 'a99', DEADLY)
                answer = await helpers.send_request(process, request)
            return crashes, len(fake_platform.crashes), answer

    before, after, answer = asyncio.run(scenario())
    assert 0 < before <= MAX_CRASHES + MAX_LATER_CRASHES
    assert after == before
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


def test_malformed_evidence_in_the_store_is_read_as_empty():
    async def scenario():
        async with helpers.open_platform(2) as fake_platform:
            fake_platform.store.put(
                _evidence_records.KIND, 'z2', {'reports': 7}
            )
            async with helpers.open_node(fake_platform) as process:
                await helpers.wait_until(
                    lambda: helpers.count_serving_groups(process) == 1
                )
                request = _make_request(1, 'a')
                return await helpers.send_request(process, request)

    assert _is_whole(asyncio.run(scenario()))
