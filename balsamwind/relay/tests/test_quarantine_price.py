"""What the quarantine costs sound requests while engines crash by themselves.

Load pattern: six nodes, thirty engines, prompts of four kinds with a subject
each, some asked for often and some seldom; engines crash one after the other
for reasons of their own, so that no part is to blame.
"""

import dataclasses
import heapq
import itertools
import random

import pytest

from balsamwind import relay

SERVICE = 'llm'
NODES = 6
ENGINES = 30
RATE = 80.0
"""Requests (per second)."""

SECONDS = 60.0
KINDS = 4
SUBJECTS = 200

MAX_REFUSED_SHARE = 0.01
"""Share of sound requests that may be refused."""


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Event:
    at: float
    number: int
    kind: str
    engine: int = -1
    node: int = -1
    parts: tuple[str, ...] = ()
    began_at: float = 0.0


class _Fleet:
    """Nodes that share all evidence at once, and their engines."""

    def __init__(self, seed, crash_interval, duration):
        self._rng = random.Random(seed)
        self._nodes = [relay.CrashQuarantine('z1') for _ in range(NODES)]
        names = [f'n{number}' for number in range(NODES)]
        for name, node in zip(names, self._nodes, strict=True):
            node.node_order.set_nodes(name, names)
        self._running = {}
        self._numbers = itertools.count()
        self._events = []
        self._crash_interval = crash_interval
        self._duration = duration
        self.asked = 0
        self.refused = 0

    def _push(self, at, kind, **values):
        event = _Event(at, next(self._numbers), kind, **values)
        heapq.heappush(self._events, event)
        return event

    def run(self):
        self._push(0.0, 'request')
        self._push(5.0, 'crash')
        while self._events and self._events[0].at < SECONDS:
            event = heapq.heappop(self._events)
            getattr(self, f'_handle_{event.kind}')(event)

    def _handle_request(self, event):
        self._push(event.at + self._rng.expovariate(RATE), 'request')
        subject = int(SUBJECTS * self._rng.random() ** 2)
        parts = (f'k{self._rng.randrange(KINDS)}', f's{subject}')
        self._send(event.at, self._rng.randrange(NODES), parts)

    def _send(self, at, node, parts):
        self.asked += 1
        if self._nodes[node].find_obstacle(SERVICE, parts, at) is not None:
            self.refused += 1
            return
        answer = self._push(
            at + self._duration * self._rng.uniform(0.5, 1.5),
            'answer',
            engine=self._rng.randrange(ENGINES),
            node=node,
            parts=parts,
            began_at=at,
        )
        self._running[answer.number] = answer

    def _handle_answer(self, event):
        if self._running.pop(event.number, None) is None:
            return
        news = self._nodes[event.node].record_answer(
            SERVICE, event.parts, event.at - event.began_at, event.at
        )
        self._share(news, event.node, event.at)

    def _handle_crash(self, event):
        self._push(event.at + self._crash_interval, 'crash')
        engine = self._rng.randrange(ENGINES)
        cut = [run for run in self._running.values() if run.engine == engine]
        for run in cut:
            del self._running[run.number]
            news = self._nodes[run.node].record_crash(
                f'c{event.number}',
                SERVICE,
                run.parts,
                event.at - run.began_at,
                event.at,
            )
            self._share(news, run.node, event.at)

    def _share(self, news, source, at):
        waiting = [(news, source)]
        while waiting:
            news, source = waiting.pop()
            if not news:
                continue
            for number, node in enumerate(self._nodes):
                if number != source:
                    waiting.append((node.merge(news, at), number))


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('crash_interval', 'duration'),
    [(3.0, 1.0), (3.0, 4.0), (1.0, 1.0), (1.0, 4.0)],
)
def test_sound_requests_beside_crashes_were_refused(
    seed, crash_interval, duration
):
    fleet = _Fleet(seed, crash_interval, duration)
    fleet.run()
    print(f'{fleet.refused} of {fleet.asked} refused')
    assert fleet.refused <= MAX_REFUSED_SHARE * fleet.asked
