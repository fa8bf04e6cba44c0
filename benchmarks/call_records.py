"""Writes to the object API for each call that runs at most once.

Counts the writes of the real service calls over a fake store, simulates two
ways to batch the records of several calls in one object, and prints how many
calls a second a store with a given rate of writes supports.
Run: ``python -m benchmarks.call_records``.
"""

import argparse
import math
import random

from balsamwind import ports
from balsamwind.requests.tests import fakes

RECORD_BYTES = 420
"""Size of a call record with its hashes and a short answer (bytes)."""

MAX_OBJECT_BYTES = 1 << 20
"""Largest object that the store takes (bytes)."""

OBJECT_RTT = 0.004
"""Round trip of one conditional update (seconds)."""


def count_writes(calls):
    """Count the writes of service calls and of the sweep of their records.

    Parameters
    ----------
    calls : int
        Calls to make, one after another (count).

    Returns
    -------
    tuple of float
        Writes for each call; deletions by the sweep for each call.
    """
    loop = fakes.VirtualLoop()
    environment = fakes.SimulatedBackends(loop)
    entry = environment.make_entry('a1')
    for number in range(calls):
        call = ports.ServiceCall('POST', '/x', idempotency_key=str(number))
        run = entry.run(fakes.CONTRACT, fakes.SERVICE, call, loop.now + 30.0)
        task = loop.create_task(run)
        loop.run_ready_callbacks()
        while environment.waiting:
            environment.resolve(environment.waiting[0], 'answer')
        task.result()
    before_sweep = environment.writes
    loop.now += fakes.SERVICE.record_time_to_live + 1.0
    for stored in list(environment.objects.values()):
        loop.create_task(
            entry.records.delete_expired(stored.kind, lambda _: 86400.0)
        )
        loop.run_ready_callbacks()
        while environment.waiting:
            environment.resolve(environment.waiting[0], 'answer')
    loop.close()
    return before_sweep / calls, (environment.writes - before_sweep) / calls


def simulate_pages(rate, pages, window, seconds, rng):
    """Simulate records in shared pages that 370 nodes update concurrently.

    A call's key is hashed to a page, which is one object. A node combines
    the records that it has for a page in one window into one conditional
    update; a node whose update conflicts reads the page and retries.

    Parameters
    ----------
    rate : float
        Calls a second (1/s).
    pages : int
        Pages (count).
    window : float
        Time over which a node combines records (seconds).
    seconds : float
        Simulated time (seconds).
    rng : random.Random
        Source of arrivals and pages.

    Returns
    -------
    tuple of float
        Writes for each call, with the conflicting ones; mean wait added to a
        call (seconds). Both count two updates for each call.
    """
    nodes = 370
    arrivals = {}
    total = int(rate * seconds)
    for _ in range(total):
        arrived_at = rng.uniform(0.0, seconds)
        key = (
            rng.randrange(pages),
            int(arrived_at / window),
            rng.randrange(nodes),
        )
        arrivals[key] = arrivals.get(key, 0) + 1
    update_times = {}
    for page, window_index, _ in arrivals:
        update_times.setdefault(page, []).append(
            (window_index + 1) * window + rng.uniform(0.0, window)
        )
    writes = total_wait = 0
    for page_times in update_times.values():
        free_at = 0.0
        for start in sorted(page_times):
            # One update of a page succeeds in each round trip. Those that
            # start while it is under way conflict and are retried after it.
            attempts = 1 + max(0, math.ceil((free_at - start) / OBJECT_RTT))
            writes += attempts
            free_at = max(start, free_at) + OBJECT_RTT
            total_wait += free_at - start + window
    return 2 * writes / total, 2 * total_wait / len(arrivals)


def simulate_owners(rate, owners, window, seconds, rng):
    """Simulate entries that own ranges of key hashes and batch their records.

    An owner combines the records of one window into one object, which no
    other node writes, so that there are no conflicts.

    Parameters
    ----------
    rate : float
        Calls a second (1/s).
    owners : int
        Entries that own records (count).
    window : float
        Time over which an owner combines records (seconds).
    seconds : float
        Simulated time (seconds).
    rng : random.Random
        Source of arrivals and owners.

    Returns
    -------
    tuple of float
        Writes for each call; mean wait added to a call (seconds).
    """
    total = int(rate * seconds)
    batches = {
        (rng.randrange(owners), int(rng.uniform(0.0, seconds) / window))
        for _ in range(total)
    }
    # One write creates the records of a window, a second one stores the
    # answers.
    return 2 * len(batches) / total, 2 * (window / 2 + OBJECT_RTT)


def main():
    """Print the writes for each call and the supported calls a second."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--store-writes', type=float, default=300.0)
    parser.add_argument('--calls', type=int, default=400)
    options = parser.parse_args()
    call_writes, sweep_writes = count_writes(options.calls)
    total = call_writes + sweep_writes
    print(f'seed {options.seed}, store {options.store_writes:.0f} writes/s')
    print(
        f'one object a call: {call_writes:.2f} writes'
        f' + {sweep_writes:.2f} deletions a call'
        f' -> {options.store_writes / total:.0f} calls/s'
        f' ({options.store_writes / call_writes:.0f} without deletions)'
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
    print(f'records in one object: {MAX_OBJECT_BYTES // RECORD_BYTES}')


if __name__ == '__main__':
    main()
