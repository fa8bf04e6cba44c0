"""Calls of plain services, one message at a time."""

import base64
import dataclasses

import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.requests.tests import fakes

DAY = 86400.0


class Script:
    """Two entries, whose messages the test resolves one by one."""

    def __init__(self, service=fakes.SERVICE):
        self.loop = fakes.VirtualLoop()
        self.world = fakes.World(self.loop, service)
        self.entries = {n: self.world.make_entry(n) for n in ('a1', 'b1')}
        self.count = 0

    def start(self, name, key='k', body=b'{}', method='POST'):
        """Send a request; the caller's task."""
        self.count += 1
        call = ports.ServiceCall(
            method, '/x', body, 'text/plain', key, f'r{self.count}'
        )
        run = self.entries[name].run(
            fakes.CONTRACT, self.world.service, call, self.loop.now + 30.0
        )
        task = self.loop.create_task(run)
        self.loop.settle()
        return task

    def resolve(self, *outcomes):
        """Resolve the oldest messages, one for each outcome."""
        for outcome in outcomes:
            self.world.resolve(self.world.waiting[0], outcome)

    def ask(self, name, key='k'):
        """Send a request and deliver everything; what the caller gets."""
        task = self.start(name, key)
        self.world.flush(3)
        return outcome_of(task)

    @property
    def effects(self):
        """Ids of the requests that took effect."""
        return [call.request_id for call in self.world.effects]


def outcome_of(task):
    """Text of the answer, or the code of the error."""
    if not task.done():
        return 'waiting'
    if task.exception() is not None:
        return task.exception().code
    return base64.b64decode(task.result().body).decode()


@pytest.fixture
def script():
    """A script of its own for each test."""
    script = Script()
    yield script
    script.world.flush(60)
    script.loop.close()


REPEATS = [
    # What happens to the messages of the first request, what its caller is
    # told, and what repeats at both entries are told at last.
    (['answer'] * 3, 'r1', 'r1', 'r1'),
    (['lose_answer', 'answer', 'answer', 'answer'], 'r1', 'r1', 'r1'),
    (['answer', 'lose_answer'], 'outcome_unknown', 'outcome_unknown', None),
    (['answer', 'answer', 'lose_answer'], 'r1', 'r1', 'r1'),
    (['answer', 'answer', 'drop'], 'r1', 'r1', 'r1'),
    (['answer', 'refuse', 'refuse', 'answer'], 'no_capacity', 'r2', 'r2'),
    (['answer', 'refuse', 'drop', 'drop'], 'no_capacity', 'r2', 'r2'),
    (['answer', 'refuse', 'answer', 'answer'], 'r1', 'r1', 'r1'),
    (['late', 'answer'], 'store_unavailable', 'r2', 'r2'),
    (['drop', 'drop'], 'store_unavailable', 'r2', 'r2'),
]


@pytest.mark.parametrize('outcomes, first, own, other', REPEATS)
def test_repeat(script, outcomes, first, own, other):
    task = script.start('a1')
    script.resolve(*outcomes)
    script.world.flush(20)
    assert outcome_of(task) == first
    assert script.ask('a1') == own
    assert script.ask('b1') == (other or own)
    assert len(script.effects) == 1


@pytest.mark.parametrize('name', ['a1', 'b1'])
def test_late_write_of_a_call_that_was_not_run(script, name):
    task = script.start('a1')
    script.resolve('late', 'answer')
    assert outcome_of(task) == 'store_unavailable'
    script.world.late.pop().carry_out()
    script.world.flush(20)
    assert script.ask(name) == 'r2'
    assert script.effects == ['r2']


def test_own_late_write_is_taken_over_at_once(script):
    script.start('a1')
    script.resolve('late', 'answer')
    script.world.late.pop().carry_out()
    assert script.ask('a1') == 'r2'


@pytest.mark.parametrize('sent', [0, 1, 2])
def test_caller_that_goes_away(script, sent):
    task = script.start('a1')
    script.resolve(*['answer'] * sent)
    task.cancel()
    script.loop.settle()
    script.world.flush(3)
    assert script.effects == ['r1']
    assert script.ask('b1') == 'r1'


def test_late_answer_completes_the_record(script):
    task = script.start('a1')
    script.resolve('answer')
    script.loop.advance(fakes.SERVICE.timeout)
    assert outcome_of(task) == 'outcome_unknown'
    repeat = script.start('b1')
    script.world.resolve(script.world.waiting[1], 'answer')
    assert outcome_of(repeat) == 'outcome_unknown'
    assert script.entries['a1'].pending == 1
    script.world.flush(3)
    assert script.ask('b1') == 'r1'
    assert script.effects == ['r1']
    assert script.entries['a1'].pending == 0


