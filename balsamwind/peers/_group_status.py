"""One status for a group that is well, in place of a report a member."""

import dataclasses

import xxhash

from balsamwind.peers import _messages
from balsamwind import ports

_OTHER_FIELDS = frozenset(
    {
        'vm',
        'state',
        'group',
        'generation',
        'model',
        'version',
        'fencing',
        'cached',
        'cache_events',
    }
)

LOAD_FIELDS = tuple(
    field.name
    for field in dataclasses.fields(ports.EngineReport)
    if field.name not in _OTHER_FIELDS
)
"""Fields of an engine's report that a group's status carries, in order."""

_COUNTS = frozenset({'running', 'waiting'})

EXACT_BELOW = 8
"""Counts that are not rounded (count)."""


def quantise(count):
    """Round a count to three significant bits, halves up.

    Examples
    --------
    >>> [quantise(count) for count in (0, 7, 9, 17, 100)]
    [0, 7, 10, 16, 96]
    """
    if count < EXACT_BELOW:
        return count
    step = 1 << (count.bit_length() - 3)
    return (count + step // 2) // step * step


def make_digest(group):
    """Hash of what a status says of a group, 8 bytes.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Its record.

    Returns
    -------
    bytes
    """
    parts = (
        group.name,
        str(group.generation),
        group.model,
        group.version,
        *group.vms,
    )
    return xxhash.xxh64_digest('/'.join(parts).encode())


def make_status(group, report):
    """Status of a group that is well.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Its record.
    report : balsamwind.ports.EngineReport
        Report of its first member.

    Returns
    -------
    GroupStatus
    """
    load = [getattr(report, name) for name in LOAD_FIELDS]
    for place, name in enumerate(LOAD_FIELDS):
        if name in _COUNTS:
            load[place] = quantise(load[place])
        elif load[place] == int(load[place]):
            load[place] = int(load[place])
    while load and not load[-1]:
        load.pop()
    return _messages.GroupStatus(make_digest(group), tuple(load))


def make_head(group, load):
    """Report of the first member that a status stands for.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Its record.
    load : tuple of float
        Load of the status.

    Returns
    -------
    balsamwind.ports.EngineReport
    """
    return _make_report(group, group.vms[0], load)


def make_others(group):
    """Reports of the other members, in rank order; a tuple."""
    return tuple(_make_report(group, vm, ()) for vm in group.vms[1:])


def _make_report(group, vm, load):
    values = {}
    for name, value in zip(LOAD_FIELDS, load, strict=False):
        values[name] = int(value) if name in _COUNTS else value
    return ports.EngineReport(
        vm=vm,
        state=ports.EngineState.READY,
        group=group.name,
        generation=group.generation,
        model=group.model,
        version=group.version,
        cached=(f'{group.model}@{group.version}',),
        **values,
    )
