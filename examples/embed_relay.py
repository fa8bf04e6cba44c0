"""Serve completions inside another tornado program, without the daemon.

Shows: the request path over a fake engine. The first group breaks in the
middle of the answer; the answer is resumed at the second and comes whole.
"""

import asyncio

from balsamwind import adapters
from balsamwind import admission
from balsamwind import exceptions
from balsamwind import ports
from balsamwind import requests
from balsamwind import routing
from balsamwind import settings
from examples import embed_routing

ANSWER = ('next', 'month', 'it', 'is', 'Nino')


class FakeStream:
    """Answer that breaks after two tokens on the first attempt."""

    def __init__(self, call):
        self._call = call
        self._next = len(call.resume)

    async def read(self, timeout):
        """The next event."""
        attempt = self._call.attempt_id
        if attempt.endswith('.1') and self._next == 2:
            raise exceptions.TransportError('the group lost a member')
        if self._next == len(ANSWER):
            self._next += 1
            return [ports.Finished(attempt, 'stop', len(ANSWER))]
        if self._next > len(ANSWER):
            return []
        self._next += 1
        text = ANSWER[self._next - 1]
        return [ports.Token(attempt, self._next - 1, text)]

    def close(self):
        """Nothing to free."""


class FakeEngine:
    """Engine that notes which group was asked."""

    def __init__(self):
        self.asked = []

    async def generate(self, address, call, timeout):
        """Start an attempt."""
        self.asked.append(call.group)
        return FakeStream(call)


class FakeGroups:
    """Two groups that serve until they prove broken."""

    def __init__(self):
        self._groups = [
            embed_routing.make_group(name) for name in ('blue', 'green')
        ]

    def serving(self, contract, model, now):
        """Groups that serve."""
        return self._groups

    def note_group_down(self, group, reason):
        """A group proved broken."""
        print(f'{group.name} is down: {reason}')
        self._groups = [g for g in self._groups if g.name != group.name]

    def note_late_events(self, count):
        """Events of an abandoned attempt were dropped."""

    def note_resumption(self, way):
        """The answer goes on at another attempt."""
        print('resumed by', way)


class FakeContract:
    """What the request path reads of a contract."""

    customer = 'rotagzeli'
    priority = 7


async def run():
    """Run one request; the answer and the groups asked."""
    engine = FakeEngine()
    groups = FakeGroups()
    clock = adapters.SystemClock()
    completions = requests.Completions(
        engine,
        groups,
        routing.make_router('tbilisi-a', lambda group: None, random_state=3),
        admission.RetryBudget(0.2),
        settings.RequestSettings(),
        clock,
        groups,
    )
    request = requests.CompletionRequest(
        'r1', FakeContract(), 'rota-model', 'who?', 5, clock.monotonic() + 9
    )
    tokens = []
    async for batch in completions.run(request):
        tokens.extend(batch)
    print('answer:', ' '.join(tokens), 'from', engine.asked)
    return tuple(tokens), engine.asked


if __name__ == '__main__':
    asyncio.run(run())
