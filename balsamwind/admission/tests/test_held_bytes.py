"""Who gets room for a body, and who loses it."""

import pytest

from balsamwind import admission
from balsamwind.admission import _held_bytes

CAPACITY = 8 << 20
LARGE = 1 << 20
MOST_LARGE = int(CAPACITY * _held_bytes.LARGE_BODY_SHARE) // LARGE


class _Body:
    """A body that is being read, and whether it was dropped."""

    def __init__(self, account, now=0.0):
        self._account = account
        self.dropped = False
        self.holding = account.open(self._drop, now)

    def _drop(self):
        self.dropped = True

    def reserve(self, size, now=0.0):
        return self._account.reserve(self.holding, size, now)


def _fill(account, now=0.0):
    bodies = [_Body(account, now) for _ in range(MOST_LARGE)]
    assert all(body.reserve(LARGE, now) for body in bodies)
    return bodies


def test_large_bodies_leave_room_to_small_ones():
    account = admission.HeldBytes(CAPACITY)
    _fill(account)
    assert not _Body(account).reserve(LARGE)
    assert _Body(account).reserve(_held_bytes.SMALL_BODY)


@pytest.mark.parametrize('size', [CAPACITY, 2 * CAPACITY])
def test_single_body_always_finds_room(size):
    account = admission.HeldBytes(CAPACITY)
    assert _Body(account).reserve(size)
    assert not _Body(account).reserve(LARGE)


def test_sender_that_does_not_come_on_loses_its_room():
    account = admission.HeldBytes(CAPACITY)
    bodies = _fill(account)
    for body in bodies[1:]:
        body.holding.record_received(LARGE // 2, 2.0)
    assert _Body(account, 2.0).reserve(LARGE, 2.0)
    assert [body.dropped for body in bodies] == [True] + [False] * (
        MOST_LARGE - 1
    )


def test_sender_that_drips_loses_its_room():
    account = admission.HeldBytes(CAPACITY)
    bodies = _fill(account)
    for body in bodies:
        body.holding.record_received(LARGE - 100, 1.0)
    for step in range(10):
        for body in bodies:
            body.holding.record_received(LARGE - 99 + step, 1.2 + step / 5)
    assert _Body(account, 3.2).reserve(LARGE, 3.2)
    assert sum(body.dropped for body in bodies) == 1


def test_slow_sender_keeps_its_room_while_nobody_needs_it():
    account = admission.HeldBytes(CAPACITY)
    slow = _Body(account)
    assert slow.reserve(LARGE)
    assert _Body(account, 60.0).reserve(LARGE, 60.0)
    assert not slow.dropped


def test_complete_body_keeps_its_room():
    account = admission.HeldBytes(CAPACITY)
    bodies = _fill(account)
    for body in bodies:
        account.complete(body.holding)
    assert not _Body(account, 60.0).reserve(LARGE, 60.0)
    account.close(bodies[0].holding)
    account.close(bodies[0].holding)
    assert _Body(account, 60.0).reserve(LARGE, 60.0)
    assert account.held == MOST_LARGE * LARGE


def test_sender_without_room_loses_its_connection_to_a_newcomer():
    account = admission.HeldBytes(CAPACITY)
    idle, busy = _Body(account), _Body(account)
    busy.holding.record_received(LARGE, 1.0)
    assert account.evict_slowest(1.0)
    assert (idle.dropped, busy.dropped) == (True, False)
    assert not account.evict_slowest(1.5)
