"""Tests of plain service calls with a chosen outcome for each message.

A call with an idempotency key must be executed at most once, and its
repeats must get the same answer from every entry.
"""

import base64
import dataclasses

import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind.requests.tests import fakes

DAY_SECONDS = 86400.0


class Scenario:
    """Two entries whose messages a test resolves one by one.

    Parameters
    ----------
    service : balsamwind.settings.ServiceSettings
        Settings of the service that is called.
    """

    def __init__(self, service=fakes.SERVICE):
        self.loop = fakes.VirtualLoop()
        self.world = fakes.SimulatedBackends(self.loop, service)
        self.entries = {
            name: self.world.make_entry(name) for name in ('a1', 'b1')
        }
        self.request_count = 0

    def start_call(self, name, key='k', body=b'{}', method='POST'):
        """Start a call.

        Parameters
        ----------
        name : str
            Name of the entry that receives the call.
        key : str
            Idempotency key; empty if none.
        body : bytes
            Body of the request.
        method : str
            HTTP method.

        Returns
        -------
        asyncio.Task
            Task of the caller.
        """
        self.request_count += 1
        call = ports.ServiceCall(
            method, '/x', body, 'text/plain', key, f'r{self.request_count}'
        )
        run = self.entries[name].run(
            fakes.CONTRACT, self.world.service, call, self.loop.now + 30.0
        )
        task = self.loop.create_task(run)
        self.loop.run_ready_callbacks()
        return task

    def resolve_oldest(self, *outcomes):
        """Resolve the oldest messages in flight, one for each outcome."""
        for outcome in outcomes:
            self.world.resolve(self.world.waiting[0], outcome)

    def run_call(self, name, key='k'):
        """Run a call, deliver all messages and return its outcome."""
        task = self.start_call(name, key)
        self.world.deliver_all(3)
        return get_outcome(task)

    @property
    def executed_ids(self):
        """list of str : Ids of the requests that were executed."""
        return [call.request_id for call in self.world.executed_calls]


def get_outcome(task):
    """Return the outcome of a call.

    Parameters
    ----------
    task : asyncio.Task
        Task of the caller.

    Returns
    -------
    str
        Text of the answer, which is the id of the executed request; the
        code of the error; or ``waiting`` if the call is not finished.
    """
    if not task.done():
        return 'waiting'
    if task.exception() is not None:
        return task.exception().code
    return base64.b64decode(task.result().body).decode()


@pytest.fixture
def scenario():
    """Yield a new scenario and deliver all its messages after the test."""
    scenario = Scenario()
    yield scenario
    scenario.world.deliver_all(60)
    scenario.loop.close()


