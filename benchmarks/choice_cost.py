"""Cost of one choice of a group, by the number of groups.

Run: ``python -m benchmarks.choice_cost``. Each group counts as one engine,
which is the dearest case: engines in larger groups are fewer to choose from.
"""

import argparse
import random
import statistics
import time

from balsamwind import objects
from balsamwind import ports
from balsamwind import routing

SIZES = (60, 400, 3200)

PLACES = [f'dc{number}' for number in range(8)]


def make_groups(count):
    """Groups over eight data centres."""
    return [
        objects.Group(
            name=f'g{number}',
            contract='c',
            model='m',
            version='1',
            data_centre=PLACES[number % len(PLACES)],
            fabric_domain='d',
            members=(objects.Member(f'vm{number}', 'x:1'),),
            generation=1,
            state=objects.GroupState.READY,
        )
        for number in range(count)
    ]


def measure(size, choices, seed):
    """Times of choices and of rebuilding the pool (seconds)."""
    rng = random.Random(seed)
    groups = make_groups(size)
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
        PLACES[0], lambda group: reports[group.name], seed
    )
    prompts = [
        ''.join(rng.choices('abcdefgh ', k=16 * 1024)) for _ in range(50)
    ]
    times = []
    for number in range(choices):
        prompt = rng.choice(prompts)
        started = time.perf_counter()
        blocks = routing.hash_blocks('m', prompt)
        choice = router.choose(groups, blocks, number * 0.001)
        choice = router.admit(choice.group, blocks)
        with router.track(choice, 0.0):
            pass
        times.append(time.perf_counter() - started)
    rebuilds = []
    for number in range(20):
        started = time.perf_counter()
        router.choose(list(groups), (), 1000.0 + number)
        rebuilds.append(time.perf_counter() - started)
        changed = groups[: -1 - number]
        router.choose(changed, (), 1000.0 + number)
    return times, rebuilds


def main():
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--choices', type=int, default=20000)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    print('engines  mean us   p50 us   p99 us  refresh us')
    for size in SIZES:
        times, rebuilds = measure(size, arguments.choices, arguments.seed)
        times.sort()
        row = [
            statistics.fmean(times),
            times[len(times) // 2],
            times[int(0.99 * len(times))],
            statistics.median(rebuilds),
        ]
        print(f'{size:7}', *(f'{value * 1e6:8.1f}' for value in row))


if __name__ == '__main__':
    main()
