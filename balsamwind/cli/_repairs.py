"""Times to close and to replace replica groups that lost a member."""

import datetime
import math

import click

from balsamwind.cli import _explain

PERCENTILES = (50, 95, 100)
"""Percentiles of the times that are printed (percent)."""


class GroupRepair:
    """Repair of one replica group that lost a member.

    Parameters
    ----------
    group : str
        Name of the group.
    member_lost_at : float
        Time at which the first lost member was logged (seconds since the
        epoch).

    Attributes
    ----------
    closed_at : float or None
        Time at which the group was closed (seconds since the epoch).
    serving_at : float or None
        Time at which another group with one of its members was opened
        (seconds since the epoch).
    """

    __slots__ = ('closed_at', 'group', 'member_lost_at', 'serving_at')

    def __init__(self, group, member_lost_at):
        self.group = group
        self.member_lost_at = member_lost_at
        self.closed_at = None
        self.serving_at = None


@click.command()
@click.argument('paths', nargs=-1, type=click.Path(exists=True))
def repairs(paths):
    """Print how soon groups that lost a member were closed and replaced.

    Logs of any number of nodes are read from PATHS or from standard input.
    Times are differences between lines of the same node, as the wall clocks
    of the nodes may differ.
    """
    rows = _explain.read_rows(_explain.read_lines(paths))
    group_repairs = find_repairs(rows)
    if not group_repairs:
        raise click.ClickException('no group lost a member')
    click.echo(f'groups that lost a member: {len(group_repairs)}')
    for label, get_end in (
        ('closed', lambda repair: repair.closed_at),
        ('members serve again', lambda repair: repair.serving_at),
    ):
        durations = [
            get_end(repair) - repair.member_lost_at
            for repair in group_repairs
            if get_end(repair) is not None
        ]
        click.echo(
            f'{label}: {len(durations)} of {len(group_repairs)}'
            f'{_format_percentiles(durations)}'
        )


def _format_percentiles(durations):
    if not durations:
        return ''
    texts = (
        f'p{percent} {compute_percentile(durations, percent):.2f} s'
        for percent in PERCENTILES
    )
    return ', ' + ', '.join(texts)


def compute_percentile(values, percent):
    """Compute a percentile by the nearest-rank method.

    Parameters
    ----------
    values : iterable of float
        Values, at least one.
    percent : float
        Percentile from 0 to 100.

    Returns
    -------
    float
        Smallest of the values that at least `percent` % of them do not
        exceed.
    """
    sorted_values = sorted(values)
    rank = math.ceil(len(sorted_values) * percent / 100)
    return sorted_values[max(rank, 1) - 1]


def find_repairs(rows):
    """Find the repair of each group that lost a member.

    Parameters
    ----------
    rows : iterable of dict
        Log lines of any number of nodes; lines of the same node are in the
        order in which it wrote them.

    Returns
    -------
    list of GroupRepair
    """
    trackers = {}
    for row in rows:
        node = row.get('node', '')
        if node not in trackers:
            trackers[node] = _RepairTracker()
        trackers[node].process_row(row)
    return [
        repair
        for tracker in trackers.values()
        for repair in tracker.repairs.values()
    ]


class _RepairTracker:
    """Tracks the repairs of the groups that one node led.

    Attributes
    ----------
    repairs : dict of str to GroupRepair
        Group -> its repair, for groups that lost a member.
    """

    __slots__ = ('_group_members', 'repairs')

    def __init__(self):
        self._group_members = {}
        self.repairs = {}

    def process_row(self, row):
        """Update the repairs from the next log line of the node.

        Parameters
        ----------
        row : dict
            Fields of the log line.
        """
        group = row.get('group')
        match row['event']:
            case 'group_forming':
                self._group_members[group] = frozenset(row.get('members', ()))
            case 'engine_down' if group:
                timestamp = _parse_timestamp(row)
                self.repairs.setdefault(group, GroupRepair(group, timestamp))
            case 'group_closed' if group in self.repairs:
                repair = self.repairs[group]
                if repair.closed_at is None:
                    repair.closed_at = _parse_timestamp(row)
            case 'group_opened' if row.get('state') == 'open':
                self._record_opened_group(group, _parse_timestamp(row))

    def _record_opened_group(self, group, timestamp):
        members = self._group_members.get(group, frozenset())
        for repair in self.repairs.values():
            lost_group_members = self._group_members.get(
                repair.group, frozenset()
            )
            if repair.serving_at is None and members & lost_group_members:
                if repair.group != group:
                    repair.serving_at = timestamp


def _parse_timestamp(row):
    return datetime.datetime.fromisoformat(row['timestamp']).timestamp()
