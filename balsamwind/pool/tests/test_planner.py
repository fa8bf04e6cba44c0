"""Actions of the planner for the groups and engines of a shard."""

import dataclasses

import pytest

from balsamwind import pool
from balsamwind import traffic

LARGE = traffic.ModelProfile('large', 4, 0.5, 1.0, 16.0, 1.6)
SMALL = traffic.ModelProfile('small', 2, 0.5, 0.6, 12.0, 1.1)
TERMS = traffic.EngineProfile(models=(LARGE, SMALL), slots=9)
READY = pool.MemberState.READY
OPEN = pool.MemberState.OPEN


def _make_engine(
    name, model='', staged=(), membership=None, domain='d1', **fields
):
    return pool.ServerRecord(
        name,
        'llm',
        f'10.0.0.{abs(hash(name)) % 250}:80',
        'dc',
        domain=domain,
        model=model,
        staged=staged,
        membership=membership,
        **fields,
    )


def _make_group(names, model, epoch, state=OPEN):
    """Make the records of a group whose head reports `state`."""
    name = pool.make_group_name(model, 'dc', epoch)
    return [
        _make_engine(
            engine,
            model,
            ('large', 'small'),
            pool.Membership(name, epoch, rank, READY if rank else state),
        )
        for rank, engine in enumerate(names)
    ]


def _replace_fields(records, name, **values):
    return [
        dataclasses.replace(record, **values)
        if record.server_id == name
        else record
        for record in records
    ]


def _make_view(records, **values):
    return pool.PoolView(records=tuple(records), terms=TERMS, **values)


def _summarise(actions):
    rows = []
    for action in actions:
        match action:
            case pool.CloseGroup(group=group, cut=cut):
                rows.append(('close', group.name, cut))
            case pool.OpenGroup(group=group):
                rows.append(('open', group.name))
            case pool.FormGroup(model=model, members=members):
                ids = tuple(member.server_id for member in members)
                rows.append(('form', model, ids))
            case pool.StageModel(engine=engine, model=model):
                rows.append(('stage', engine.server_id, model))
            case pool.DisbandGroup(group=group, members=members):
                ids = tuple(member.server_id for member in members)
                rows.append(('disband', group.name, ids))
    return rows


PAIR = _make_group(['a', 'b'], 'small', 7)
PAIR_READY = _make_group(['a', 'b'], 'small', 7, READY)
PAIR_NAME = 'small.dc.7'
HALF_AND_SPARE = [
    *_replace_fields(PAIR_READY, 'b', listed=False),
    _make_engine('c', 'small', ('large', 'small')),
]


@pytest.mark.parametrize(
    ('records', 'values', 'expected'),
    [
        pytest.param(PAIR, {}, [], id='a complete open group stays open'),
        pytest.param(
            PAIR_READY,
            {},
            [('open', PAIR_NAME)],
            id='a complete group of an earlier leader is opened',
        ),
        pytest.param(
            PAIR,
            {'down': frozenset('b'), 'lost': frozenset('b')},
            [('close', PAIR_NAME, True)],
            id='a member has not answered for long',
        ),
        pytest.param(
            PAIR,
            {'down': frozenset('b')},
            [],
            id='a silent member may go on',
        ),
        pytest.param(
            _replace_fields(PAIR, 'b', listed=False),
            {'down': frozenset('b')},
            [],
            id='a silent member whose entry has expired may go on',
        ),
        pytest.param(
            PAIR[:1],
            {},
            [('close', PAIR_NAME, True)],
            id='a member has left or restarted',
        ),
        pytest.param(
            _replace_fields(PAIR, 'b', state=pool.ServerState.DRAINING),
            {},
            [('close', PAIR_NAME, False)],
            id='a member is draining: requests may finish',
        ),
        pytest.param(
            _replace_fields(PAIR, 'a', listed=False),
            {},
            [('close', PAIR_NAME, False)],
            id='an unlisted head answers',
        ),
        pytest.param(
            PAIR,
            {'down': frozenset('a')},
            [],
            id='a head that does not answer may still be open',
        ),
        pytest.param(
            PAIR, {'busy': frozenset('ab')}, [], id='an action is in progress'
        ),
        pytest.param(
            PAIR_READY,
            {'late_joiners': frozenset('b')},
            [('form', 'small', ('a', 'b'))],
            id='a member may yet carry out a join of another group',
        ),
        pytest.param(
            HALF_AND_SPARE,
            {},
            [('form', 'small', ('a', 'c'))],
            id='the head of half a group is free',
        ),
        pytest.param(
            HALF_AND_SPARE,
            {'late_openers': frozenset('a')},
            [],
            id='the head may yet open: its members are not free',
        ),
        pytest.param(
            _make_group(['a', 'b'], 'withdrawn', 7),
            {},
            [('close', 'withdrawn.dc.7', False)],
            id='the model is not configured any more',
        ),
        pytest.param(
            PAIR_READY,
            {'down': frozenset('a')},
            [],
            id='the head of a ready group does not answer',
        ),
    ],
)
def test_existing_groups_are_opened_and_closed(records, values, expected):
    assert (
        _summarise(pool.plan_pool(_make_view(records, **values))) == expected
    )


