"""Compact status of a healthy group, sent instead of a report per member."""

import dataclasses

import xxhash

from balsamwind.peers import _messages
from balsamwind import ports

_NON_LOAD_FIELDS = frozenset(
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
    if field.name not in _NON_LOAD_FIELDS
)
"""Fields of an engine report that a group status carries, in this order."""

_COUNT_FIELDS = frozenset({'running', 'waiting'})

MIN_ROUNDED_COUNT = 8
"""Smallest count that is rounded; smaller ones are sent exactly (count)."""


def quantise(count):
    """Round a count to three significant bits, halves up.

    A small change of a count then often gives the same status, which does
    not have to be sent again.

    Parameters
    ----------
    count : int
        Number of requests, 0 or more (count).

    Returns
    -------
    int

    Examples
    --------
    >>> [quantise(count) for count in (0, 7, 9, 17, 100)]
    [0, 7, 10, 16, 96]
    """
    if count < MIN_ROUNDED_COUNT:
        return count
    step = 1 << (count.bit_length() - 3)
    return (count + step // 2) // step * step


def make_digest(group):
    """Hash the fields of a group's record that a status vouches for.

    A receiver finds the record of a status by this hash. A status of another
    generation, model, version or list of members does not match the record.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.

    Returns
    -------
    bytes
        XXH64 hash of 8 bytes.
    """
    parts = (
        group.name,
        str(group.generation),
        group.model,
        group.version,
        *group.vms,
    )
    return xxhash.xxh64_digest('/'.join(parts).encode())


def make_group_status(group, report):
    """Make the status of a healthy group.

    Counts of requests are rounded, other whole numbers become integers, and
    zeros at the end are left out, which makes the message shorter.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    report : balsamwind.ports.EngineReport
        Report of the group's head, its first member.

    Returns
    -------
    GroupStatus
    """
    load = [getattr(report, name) for name in LOAD_FIELDS]
    for index, name in enumerate(LOAD_FIELDS):
        if name in _COUNT_FIELDS:
            load[index] = quantise(load[index])
        elif load[index] == int(load[index]):
            load[index] = int(load[index])
    while load and not load[-1]:
        load.pop()
    return _messages.GroupStatus(make_digest(group), tuple(load))


def make_head_report(group, load):
    """Reconstruct the report of a group's head from a status.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    load : tuple of float
        Load that the status carries: values of the first `LOAD_FIELDS`. The
        fields after them keep the defaults of `EngineReport`.

    Returns
    -------
    balsamwind.ports.EngineReport
    """
    return _make_report(group, group.vms[0], load)


def make_other_reports(group):
    """Reconstruct the reports of the members other than the head.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.

    Returns
    -------
    tuple of balsamwind.ports.EngineReport
        In rank order, without load.
    """
    return tuple(_make_report(group, vm, ()) for vm in group.vms[1:])


def _make_report(group, vm, load):
    values = {}
    for name, value in zip(LOAD_FIELDS, load, strict=False):
        values[name] = int(value) if name in _COUNT_FIELDS else value
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
