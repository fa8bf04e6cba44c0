"""Order, bounds and rejections of the waiting queue."""

import pytest

from balsamwind import scheduling


def make_ticket(
    rank=0,
    account='a',
    start_by=1.0,
    last_start=60.0,
    returned=False,
    key='',
    work=1.0,
    model='m',
    arrived_at=0.0,
):
    return scheduling.Ticket(
        rank,
        account,
        'route',
        model,
        work,
        arrived_at,
        start_by,
        last_start,
        returned,
        key,
    )


def make_queue(tickets=(), max_tickets=100, now=0.0):
    queue = scheduling.WaitingQueue(max_tickets, max_account_share=1.0)
    for ticket in tickets:
        assert queue.add(ticket, 10.0, now) == []
    return queue


@pytest.mark.parametrize(
    'tickets, order',
    [
        pytest.param(
            [{'rank': 1}, {'rank': 0, 'start_by': 2.0}], [1, 0], id='rank'
        ),
        pytest.param(
            [{'start_by': -1.0}, {'start_by': 2.0}], [1, 0], id='late'
        ),
        pytest.param(
            [{'start_by': 2.0}, {'start_by': 1.0}], [1, 0], id='start_by'
        ),
        pytest.param(
            [{'start_by': -1.0}, {'returned': True, 'start_by': 5.0}],
            [1, 0],
            id='returned before late',
        ),
        pytest.param(
            [{'returned': True}, {'start_by': 2.0}],
            [1, 0],
            id='in time before returned',
        ),
        pytest.param(
            [{'start_by': 0.5}, {'start_by': 0.6}, {'account': 'b'}],
            [0, 2, 1],
            id='accounts take turns',
        ),
    ],
)
def test_order_in_which_tickets_start(tickets, order):
    tickets = [make_ticket(**fields) for fields in tickets]
    queue = make_queue(tickets)
    assert queue.count('m') == len(tickets)
    for number in order:
        assert queue.peek('m', 0.0) is tickets[number]
        assert queue.take('m', 0.0) is tickets[number]
    assert queue.take('m', 0.0) is None
    assert len(queue) == 0


def test_ticket_becomes_late_while_it_waits():
    """A ticket past its objective must not hold up one that can meet it."""
    first, second = make_ticket(start_by=1.0), make_ticket(start_by=9.0)
    queue = make_queue([first, second])
    assert queue.peek('m', 0.5) is first
    assert queue.peek('m', 1.5) is second


def test_request_whose_turn_is_after_its_deadline_is_rejected_at_once():
    queue = make_queue([make_ticket() for _ in range(20)])
    ticket = make_ticket(last_start=1.5)
    [rejection] = queue.add(ticket, 10.0, 0.0)
    assert rejection.ticket is ticket
    assert rejection.reason == 'too_late'
    assert rejection.retry_after > 0.0
    assert len(queue) == 20


def test_no_room_at_all_rejects():
    [rejection] = make_queue().add(make_ticket(), 0.0, 0.0)
    assert rejection.reason == 'too_late'


@pytest.mark.parametrize(
    'tickets, victim',
    [
        ([{}, {'rank': 1}, {'rank': 1}, {}], 2),
        ([{'account': 'b'}, {}, {}, {'account': 'b'}, {}], 4),
        ([{}, {'start_by': -1.0}, {'start_by': -2.0}, {}], 1),
    ],
)
def test_full_queue_gives_up_lowest_rank_largest_account_newest(
    tickets, victim
):
    tickets = [make_ticket(**fields) for fields in tickets]
    queue = make_queue(tickets[:-1], max_tickets=len(tickets) - 1)
    [rejection] = queue.add(tickets[-1], 10.0, 0.0)
    assert rejection.ticket is tickets[victim]
    assert rejection.reason == 'queue_full'
    assert len(queue) == len(tickets) - 1