def test_group_of_a_withdrawn_model_is_closed_for_that_reason():
    records = _make_group(['a', 'b'], 'withdrawn', 7)
    (action,) = pool.plan_pool(_make_view(records))
    assert action.reason == 'its model is not configured any more'


def _make_group_without_head(extra):
    records = _replace_fields(PAIR, 'a', listed=False)
    return [*records, _make_engine('c', 'small', ('large', 'small'))], {
        'down': frozenset('a'),
        'silent_heads': {'a': pool.HeadSilent('a', 4.3, 2)},
        **extra,
    }


@pytest.mark.parametrize(
    ('extra', 'forms'),
    [
        pytest.param({}, True, id='head is gone'),
        pytest.param(
            {'silent_heads': {}},
            False,
            id='head does not answer but may be open',
        ),
        pytest.param(
            {'recently_returned': frozenset('b')},
            False,
            id='member has just come back',
        ),
    ],
)
def test_members_are_free_once_their_head_is_gone(extra, forms):
    """After an outage of a domain a head may come back open after its members.

    If the members join another group before, two groups use them at a time.
    """
    records, values = _make_group_without_head(extra)
    actions = _summarise(pool.plan_pool(_make_view(records, **values)))
    formed = [row for row in actions if row[0] == 'form']
    assert bool(formed) is forms


SEARCHED = pool.HEAD_SEARCH_TIME
DISBAND = [('disband', PAIR_NAME, ('b',))]
FORM = [('form', 'small', ('b', 'c'))]


@pytest.mark.parametrize(
    ('head', 'extra', 'expected'),
    [
        pytest.param(None, {}, [], id='nothing is known of the group'),
        pytest.param(pool.HeadUnknown(), {}, [], id='heard of just now'),
        pytest.param(pool.HeadUnknown(SEARCHED - 0.1), {}, [], id='searched'),
        pytest.param(
            pool.HeadUnknown(SEARCHED), {}, DISBAND, id='searched for long'
        ),
        pytest.param(
            pool.HeadUnknown(1e6),
            {'recently_returned': frozenset('b')},
            [],
            id='the member has just come back',
        ),
        pytest.param(
            pool.HeadUnknown(1e6), {'busy': frozenset('b')}, [], id='busy'
        ),
        pytest.param(
            pool.HeadUnknown(1e6), {'down': frozenset('b')}, [], id='down'
        ),
        pytest.param(
            pool.HeadMovedOn('a', 'small.dc.8'), {}, FORM, id='in a later one'
        ),
        pytest.param(pool.HeadEnded('a'), {}, FORM, id='started again'),
        pytest.param(
            pool.HeadEnded('a'),
            {'recently_returned': frozenset('b')},
            [],
            id='started again, the member has just come back',
        ),
        pytest.param(
            pool.HeadEnded('a'),
            {'late_leavers': frozenset('b')},
            [],
            id='the member may yet leave a later group',
        ),
    ],
)
def test_members_of_an_unknown_head_were_taken_without_evidence(
    head, extra, expected
):
    # The head served on, out of sight of the leader (TWO).
    records = [*PAIR[1:], _make_engine('c', 'small', ('large', 'small'))]
    if head is not None:
        extra = {'former_heads': {(PAIR_NAME, 7): head}, **extra}
    view = _make_view(records, **extra)
    assert _summarise(pool.plan_pool(view)) == expected


@pytest.mark.parametrize(
    ('values', 'expected'),
    [
        ({}, []),
        ({'doubtful_heads': frozenset('a')}, DISBAND),
        (
            {
                'doubtful_heads': frozenset('a'),
                'recently_returned': frozenset('b'),
            },
            [],
        ),
    ],
)
def test_members_of_a_doubtful_head_leave_their_group(values, expected):
    records = [
        *_replace_fields(PAIR, 'a', listed=False),
        _make_engine('c', 'small', ('large', 'small')),
    ]
    view = _make_view(records, down=frozenset('a'), **values)
    assert _summarise(pool.plan_pool(view)) == expected


