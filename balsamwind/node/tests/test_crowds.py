"""Crowds of clients that we don't control, against a real process."""

import asyncio

import pytest

from balsamwind.node.tests import crowds


def _check(name, status, is_alive, usage):
    print(name, status, is_alive, usage)
    assert is_alive
    assert usage.memory <= crowds.MAX_MEMORY
    assert usage.descriptors <= crowds.MAX_DESCRIPTORS
    assert status == 200


@pytest.mark.parametrize(
    ('play', 'count'),
    [
        (crowds.stop_before_the_last_byte, crowds.CROWD),
        (crowds.send_whole_bodies, crowds.CROWD),
        (crowds.stop_before_the_last_chunk, crowds.CROWD),
        (crowds.send_far_too_much, crowds.CROWD),
        (crowds.announce_too_much, crowds.CROWD),
        (crowds.drip_the_end, crowds.CROWD),
        (crowds.send_tiny_chunks, crowds.CROWD),
        (crowds.leave_the_head_open, 400),
    ],
    ids=lambda value: getattr(value, '__name__', None),
)
def test_crowd_ended_a_process(tmp_path, play, count):
    async def scenario():
        async with crowds.open_node_process(tmp_path, 1.0) as (node, _):
            await crowds.run_crowd(node, play, count)
            return await node.send_ordinary(), node.is_alive, node.usage

    _check(play.__name__, *asyncio.run(scenario()))


@pytest.mark.parametrize('page', crowds.PAGE_PORTS)
def test_crowd_at_a_page_for_operators_ended_a_process(tmp_path, page):
    async def scenario():
        async with crowds.open_node_process(tmp_path) as (node, _):
            await crowds.run_crowd(
                node,
                crowds.stop_before_the_last_byte,
                port=crowds.PAGE_PORTS[page],
            )
            return await node.send_ordinary(), node.is_alive, node.usage

    _check(page, *asyncio.run(scenario()))


def test_single_body_of_the_largest_size_is_served_in_calm(tmp_path):
    async def scenario():
        async with crowds.open_node_process(tmp_path) as (node, _):
            head = crowds.make_head('/once/x', crowds.LENGTH)
            chunked = crowds.make_head('/once/x', crowds.CHUNKED)
            chunks = crowds.make_chunk(crowds.BODY) + b'0\r\n\r\n'
            return [
                await node.send(head + crowds.BODY),
                await node.send(chunked + chunks),
            ]

    assert asyncio.run(scenario()) == [200, 200]


SERVER_CROWD = 40
"""Requests at a faulty server at the same time (count)."""


@pytest.mark.parametrize('name', crowds.ENDLESS_ANSWERS)
def test_answer_without_end_ended_a_process(tmp_path, name):
    async def scenario():
        answer = crowds.ENDLESS_ANSWERS[name]
        async with (
            crowds.open_endless_server(*answer) as address,
            crowds.open_node_process(tmp_path, 0.0, address) as (node, _),
        ):
            await crowds.run_crowd(
                node, crowds.ask_without_reading, SERVER_CROWD
            )
            return await node.send_ordinary(), node.is_alive, node.usage

    _check(name, *asyncio.run(scenario()))