def test_late_refusal_deletes_the_record(script):
    script.start('a1')
    script.resolve('answer')
    script.loop.advance(fakes.SERVICE.timeout)
    script.resolve('refuse')
    script.world.flush(3)
    assert script.ask('b1') == 'r2'


def test_late_lost_answer_keeps_the_record(script):
    script.start('a1')
    script.resolve('answer')
    script.loop.advance(fakes.SERVICE.timeout)
    script.resolve('lose_answer')
    script.world.flush(3)
    assert script.ask('b1') == 'outcome_unknown'
    assert script.effects == ['r1']


def test_deadline_before_the_record_is_made(script):
    task = script.start('a1')
    script.loop.advance(31.0)
    assert outcome_of(task) == 'outcome_unknown'
    script.world.flush(3)
    assert script.effects == []
    assert script.ask('b1') == 'r2'


def test_concurrent_calls_with_one_key(script):
    tasks = [script.start('a1') for _ in range(3)]
    other = script.start('a1', body=b'{"amount": 2}')
    script.world.flush(3)
    assert [outcome_of(task) for task in tasks] == ['r1'] * 3
    assert outcome_of(other) == 'idempotency_key_reused'
    assert script.effects == ['r1']


def test_key_reused_at_another_entry(script):
    script.ask('a1')
    other = script.start('b1', body=b'{"amount": 2}')
    script.world.flush(3)
    assert outcome_of(other) == 'idempotency_key_reused'


def test_large_answer_is_not_kept():
    service = dataclasses.replace(fakes.SERVICE, max_kept_answer=1)
    script = Script(service)
    assert script.ask('a1') == 'r1'
    task = script.start('b1')
    script.world.flush(3)
    assert outcome_of(task) == 'answer_not_kept'
    assert task.exception().run == exceptions.RUN
    assert script.effects == ['r1']


@pytest.mark.parametrize(
    'age, second, swept', [(DAY - 60, 'r1', 0), (DAY + 60, 'r2', 1)]
)
def test_records_expire(age, second, swept):
    script = Script()
    script.ask('a1')
    script.loop.now += age
    records = script.entries['b1'].records
    sweeps = [
        script.loop.create_task(records.sweep(kind, lambda service: DAY))
        for kind in objects.CALL_KINDS
    ]
    script.loop.settle()
    script.world.flush(3)
    assert sum(task.result() for task in sweeps) == swept
    assert script.ask('b1') == second


def test_expired_record_is_taken_over_on_read(script):
    script.ask('a1')
    script.loop.now += DAY + 60
    assert script.ask('b1') == 'r2'


def test_entry_that_was_suspended_does_not_send(script):
    class Clock(fakes.LoopClock):
        def time(self):
            return super().time() + (DAY if self._loop.suspended else 0)

    script.loop.suspended = False
    script.entries['a1']._clock = Clock(script.loop)
    task = script.start('a1')
    script.loop.suspended = True
    script.world.flush(3)
    assert outcome_of(task) == 'no_capacity'
    assert script.effects == []


@pytest.mark.parametrize(
    'method, key, outcome, told, effects',
    [
        ('POST', '', 'lose_answer', 'outcome_unknown', ['r1']),
        ('POST', '', 'drop', 'r1', ['r1']),
        ('POST', '', 'refuse', 'r1', ['r1']),
        ('PUT', '', 'lose_answer', 'outcome_unknown', ['r1']),
        ('DELETE', '', 'lose_answer', 'outcome_unknown', ['r1']),
        ('GET', '', 'lose_answer', 'r1', ['r1', 'r1']),
        ('GET', 'k', 'lose_answer', 'r1', ['r1', 'r1']),
    ],
)
def test_without_record(script, method, key, outcome, told, effects):
    task = script.start('a1', key, method=method)
    script.resolve(outcome)
    script.world.flush(3)
    assert outcome_of(task) == told
    assert script.effects == effects
    assert not script.world.objects


@pytest.mark.parametrize(
    'deduplicates, told, effects',
    [(False, 'store_unavailable', []), (True, 'r1', ['r1'])],
)
def test_platform_down(deduplicates, told, effects):
    service = dataclasses.replace(
        fakes.SERVICE, deduplicates_by_key=deduplicates
    )
    script = Script(service)
    task = script.start('a1')
    script.resolve('drop', 'drop')
    if deduplicates:
        script.resolve('answer')
    assert outcome_of(task) == told
    assert script.effects == effects


def test_overloaded_backend_is_not_retried(script):
    task = script.start('a1', '')
    message = script.world.waiting.pop()
    message.fail(exceptions.BackendRefused('busy', 'overloaded', 7.0))
    script.loop.settle()
    assert outcome_of(task) == 'overloaded'
    assert task.exception().retry_after == 7.0
    assert not script.world.waiting
