"""Processor time of choosing a group for a request, by number of groups.

Run: ``python -m benchmarks.choice_cost``. Each group has one engine, which is
the most expensive case: the same engines in larger groups make fewer groups
to choose from.
"""

import argparse
import random
import statistics
import time

from balsamwind import objects
from balsamwind import ports
from balsamwind import routing

# Groups to choose from in each run.
SIZES = (60, 400, 3200)

DATA_CENTRES = [f'dc{number}' for number in range(8)]


def make_groups(count):
    """Make ready groups of one engine, spread over eight data centres.

    Parameters
    ----------
    count : int
        Groups (count).

    Returns
    -------
    list of balsamwind.objects.Group
    """
    return [
        objects.Group(
            name=f'g{number}',
            contract='c',
            model='m',
            version='1',
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            fabric_domain='d',
            members=(objects.Member(f'vm{number}', 'x:1'),),
            generation=1,
            state=objects.GroupState.READY,
        )
        for number in range(count)
    ]


def measure(count, choices, seed):
    """Time choices of a group, and choices that first rebuild the pool.

    A choice includes hashing the prompt and tracking the request.

    Parameters
    ----------
    count : int
        Groups (count).
    choices : int
        Choices to time (count).
    seed : int
        Seed of loads and prompts.

    Returns
    -------
    tuple of list of float
        Times of the choices; times of choices from a new list of groups
        (seconds).
    """
    rng = random.Random(seed)
    groups = make_groups(count)
    reports = {
        group.name: ports.EngineReport(
            group.head.vm,
            ports.EngineState.READY,
            running=rng.randrange(30),
            slots=32,
        )
        for group in groups
    }
    router = routing.make_router(
        DATA_CENTRES[0], lambda group: reports[group.name], seed
    )
    prompts = [
        ''.join(rng.choices('abcdefgh ', k=16 * 1024)) for _ in range(50)
    ]
    choice_times = []
    for number in range(choices):
        prompt = rng.choice(prompts)
        start = time.perf_counter()
        blocks = routing.hash_blocks('m', prompt)
        choice = router.choose(groups, blocks, number * 0.001)
        choice = router.assign(choice.group, blocks)
        with router.track(choice, 0.0):
            pass
        choice_times.append(time.perf_counter() - start)
    refresh_times = []
    for number in range(20):
        start = time.perf_counter()
        router.choose(list(groups), (), 1000.0 + number)
        refresh_times.append(time.perf_counter() - start)
        changed = groups[: -1 - number]
        router.choose(changed, (), 1000.0 + number)
    return choice_times, refresh_times


def main():
    """Print a table of times, one line for each number of groups."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--choices', type=int, default=20000)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    print('engines  mean us   p50 us   p99 us  refresh us')
    for count in SIZES:
        choice_times, refresh_times = measure(
            count, arguments.choices, arguments.seed
        )
        choice_times.sort()
        row = [
            statistics.fmean(choice_times),
            choice_times[len(choice_times) // 2],
            choice_times[int(0.99 * len(choice_times))],
            statistics.median(refresh_times),
        ]
        print(f'{count:7}', *(f'{value * 1e6:8.1f}' for value in row))


if __name__ == '__main__':
    main()
