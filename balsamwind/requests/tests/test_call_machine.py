"""At most once, over every order of messages, losses and crashes."""

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
    """Two entries, two keys, one store, one service."""

    def __init__(self):
        super().__init__()
        self.loop = fakes.VirtualLoop()
        self.world = fakes.World(self.loop)
        self.entries = {name: self._start(name) for name in ENTRIES}
        self.tasks = []
        self.not_run = set()
        self.answers = {}
        self.sent = 0

    def _start(self, name):
        return self.world.make_entry(name)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        key=strategies.sampled_from(KEYS),
    )
    def call(self, name, key):
        """A caller sends a request, for the first time or again."""
        self.sent += 1
        call = ports.ServiceCall(
            'POST', '/x', b'{}', 'application/json', key, f'r{self.sent}'
        )
        run = self.entries[name].run(
            fakes.CONTRACT, self.world.service, call, self.loop.now + 30.0
        )
        task = self.loop.create_task(run)
        task.add_done_callback(_take_exception)
        self.tasks.append((name, call, task))
        self.loop.settle()

    @stateful.precondition(lambda self: self.world.waiting)
    @stateful.rule(
        pick=strategies.sampled_from((0, 0, 0, 1, 2)),
        outcome=strategies.sampled_from(OUTCOMES),
    )
    def resolve(self, pick, outcome):
        """A message arrives, is lost, or its answer is."""
        waiting = self.world.waiting
        self.world.resolve(waiting[pick % len(waiting)], outcome)

    @stateful.precondition(lambda self: self.world.late)
    @stateful.rule(pick=strategies.integers(0, 5))
    def arrive_late(self, pick):
        """A message arrives after its sender gave up on it."""
        late = self.world.late
        late.pop(pick % len(late)).carry_out()

    @stateful.precondition(lambda self: self.tasks)
    @stateful.rule(pick=strategies.integers(0, 5))
    def disconnect(self, pick):
        """A caller goes away."""
        self.tasks[pick % len(self.tasks)][2].cancel()
        self.loop.settle()

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def crash(self, name):
        """An entry dies; what it sent is still on its way."""
        dead = self.entries[name]
        self.tasks = [row for row in self.tasks if row[0] != name]
        sender = dead._service_client
        for message in list(self.world.waiting):
            if message.entry is sender:
                self.world.waiting.remove(message)
                self.world.late.append(message)
        sender._world = _Void(self.loop)
        self.entries[name] = self._start(name)

    @stateful.rule(seconds=strategies.sampled_from((0.3, 3.0, 8.0)))
    def wait(self, seconds):
        """Time passes."""
        self.loop.advance(seconds)

    @stateful.invariant()
    def effects_at_most_once(self):
        """No key takes effect twice, and none that was not run."""
        self._collect()
        keys = [call.idempotency_key for call in self.world.effects]
        assert len(keys) == len(set(keys)), keys
        for call in self.world.effects:
            assert call.request_id not in self.not_run, call

    def _collect(self):
        rest = []
        for name, call, task in self.tasks:
            if not task.done():
                rest.append((name, call, task))
            elif not task.cancelled():
                self._take(call, task)
        self.tasks = rest

    def _take(self, call, task):
        error = task.exception()
        if error is None:
            body = base64.b64decode(task.result().body).decode()
            first = self.answers.setdefault(call.idempotency_key, body)
            assert body == first
            return
        assert isinstance(error, exceptions.BalsamwindError), error
        if error.run == exceptions.NOT_RUN:
            self.not_run.add(call.request_id)

    def teardown(self):
        """Everything arrives; every caller has its answer."""
        self.world.flush(60)
        self.effects_at_most_once()
        open_calls = [task for _, _, task in self.tasks]
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.settle()
        self.loop.close()
        assert not open_calls


def _take_exception(task):
    if not task.cancelled():
        task.exception()


class _Void:
    """Takes messages of a dead process."""

    def __init__(self, loop):
        self._loop = loop

    def send(self, entry, apply, to_store):
        """Never answer."""
        return fakes.Message(entry, apply, self._loop.create_future(), False)


TestCallMachine = CallMachine.TestCase
TestCallMachine.settings = settings(max_examples=400, stateful_step_count=40)
