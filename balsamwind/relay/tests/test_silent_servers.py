"""Servers that fall silent in the middle of an answer, sound or gone."""

import asyncio

import pytest

from balsamwind import relay
from balsamwind.relay import _backends
from balsamwind.relay import _load_balancing
from balsamwind.relay import _progress_watch
from balsamwind.relay.tests import forwarding

PAUSE = 0.8
"""Silence of a sound server (seconds), longer than the stall timeout."""

MAX_SUCCESSION_TIME = (
    _backends.STALL_TIMEOUT + 2 * _progress_watch.POLL_INTERVAL + 0.1
)
"""Time from the last event of a server that is gone until another one is
asked (seconds)."""

EVENTS = [forwarding.make_event(number) for number in range(4)]
ALL_EVENTS = b''.join(EVENTS)
HEAD = forwarding.make_head(framing=forwarding.CHUNKED)


def _make_stream(first, last, *extra):
    chunks = map(forwarding.make_chunk, EVENTS[first:last])
    return [HEAD, *chunks, *extra]


WHOLE = _make_stream(0, 4, forwarding.LAST_CHUNK)
REST = _make_stream(2, 4, forwarding.LAST_CHUNK)
GONE = _make_stream(0, 2, forwarding.SILENCE)
SOUND = {
    'before its first event': [HEAD, 1.5, *WHOLE[1:]],
    'between two events': [*_make_stream(0, 2), PAUSE, *REST[1:]],
    'within an event': [
        *_make_stream(0, 2),
        forwarding.make_chunk(EVENTS[2][:5]),
        PAUSE,
        forwarding.make_chunk(EVENTS[2][5:]),
        *REST[2:],
    ],
    'before its end': [*_make_stream(0, 4), PAUSE, forwarding.LAST_CHUNK],
}


class _Placement:
    """Places attempts at one backend after the other, up to a number."""

    def __init__(self, room):
        self._room = room
        self.reports = []
        self.ends = []
        self.placed = 0

    async def place(self, service, requirements, tried, quiet, **values):
        if self.placed >= self._room:
            return relay.NoBackendAvailable('no room', 0.1)
        key = relay.BackendKey('llm', f'e{self.placed}', 1)
        self.placed += 1
        return relay.Placement(self.placed, key)

    def report_stall(self, number):
        self.reports.append((number, 'stall'))

    def report_progress(self, number, time_to_first_event, load):
        self.reports.append((number, 'progress'))

    def end(self, number, outcome, load):
        self.ends.append((number, outcome))


def _forward(scripts, room=4, max_attempts=2, on_relay=None):
    placement = _Placement(room)
    responder, engine, error = asyncio.run(
        forwarding.forward(
            scripts, max_attempts, placement=placement, on_relay=on_relay
        )
    )
    return responder, engine, error, placement


def _spend_budget(fake_relay):
    fake_relay.try_consume = lambda now: False


@pytest.fixture(autouse=True)
def _expect_first_events_soon(monkeypatch):
    """Let the first event be awaited no longer than the others."""
    monkeypatch.setattr(_backends, 'FIRST_EVENT_STALL_MARGIN', 0.45)
    monkeypatch.setattr(
        _load_balancing, 'predict_time_to_first_event', lambda *_: 0.0
    )


@pytest.mark.parametrize('first', SOUND.values(), ids=SOUND)
@pytest.mark.parametrize(
    ('others', 'room', 'on_relay'),
    [
        pytest.param([], 1, None, id='no room'),
        pytest.param([WHOLE], 4, _spend_budget, id='no budget'),
        pytest.param([[forwarding.CUT]], 4, None, id='cut'),
        pytest.param([[HEAD, forwarding.CUT]], 4, None, id='empty and cut'),
        pytest.param(
            [[forwarding.make_head(500, framing='Content-Length: 0\r\n')]],
            4,
            None,
            id='error',
        ),
        pytest.param([[forwarding.SILENCE]], 4, None, id='silent as well'),
    ],
)
def test_sound_stream_was_cut_where_none_could_take_over(
    first, others, room, on_relay
):
    # LOST: a running answer was given up before another one had begun.
    responder, engine, error, _ = _forward([first, *others], room, 2, on_relay)
    assert error is None
    assert responder.complete
    assert responder.starts == 1
    assert responder.body == ALL_EVENTS


def test_stream_whose_end_was_late_was_cut_for_an_empty_one():
    first = SOUND['before its end']
    second = [HEAD, forwarding.LAST_CHUNK]
    responder, engine, error, _ = _forward([first, second])
    assert error is None
    assert responder.complete
    assert responder.body == ALL_EVENTS


@pytest.mark.parametrize(
    ('second', 'third'),
    [
        pytest.param(REST, [], id='the second goes on'),
        pytest.param([forwarding.CUT], [REST], id='the third goes on'),
    ],
)
def test_stream_of_a_server_that_is_gone_moves_on_at_once(second, third):
    scripts = [GONE, second, *third]
    responder, engine, error, placement = _forward(scripts, 4, 3)
    assert error is None
    assert responder.complete
    assert responder.body == ALL_EVENTS
    waited = engine.asked_at[1] - engine.asked_at[0]
    assert waited <= MAX_SUCCESSION_TIME
    assert (1, relay.Outcome.STALLED) in placement.ends


def test_search_for_a_successor_is_repeated_until_there_is_room():
    class Filling(_Placement):
        async def place(self, *arguments, **values):
            self._room += 0.4
            return await super().place(*arguments, **values)

    placement = Filling(0.6)
    paid = []

    def pay(now):
        paid.append(now)
        return True

    def on_relay(fake_relay):
        fake_relay.try_consume = pay

    responder, engine, error = asyncio.run(
        forwarding.forward(
            [GONE, REST], 2, placement=placement, on_relay=on_relay
        )
    )
    assert error is None
    assert responder.complete
    assert engine.requests == 2
    assert len(paid) == 1


def test_late_events_of_a_server_that_was_overtaken_are_dropped():
    first = [*_make_stream(0, 2), 0.6, *REST[1:]]
    second = [HEAD, 0.02, *map(forwarding.make_chunk, EVENTS[2:3]), 0.2]
    second += [forwarding.make_chunk(EVENTS[3]), forwarding.LAST_CHUNK]
    responder, engine, error, placement = _forward([first, second])
    assert error is None
    assert responder.body == ALL_EVENTS
    assert engine.requests == 2
    assert len(placement.ends) == 2


def test_attempts_at_silent_servers_are_bounded():
    responder, engine, error, placement = _forward([GONE] * 9, 9, 3)
    assert engine.requests == 3
    assert not responder.complete
    assert error.status == 504
    assert len(placement.ends) == 3


def test_sound_group_stayed_ejected_after_its_silence():
    # Requests waited for a group that had long gone on.
    first = SOUND['between two events']
    *_, placement = _forward([first], room=1)
    assert placement.reports == [
        (1, 'progress'),
        (1, 'stall'),
        (1, 'progress'),
    ]
    assert placement.ends == [(1, relay.Outcome.ANSWERED)]
