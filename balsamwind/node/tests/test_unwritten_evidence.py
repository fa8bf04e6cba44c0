"""Evidence of crashes that only other nodes than the publisher are left with.

A node that has a publisher writes nothing to the store; its publisher may be
killed, or turned away by the store, before it has written what it was told.
"""

import asyncio
import types

import pytest

from balsamwind import exceptions
from balsamwind.node import _evidence_exchange
from balsamwind.node.tests import doubles
from balsamwind import relay
from balsamwind import replay

PART = 'sys:1'

TAKE_OVER_TIME = 1.5
"""Time within which the next publisher writes the evidence (seconds)."""


class _Records:
    """Evidence in the store, as one node reaches it."""

    def __init__(self, stored):
        self._stored = stored
        self.is_refused = False
        self.reads = 0

    async def _call(self):
        await asyncio.sleep(0.004)
        if self.is_refused:
            raise exceptions.StoreError('refused')

    async def list(self, timeout):
        await self._call()
        return 1, list(self._stored.values())

    async def watch(self, since, wait, timeout):
        await self._call()
        await asyncio.sleep(wait)
        return since, []

    async def read(self, data_centre, timeout):
        self.reads += 1
        await self._call()
        return 1, self._stored.get(data_centre, relay.CrashEvidence())

    async def write(self, data_centre, evidence, revision, timeout):
        await self._call()
        self._stored[data_centre] = evidence


class _Node:
    """Exchange of one node, which tells the nodes that subscribe to it."""

    def __init__(self, stored, clock):
        self.records = _Records(stored)
        self.has_publisher = False
        self.subscribers = []
        self.publishers = []
        self.quarantine = relay.CrashQuarantine('z1')
        self._clock = clock
        self.exchange = _evidence_exchange.EvidenceExchange(
            'z1',
            self.quarantine,
            self.records,
            types.SimpleNamespace(
                broadcast=lambda news: self._tell(self.subscribers, news)
            ),
            types.SimpleNamespace(
                send=lambda news: self._tell(self.publishers, news)
            ),
            lambda: self.has_publisher,
            clock,
            doubles.Log(),
        )

    def _tell(self, nodes, news):
        for node in nodes:
            node.exchange.receive(news)

    def record_crash(self, crash):
        self.exchange.share(
            self.quarantine.record_crash(
                crash, 'llm', (PART,), 0.1, self._clock.monotonic()
            )
        )

    def record_answers(self):
        for _ in range(20):
            self.exchange.share(
                self.quarantine.record_answer(
                    'llm', (PART,), 1.0, self._clock.monotonic()
                )
            )


async def _play(clock, is_killed, evidence):
    stored = {}
    first, second = _Node(stored, clock), _Node(stored, clock)
    first.subscribers.append(second)
    second.publishers.append(first)
    second.has_publisher = True
    tasks = [
        asyncio.ensure_future(node.exchange.run()) for node in (first, second)
    ]
    if evidence == 'sound part':
        first.record_crash('c1')
        await asyncio.sleep(1.0)
    first.records.is_refused = True
    if evidence == 'sound part':
        second.record_answers()
    else:
        second.record_crash('c1')
    await asyncio.sleep(1.0)
    if is_killed:
        tasks[0].cancel()
    second.publishers.clear()
    second.has_publisher = False
    await asyncio.sleep(TAKE_OVER_TIME)
    reads = second.records.reads
    await asyncio.sleep(10.0)
    for task in tasks:
        task.cancel()
    return stored.get('z1', relay.CrashEvidence()), reads, second


@pytest.mark.parametrize('is_killed', [True, False])
@pytest.mark.parametrize('evidence', ['crash', 'sound part'])
def test_evidence_was_lost_with_the_publisher_that_was_to_write_it(
    is_killed, evidence
):
    with replay.open_virtual_loop() as loop:
        clock = replay.VirtualClock(loop, 100.0)
        written, reads, second = loop.run_until_complete(
            _play(clock, is_killed, evidence)
        )
    if evidence == 'crash':
        assert [report.crash for report in written.reports] == ['c1']
    else:
        assert [item.crashes for item in written.sound] == [('c1',)]
    # It need not look again at what it has written.
    assert reads == second.records.reads == 1