def test_unlisted_record_of_the_same_rank_is_not_the_head():
    """An engine that restarts under a new id leaves an unlisted record.

    If that record were taken for the head, the members of the open group would
    look free.
    """
    stale_record = dataclasses.replace(
        PAIR[0],
        server_id='0',
        listed=False,
        membership=dataclasses.replace(PAIR[0].membership, state=READY),
    )
    formed = [
        row
        for row in _summarise(
            pool.plan_pool(_make_view([stale_record, *PAIR]))
        )
        if row[0] == 'form'
    ]
    assert formed == []


def test_survivors_of_a_large_group_form_a_small_one():
    records = _make_group('abcd', 'large', 3, READY)[:3]
    actions = _summarise(pool.plan_pool(_make_view(records)))
    assert ('form', 'small', ('a', 'b')) in actions


def test_groups_do_not_span_domains():
    records = [
        _make_engine('a', 'small', domain='d1'),
        _make_engine('b', 'small', domain='d2'),
    ]
    assert _summarise(pool.plan_pool(_make_view(records))) == []


def test_growing_domain_waits_for_a_large_group():
    records = [_make_engine(name) for name in 'ab']
    view = _make_view(
        records, before_traffic=True, growing_domains=frozenset({'d1'})
    )
    assert _summarise(pool.plan_pool(view)) == []
    records = [_make_engine(name) for name in 'abcd']
    view = _make_view(
        records, before_traffic=True, growing_domains=frozenset({'d1'})
    )
    assert _summarise(pool.plan_pool(view)) == [
        ('form', 'large', ('a', 'b', 'c', 'd'))
    ]


def _make_overloaded_view(pairs, **values):
    """Make a view of one overloaded large group and pairs with capacity."""
    records = _make_group('abcd', 'large', 1)
    for number in range(pairs):
        names = [f'p{number}', f'q{number}']
        records += _make_group(names, 'small', 10 + number)
    return _make_view(
        records,
        demand={'large': 12.0, 'small': 9.0},
        may_convert=True,
        **values,
    )


@pytest.mark.parametrize(
    ('pairs', 'values', 'closed'),
    [
        pytest.param(5, {}, 2, id='two pairs make room for a large group'),
        pytest.param(2, {}, 0, id='too few pairs would be left'),
        pytest.param(3, {}, 2, id='one remaining pair suffices'),
        pytest.param(
            4,
            {'demand': {'large': 12.0, 'small': 20.0}},
            0,
            id='pairs would then lack capacity',
        ),
        pytest.param(
            5, {'may_convert': False}, 0, id='no conversion is allowed'
        ),
        pytest.param(5, {'demand': {}}, 0, id='demand is not known'),
        pytest.param(
            5,
            {'demand': {'large': 4.0, 'small': 9.0}},
            0,
            id='large model has enough capacity',
        ),
        pytest.param(
            5,
            {'demand': {'large': 12.0, 'small': 50.0}},
            0,
            id='both models lack capacity',
        ),
    ],
)
def test_groups_are_closed_for_the_model_that_lacks_capacity(
    pairs, values, closed
):
    view = dataclasses.replace(_make_overloaded_view(pairs), **values)
    actions = pool.plan_pool(view)
    assert len(actions) == closed
    for action in actions:
        assert isinstance(action, pool.CloseGroup)
        assert action.target_model == 'large' and not action.cut


def test_pair_is_closed_to_complete_a_large_group():
    """Three survivors of a large group need one more engine from a pair."""
    records = _make_group('abcd', 'large', 1, READY)[:3]
    for number in range(5):
        names = [f'p{number}', f'q{number}']
        records += _make_group(names, 'small', 10 + number)
    view = _make_view(
        records, demand={'large': 9.0, 'small': 9.0}, may_convert=True
    )
    (action,) = pool.plan_pool(view)
    assert isinstance(action, pool.CloseGroup)
    assert action.target_model == 'large'


def test_pairs_closed_for_a_conversion_form_a_large_group():
    records = _make_group('abcd', 'large', 1)
    records += _make_group('ef', 'small', 10, READY)
    records += _make_group('gh', 'small', 11, READY)
    view = _make_view(
        records,
        demand={'large': 12.0, 'small': 9.0},
        reserved_domains={'d1': 'large'},
    )
    assert _summarise(pool.plan_pool(view)) == [
        ('form', 'large', ('e', 'f', 'g', 'h'))
    ]


def test_other_model_is_staged_before_traffic():
    records = [
        dataclasses.replace(record, staged=('small',))
        for record in _make_group('ab', 'small', 3)
    ]
    view = _make_view(records, before_traffic=True)
    assert _summarise(pool.plan_pool(view)) == [
        ('stage', 'a', 'large'),
        ('stage', 'b', 'large'),
    ]


