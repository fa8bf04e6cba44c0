"""Simulated store and backend servers for tests of service calls.

A test decides for each message whether it is answered, lost, refused or
delivered late, and advances the virtual time of the event loop.
"""

import asyncio
import base64
import dataclasses
import random

from balsamwind import admission
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind import requests
from balsamwind import settings

SERVICE = settings.ServiceSettings(
    'ledger',
    backends=(
        settings.BackendSettings('l-a', 'a', '127.0.0.1:1'),
        settings.BackendSettings('l-b', 'b', '127.0.0.1:2'),
    ),
)

CONTRACT = objects.Contract(
    'rotagzeli', (), '2026-01-01T00:00:00Z', '2099-01-01T00:00:00Z'
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual time that only `advance` moves."""

    def __init__(self):
        self.now = 0.0
        super().__init__()

    def time(self):
        return self.now

    def run_ready_callbacks(self):
        """Run 12 iterations of the event loop.

        They run the ready callbacks and those that these schedule, up to
        that depth.
        """

        async def iterate():
            for _ in range(12):
                await asyncio.sleep(0)

        self.run_until_complete(iterate())

    def advance(self, seconds):
        """Advance the virtual time and run the timers that are due.

        Parameters
        ----------
        seconds : float
            Time to advance by (seconds).
        """
        self.now += seconds
        self.run_ready_callbacks()


class LoopClock:
    """Clock that follows the virtual time of an event loop.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop whose time is read.
    skew : float
        Offset of the wall-clock time (seconds).
    """

    def __init__(self, loop, skew=0.0):
        self._loop = loop
        self._skew = skew

    def monotonic(self):
        return self._loop.now

    def time(self):
        return 1.8e9 + self._loop.now + self._skew


@dataclasses.dataclass(slots=True, eq=False)
class Message:
    """Request in flight to the store or to a backend server.

    Parameters
    ----------
    sender : _FakePorts
        Ports of the entry that sent the message.
    operation : callable
        Applies the request and returns its result.
    reply : asyncio.Future
        Future that receives the result or an error.
    to_store : bool
        Whether the store receives the message, not a backend server.
    """

    sender: object
    operation: object
    reply: asyncio.Future
    to_store: bool

    def apply_and_answer(self):
        """Apply the request and answer with its result or error."""
        try:
            result = self.operation()
        except exceptions.BalsamwindError as error:
            self.answer_with_error(error)
        else:
            if not self.reply.done():
                self.reply.set_result(result)

    def apply_without_answer(self):
        """Apply the request, but lose the answer."""
        try:
            self.operation()
        except exceptions.BalsamwindError:
            return

    def answer_with_error(self, error):
        """Fail the sender's wait with an error, if it still waits."""
        if not self.reply.done():
            self.reply.set_exception(error)


class SimulatedBackends:
    """Simulated store, backend servers and messages in flight.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop of the entries.
    service : balsamwind.settings.ServiceSettings
        Settings of the service that is called.

    Attributes
    ----------
    objects : dict
        Stored objects by kind and name.
    revision : int
        Revision of the last write to the store.
    writes : int
        Writes applied to the store (count).
    executed_calls : list of balsamwind.ports.ServiceCall
        Calls that the backend servers executed.
    waiting : list of Message
        Messages in flight, the oldest first.
    late_messages : list of Message
        Messages that may be applied after their sender stopped waiting.
    entry_count : int
        Entries made (count); seeds the random state of each entry.
    """

    def __init__(self, loop, service=SERVICE):
        self.loop = loop
        self.service = service
        self.objects = {}
        self.revision = 0
        self.writes = 0
        self.executed_calls = []
        self.waiting = []
        self.late_messages = []
        self.entry_count = 0

    def make_entry(self, name, skew=0.0):
        """Make the service calls of a new entry.

        Parameters
        ----------
        name : str
            Name of the node; its first character is the data centre.
        skew : float
            Offset of the entry's wall-clock time (seconds).

        Returns
        -------
        balsamwind.requests.ServiceCallRunner
        """
        entry_ports = _FakePorts(self)
        self.entry_count += 1
        rng = random.Random(self.entry_count)
        return requests.ServiceCallRunner(
            entry_ports,
            entry_ports,
            admission.ServiceRetryBudgets(1.0),
            settings.NodeSettings(name, name[0]),
            LoopClock(self.loop, skew),
            lambda: f'{rng.getrandbits(96):x}',
            rng,
        )

    def put(self, kind, name, value, expected):
        existing = self.objects.get((kind, name))
        if (existing.revision if existing else 0) != expected:
            raise exceptions.Conflict('revision', existing)
        self.revision += 1
        self.writes += 1
        stored = objects.ObjectVersion(kind, name, self.revision, value)
        if value is None:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = stored
        return stored

    def list_kinds(self, kinds):
        items = [
            stored for stored in self.objects.values() if stored.kind in kinds
        ]
        return ports.Snapshot(self.revision, tuple(items))

    def execute(self, call):
        self.executed_calls.append(call)
        body = base64.b64encode(call.request_id.encode()).decode()
        return objects.Answer(200, 'text/plain', body)

    def send(self, sender, operation, to_store):
        reply = self.loop.create_future()
        message = Message(sender, operation, reply, to_store)
        self.waiting.append(message)
        return message

    def resolve(self, message, outcome):
        """Decide the outcome of a message in flight.

        Parameters
        ----------
        message : Message
            Message to resolve.
        outcome : str
            ``answer``: applied and answered; ``lose_answer``: applied, but
            the answer is lost; ``late``: not answered and applied later;
            ``drop``: never applied, and a call is known not to have been
            sent; ``refuse``: refused by the receiver.
        """
        self.waiting.remove(message)
        match outcome:
            case 'answer':
                message.apply_and_answer()
            case 'lose_answer':
                message.apply_without_answer()
                message.answer_with_error(
                    _make_connection_error(message, True)
                )
            case 'late':
                self.late_messages.append(message)
                message.answer_with_error(
                    _make_connection_error(message, True)
                )
            case 'drop':
                message.answer_with_error(
                    _make_connection_error(message, False)
                )
            case 'refuse':
                message.answer_with_error(_make_refusal_error(message))
        self.loop.run_ready_callbacks()

    def deliver_all(self, steps=200):
        """Answer all messages in flight, and those that follow from them.

        Parameters
        ----------
        steps : int
            Rounds, each of which advances the time by 1 s (count).
        """
        for _ in range(steps):
            while self.waiting:
                self.resolve(self.waiting[0], 'answer')
            self.loop.advance(1.0)


def _make_connection_error(message, sent):
    if message.to_store:
        return exceptions.StoreError('no answer')
    return exceptions.TransportError('no answer', sent=sent)


def _make_refusal_error(message):
    if message.to_store:
        return exceptions.StoreError('down')
    return exceptions.BackendRefused('busy', 'not_run')


class _FakePorts:
    """Ports of one entry to the simulated store and backend servers."""

    def __init__(self, world):
        self._world = world

    async def _send(self, operation, to_store):
        message = self._world.send(self, operation, to_store)
        return await message.reply

    async def get(self, kind, name):
        stored_objects = self._world.objects
        return await self._send(lambda: stored_objects.get((kind, name)), True)

    async def list(self, kinds):
        list_kinds = self._world.list_kinds
        return await self._send(lambda: list_kinds(kinds), True)

    async def put(self, kind, name, value, expected):
        put = self._world.put
        return await self._send(lambda: put(kind, name, value, expected), True)

    async def delete(self, kind, name, expected):
        return await self.put(kind, name, None, expected)

    async def call(
        self,
        address,
        call,
        timeout,
        tls=False,
        late_answer_time=0.0,
        max_answer_size=None,
    ):
        execute = self._world.execute
        return await self._send(lambda: execute(call), False)
