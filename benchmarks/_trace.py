"""Failure traces for the placement benchmark.

A trace is generated from a seed and stored once, and replayed from its file
afterwards.
"""

import dataclasses
import json
import pathlib
import random

TRACE_DIR = pathlib.Path(__file__).resolve().parent.parent / 'traces/placement'

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
"""Fleet name -> fabric domain -> VMs (count); 60 VMs in three data centres.

In ``whole`` the size of every fabric domain is a multiple of the group size
of 4; in ``rests`` two fabric domains have 2 VMs left over.
"""

DURATION = 24 * 3600.0
"""Duration of a trace (seconds)."""

PAUSES = 40
RESTARTS = 14
REPLACEMENTS = 7
DOMAIN_OUTAGES = 1
"""Failures of each kind in one trace (count).

A paused VM comes back with its state, a restarted one without it, and a
replaced one never; an outage takes down all VMs of one fabric domain.
"""

MEAN_PAUSE_TIME = 40.0
MEAN_RESTART_TIME = 90.0
"""Mean of the exponential part of an absence (seconds).

`MIN_ABSENCE` is added to each draw.
"""

MIN_ABSENCE = 3.0
"""Minimum absence after a pause or a restart (seconds)."""

REPLACE_TIME_BOUNDS = (300.0, 1800.0)
OUTAGE_TIME_BOUNDS = (600.0, 2400.0)
"""Bounds of a uniformly distributed absence (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """State change of one VM.

    Parameters
    ----------
    time : float
        Time from the start of the trace (seconds).
    event : str
        ``down``: the VM stops answering; ``resume``: it is back with its
        state; ``empty``: it is back without its state; ``replace``: it does
        not come back and a new VM replaces it.
    vm : str
        Name of the VM at the start of the trace. Events of its
        replacements keep this name.
    """

    time: float
    event: str
    vm: str


def make_trace(fleet, seed):
    """Generate the events of one trace.

    Parameters
    ----------
    fleet : str
        Name of a fleet in `FLEETS`.
    seed : int
        Seed of the random generator.

    Returns
    -------
    list of Event
        Events in the order of time.
    """
    rng = random.Random(seed)
    domains = FLEETS[fleet]
    vms = [
        f'{fabric_domain}-{i}'
        for fabric_domain, count in domains.items()
        for i in range(count)
    ]
    absences = []
    for _ in range(PAUSES):
        duration = MIN_ABSENCE + rng.expovariate(1.0 / MEAN_PAUSE_TIME)
        absences.append((rng.choice(vms), duration, 'resume'))
    for _ in range(RESTARTS):
        duration = MIN_ABSENCE + rng.expovariate(1.0 / MEAN_RESTART_TIME)
        absences.append((rng.choice(vms), duration, 'empty'))
    for _ in range(REPLACEMENTS):
        duration = rng.uniform(*REPLACE_TIME_BOUNDS)
        absences.append((rng.choice(vms), duration, 'replace'))
    timed_absences = []
    for vm, duration, return_event in absences:
        start = rng.uniform(0.0, DURATION - 3600.0)
        timed_absences.append((start, duration, return_event, vm))
    for _ in range(DOMAIN_OUTAGES):
        domain = rng.choice(sorted(domains))
        start = rng.uniform(0.0, DURATION - 3600.0)
        duration = rng.uniform(*OUTAGE_TIME_BOUNDS)
        timed_absences.extend(
            (start, duration, 'empty', f'{domain}-{index}')
            for index in range(domains[domain])
        )
    return _make_events(sorted(timed_absences))


def _make_events(absences):
    """Make the events of absences, sorted by start, in the order of time.

    An absence that starts during another absence of the VM is left out, so
    that a VM never goes down twice without coming back.
    """
    events = []
    absent_until = {}
    for start, duration, return_event, vm in absences:
        if start <= absent_until.get(vm, -1.0):
            continue
        absent_until[vm] = start + duration
        events.append(Event(round(start, 1), 'down', vm))
        events.append(Event(round(start + duration, 1), return_event, vm))
    return sorted(events, key=lambda event: event.time)


def save_trace(fleet, seed):
    """Generate a trace and write it to its file.

    Parameters
    ----------
    fleet : str
        Name of a fleet in `FLEETS`.
    seed : int
        Seed of the random generator.
    """
    TRACE_DIR.mkdir(parents=True, exist_ok=True)
    lines = [
        json.dumps(dataclasses.asdict(e)) for e in make_trace(fleet, seed)
    ]
    path = TRACE_DIR / f'{fleet}-{seed}.jsonl'
    path.write_text('\n'.join(lines) + '\n', encoding='utf-8')


def load_trace(fleet, seed):
    """Read a trace from its file.

    Parameters
    ----------
    fleet : str
        Name of a fleet in `FLEETS`.
    seed : int
        Seed from which the trace was generated.

    Returns
    -------
    list of Event
        Events in the order of time.
    """
    text = (TRACE_DIR / f'{fleet}-{seed}.jsonl').read_text(encoding='utf-8')
    return [Event(**json.loads(line)) for line in text.splitlines()]