THREE_SPARES = [
    *_make_group(['a', 'b'], 'small', 7),
    *(_make_engine(name) for name in 'cde'),
]


@pytest.mark.parametrize(
    ('records', 'values', 'expected'),
    [
        pytest.param(
            THREE_SPARES[:3],
            {},
            [('stage', 'c', 'large')],
            id='one spare gets the model of the large groups',
        ),
        pytest.param(
            THREE_SPARES[:2] + [_make_engine('c', staged=('small',))],
            {},
            [],
            id='a spare that holds a model keeps it',
        ),
        pytest.param(
            THREE_SPARES[:3],
            {'staging': {'c': 'large'}},
            [],
            id='one copy to a spare at a time',
        ),
        pytest.param(
            THREE_SPARES[:3],
            {'growing_domains': frozenset({'d1'})},
            [],
            id='more engines may register',
        ),
    ],
)
def test_spare_is_staged_before_traffic(records, values, expected):
    # A spare without weights could not replace a member that was lost in the
    # first seconds, as a load takes longer than the loss of the next member.
    view = _make_view(
        records, before_traffic=True, forming_engines={'small': 0}, **values
    )
    assert _summarise(pool.plan_pool(view)) == expected


def test_spares_of_a_domain_get_the_models_in_turn():
    # Spares that all hold one model replace no member of the other one.
    terms = dataclasses.replace(
        TERMS,
        models=(
            dataclasses.replace(LARGE, group_size=12),
            dataclasses.replace(SMALL, group_size=6),
        ),
    )
    records = tuple(_make_engine(name) for name in 'abc')
    view = dataclasses.replace(
        _make_view(records, before_traffic=True), terms=terms
    )
    assert _summarise(pool.plan_pool(view)) == [
        ('stage', 'a', 'large'),
        ('stage', 'b', 'small'),
        ('stage', 'c', 'large'),
    ]


@pytest.mark.parametrize(
    ('values', 'staged'),
    [
        pytest.param({}, [], id='no load is allowed'),
        pytest.param(
            {'loads_allowed': 5, 'max_concurrent_loads': 2},
            [('stage', 'a', 'large'), ('stage', 'b', 'large')],
            id='both hosts get the large model',
        ),
        pytest.param(
            {
                'loads_allowed': 5,
                'max_concurrent_loads': 2,
                'staging': {'a': 'large'},
            },
            [('stage', 'b', 'large')],
            id='one load is in progress',
        ),
        pytest.param(
            {'loads_allowed': 5, 'max_concurrent_loads': 0},
            [],
            id='no concurrent load is allowed',
        ),
    ],
)
def test_other_model_is_staged_again_after_a_change(values, staged):
    """A host keeps one model, so a change of group drops the former one."""
    records = [
        dataclasses.replace(record, staged=('small',))
        for record in _make_group('ab', 'small', 3)
    ]
    view = _make_view(records, demand={'large': 1.0, 'small': 1.0}, **values)
    assert _summarise(pool.plan_pool(view)) == staged


@pytest.mark.parametrize('allowed', [0, 1, 5])
def test_new_engines_are_staged_within_the_load_limit(allowed):
    records = [_make_engine(name) for name in 'abc']
    actions = pool.plan_pool(_make_view(records, loads_allowed=allowed))
    assert len(actions) == min(allowed, 3)


@pytest.mark.parametrize(
    ('records', 'values', 'expected'),
    [
        pytest.param(
            _make_group('abcd', 'large', 1),
            {},
            [],
            id='whole group is kept',
        ),
        pytest.param(
            _make_group('abcd', 'large', 1, READY), {}, [], id='not opened'
        ),
        pytest.param(
            [_make_engine(name, 'small', ('small',)) for name in 'ab'],
            {},
            [],
            id='not formed',
        ),
        pytest.param(
            [_make_engine(name) for name in 'ab'],
            {'loads_allowed': 4, 'max_concurrent_loads': 4},
            [],
            id='not staged',
        ),
        pytest.param(
            _make_group('abcd', 'large', 1)[:3],
            {},
            ['CloseGroup'],
            id='group without a member is closed',
        ),
    ],
)
def test_evacuated_data_centre_gets_no_new_groups(records, values, expected):
    # A group that is formed or opened there would get no requests.
    view = _make_view(records, evacuated=True, **values)
    actions = [type(action).__name__ for action in pool.plan_pool(view)]
    assert actions == expected


def test_evacuated_data_centre_converts_no_group():
    # Its demand is zero, so each model would seem to need no groups.
    view = dataclasses.replace(_make_overloaded_view(5), evacuated=True)
    assert pool.plan_pool(view) == []
