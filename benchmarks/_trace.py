"""Traces of failures: generated once from a seed, recorded, then replayed."""

import dataclasses
import json
import pathlib
import random

FOLDER = pathlib.Path(__file__).resolve().parent.parent / 'traces/placement'

FLEETS = {
    'whole': {
        'a-d0': 12,
        'a-d1': 8,
        'b-d0': 8,
        'b-d1': 12,
        'c-d0': 12,
        'c-d1': 8,
    },
    'rests': {
        'a-d0': 12,
        'a-d1': 8,
        'b-d0': 8,
        'b-d1': 12,
        'c-d0': 10,
        'c-d1': 10,
    },
}
"""Fleet -> fabric domain -> VMs; 60 in three data centres. In ``whole`` each
domain holds whole groups of 4; in ``rests`` two domains have 2 VMs more."""

DURATION = 24 * 3600.0
"""Length of a trace (seconds)."""

PAUSES = 40
RESTARTS = 14
DEATHS = 7
DARK_DOMAINS = 1
"""Events in one trace (count)."""

PAUSE_TIME = 40.0
RESTART_TIME = 90.0
"""Mean absence (seconds); exponential, and at least `SHORTEST`."""

SHORTEST = 3.0
"""Shortest absence (seconds)."""

REPLACE_TIME = (300.0, 1800.0)
DARK_TIME = (600.0, 2400.0)
"""Bounds of an absence (seconds); uniform."""


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Something that happens to one VM.

    Parameters
    ----------
    time : float
        When (seconds from the start).
    event : str
        ``down``; ``resume`` (as it was); ``empty`` (back with nothing);
        ``replace`` (gone for good, a new VM takes its place).
    vm : str
        Which place; replaced VMs keep the name of the place here.
    """

    time: float
    event: str
    vm: str


def make_trace(fleet, seed):
    """Draw the events of one trace."""
    rng = random.Random(seed)
    domains = FLEETS[fleet]
    vms = [
        f'{key}-{i}' for key, count in domains.items() for i in range(count)
    ]
    absences = []
    for _ in range(PAUSES):
        length = SHORTEST + rng.expovariate(1.0 / PAUSE_TIME)
        absences.append((rng.choice(vms), length, 'resume'))
    for _ in range(RESTARTS):
        length = SHORTEST + rng.expovariate(1.0 / RESTART_TIME)
        absences.append((rng.choice(vms), length, 'empty'))
    for _ in range(DEATHS):
        length = rng.uniform(*REPLACE_TIME)
        absences.append((rng.choice(vms), length, 'replace'))
    events = []
    for vm, length, end in absences:
        start = rng.uniform(0.0, DURATION - 3600.0)
        events.append((start, length, end, vm))
    for _ in range(DARK_DOMAINS):
        domain = rng.choice(sorted(domains))
        start = rng.uniform(0.0, DURATION - 3600.0)
        length = rng.uniform(*DARK_TIME)
        events.extend(
            (start, length, 'empty', f'{domain}-{index}')
            for index in range(domains[domain])
        )
    return _flatten(sorted(events))


def _flatten(absences):
    """Events in time order; an absence within another one is left out."""
    events = []
    back_at = {}
    for start, length, end, vm in absences:
        if start <= back_at.get(vm, -1.0):
            continue
        back_at[vm] = start + length
        events.append(Event(round(start, 1), 'down', vm))
        events.append(Event(round(start + length, 1), end, vm))
    return sorted(events, key=lambda event: event.time)


def save_trace(fleet, seed):
    """Record the trace of a seed."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    lines = [
        json.dumps(dataclasses.asdict(e)) for e in make_trace(fleet, seed)
    ]
    path = FOLDER / f'{fleet}-{seed}.jsonl'
    path.write_text('\n'.join(lines) + '\n', encoding='utf-8')


def load_trace(fleet, seed):
    """Events of a recorded trace."""
    text = (FOLDER / f'{fleet}-{seed}.jsonl').read_text(encoding='utf-8')
    return [Event(**json.loads(line)) for line in text.splitlines()]
