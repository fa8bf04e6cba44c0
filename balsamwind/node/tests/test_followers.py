"""Loops that follow the store, with a scripted platform."""

import asyncio
import logging

import pytest

from balsamwind import exceptions
from balsamwind.node import _followers
from balsamwind import traffic


class _Clock:
    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class _Log:
    def __getattr__(self, name):
        return lambda event, **rows: logging.info('%s %s', event, rows)


def _configuration(version):
    return traffic.Configuration(version, (), ())


class _Outside:
    """Answers reads and watches from a script, then ends the follower."""

    def __init__(self, clock, script):
        self._clock = clock
        self._script = list(script)
        self.calls = []

    async def _next(self, name):
        self.calls.append(name)
        if not self._script:
            raise asyncio.CancelledError
        expected, took, result = self._script.pop(0)
        assert expected == name
        self._clock.now += took
        if isinstance(result, Exception):
            raise result
        return result

    async def read_configuration(self, timeout):
        return await self._next('read')

    async def watch_configuration(self, since, wait, timeout):
        return await self._next('watch')


def _follow(script, monkeypatch):
    monkeypatch.setattr(_followers, 'STORM_PAUSE', 0.0)
    monkeypatch.setattr(_followers, 'RETRY_INTERVAL', 0.0)
    clock = _Clock()
    book = traffic.ConfigurationBook(4.0)
    outside = _Outside(clock, script)
    follower = _followers.ConfigurationFollower(
        outside, book, clock, _Log(), lambda: None, lambda: False
    )

    async def run():
        with pytest.raises(asyncio.CancelledError):
            await follower.run()

    asyncio.run(run())
    return book, clock, outside.calls


FIRST = [
    ('read', 0.1, (5, _configuration(1))),
    ('read', 0.1, (5, _configuration(1))),
]


def test_quiet_watch_proves_the_age_from_when_it_was_sent(monkeypatch):
    book, clock, _ = _follow([*FIRST, ('watch', 1.0, (5, None))], monkeypatch)
    assert book.version == 1
    assert book.age(clock.now) == pytest.approx(1.0)


def test_storm_is_read_instead_of_watched(monkeypatch):
    book, _, calls = _follow(
        [
            *FIRST,
            ('watch', 0.1, (6, _configuration(2))),
            ('read', 0.1, (9, _configuration(5))),
            ('read', 0.1, (12, _configuration(8))),
            ('read', 0.1, (12, _configuration(8))),
        ],
        monkeypatch,
    )
    assert book.version == 8
    assert calls[-4:] == ['read', 'read', 'read', 'watch']


@pytest.mark.parametrize(
    'error',
    [exceptions.HistoryGone('gone'), exceptions.StoreError('silent')],
)
def test_lost_watch_is_read_again_and_proves_nothing(monkeypatch, error):
    book, clock, calls = _follow([*FIRST, ('watch', 2.0, error)], monkeypatch)
    assert calls[-1] == 'read'
    assert book.age(clock.now) == pytest.approx(2.1)


def test_version_never_falls(monkeypatch):
    book, _, _ = _follow(
        [
            ('read', 0.1, (5, _configuration(4))),
            ('read', 0.1, (5, _configuration(3))),
        ],
        monkeypatch,
    )
    assert book.version == 4


def test_store_heard_through_another_node_was_not_away():
    """Entries must not be kept for long after a node stops listening."""
    clock = _Clock()
    contact = _followers.StoreContact('servers', clock, _Log())
    for _ in range(20):
        clock.now += 1.0
        contact.note_other_way()
    clock.now += 0.5
    assert contact.note_answer() == pytest.approx(0.5)
