"""Stateful test that a non-idempotent call is executed at most once.

Repeated calls at two entries are mixed with lost, late and refused
messages, disconnected callers and crashed entries.
"""

import asyncio
import base64

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from balsamwind import exceptions
from balsamwind import ports
from balsamwind.requests.tests import fakes

ENTRIES = ('a1', 'b1')
KEYS = ('payout', 'bed')
OUTCOMES = (*['answer'] * 4, 'lose_answer', 'late', 'drop', 'refuse')


class CallMachine(stateful.RuleBasedStateMachine):
    """Two entries, two idempotency keys, one store and one service."""

    def __init__(self):
        super().__init__()
        self.loop = fakes.VirtualLoop()
        self.world = fakes.SimulatedBackends(self.loop)
        self.entries = {name: self._make_entry(name) for name in ENTRIES}
        self.tasks = []
        self.unexecuted_ids = set()
        self.first_answers = {}
        self.request_count = 0

    def _make_entry(self, name):
        return self.world.make_entry(name)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        key=strategies.sampled_from(KEYS),
    )
    def call(self, name, key):
        """Send a call with a new or an already used idempotency key."""
        self.request_count += 1
        call = ports.ServiceCall(
            'POST',
            '/x',
            b'{}',
            'application/json',
            key,
            f'r{self.request_count}',
        )
        run = self.entries[name].run(
            fakes.CONTRACT, self.world.service, call, self.loop.now + 30.0
        )
        task = self.loop.create_task(run)
        task.add_done_callback(_retrieve_exception)
        self.tasks.append((name, call, task))
        self.loop.run_ready_callbacks()

    @stateful.precondition(lambda self: self.world.waiting)
    @stateful.rule(
        index=strategies.sampled_from((0, 0, 0, 1, 2)),
        outcome=strategies.sampled_from(OUTCOMES),
    )
    def resolve(self, index, outcome):
        """Decide the outcome of a message in flight."""
        waiting = self.world.waiting
        self.world.resolve(waiting[index % len(waiting)], outcome)

    @stateful.precondition(lambda self: self.world.late_messages)
    @stateful.rule(index=strategies.integers(0, 5))
    def arrive_late(self, index):
        """Apply a message after its sender stopped waiting for the answer."""
        late_messages = self.world.late_messages
        late_messages.pop(index % len(late_messages)).apply_without_answer()

    @stateful.precondition(lambda self: self.tasks)
    @stateful.rule(index=strategies.integers(0, 5))
    def disconnect(self, index):
        """Cancel the task of a caller that disconnects."""
        self.tasks[index % len(self.tasks)][2].cancel()
        self.loop.run_ready_callbacks()

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def crash(self, name):
        """Crash and restart an entry; its sent messages may still arrive."""
        crashed = self.entries[name]
        self.tasks = [started for started in self.tasks if started[0] != name]
        crashed_ports = crashed._service_client
        for message in list(self.world.waiting):
            if message.sender is crashed_ports:
                self.world.waiting.remove(message)
                self.world.late_messages.append(message)
        crashed_ports._world = _DisconnectedNetwork(self.loop)
        self.entries[name] = self._make_entry(name)

    @stateful.rule(seconds=strategies.sampled_from((0.3, 3.0, 8.0)))
    def wait(self, seconds):
        """Advance the virtual time."""
        self.loop.advance(seconds)

    @stateful.invariant()
    def calls_execute_at_most_once(self):
        """Check that calls are executed at most once per idempotency key.

        A call that was reported to its caller as not run must never be
        executed.
        """
        self._check_finished_calls()
        keys = [call.idempotency_key for call in self.world.executed_calls]
        assert len(keys) == len(set(keys)), keys
        for call in self.world.executed_calls:
            assert call.request_id not in self.unexecuted_ids, call

    def _check_finished_calls(self):
        running = []
        for name, call, task in self.tasks:
            if not task.done():
                running.append((name, call, task))
            elif not task.cancelled():
                self._check_result(call, task)
        self.tasks = running

    def _check_result(self, call, task):
        error = task.exception()
        if error is None:
            body = base64.b64decode(task.result().body).decode()
            first_body = self.first_answers.setdefault(
                call.idempotency_key, body
            )
            assert body == first_body
            return
        assert isinstance(error, exceptions.BalsamwindError), error
        if error.run == exceptions.NOT_RUN:
            self.unexecuted_ids.add(call.request_id)

    def teardown(self):
        """Deliver all messages and check that no caller still waits."""
        self.world.deliver_all(60)
        self.calls_execute_at_most_once()
        unfinished_calls = [task for _, _, task in self.tasks]
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_ready_callbacks()
        self.loop.close()
        assert not unfinished_calls


def _retrieve_exception(task):
    if not task.cancelled():
        task.exception()


class _DisconnectedNetwork:
    """Network of a crashed entry, which loses all new messages."""

    def __init__(self, loop):
        self._loop = loop

    def send(self, sender, operation, to_store):
        """Return a message that is never delivered."""
        return fakes.Message(
            sender, operation, self._loop.create_future(), False
        )


TestCallMachine = CallMachine.TestCase
TestCallMachine.settings = settings(max_examples=400, stateful_step_count=40)
