"""Processor time of adding and taking with many tickets in the queue.

Run: ``python -m benchmarks.waiting_queue``. Each round takes the next ticket
and adds one, so that the number of waiting tickets stays the same. One row
adds to a full queue instead, so that each round rejects a ticket.
"""

import argparse
import gc
import random
import time

from balsamwind import scheduling

# Waiting tickets, accounts and ranks of each row.
ROWS = (
    (1_000, 24, 1),
    (10_000, 1, 1),
    (10_000, 24, 1),
    (10_000, 24, 3),
    (10_000, 400, 3),
)

ROOM_RATE = 4_000.0


def make_ticket(rng, accounts, ranks, now):
    """Make a ticket of a random account and rank.

    Parameters
    ----------
    rng : random.Random
        Source of the choices.
    accounts : int
        Client accounts (count).
    ranks : int
        Ranks (count).
    now : float
        Current time (seconds).

    Returns
    -------
    balsamwind.scheduling.Ticket
    """
    objective = rng.choice((0.25, 0.5, 1.0))
    return scheduling.Ticket(
        rng.randrange(ranks),
        f'account{int(accounts * rng.random() ** 2)}',
        'route',
        'm',
        rng.uniform(0.5, 1.5),
        now,
        now + objective,
        now + 60.0,
        False,
        f'{rng.getrandbits(64):x}',
    )


def measure(tickets, accounts, ranks, rounds, seed, is_full):
    """Time rounds of one take and one add.

    Parameters
    ----------
    tickets : int
        Waiting tickets (count).
    accounts : int
        Client accounts (count).
    ranks : int
        Ranks (count).
    rounds : int
        Rounds to time (count).
    seed : int
        Seed of the tickets.
    is_full : bool
        Whether the queue is full and nothing is taken.

    Returns
    -------
    tuple of list of float
        Sorted times of taking and of adding (seconds).
    """
    rng = random.Random(seed)
    bound = tickets if is_full else 2 * tickets
    queue = scheduling.WaitingQueue(bound, max_account_share=1.0)
    for number in range(tickets):
        now = number / tickets
        queue.add(make_ticket(rng, accounts, ranks, now), ROOM_RATE, now)
    take_times, add_times = [], []
    # The pauses of the garbage collector belong to no single call.
    gc.collect()
    gc.disable()
    for number in range(rounds):
        now = 1.0 + number / ROOM_RATE
        ticket = make_ticket(rng, accounts, ranks, now)
        start = time.thread_time()
        if not is_full:
            queue.take('m', now)
        middle = time.thread_time()
        queue.add(ticket, ROOM_RATE, now)
        end = time.thread_time()
        take_times.append(middle - start)
        add_times.append(end - middle)
    gc.enable()
    return sorted(take_times), sorted(add_times)


def main():
    """Print a table of times, one line for each row."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=20_000)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    print('tickets accounts ranks   full | take mean p50 p99 | add mean ...us')
    rows = [(*row, False) for row in ROWS]
    rows += [(10_000, 24, 1, True), (10_000, 24, 3, True)]
    for tickets, accounts, ranks, is_full in rows:
        results = measure(
            tickets,
            accounts,
            ranks,
            arguments.rounds,
            arguments.seed,
            is_full,
        )
        print(f'{tickets:7} {accounts:8} {ranks:5} {is_full!s:>6}', end='')
        for times in results:
            row = [
                sum(times) / len(times),
                times[len(times) // 2],
                times[int(0.99 * len(times))],
            ]
            print(' |', *(f'{value * 1e6:6.1f}' for value in row), end='')
        print()


if __name__ == '__main__':
    main()
