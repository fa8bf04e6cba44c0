"""Which prompts are quarantined after engines have crashed."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from balsamwind import relay
from balsamwind.relay import _crash_evidence
from balsamwind.relay import _crash_quarantine
from balsamwind.relay import _crash_suspects

SERVICE = 'llm'


@dataclasses.dataclass(slots=True, frozen=True)
class _Crash:
    """An engine crashed soon after it had begun to answer some prompts."""

    at: float
    crash: str
    prompts: tuple[tuple[str, ...], ...]
    duration: float = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class _Answer:
    """A prompt was answered completely, several times at once."""

    at: float
    parts: tuple[str, ...]
    count: int = 3
    duration: float = 0.5


def _apply(quarantine, event):
    match event:
        case _Crash(at, crash, prompts, duration):
            for parts in prompts:
                quarantine.record_crash(crash, SERVICE, parts, duration, at)
        case _Answer(at, parts, count, duration):
            for _ in range(count):
                quarantine.record_answer(SERVICE, parts, duration, at)


def _replay(events):
    quarantine = relay.CrashQuarantine('z1')
    for event in events:
        _apply(quarantine, event)
    return quarantine


TWO_CRASHES = [
    _Crash(10.0, 'c1', (('a', 'dead'),)),
    _Crash(10.5, 'c2', (('b', 'dead'),)),
]

CASES = [
    # Test id, events, prompts that are quarantined, prompts that are not,
    # both at the time given.
    ('one crash', TWO_CRASHES[:1], 11.0, [], [('a', 'dead'), ('a',)]),
    (
        'two crashes with one part in common',
        TWO_CRASHES,
        11.0,
        [('a', 'dead'), ('b', 'dead'), ('c', 'dead'), ('dead',)],
        [('a',), ('b',), ('a', 'b'), ()],
    ),
    (
        'engines that crash at the same moment',
        [
            _Crash(10.0, 'c1', (('a',),)),
            _Crash(10.01, 'c2', (('a',),)),
            _Crash(10.02, 'c3', (('a',),)),
        ],
        11.0,
        [],
        [('a',)],
    ),
    (
        'the same crash seen by several nodes',
        [_Crash(10.0, 'c1', (('a',),)), _Crash(11.0, 'c1', (('a',),))],
        11.0,
        [],
        [('a',)],
    ),
    (
        'parts of one request that was sent twice',
        [
            _Crash(10.0, 'c1', (('a', 'dead'),)),
            _Crash(10.5, 'c2', (('a', 'dead'),)),
        ],
        11.0,
        [('a', 'dead')],
        [('a',), ('b', 'dead')],
    ),
    (
        'the next request tells its parts apart',
        [
            _Crash(10.0, 'c1', (('a', 'dead'),)),
            _Crash(10.5, 'c2', (('a', 'dead'),)),
            _Crash(11.0, 'c3', (('b', 'dead'),)),
        ],
        12.0,
        [('a', 'dead'), ('c', 'dead')],
        [('a',), ('b',)],
    ),
    (
        'a part that is answered in between',
        [
            _Crash(10.0, 'c1', (('a', 'dead'),)),
            _Answer(10.2, ('a',)),
            _Crash(10.5, 'c2', (('a', 'dead'),)),
        ],
        11.0,
        [('b', 'dead')],
        [('a',)],
    ),
    (
        'a part that was answered shortly before',
        [
            _Answer(9.0, ('a',), 6),
            _Crash(10.0, 'c1', (('a',),)),
            _Crash(11.0, 'c2', (('a',),)),
        ],
        12.0,
        [],
        [('a',)],
    ),
    (
        'sound requests that began beside a deadly one each time',
        [
            _Crash(10.0, 'c1', (('a', 'dead'), ('s',))),
            _Crash(11.0, 'c2', (('b', 'dead'), ('s',))),
            _Crash(12.0, 'c3', (('c', 'dead'), ('t',))),
        ],
        13.0,
        [('d', 'dead')],
        [('s',), ('t',)],
    ),
    (
        'the quarantine has ended',
        TWO_CRASHES,
        10.5 + _crash_suspects.BASE_QUARANTINE_TIME,
        [],
        [('a', 'dead')],
    ),
    (
        'a further crash prolongs the quarantine',
        [*TWO_CRASHES, _Crash(80.0, 'c3', (('c', 'dead'),))],
        80.0 + _crash_suspects.BASE_QUARANTINE_TIME + 1.0,
        [('a', 'dead')],
        [('a',)],
    ),
]


@pytest.mark.parametrize(
    ('events', 'now', 'quarantined', 'free'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_quarantined_prompts(events, now, quarantined, free):
    quarantine = _replay(events)
    for parts in quarantined:
        assert quarantine.find(SERVICE, parts, now) is not None, parts
    for parts in free:
        assert quarantine.find(SERVICE, parts, now) is None, parts
    assert quarantine.find('other', ('dead',), now) is None


def test_time_left_is_that_of_the_last_crash():
    found = _replay(TWO_CRASHES).find(SERVICE, ('dead',), 20.5)
    assert found.crashes == 2
    assert found.time_left == _crash_suspects.BASE_QUARANTINE_TIME - 10.0


def test_evidence_is_bounded():
    quarantine = relay.CrashQuarantine('z1')
    for number in range(3 * _crash_quarantine.MAX_SUSPECTS):
        parts = (f'p{number}',)
        quarantine.record_crash(f'c{number}', SERVICE, parts, 0.3, 10.0)
        quarantine.record_answer(SERVICE, (f's{number}',), 0.5, 10.0)
    snapshot = quarantine.make_snapshot(10.0)
    most = _crash_quarantine.MAX_SUSPECTS
    assert 0.8 * most <= len(snapshot.reports) <= most
    assert len(snapshot.sound) <= _crash_quarantine.MAX_CLEARED


def test_quarantined_part_was_pushed_out_of_a_full_table():
    quarantine = _replay(TWO_CRASHES)
    for number in range(2 * _crash_quarantine.MAX_SUSPECTS):
        quarantine.record_crash(
            f'x{number}', SERVICE, (f'p{number}',), 0.3, 11.0
        )
    assert quarantine.find(SERVICE, ('dead',), 12.0) is not None


def test_evidence_expires():
    quarantine = _replay(TWO_CRASHES)
    end = 11.0 + _crash_quarantine.RETENTION_TIME
    assert not quarantine.make_snapshot(end)
    assert not quarantine.has_suspects


PARTS = strategies.lists(
    strategies.sampled_from('abcd'), min_size=1, max_size=2, unique=True
).map(tuple)
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2), strategies.integers(0, 5), PARTS
    ),
    max_size=12,
)


@hypothesis.given(EVENTS, strategies.randoms(use_true_random=False))
def test_nodes_agree_once_all_evidence_has_reached_them(events, rng):
    """Whatever the order in which evidence comes, and however often."""
    nodes = [relay.CrashQuarantine(f'z{number}') for number in range(3)]
    sent = []
    for step, (node, crash, parts) in enumerate(events):
        now = 10.0 + step
        news = nodes[node].record_crash(f'c{crash}', SERVICE, parts, 0.3, now)
        sent.append((news, now))
    now = 10.0 + len(events)
    for quarantine in nodes:
        mixed = [*sent, *sent]
        rng.shuffle(mixed)
        for news, at in mixed:
            aged = relay.CrashEvidence(
                tuple(
                    dataclasses.replace(report, age=now - at)
                    for report in news.reports
                ),
                news.sound,
            )
            quarantine.merge(aged, now)
    for parts in ('a', 'b', 'c', 'd', 'ab', 'cd'):
        found = {
            quarantine.find(SERVICE, tuple(parts), now) is not None
            for quarantine in nodes
        }
        assert len(found) == 1


def test_snapshot_tells_a_new_node_all():
    old = _replay(TWO_CRASHES)
    new = relay.CrashQuarantine('z2')
    assert new.merge(old.make_snapshot(12.0), 500.0)
    found = new.find(SERVICE, ('dead',), 500.0)
    assert found.crashes == 2
    assert found.time_left == pytest.approx(
        old.find(SERVICE, ('dead',), 12.0).time_left
    )
    assert not new.merge(old.make_snapshot(12.0), 500.0)


def test_node_that_knows_a_part_as_sound_says_so():
    node = relay.CrashQuarantine('z1')
    other = relay.CrashQuarantine('z1')
    for _ in range(3):
        node.record_answer(SERVICE, ('a',), 0.5, 9.0)
    news = other.record_crash('c1', SERVICE, ('a', 'dead'), 0.3, 10.0)
    reply = node.merge(news, 10.1)
    other.merge(reply, 10.2)
    other.record_crash('c2', SERVICE, ('a', 'b'), 0.3, 11.0)
    assert other.find(SERVICE, ('a',), 11.1) is None


def _make_late_crashes(count, interval, duration=4.0):
    return [
        _Crash(10.0 + number * interval, f'c{number}', (('dead',),), duration)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ('events', 'is_held'),
    [
        pytest.param(_make_late_crashes(2, 5.0), False, id='two late ones'),
        pytest.param(_make_late_crashes(3, 5.0), True, id='three late ones'),
        pytest.param(
            _make_late_crashes(3, 1.0), True, id='under answers that overlap'
        ),
        pytest.param(
            _make_late_crashes(3, 0.01), False, id='at the same moment'
        ),
        pytest.param(
            [
                *_make_late_crashes(1, 5.0),
                *TWO_CRASHES[1:],
            ],
            False,
            id='a late and an early one',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', (('dead',),), 4.0),
                _Crash(10.0, 'c1', (('dead',),), 0.2),
                _Crash(11.0, 'c2', (('dead',),), 0.6),
            ],
            True,
            id='the answer that began last counts',
        ),
    ],
)
def test_crashes_long_after_the_beginning_never_counted(events, is_held):
    found = _replay(events).find(SERVICE, ('dead',), 25.0)
    assert (found is not None) is is_held


REQUEST = 'request:1'
"""Fingerprint of the request that crashes servers."""


def _make_sound(count):
    return tuple((f'request:s{number}',) for number in range(count))


@pytest.mark.parametrize(
    ('events', 'quarantined', 'served'),
    [
        pytest.param(
            [_Crash(10.0, 'c1', ((REQUEST,), *_make_sound(10)))],
            [],
            [(REQUEST,), *_make_sound(10)],
            id='one crash blames nobody',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', ((REQUEST,), *_make_sound(10))),
                _Crash(10.5, 'c2', ((REQUEST,), ('request:t',))),
            ],
            [(REQUEST,)],
            [*_make_sound(10), ('request:t',)],
            id='those beside it are served',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', ((REQUEST,), ('request:s',))),
                _Crash(10.5, 'c2', ((REQUEST,), ('request:s',))),
                _Crash(11.5, 'c3', ((REQUEST,),)),
            ],
            [(REQUEST,)],
            [('request:s',)],
            id='one that was sent again beside it too',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', ((REQUEST,), ('request:s',))),
                _Crash(10.5, 'c2', ((REQUEST,), ('request:s',))),
            ],
            [(REQUEST,), ('request:s',)],
            [],
            id='either of two',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', ((REQUEST,), ('request:s',))),
                _Crash(10.5, 'c2', ((REQUEST,), ('request:s',))),
                _Answer(10.7, ('request:s',)),
            ],
            [(REQUEST,)],
            [('request:s',)],
            id='one that was answered',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', (('a', 'dead', 'request:1'),)),
                _Crash(10.5, 'c2', (('b', 'dead', 'request:2'),)),
            ],
            [('c', 'dead', 'request:3')],
            [('a', 'request:4'), ('b', 'request:5')],
            id='deadly part of prompts',
        ),
        pytest.param(
            [
                _Crash(10.0, 'c1', (('a', REQUEST),)),
                _Crash(10.5, 'c2', (('a', REQUEST),)),
            ],
            [('a', REQUEST)],
            [('a', 'request:2')],
            id='deadly request among sound ones with its part',
        ),
    ],
)
def test_request_that_crashes_servers_is_quarantined_alone(
    events, quarantined, served
):
    quarantine = _replay(events)
    for names in quarantined:
        assert quarantine.find(SERVICE, names, 12.0) is not None
    for names in served:
        assert quarantine.find(SERVICE, names, 12.0) is None


def test_other_data_centres_hear_of_a_request_after_two_crashes():
    quarantine = relay.CrashQuarantine('z1')
    news = quarantine.record_crash('c1', SERVICE, (REQUEST,), 0.1, 10.0)
    assert not quarantine.find_news_for_others(news)
    assert not quarantine.make_snapshot(10.0, 'z1')
    assert not quarantine.concerns_others
    news = quarantine.record_crash('c2', SERVICE, (REQUEST,), 0.1, 10.5)
    assert quarantine.find_news_for_others(news)
    assert len(quarantine.make_snapshot(11.0, 'z1').reports) == 2
    assert quarantine.concerns_others


def _crash_and_answer(answers, duration=0.5, rounds=6):
    events = []
    for number in range(rounds):
        at = 10.0 + number
        events.append(_Crash(at, f'c{number}', (('part',),)))
        if answers:
            events.append(_Answer(at + 0.5, ('part',), answers, duration))
    return events


@pytest.mark.parametrize(
    ('events', 'is_held'),
    [
        pytest.param(_crash_and_answer(1), True, id='one answer a crash'),
        pytest.param(_crash_and_answer(3), False, id='three answers a crash'),
        pytest.param(
            _crash_and_answer(10, 0.1), True, id='ten that were too short'
        ),
        pytest.param(
            _crash_and_answer(30, 0.1), False, id='thirty short ones'
        ),
        pytest.param(
            [*_crash_and_answer(0), _Answer(17.0, ('part',), 1)],
            True,
            id='one answer after six crashes',
        ),
        pytest.param(
            [_Answer(9.0, ('part',), 40), *_crash_and_answer(0)],
            False,
            id='popular part beside six crashes',
        ),
        pytest.param(
            [_Answer(-31.0, ('part',), 40), *_crash_and_answer(0)],
            True,
            id='answers of long ago',
        ),
    ],
)
def test_one_whole_answer_outweighed_all_crashes(events, is_held):
    found = _replay(events).find(SERVICE, ('part',), 18.0)
    assert (found is not None) is is_held


def test_answers_of_all_nodes_add_up():
    nodes = []
    for name in ('n1', 'n2', 'n3'):
        quarantine = _replay(TWO_CRASHES)
        quarantine.node_order.set_nodes(name, ('n1', 'n2', 'n3'))
        nodes.append(quarantine)
    news = [
        quarantine.record_answer(SERVICE, ('dead',), 0.5, 11.0)
        for quarantine in nodes
    ]
    for quarantine in nodes:
        assert quarantine.find(SERVICE, ('dead',), 12.0) is not None
    for quarantine in nodes:
        for item in [*news, *news]:
            quarantine.merge(item, 11.1)
    for quarantine in nodes:
        assert quarantine.find(SERVICE, ('dead',), 12.0) is None


NODES = [f'n{number}' for number in range(6)]


def _open_fleet(names):
    fleet = []
    for name in names:
        quarantine = _replay(TWO_CRASHES)
        quarantine.node_order.set_nodes(name, names)
        fleet.append(quarantine)
    return fleet


def test_all_nodes_tried_a_part_again_at_the_same_moment():
    """Callers send at every node; the next crash is known 2 s later."""
    fleet = _open_fleet(NODES)
    now = 10.5 + _crash_suspects.BASE_QUARANTINE_TIME
    parts = ('x', 'dead')
    tries = []
    while now < 80.0 and (not tries or now < tries[0] + 2.0):
        for number, quarantine in enumerate(fleet):
            attempt = object()
            if quarantine.find_obstacle(SERVICE, parts, now, attempt) is None:
                quarantine.begin_trial(SERVICE, parts, attempt, now)
                tries.append(now)
        now += 0.1
    assert len(tries) == 1


def test_part_that_only_one_node_is_asked_for_is_tried_in_the_end():
    now = 10.5 + _crash_suspects.BASE_QUARANTINE_TIME + 10.0
    for quarantine in _open_fleet(NODES):
        assert quarantine.find_obstacle(SERVICE, ('dead',), now) is None


def test_trial_lets_one_attempt_through_until_it_is_over():
    quarantine = _replay(TWO_CRASHES)
    now = 10.5 + _crash_suspects.BASE_QUARANTINE_TIME
    parts, attempt = ('dead',), object()
    quarantine.begin_trial(SERVICE, parts, attempt, now)
    find = quarantine.find_obstacle
    assert find(SERVICE, parts, now, attempt) is None
    assert find(SERVICE, parts, now + 1.0, object()).time_left > 0.0
    assert find(SERVICE, ('a',), now + 1.0, object()) is None
    quarantine.record_answer(SERVICE, parts, 0.1, now + 1.0)
    assert find(SERVICE, parts, now + 1.0, object()) is None


def test_changes_name_what_decided_them():
    """What is held and what lifts it can be told apart in the log."""
    quarantine = relay.CrashQuarantine('z1')
    changes = []
    quarantine.on_change = changes.append
    for event in TWO_CRASHES:
        _apply(quarantine, event)
    (begun,) = changes
    assert (begun.part, begun.crashes) == ('dead', ('c1', 'c2'))
    assert begun.time_left == _crash_suspects.BASE_QUARANTINE_TIME
    item = _crash_evidence.SoundPart(SERVICE, 'dead', ('c1', 'c2'))
    quarantine.merge(_crash_evidence.CrashEvidence(sound=(item,)), 11.0)
    assert changes[1:] == [
        relay.PartCleared(SERVICE, 'dead', ('c1', 'c2'), False)
    ]