def test_no_account_holds_more_than_half_of_the_queue():
    queue = scheduling.WaitingQueue(10)
    for _ in range(5):
        assert not queue.add(make_ticket(), 10.0, 0.0)
    [rejection] = queue.add(make_ticket(), 10.0, 0.0)
    assert rejection.reason == 'account_full'
    assert not queue.add(make_ticket(account='b'), 10.0, 0.0)


def test_removed_ticket_does_not_start():
    tickets = [make_ticket(), make_ticket()]
    queue = make_queue(tickets)
    assert queue.remove(tickets[0])
    assert not queue.remove(tickets[0])
    assert queue.take('m', 0.0) is tickets[1]


def test_pause_expires_tickets_before_any_starts():
    """A process paused for 3 s must start nothing that is past its time."""
    old, new = make_ticket(last_start=2.0), make_ticket(last_start=9.0)
    queue = make_queue([old, new])
    assert queue.take('m', 3.0) is new
    assert len(queue) == 1
    [rejection] = queue.expire(3.0, lambda model: 10.0)
    assert (rejection.ticket, rejection.reason) == (old, 'expired')
    assert len(queue) == 0


def test_early_return_is_rejected_with_the_rest_of_its_time():
    """A client that repeats at once must not get a second reservation."""
    queue = make_queue([make_ticket() for _ in range(20)])
    [first] = queue.add(make_ticket(last_start=1.5, key='k'), 10.0, 0.0)
    repeat = make_ticket(start_by=9.0, last_start=60.0, key='k')
    now = first.retry_after / 3.0
    [second] = queue.add(repeat, 10.0, now)
    assert second.reason == 'early_return'
    assert now + second.retry_after == pytest.approx(first.retry_after)
    assert queue.add(repeat, 10.0, first.retry_after) == []
    # Its objective counts from the first try, so that it is late after it.
    assert queue.peek('m', 0.9) is not repeat
    assert queue.peek('m', 1.1) is repeat


def test_waiting_tickets_are_rejected_when_capacity_falls():
    """They must not be held until a deadline that they can't meet."""
    tickets = [make_ticket(last_start=5.0) for _ in range(20)]
    queue = make_queue(tickets)
    assert queue.expire(0.1, lambda model: 10.0) == []
    rejections = queue.expire(0.4, lambda model: 2.0)
    assert {rejection.reason for rejection in rejections} == {'too_late'}
    assert rejections[0].ticket is tickets[-1]
    assert 3 <= len(queue) <= 10


@pytest.mark.parametrize(
    'first, second, share',
    [
        pytest.param({}, {'start_by': -1.0}, 0.2, id='late keep 0.2'),
        pytest.param({}, {'rank': 1}, 0.15, id='rank keeps 0.3 of its half'),
        pytest.param({}, {'account': 'b'}, 0.5, id='equal accounts'),
        pytest.param(
            {'work': 3.0}, {'account': 'b'}, 0.375, id='weights by work'
        ),
    ],
)
def test_share_of_started_work_while_both_wait(first, second, share):
    queue = make_queue(
        [
            make_ticket(**{'last_start': 1e6, **fields})
            for _ in range(200)
            for fields in (first, second)
        ],
        max_tickets=400,
    )
    work = [0.0, 0.0]
    while min(work) < 20.0:
        ticket = queue.take('m', 0.0)
        is_second = any(getattr(ticket, n) == v for n, v in second.items())
        work[is_second] += ticket.work
    assert work[1] / sum(work) == pytest.approx(share, rel=0.15)


def test_ticket_that_becomes_late_during_a_recheck_is_rejected_once():
    # It was met again after its rejection: an error lost all rejections of
    # the round, and their callers waited until their deadlines.
    tickets = [
        make_ticket(returned=True, start_by=1.0),
        make_ticket(start_by=0.5),
    ]
    queue = make_queue(tickets)
    rejections = queue.expire(2.0, lambda model: 0.0)
    assert {rejection.ticket for rejection in rejections} == set(tickets)
    assert len(rejections) == 2
    assert len(queue) == 0
