"""Backend servers that say in their answers that they are leaving."""

import asyncio
import contextlib

import pytest

from balsamwind.node import _updates
from balsamwind.node.tests import helpers

PLACEMENT = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z1'))


def _ignore(server_id, born):
    """Stand in for the report of a leaving server."""


@contextlib.asynccontextmanager
async def _open_fleet(engines=6):
    async with helpers.open_fleet(PLACEMENT, engines) as (platform, nodes):
        for process in nodes:
            # Only answers to requests tell, not those to probes.
            process.platform.on_server_leaving = _ignore
        await helpers.wait_until(nodes[2].subscriber.has_fresh_servers)
        yield platform, nodes


def _find_backend(process, server_id):
    for backend in helpers.find_serving_backends(process):
        if backend.record.server_id == server_id:
            return backend
    return None


async def _send_until_served(process, engine):
    """Send requests until the engine has answered one."""
    for number in range(60):
        before = len(engine.served_headers)
        request = helpers.make_request(request_id=f'x{number}')
        answer = await helpers.send_request(process, request)
        if len(engine.served_headers) > before:
            return answer
    raise AssertionError('the engine was never chosen')


@pytest.mark.parametrize('reader', [0, 2])
def test_leaving_engine_gets_no_new_request_at_any_node(reader):
    """Its entry still says that it is ready, also when it is written anew."""

    async def scenario():
        async with _open_fleet() as (fake_platform, nodes):
            engine = helpers.find_open_head(fake_platform)
            engine.leaving = True
            answer = await _send_until_served(nodes[reader], engine)
            gone_here = _find_backend(nodes[reader], engine.server_id) is None
            for process in nodes:
                await helpers.wait_until(
                    lambda process=process: (
                        _find_backend(process, engine.server_id) is None
                    )
                )
            served = len(engine.served_headers)
            engine.slot_count += 1
            engine.write_entry()
            await asyncio.sleep(1.5)
            for number in range(30):
                request = helpers.make_request(request_id=f'y{number}')
                await helpers.send_request(nodes[number % 3], request)
            return answer, gone_here, len(engine.served_headers) - served

    answer, gone_here, more = asyncio.run(scenario())
    assert answer.endswith(b'0\r\n\r\n')
    assert gone_here
    assert more == 0


def test_engine_that_started_again_is_used_again():
    async def scenario():
        async with _open_fleet() as (fake_platform, nodes):
            engine = helpers.find_open_head(fake_platform)
            engine.leaving = True
            await _send_until_served(nodes[0], engine)
            engine.restart()
            await helpers.wait_until(
                lambda: nodes[0].registry.get(engine.server_id).usable
            )
            return engine.leaving

    assert asyncio.run(scenario()) is False


def test_message_of_a_leaving_server_is_encoded():
    message = _updates.ServerLeaving('e1', 1700000000000)
    assert _updates.decode_frame(_updates.encode_frame(message)) == message
