"""Watches of the store, with a scripted client of the platform."""

import asyncio

import pytest

from balsamwind import exceptions
from balsamwind.node import _configuration_updater
from balsamwind.node import _configuration_watcher
from balsamwind.node import _store_availability
from balsamwind.node.tests import doubles
from balsamwind import traffic


def _configuration(version):
    return traffic.Configuration(version, (), ())


class _ScriptedPlatform:
    """Answers reads and watches from a script, then ends the watcher."""

    def __init__(self, clock, script):
        self._clock = clock
        self._script = list(script)
        self.calls = []

    async def _next(self, name):
        self.calls.append(name)
        if not self._script:
            raise asyncio.CancelledError
        expected, duration, result = self._script.pop(0)
        assert expected == name
        self._clock.now += duration
        if isinstance(result, Exception):
            raise result
        return result

    async def read_configuration(self, timeout):
        return await self._next('read')

    async def watch_configuration(self, since, wait, timeout):
        return await self._next('watch')


class _FakeSubscriber:
    """Fake of `UpdateSubscriber`; without a publisher by default."""

    def __init__(self, is_subscribed=False, newest_version=0):
        self.is_subscribed = is_subscribed
        self.newest_version = newest_version
        self.configuration_cache = None
        self.max_proof_age = 3.0
        self.reads_store_first = True

    def is_starting(self):
        return False

    def has_fresh_servers(self):
        return self.is_subscribed

    def knows_newer_version(self):
        return self.newest_version > self.configuration_cache.version

    def has_fresh_proof(self):
        return (
            self.is_subscribed
            and self.newest_version == self.configuration_cache.version
        )


class _Publisher:
    """Publisher without subscribers."""

    def publish_proof(self, revision, proved_at):
        pass

    def publish_configuration(
        self, previous, configuration, revision, proved_at
    ):
        pass


def _run_watcher(script, monkeypatch, subscriber=None):
    subscriber = subscriber or _FakeSubscriber()
    monkeypatch.setattr(_store_availability, 'PUBLISHER_CHECK_INTERVAL', 0.0)
    monkeypatch.setattr(_configuration_watcher, 'SETTLE_INTERVAL', 0.0)
    monkeypatch.setattr(_store_availability, 'RETRY_INTERVAL', 0.0)
    clock = doubles.Clock()
    configuration_cache = traffic.ConfigurationCache(4.0)
    scripted_platform = _ScriptedPlatform(clock, script)
    subscriber.configuration_cache = configuration_cache
    updater = _configuration_updater.ConfigurationUpdater(
        configuration_cache, _Publisher(), doubles.Log(), lambda: None
    )
    watcher = _configuration_watcher.ConfigurationWatcher(
        scripted_platform, updater, clock, doubles.Log(), subscriber
    )

    async def run():
        with pytest.raises(asyncio.CancelledError):
            await watcher.run()

    asyncio.run(run())
    return configuration_cache, clock, scripted_platform.calls


FIRST = [
    ('read', 0.1, (5, _configuration(1))),
    ('read', 0.1, (5, _configuration(1))),
]


def test_proof_of_a_watch_without_changes_dates_from_its_start(monkeypatch):
    configuration_cache, clock, _ = _run_watcher(
        [*FIRST, ('watch', 1.0, (5, None))], monkeypatch
    )
    assert configuration_cache.version == 1
    assert configuration_cache.get_proof_age(clock.now) == pytest.approx(1.0)


def test_quick_changes_are_read_and_not_watched(monkeypatch):
    configuration_cache, _, calls = _run_watcher(
        [
            *FIRST,
            ('watch', 0.1, (6, _configuration(2))),
            ('read', 0.1, (9, _configuration(5))),
            ('read', 0.1, (12, _configuration(8))),
            ('read', 0.1, (12, _configuration(8))),
        ],
        monkeypatch,
    )
    assert configuration_cache.version == 8
    assert calls[-4:] == ['read', 'read', 'read', 'watch']


def test_subscriber_reads_each_version_once(monkeypatch):
    """Versions that follow each other quickly do not make it start a watch."""
    subscriber = _FakeSubscriber(is_subscribed=True, newest_version=1)

    async def read(self, timeout):
        # Each of the first three reads is overtaken by a newer version.
        response = await _ScriptedPlatform._next(self, 'read')
        subscriber.newest_version = min(subscriber.newest_version + 1, 4)
        return response

    monkeypatch.setattr(_ScriptedPlatform, 'read_configuration', read)
    script = [
        ('read', 0.1, (5 + version, _configuration(version)))
        for version in (1, 2, 3, 4)
    ]
    subscriber_with_end = _stop_at_fresh_proof(subscriber)
    configuration_cache, _, calls = _run_watcher(
        script, monkeypatch, subscriber_with_end
    )
    assert configuration_cache.version == 4
    assert calls == ['read'] * 4


def _stop_at_fresh_proof(subscriber):
    """End the watcher when the publisher proves the version in force."""
    original = subscriber.has_fresh_proof

    def has_fresh_proof():
        if original():
            raise asyncio.CancelledError
        return False

    subscriber.has_fresh_proof = has_fresh_proof
    return subscriber


@pytest.mark.parametrize(
    'error',
    [exceptions.HistoryGone('gone'), exceptions.StoreError('silent')],
)
def test_failed_watch_is_followed_by_a_read_and_proves_nothing(
    monkeypatch, error
):
    configuration_cache, clock, calls = _run_watcher(
        [*FIRST, ('watch', 2.0, error)], monkeypatch
    )
    assert calls[-1] == 'read'
    assert configuration_cache.get_proof_age(clock.now) == pytest.approx(2.1)


def test_older_version_is_not_applied(monkeypatch):
    configuration_cache, _, _ = _run_watcher(
        [
            ('read', 0.1, (5, _configuration(4))),
            ('read', 0.1, (5, _configuration(3))),
        ],
        monkeypatch,
    )
    assert configuration_cache.version == 4


def test_indirect_answers_count_as_contact_with_the_store():
    """A node that stops subscribing keeps no entries as after an outage."""
    clock = doubles.Clock()
    availability = _store_availability.StoreAvailability(
        'servers', clock, doubles.Log()
    )
    for _ in range(20):
        clock.now += 1.0
        availability.record_indirect_answer()
    clock.now += 0.5
    assert availability.record_answer() == pytest.approx(0.5)
