"""Two attempts of one request beside each other, and what each may do."""

import asyncio
import contextlib
import dataclasses

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import relay
from balsamwind.relay import _backends
from balsamwind.relay import _load_balancing
from balsamwind.relay.tests import forwarding

EVENTS = [forwarding.make_event(number) for number in range(4)]
ALL_EVENTS = b''.join(EVENTS)
HEAD = forwarding.make_head(framing=forwarding.CHUNKED)
COMMENT = forwarding.make_chunk(b': ready\n\n')
REFUSED = (
    b'HTTP/1.1 503 X\r\nX-Balsamwind-Not-Executed: true\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def _make_stream(first, last, *extra):
    chunks = map(forwarding.make_chunk, EVENTS[first:last])
    return [HEAD, *chunks, *extra]


REST = _make_stream(2, 4, forwarding.LAST_CHUNK)
GONE = _make_stream(0, 2, forwarding.SILENCE)
SOUND = [*_make_stream(0, 2), 0.8, *REST[1:]]


class Placement:
    """Places attempts at one backend after the other, up to a number."""

    def __init__(self, count=4):
        self._count = count
        self.stalls = []
        self.ends = []
        self.placed = 0

    async def place(self, service, requirements, tried, quiet, **values):
        if self.placed >= self._count:
            return None
        key = relay.BackendKey('llm', f'e{self.placed}', 1)
        self.placed += 1
        return relay.Placement(self.placed, key)

    def report_stall(self, number):
        self.stalls.append(number)

    def report_progress(self, number, time_to_first_event, load):
        pass

    def end(self, number, outcome, load):
        self.ends.append((number, outcome))


def expect_first_events_soon(monkeypatch):
    """Let the first event be awaited no longer than the others."""
    monkeypatch.setattr(_backends, 'FIRST_EVENT_STALL_MARGIN', 0.45)
    monkeypatch.setattr(
        _load_balancing, 'predict_time_to_first_event', lambda *_: 0.0
    )


@pytest.fixture(autouse=True)
def _expect_first_events_soon(monkeypatch):
    expect_first_events_soon(monkeypatch)


class _Engine:
    """Plays one script a connection, and counts those that are open."""

    def __init__(self, scripts):
        self._scripts = list(scripts)
        self.requests = 0
        self.open = 0

    async def handle(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(2)
            self.requests += 1
            self.open += 1
            playing = asyncio.ensure_future(
                self._play(self._scripts.pop(0), writer)
            )
            try:
                await reader.read(1)
            finally:
                self.open -= 1
                playing.cancel()
                writer.close()

    async def _play(self, steps, writer):
        for step in steps:
            if step == forwarding.SILENCE:
                await asyncio.sleep(60.0)
            elif isinstance(step, float):
                await asyncio.sleep(step)
            else:
                writer.write(step)
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _run_engine(scripts, placement):
    engine = _Engine(scripts)
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for _ in range(4):
            server = await asyncio.start_server(engine.handle, '127.0.0.1', 0)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            addresses.append(f'127.0.0.1:{port}')
        client = adapters.HttpClient()
        stack.callback(client.close)
        fake_relay = forwarding.FakeRelay(
            addresses, client, forwarding.Clock()
        )
        fake_relay.placement = placement
        yield engine, fake_relay


def _forward(scripts, max_attempts=2, on_relay=None, placement=None):
    placement = placement or Placement()
    responder, engine, error = asyncio.run(
        forwarding.forward(
            scripts, max_attempts, placement=placement, on_relay=on_relay
        )
    )
    return responder, engine, error, placement


def test_sound_attempt_was_ended_for_a_comment_of_another():
    # LOST: the second attempt had nothing for the caller but a comment.
    responder, _, error, _ = _forward(
        [SOUND, [HEAD, COMMENT, forwarding.SILENCE]]
    )
    assert error is None
    assert responder.complete
    assert responder.body.replace(b': ready\n\n', b'') == ALL_EVENTS


def test_stream_was_completed_by_a_comment_in_place_of_its_rest():
    # ORDER: the stream ended as complete before its last event.
    cut = _make_stream(0, 2, forwarding.CUT)
    empty = [HEAD, COMMENT, forwarding.LAST_CHUNK]
    responder, _, _, _ = _forward([cut, empty])
    assert not responder.complete


def test_sound_server_was_ejected_as_its_caller_left_after_a_silence():
    async def run():
        placement = Placement()
        script = [*_make_stream(0, 2), 0.7, *REST[1:2], forwarding.SILENCE]
        async with _run_engine([script], placement) as (_, fake_relay):
            fake_relay.try_consume = lambda now: False
            responder = forwarding.Responder()
            task = asyncio.ensure_future(
                forwarding.send_one(fake_relay, responder, 2)
            )
            while EVENTS[2] not in responder.body:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait({task})
        assert placement.stalls == [1]
        return placement.ends

    assert asyncio.run(run()) == [(1, relay.Outcome.REFUSED)]


def test_second_silence_of_an_attempt_was_kept_from_the_placing_node():
    script = [*_make_stream(0, 2), 0.7, *REST[1:2], 0.7, *REST[2:]]
    responder, _, _, placement = _forward([script], 1)
    assert responder.complete
    assert placement.stalls == [1, 1]


def test_caller_that_left_a_silent_attempt_kept_none_running():
    # GONE: all attempts end with the caller, and give back their places.
    async def run():
        placement = Placement()
        scripts = [GONE, [forwarding.SILENCE]]
        async with _run_engine(scripts, placement) as (engine, fake_relay):
            task = asyncio.ensure_future(
                forwarding.send_one(fake_relay, None, 2)
            )
            while engine.requests < 2:
                await asyncio.sleep(0.01)
            assert engine.open == 2
            task.cancel()
            await asyncio.wait({task})
            ended = list(placement.ends)
            in_flight = [item.in_flight for item in fake_relay._backends]
            await asyncio.sleep(0.1)
            return engine.open, sorted(n for n, _ in ended), in_flight

    assert asyncio.run(run()) == (0, [1, 2], [0, 0, 0, 0])


def test_request_with_two_attempts_ended_by_a_promise_at_the_deadline():
    # REFUSED: one of the two attempts may have run.
    first = [forwarding.SILENCE]
    responder, engine, error, _ = _forward([first, [forwarding.SILENCE]])
    assert engine.requests == 2
    assert error.status == 504
    assert error.run != exceptions.NOT_RUN


def test_attempt_that_was_not_sent_cost_the_budget_twice():
    paid = []

    def pay(now):
        paid.append(now)
        return True

    def on_relay(fake_relay):
        fake_relay.try_consume = pay
        backend = fake_relay._backends[1]
        backend.record = dataclasses.replace(
            backend.record, address='127.0.0.1:1'
        )

    responder, engine, error, _ = _forward([GONE, REST], 2, on_relay)
    assert responder.complete
    assert engine.requests == 2
    assert len(paid) == 1


def test_groups_that_were_full_for_a_moment_were_never_asked_again():
    # The stream of a server that was gone waited for its deadline.
    placement = Placement(0)
    scripts = [GONE, *[[REFUSED]] * 3, REST]
    responder, engine, error, _ = _forward(scripts, placement=placement)
    assert error is None
    assert responder.body == ALL_EVENTS


def test_request_that_runs_once_was_sent_twice(monkeypatch):
    make_route = forwarding.make_route
    monkeypatch.setattr(
        forwarding,
        'make_route',
        lambda max_attempts: make_route(max_attempts, resumable=False),
    )
    responder, engine, error, _ = _forward([SOUND, REST], 3)
    assert engine.requests == 1
    assert responder.body == ALL_EVENTS


def test_server_of_an_attempt_that_was_overtaken_is_watched():
    """Its silence may be the beginning of its crash."""
    watched = []

    def set_up(fake_relay):
        fake_relay.crash_reporter.watch_abandoned = lambda backend, *rest: (
            watched.append(backend.key[1])
        )

    responder, _, error = asyncio.run(
        forwarding.forward(
            [GONE, REST], placement=Placement(), on_relay=set_up
        )
    )
    assert error is None
    assert responder.body == ALL_EVENTS
    assert watched == ['e0']
