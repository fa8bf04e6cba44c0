"""Fakes whose messages a test delivers, loses or delays one by one."""

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
    """Event loop whose time moves only by `advance`."""

    def __init__(self):
        self.now = 0.0
        super().__init__()

    def time(self):
        return self.now

    def settle(self):
        """Run until nothing more is ready."""

        async def turns():
            for _ in range(12):
                await asyncio.sleep(0)

        self.run_until_complete(turns())

    def advance(self, seconds):
        """Move time on and run what is due."""
        self.now += seconds
        self.settle()


class LoopClock:
    """Clock of a virtual loop."""

    def __init__(self, loop, skew=0.0):
        self._loop = loop
        self._skew = skew

    def monotonic(self):
        return self._loop.now

    def time(self):
        return 1.8e9 + self._loop.now + self._skew


@dataclasses.dataclass(slots=True, eq=False)
class Message:
    """A request on its way to the store or to a backend server."""

    entry: object
    apply: object
    future: asyncio.Future
    to_store: bool

    def answer(self):
        """Carry it out and answer."""
        try:
            result = self.apply()
        except exceptions.BalsamwindError as error:
            self.fail(error)
        else:
            if not self.future.done():
                self.future.set_result(result)

    def carry_out(self):
        """Carry it out without an answer."""
        try:
            self.apply()
        except exceptions.BalsamwindError:
            return

    def fail(self, error):
        """Answer with an error."""
        if not self.future.done():
            self.future.set_exception(error)


class World:
    """The store, the backend servers and all messages on their way."""

    def __init__(self, loop, service=SERVICE):
        self.loop = loop
        self.service = service
        self.objects = {}
        self.revision = 0
        self.writes = 0
        self.effects = []
        self.waiting = []
        self.late = []
        self.starts = 0

    def make_entry(self, name, skew=0.0):
        """Service calls of one entry."""
        entry = _Entry(self)
        self.starts += 1
        rng = random.Random(self.starts)
        return requests.ServiceCalls(
            entry,
            entry,
            admission.RetryBudgets(1.0),
            settings.NodeSettings(name, name[0]),
            LoopClock(self.loop, skew),
            lambda: f'{rng.getrandbits(96):x}',
            rng,
        )

    def put(self, kind, name, value, expected):
        known = self.objects.get((kind, name))
        if (known.revision if known else 0) != expected:
            raise exceptions.Conflict('revision', known)
        self.revision += 1
        self.writes += 1
        stored = objects.Stored(kind, name, self.revision, value)
        if value is None:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = stored
        return stored

    def list_kinds(self, kinds):
        items = [o for o in self.objects.values() if o.kind in kinds]
        return ports.Snapshot(self.revision, tuple(items))

    def take_effect(self, call):
        self.effects.append(call)
        body = base64.b64encode(call.request_id.encode()).decode()
        return objects.Answer(200, 'text/plain', body)

    def send(self, entry, apply, to_store):
        future = self.loop.create_future()
        message = Message(entry, apply, future, to_store)
        self.waiting.append(message)
        return message

    def resolve(self, message, outcome):
        """Let a message arrive, or not."""
        self.waiting.remove(message)
        match outcome:
            case 'answer':
                message.answer()
            case 'lose_answer':
                message.carry_out()
                message.fail(_broken(message, True))
            case 'late':
                self.late.append(message)
                message.fail(_broken(message, True))
            case 'drop':
                message.fail(_broken(message, False))
            case 'refuse':
                message.fail(_refusal(message))
        self.loop.settle()

    def flush(self, steps=200):
        """Deliver all that is on its way, until nothing moves."""
        for _ in range(steps):
            while self.waiting:
                self.resolve(self.waiting[0], 'answer')
            self.loop.advance(1.0)


def _broken(message, sent):
    if message.to_store:
        return exceptions.StoreError('no answer')
    return exceptions.TransportError('no answer', sent=sent)


def _refusal(message):
    if message.to_store:
        return exceptions.StoreError('down')
    return exceptions.BackendRefused('busy', 'not_run')


class _Entry:
    """Store and plain service as one entry reaches them."""

    def __init__(self, world):
        self._world = world

    async def _send(self, apply, to_store):
        message = self._world.send(self, apply, to_store)
        return await message.future

    async def get(self, kind, name):
        objects_held = self._world.objects
        return await self._send(lambda: objects_held.get((kind, name)), True)

    async def list(self, kinds):
        list_kinds = self._world.list_kinds
        return await self._send(lambda: list_kinds(kinds), True)

    async def put(self, kind, name, value, expected):
        put = self._world.put
        return await self._send(lambda: put(kind, name, value, expected), True)

    async def delete(self, kind, name, expected):
        return await self.put(kind, name, None, expected)

    async def call(
        self, address, call, timeout, tls=False, late=0.0, limit=None
    ):
        take_effect = self._world.take_effect
        return await self._send(lambda: take_effect(call), False)
