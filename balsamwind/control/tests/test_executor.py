"""Results of writes, also when the response of the store is lost."""

import asyncio

import pytest

from balsamwind import catalogue
from balsamwind import control
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import settings


class FakeStore:
    """Store of one object that can lose a request or its response.

    Parameters
    ----------
    stored : balsamwind.objects.ObjectVersion or None
        Object that exists at the start.
    lost : str
        Whether every write fails ``before`` or ``after`` it takes effect;
        empty if none fails.
    """

    def __init__(self, stored=None, lost=''):
        self.stored = stored
        self.lost = lost
        self.revision = stored.revision if stored else 0

    async def get(self, kind, name):
        return self.stored

    async def put(self, kind, name, value, expected):
        return self._write(kind, name, value, expected)

    async def delete(self, kind, name, expected):
        return self._write(kind, name, None, expected)

    def _write(self, kind, name, value, expected):
        if self.lost == 'before':
            raise exceptions.StoreError('lost')
        if (self.stored.revision if self.stored else 0) != expected:
            raise exceptions.Conflict('conflict', self.stored)
        self.revision += 1
        written = objects.ObjectVersion(kind, name, self.revision, value)
        self.stored = None if value is None else written
        if self.lost == 'after':
            raise exceptions.StoreError('lost')
        return written


class FakeClock:
    """Clock whose time does not advance."""

    def monotonic(self):
        return 10.0


class FakeLease:
    """Lease that is either held or not at all times."""

    def __init__(self, held=True):
        self.held = held

    def holds(self, now):
        return self.held


def make_executor(store, known):
    return control.Executor(
        store,
        None,
        None,
        known,
        FakeClock(),
        settings.ControlSettings(),
        NullLog(),
    )


class NullLog:
    """Logger that discards everything."""

    def info(self, event, **values):
        pass

    warning = info


def make_claim(operation):
    return objects.Claim('v', 'g', 1, operation)


def run(store, known, decision, manager=None):
    async def carry_out():
        executor = make_executor(store, known)
        if manager is None:
            return await executor.put(decision)
        executor.start([decision], manager)
        for _ in range(10):
            await asyncio.sleep(0)
        await executor.close()

    return asyncio.run(carry_out())


@pytest.mark.parametrize(
    'value, theirs, lost, own',
    [
        (make_claim('mine'), None, '', True),
        (make_claim('mine'), None, 'after', True),
        (make_claim('mine'), None, 'before', False),
        (make_claim('mine'), make_claim('theirs'), '', False),
        (make_claim('mine'), make_claim('theirs'), 'before', False),
        (objects.Allocation('c', {'m': {'a': 1}}), None, 'after', True),
        (
            objects.Allocation('c', {'m': {'a': 1}}),
            objects.Allocation('c', {'m': {'a': 2}}),
            'before',
            False,
        ),
    ],
)
def test_put_returns_the_object_only_if_it_was_written(
    value, theirs, lost, own
):
    kind = 'claim' if isinstance(value, objects.Claim) else 'allocation'
    stored = theirs and objects.ObjectVersion(kind, 'x', 7, theirs)
    known = catalogue.ObjectCache()
    store = FakeStore(stored, lost)
    result = run(store, known, control.PutObject(kind, 'x', value, 0))
    assert (result is not None) is own
    if store.stored is not None:
        assert known.get_value(kind, 'x') == store.stored.value


@pytest.mark.parametrize(
    'gone, lost, known_after',
    [
        (False, '', False),
        (False, 'after', False),
        (False, 'before', True),
        (True, '', False),
        (True, 'before', False),
    ],
)
def test_deletion_updates_the_catalogue(gone, lost, known_after):
    stored = objects.ObjectVersion('claim', 'v', 7, make_claim('mine'))
    known = catalogue.ObjectCache()
    known.apply(stored, 0.0)
    store = FakeStore(None if gone else stored, lost)
    run(store, known, control.DeleteObject('claim', 'v', 7), FakeLease())
    assert (known.get('claim', 'v') is not None) is known_after


def test_recreated_object_survives_the_deletion():
    known = catalogue.ObjectCache()
    known.apply(objects.ObjectVersion('claim', 'v', 7, make_claim('a')), 0.0)
    newer = objects.ObjectVersion('claim', 'v', 9, make_claim('b'))
    known.apply(newer, 0.0)
    run(FakeStore(), known, control.DeleteObject('claim', 'v', 7), FakeLease())
    assert known.get('claim', 'v') == newer


def test_no_write_without_the_lease():
    store = FakeStore()
    decision = control.PutObject('claim', 'v', make_claim('mine'), 0)
    run(store, catalogue.ObjectCache(), decision, FakeLease(held=False))
    assert store.stored is None
