"""Attempts beside silent ones that had not been sent yet, and who pays."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind.relay.tests import forwarding
from balsamwind.relay.tests import test_two_attempts

CONNECT_TIME = 1.2
"""Time that the first connection takes, longer than a silence (seconds)."""


class _SlowClient(adapters.HttpClient):
    """Client whose first connection is opened late."""

    def __init__(self):
        super().__init__()
        self._is_first = True

    async def _connect(self, parts, endpoint, timeout):
        if self._is_first:
            self._is_first = False
            await asyncio.sleep(CONNECT_TIME)
        return await super()._connect(parts, endpoint, timeout)


@pytest.fixture(autouse=True)
def _expect_first_events_soon(monkeypatch):
    test_two_attempts.expect_first_events_soon(monkeypatch)


@pytest.mark.parametrize('has_budget', [True, False])
def test_request_was_sent_twice_and_nobody_had_paid(has_budget):
    """The connection of a silent attempt opens after another was sent."""
    paid, counted = [], []

    def pay(now):
        if has_budget:
            paid.append(now)
        return has_budget

    def set_up(fake_relay):
        fake_relay.try_consume = pay
        fake_relay.request_log.record_repeats = lambda service, repeats: (
            counted.append(repeats)
        )

    scripts = [[forwarding.SILENCE], [forwarding.SILENCE]]
    _, engine, _ = asyncio.run(
        forwarding.forward(
            scripts,
            max_attempts=2,
            client=_SlowClient(),
            placement=test_two_attempts.Placement(),
            on_relay=set_up,
        )
    )
    (repeats,) = counted
    assert repeats.by_payment['unpaid'] == 0
    assert engine.requests == 1 + len(paid)