REPEAT_CASES = [
    # Outcomes of the messages of the first call, outcome of that call, and
    # outcomes of repeats at the same entry and then at the other one (None:
    # as at the same entry).
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


@pytest.mark.parametrize(
    'outcomes, first_outcome, same_entry, other_entry', REPEAT_CASES
)
def test_repeat(scenario, outcomes, first_outcome, same_entry, other_entry):
    task = scenario.start_call('a1')
    scenario.resolve_oldest(*outcomes)
    scenario.world.deliver_all(20)
    assert get_outcome(task) == first_outcome
    assert scenario.run_call('a1') == same_entry
    assert scenario.run_call('b1') == (other_entry or same_entry)
    assert len(scenario.executed_ids) == 1


@pytest.mark.parametrize('name', ['a1', 'b1'])
def test_late_record_write_of_an_unexecuted_call(scenario, name):
    task = scenario.start_call('a1')
    scenario.resolve_oldest('late', 'answer')
    assert get_outcome(task) == 'store_unavailable'
    scenario.world.late_messages.pop().apply_without_answer()
    scenario.world.deliver_all(20)
    assert scenario.run_call(name) == 'r2'
    assert scenario.executed_ids == ['r2']


def test_same_entry_replaces_its_late_record(scenario):
    scenario.start_call('a1')
    scenario.resolve_oldest('late', 'answer')
    scenario.world.late_messages.pop().apply_without_answer()
    assert scenario.run_call('a1') == 'r2'


@pytest.mark.parametrize('sent', [0, 1, 2])
def test_call_continues_after_its_caller_disconnects(scenario, sent):
    task = scenario.start_call('a1')
    scenario.resolve_oldest(*['answer'] * sent)
    task.cancel()
    scenario.loop.run_ready_callbacks()
    scenario.world.deliver_all(3)
    assert scenario.executed_ids == ['r1']
    assert scenario.run_call('b1') == 'r1'


def test_late_answer_completes_the_record(scenario):
    task = scenario.start_call('a1')
    scenario.resolve_oldest('answer')
    scenario.loop.advance(fakes.SERVICE.timeout)
    assert get_outcome(task) == 'outcome_unknown'
    repeat = scenario.start_call('b1')
    scenario.world.resolve(scenario.world.waiting[1], 'answer')
    assert get_outcome(repeat) == 'outcome_unknown'
    assert scenario.entries['a1'].pending == 1
    scenario.world.deliver_all(3)
    assert scenario.run_call('b1') == 'r1'
    assert scenario.executed_ids == ['r1']
    assert scenario.entries['a1'].pending == 0


def test_late_refusal_deletes_the_record(scenario):
    scenario.start_call('a1')
    scenario.resolve_oldest('answer')
    scenario.loop.advance(fakes.SERVICE.timeout)
    scenario.resolve_oldest('refuse')
    scenario.world.deliver_all(3)
    assert scenario.run_call('b1') == 'r2'


def test_late_connection_failure_keeps_the_record(scenario):
    scenario.start_call('a1')
    scenario.resolve_oldest('answer')
    scenario.loop.advance(fakes.SERVICE.timeout)
    scenario.resolve_oldest('lose_answer')
    scenario.world.deliver_all(3)
    assert scenario.run_call('b1') == 'outcome_unknown'
    assert scenario.executed_ids == ['r1']


def test_deadline_before_the_record_is_created(scenario):
    task = scenario.start_call('a1')
    scenario.loop.advance(31.0)
    assert get_outcome(task) == 'outcome_unknown'
    scenario.world.deliver_all(3)
    assert scenario.executed_ids == []
    assert scenario.run_call('b1') == 'r2'


def test_concurrent_calls_with_one_key(scenario):
    tasks = [scenario.start_call('a1') for _ in range(3)]
    other = scenario.start_call('a1', body=b'{"amount": 2}')
    scenario.world.deliver_all(3)
    assert [get_outcome(task) for task in tasks] == ['r1'] * 3
    assert get_outcome(other) == 'idempotency_key_reused'
    assert scenario.executed_ids == ['r1']


def test_key_reused_at_another_entry(scenario):
    scenario.run_call('a1')
    other = scenario.start_call('b1', body=b'{"amount": 2}')
    scenario.world.deliver_all(3)
    assert get_outcome(other) == 'idempotency_key_reused'


def test_large_answer_is_not_stored():
    service = dataclasses.replace(fakes.SERVICE, max_kept_answer=1)
    scenario = Scenario(service)
    assert scenario.run_call('a1') == 'r1'
    task = scenario.start_call('b1')
    scenario.world.deliver_all(3)
    assert get_outcome(task) == 'answer_not_kept'
    assert task.exception().run == exceptions.RUN
    assert scenario.executed_ids == ['r1']


@pytest.mark.parametrize(
    'age, repeat_outcome, deleted_count',
    [(DAY_SECONDS - 60, 'r1', 0), (DAY_SECONDS + 60, 'r2', 1)],
)
def test_records_expire(age, repeat_outcome, deleted_count):
    scenario = Scenario()
    scenario.run_call('a1')
    scenario.loop.now += age
    records = scenario.entries['b1'].records
    sweep_tasks = [
        scenario.loop.create_task(
            records.delete_expired(kind, lambda service: DAY_SECONDS)
        )
        for kind in objects.CALL_KINDS
    ]
    scenario.loop.run_ready_callbacks()
    scenario.world.deliver_all(3)
    assert sum(task.result() for task in sweep_tasks) == deleted_count
    assert scenario.run_call('b1') == repeat_outcome


def test_expired_record_is_replaced_by_a_repeat(scenario):
    scenario.run_call('a1')
    scenario.loop.now += DAY_SECONDS + 60
    assert scenario.run_call('b1') == 'r2'


def test_suspended_entry_does_not_send(scenario):
    class Clock(fakes.LoopClock):
        def time(self):
            return super().time() + (
                DAY_SECONDS if self._loop.suspended else 0
            )

    scenario.loop.suspended = False
    scenario.entries['a1']._clock = Clock(scenario.loop)
    task = scenario.start_call('a1')
    scenario.loop.suspended = True
    scenario.world.deliver_all(3)
    assert get_outcome(task) == 'no_capacity'
    assert scenario.executed_ids == []


@pytest.mark.parametrize(
    'method, key, message_outcome, caller_outcome, executed_ids',
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
def test_unrecorded_call(
    scenario, method, key, message_outcome, caller_outcome, executed_ids
):
    task = scenario.start_call('a1', key, method=method)
    scenario.resolve_oldest(message_outcome)
    scenario.world.deliver_all(3)
    assert get_outcome(task) == caller_outcome
    assert scenario.executed_ids == executed_ids
    assert not scenario.world.objects


@pytest.mark.parametrize(
    'deduplicates, caller_outcome, executed_ids',
    [(False, 'store_unavailable', []), (True, 'r1', ['r1'])],
)
def test_object_api_unavailable(deduplicates, caller_outcome, executed_ids):
    service = dataclasses.replace(
        fakes.SERVICE, deduplicates_by_key=deduplicates
    )
    scenario = Scenario(service)
    task = scenario.start_call('a1')
    scenario.resolve_oldest('drop', 'drop')
    if deduplicates:
        scenario.resolve_oldest('answer')
    assert get_outcome(task) == caller_outcome
    assert scenario.executed_ids == executed_ids


def test_overloaded_backend_is_not_retried(scenario):
    task = scenario.start_call('a1', '')
    message = scenario.world.waiting.pop()
    message.answer_with_error(
        exceptions.BackendRefused('busy', 'overloaded', 7.0)
    )
    scenario.loop.run_ready_callbacks()
    assert get_outcome(task) == 'overloaded'
    assert task.exception().retry_after == 7.0
    assert not scenario.world.waiting
