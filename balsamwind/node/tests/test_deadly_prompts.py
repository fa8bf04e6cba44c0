"""Requests that crash each engine that begins to answer them."""

import asyncio

import pytest

from balsamwind import exceptions
from balsamwind.node import _evidence_exchange
from balsamwind.node import _evidence_records
from balsamwind.node import _node_records
from balsamwind.node.tests import helpers
from standins import pool as pool_standin

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


@pytest.mark.parametrize(
    'failed_reads',
    [
        pytest.param(0, id='the list of nodes is read at once'),
        pytest.param(2, id='the list of nodes is read at the third try'),
    ],
)
def test_node_that_had_just_started_did_not_know_the_part_yet(
    monkeypatch, failed_reads
):
    """It has servers and a configuration before it is told what is held."""
    start = _evidence_exchange.EvidenceExchange.start
    list_nodes = _node_records.NodeRecords.list
    failures = iter(range(failed_reads))

    def start_late(exchange):
        asyncio.get_running_loop().call_later(0.5, start, exchange)

    async def find_nothing(records, timeout):
        raise exceptions.StoreError('no answer')

    async def list_nodes_late(records, *args, **options):
        if next(failures, None) is not None:
            raise exceptions.StoreError('no answer')
        return await list_nodes(records, *args, **options)

    async def scenario():
        async with helpers.open_fleet(ONE_DATA_CENTRE, 16) as (
            fake_platform,
            nodes,
        ):
            fake_platform.deadly_parts.add(DEADLY)
            await _send_deadly(nodes, 8, 0.1, 0)
            crashes = len(fake_platform.crashes)
            await asyncio.sleep(1.5)
            monkeypatch.setattr(
                _evidence_exchange.EvidenceExchange, 'start', start_late
            )
            monkeypatch.setattr(
                _evidence_records.EvidenceRecords, 'list', find_nothing
            )
            monkeypatch.setattr(
                _node_records.NodeRecords, 'list', list_nodes_late
            )
            async with helpers.open_node(fake_platform, 'n9') as process:
                await helpers.wait_until(
                    lambda: helpers.count_serving_groups(process) > 0
                )
                answer = await helpers.send_request(
                    process, _make_request(99, 'a99', DEADLY)
                )
            return crashes, len(fake_platform.crashes), answer

    before, after, answer = asyncio.run(scenario())
    assert after == before
    assert answer.startswith(b'HTTP/1.1 503')


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


NOTICE_TIME = 3.0
"""Time after the fifth crash in which all nodes must know the part
(seconds)."""

MAX_LATE_TRIES = 3
"""Tries with the part that may begin after that (count)."""


async def _send_deadly(nodes, count, interval, own_parts):
    tasks = []
    for number in range(count):
        own = [f'p{number}x{index}' for index in range(own_parts)]
        request = _make_request(number, *own, DEADLY)
        process = nodes[number % len(nodes)]
        tasks.append(
            asyncio.ensure_future(helpers.send_request(process, request))
        )
        await asyncio.sleep(interval)
    await asyncio.gather(*tasks)


async def _crash_others(fake_platform, interval):
    """Let two engines crash for reasons of their own, again and again."""
    while True:
        await asyncio.sleep(interval)
        heads = [
            engine
            for engine in fake_platform.engines.values()
            if engine.group and engine.group['State'] == 'open'
        ]
        for engine in heads[:2]:
            fake_platform.crash_server(engine)


def _count_late_tries(fake_platform):
    crashes = fake_platform.deadly_crashes
    if len(crashes) < MAX_CRASHES:
        return 0
    noticed_at = crashes[MAX_CRASHES - 1] + NOTICE_TIME
    return sum(at > noticed_at for at in fake_platform.deadly_arrivals)


@pytest.mark.parametrize(
    ('ending', 'event_count', 'own_parts', 'crash_interval'),
    [
        pytest.param(
            pool_standin.DeadlyEnding((0.2, 0.6), random_state=1),
            40,
            0,
            None,
            id='some time after its first event',
        ),
        pytest.param(
            pool_standin.DeadlyEnding((0.0, 0.1), (0.3, 0.9), random_state=1),
            40,
            0,
            None,
            id='after a silence',
        ),
        pytest.param(
            pool_standin.DeadlyEnding((0.2, 0.6), random_state=1),
            18,
            0,
            None,
            id='unless the answer is short enough',
        ),
        pytest.param(
            pool_standin.DeadlyEnding((0.2, 0.6), random_state=1),
            40,
            5,
            2.0,
            id='beside other crashes',
        ),
    ],
)
def test_part_that_crashes_engines_late_was_never_quarantined(
    ending, event_count, own_parts, crash_interval
):
    """Each answer ends its engine, but not right at its beginning."""

    async def scenario():
        async with helpers.open_fleet(ONE_DATA_CENTRE, 16) as (
            fake_platform,
            nodes,
        ):
            for engine in fake_platform.engines.values():
                engine.event_count = event_count
                engine.event_interval = 0.02
            fake_platform.deadly_parts.add(DEADLY)
            fake_platform.deadly_ending = ending
            async with asyncio.TaskGroup() as tasks:
                if crash_interval is not None:
                    others = tasks.create_task(
                        _crash_others(fake_platform, crash_interval)
                    )
                await _send_deadly(nodes, 32, 0.5, own_parts)
                if crash_interval is not None:
                    others.cancel()
            return fake_platform

    fake_platform = asyncio.run(scenario())
    print(
        f'{len(fake_platform.deadly_crashes)} crashes,'
        f' {len(fake_platform.deadly_arrivals)} tries'
    )
    assert _count_late_tries(fake_platform) <= MAX_LATE_TRIES
