"""Requests that crash each engine that begins to answer them."""

import asyncio
import contextlib

import pytest

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


@contextlib.asynccontextmanager
async def _open_fleet(placement, engines):
    """Run nodes and engines until the block ends; all groups serve."""
    data_centres = tuple(sorted({place for _, place in placement}))
    async with (
        helpers.open_platform(0) as fake_platform,
        contextlib.AsyncExitStack() as stack,
    ):
        fake_platform.deadly_parts.add(DEADLY)
        for number in range(engines):
            place = data_centres[number % len(data_centres)]
            fake_platform.add_engine(f'e{number}', 'llm', place, f'd{place}')
        nodes = [
            await stack.enter_async_context(
                helpers.open_node(
                    fake_platform,
                    name,
                    data_centre=place,
                    data_centres=data_centres,
                )
            )
            for name, place in placement
        ]
        for process in nodes:
            await helpers.wait_until(
                lambda process=process: (
                    helpers.count_serving_groups(process) == engines // 2
                )
            )
        yield fake_platform, nodes


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
        async with _open_fleet(placement, 16) as (fake_platform, nodes):
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
        async with _open_fleet(ONE_DATA_CENTRE, 16) as (fake_platform, nodes):
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
