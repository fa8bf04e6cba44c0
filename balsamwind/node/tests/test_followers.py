"""Loops that follow the store, with a scripted platform."""

import asyncio

import pytest

from balsamwind import exceptions
from balsamwind.node import _followers
from balsamwind.node.tests import doubles
from balsamwind import traffic


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


class _News:
    """What a source says; by default there is none."""

    def __init__(self, listens=False, newest=0):
        self.listens = listens
        self.newest = newest
        self.book = None

    def has_servers(self):
        return self.listens

    def is_behind(self):
        return self.newest > self.book.version

    def has_proof(self):
        return self.listens and self.newest == self.book.version


def _follow(script, monkeypatch, news=None):
    news = news or _News()
    monkeypatch.setattr(_followers, 'NEWS_PAUSE', 0.0)
    monkeypatch.setattr(_followers, 'STORM_PAUSE', 0.0)
    monkeypatch.setattr(_followers, 'RETRY_INTERVAL', 0.0)
    clock = doubles.Clock()
    book = traffic.ConfigurationBook(4.0)
    outside = _Outside(clock, script)
    news.book = book
    follower = _followers.ConfigurationFollower(
        outside, book, clock, doubles.Log(), lambda: None, news
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


def test_listener_reads_each_version_once(monkeypatch):
    """Also when versions come quickly; it does not watch beside its source."""
    news = _News(listens=True, newest=1)

    async def read(self, timeout):
        # The next version comes while this one is read, three times.
        found = await _Outside._next(self, 'read')
        news.newest = min(news.newest + 1, 4)
        return found

    monkeypatch.setattr(_Outside, 'read_configuration', read)
    script = [
        ('read', 0.1, (5 + version, _configuration(version)))
        for version in (1, 2, 3, 4)
    ]
    clock_end = _stop_when_proved(news)
    book, _, calls = _follow(script, monkeypatch, clock_end)
    assert book.version == 4
    assert calls == ['read'] * 4


def _stop_when_proved(news):
    """End the follower once it is content with its source."""
    proved = news.has_proof

    def has_proof():
        if proved():
            raise asyncio.CancelledError
        return False

    news.has_proof = has_proof
    return news


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
    clock = doubles.Clock()
    contact = _followers.StoreContact('servers', clock, doubles.Log())
    for _ in range(20):
        clock.now += 1.0
        contact.note_other_way()
    clock.now += 0.5
    assert contact.note_answer() == pytest.approx(0.5)
