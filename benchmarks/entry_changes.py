"""Cost of a changed entry and of a choice, by the number of engines.

Run it with ``python -m benchmarks.entry_changes``; it prints a table.
"""

import dataclasses
import random
import time

from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic

GROUP_SIZE = 8
"""Engines of a group (count)."""

ENGINE_COUNTS = (60, 760, 3200)
"""Engines of the service (count)."""

ROUNDS = 300
"""Changes and choices that are timed (count)."""

PROFILE = traffic.EngineProfile(
    (traffic.ModelProfile('m', GROUP_SIZE),),
    slots=7,
    step_time=0.0078,
    step_time_per_request=0.00018,
    prefill_rate=45900.0,
    steps_per_pass=8,
)

SERVICE = traffic.Service('llm', engine=PROFILE)

REQUIREMENTS = relay.RequestRequirements('m', 700, 150, 6.0)


def _make_records(count):
    records = []
    for number in range(count):
        group, rank = divmod(number, GROUP_SIZE)
        state = pool.MemberState.READY if rank else pool.MemberState.OPEN
        membership = pool.Membership(f'm.z1.{group}', 1, rank, state)
        records.append(
            pool.ServerRecord(
                f'e{number}',
                'llm',
                '10.0.0.1:80',
                f'z{group % 5}',
                membership=membership,
                revision=1,
            )
        )
    return records


def measure(count, random_state=1):
    """Measure one size.

    Parameters
    ----------
    count : int
        Engines of the service (count).
    random_state : int
        Seed.

    Returns
    -------
    (int, float, float)
        Groups (count); mean time from a changed entry to the new list of
        backends, and of a choice (seconds).
    """
    rng = random.Random(random_state)
    registry = pool.ServerRegistry()
    table = relay.BackendTable(registry, pool.GroupIndex)
    registry.apply_full_list(_make_records(count), 0.0)
    group_count = len(table.get_by_service(SERVICE))
    change_time = 0.0
    choice_time = 0.0
    for number in range(ROUNDS):
        record = registry.get(f'e{rng.randrange(count)}')
        changed = dataclasses.replace(record, revision=number + 2)
        started_at = time.perf_counter()
        registry.apply_entry(changed, 0.0)
        table.get_by_service(SERVICE)
        changed_at = time.perf_counter()
        relay.choose_backend(
            table.get_by_service(SERVICE),
            PROFILE,
            REQUIREMENTS,
            'z1',
            (),
            10.0,
            rng,
        )
        choice_time += time.perf_counter() - changed_at
        change_time += changed_at - started_at
    return group_count, change_time / ROUNDS, choice_time / ROUNDS


def main():
    """Print a table of all sizes."""
    print('| engines | groups | a changed entry, us | a choice, us |')
    print('| --- | --- | --- | --- |')
    for count in ENGINE_COUNTS:
        groups, change_time, choice_time = measure(count)
        print(
            f'| {count} | {groups} | {change_time * 1e6:.0f} |'
            f' {choice_time * 1e6:.0f} |'
        )


if __name__ == '__main__':
    main()
