"""How soon lost replica groups were closed and served again, from logs."""

import datetime
import math

import click

from balsamwind.cli import _explain

PARTS = (50, 95, 100)
"""Percentiles that are printed."""


class Repair:
    """What became of one group that lost a member.

    Parameters
    ----------
    group : str
        The group.
    down_at : float
        When the first lost member was noted (seconds since the epoch).
    closed_at : float or None
        When the group was closed.
    serving_at : float or None
        When another group with one of its members was open.
    """

    __slots__ = ('closed_at', 'down_at', 'group', 'serving_at')

    def __init__(self, group, down_at):
        self.group = group
        self.down_at = down_at
        self.closed_at = None
        self.serving_at = None


@click.command()
@click.argument('paths', nargs=-1, type=click.Path(exists=True))
def repairs(paths):
    """Print how soon groups that lost a member were closed and replaced.

    Logs are read from PATHS, or from standard input. Only lines of one node
    are compared with each other, as wall clocks differ.
    """
    rows = _explain.read_rows(_explain.read_lines(paths))
    found = find_repairs(rows)
    if not found:
        raise click.ClickException('no group lost a member')
    click.echo(f'groups that lost a member: {len(found)}')
    for name, until in (
        ('closed', lambda item: item.closed_at),
        ('members serve again', lambda item: item.serving_at),
    ):
        times = [
            until(item) - item.down_at
            for item in found
            if until(item) is not None
        ]
        click.echo(f'{name}: {len(times)} of {len(found)}{_describe(times)}')


def _describe(times):
    if not times:
        return ''
    rows = (f'p{part} {find_percentile(times, part):.2f} s' for part in PARTS)
    return ', ' + ', '.join(rows)


def find_percentile(values, part):
    """Smallest value that `part` of 100 values do not exceed."""
    ordered = sorted(values)
    place = math.ceil(len(ordered) * part / 100)
    return ordered[max(place, 1) - 1]


def find_repairs(rows):
    """Follow groups from the loss of a member.

    Parameters
    ----------
    rows : iterable of dict
        Log lines of any number of nodes, each node's in their order.

    Returns
    -------
    list of Repair
    """
    followers = {}
    for row in rows:
        node = row.get('node', '')
        if node not in followers:
            followers[node] = _Follower()
        followers[node].take(row)
    return [
        item
        for follower in followers.values()
        for item in follower.repairs.values()
    ]


class _Follower:
    """Follows the groups that one node led."""

    __slots__ = ('_members', 'repairs')

    def __init__(self):
        self._members = {}
        self.repairs = {}

    def take(self, row):
        """Take the next line of the node."""
        group = row.get('group')
        match row['event']:
            case 'group_forming':
                self._members[group] = frozenset(row.get('members', ()))
            case 'engine_down' if group:
                at = _read_time(row)
                self.repairs.setdefault(group, Repair(group, at))
            case 'group_closed' if group in self.repairs:
                repair = self.repairs[group]
                if repair.closed_at is None:
                    repair.closed_at = _read_time(row)
            case 'group_opened' if row.get('state') == 'open':
                self._note_open(group, _read_time(row))

    def _note_open(self, group, at):
        members = self._members.get(group, frozenset())
        for repair in self.repairs.values():
            lost = self._members.get(repair.group, frozenset())
            if repair.serving_at is None and members & lost:
                if repair.group != group:
                    repair.serving_at = at


def _read_time(row):
    return datetime.datetime.fromisoformat(row['timestamp']).timestamp()
