"""Writes to the object API for each call that runs at most once.

Counts the writes of the real service calls over a fake store, then of
three ways to join records, and says how many calls a second a store of a
given rate carries. Run: ``python -m benchmarks.call_records``.
"""

import argparse
import math
import random

from balsamwind import ports
from balsamwind.requests.tests import fakes

RECORD_BYTES = 420
"""Size of a record with its hashes and a short answer (bytes)."""

MAX_OBJECT = 1 << 20
"""Largest object of the store (bytes)."""

OBJECT_RTT = 0.004
"""Time of one conditional update (seconds)."""


def count_writes(calls):
    """Writes and reads of the real code for `calls` calls and a sweep."""
    loop = fakes.VirtualLoop()
    world = fakes.World(loop)
    entry = world.make_entry('a1')
    for number in range(calls):
        call = ports.ServiceCall('POST', '/x', idempotency_key=str(number))
        run = entry.run(fakes.CONTRACT, fakes.SERVICE, call, loop.now + 30.0)
        task = loop.create_task(run)
        loop.settle()
        while world.waiting:
            world.resolve(world.waiting[0], 'answer')
        task.result()
    before_sweep = world.writes
    loop.now += fakes.SERVICE.record_time_to_live + 1.0
    for stored in list(world.objects.values()):
        loop.create_task(entry.records.sweep(stored.kind, lambda _: 86400.0))
        loop.settle()
        while world.waiting:
            world.resolve(world.waiting[0], 'answer')
    loop.close()
    return before_sweep / calls, (world.writes - before_sweep) / calls


def simulate_pages(rate, pages, window, seconds, rng):
    """Hashed pages written by compare and set, by 370 nodes at once.

    Each node joins what comes in a window for one page into one update;
    a node whose update loses reads and tries again.

    Returns
    -------
    tuple of float
        Writes, lost ones included, for each call; mean added wait (s).
    """
    nodes = 370
    arrivals = {}
    total = int(rate * seconds)
    for _ in range(total):
        at = rng.uniform(0.0, seconds)
        key = (rng.randrange(pages), int(at / window), rng.randrange(nodes))
        arrivals[key] = arrivals.get(key, 0) + 1
    starts = {}
    for page, slot, _ in arrivals:
        starts.setdefault(page, []).append(
            (slot + 1) * window + rng.uniform(0.0, window)
        )
    writes = waits = 0
    for times in starts.values():
        free_at = 0.0
        for at in sorted(times):
            # One update of a page wins in each round trip; those that
            # started while it ran lose and try again after it.
            tries = 1 + max(0, math.ceil((free_at - at) / OBJECT_RTT))
            writes += tries
            free_at = max(at, free_at) + OBJECT_RTT
            waits += free_at - at + window
    return 2 * writes / total, 2 * waits / len(arrivals)


def simulate_owners(rate, owners, window, seconds, rng):
    """Owner entries by key hash, each joining a window into one object.

    Returns
    -------
    tuple of float
        Writes for each call; mean added wait (seconds).
    """
    total = int(rate * seconds)
    batches = {
        (rng.randrange(owners), int(rng.uniform(0.0, seconds) / window))
        for _ in range(total)
    }
    # One write makes the window's records, one stores its answers.
    return 2 * len(batches) / total, 2 * (window / 2 + OBJECT_RTT)


def main():
    """Print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--store-writes', type=float, default=300.0)
    parser.add_argument('--calls', type=int, default=400)
    options = parser.parse_args()
    written, swept = count_writes(options.calls)
    total = written + swept
    print(f'seed {options.seed}, store {options.store_writes:.0f} writes/s')
    print(
        f'one object a call: {written:.2f} writes + {swept:.2f} deletions'
        f' a call -> {options.store_writes / total:.0f} calls/s'
        f' ({options.store_writes / written:.0f} without deletions)'
    )
    rng = random.Random(options.seed)
    for rate in (100, 500, 2000):
        for pages in (64, 1024):
            writes, wait = simulate_pages(rate, pages, 0.02, 20.0, rng)
            print(
                f'pages {pages:5d}, {rate:5d} calls/s: {writes:5.2f} writes'
                f' a call, {writes * rate:6.0f} writes/s,'
                f' +{wait * 1e3:.0f} ms'
            )
        for owners in (6, 8, 64, 370):
            writes, wait = simulate_owners(rate, owners, 0.02, 20.0, rng)
            print(
                f'owners {owners:4d}, {rate:5d} calls/s: {writes:5.2f} writes'
                f' a call, {writes * rate:6.0f} writes/s,'
                f' +{wait * 1e3:.0f} ms'
            )
    print(f'records in one object: {MAX_OBJECT // RECORD_BYTES}')


if __name__ == '__main__':
    main()
