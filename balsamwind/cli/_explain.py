"""Selection of the log lines that explain the outcome of one request."""

import json
import sys

import click

RELATED_FIELDS = ('place', 'server')
"""Log fields that name the group and the engine of an attempt."""


@click.command()
@click.argument('request_id')
@click.argument('paths', nargs=-1, type=click.Path(exists=True))
def explain(request_id, paths):
    """Print the log lines of a request and of the groups that failed it.

    Logs of any number of nodes are read from PATHS or from standard input.
    Lines keep the order in which they are read. They are not sorted by time,
    as the wall clocks of the nodes may differ.
    """
    rows = list(read_rows(read_lines(paths)))
    request_log = select_request_log(rows, request_id)
    if not request_log.request_rows:
        raise click.ClickException(
            f'request {request_id}: no log line has this id'
        )
    click.echo(f'request {request_id}')
    for row in request_log.request_rows:
        click.echo(f'  {format_row(row)}')
    for subject, lines in request_log.related_rows.items():
        click.echo(subject)
        for row in lines:
            click.echo(f'  {format_row(row)}')


def read_lines(paths):
    """Iterate over the lines of files or of standard input.

    Parameters
    ----------
    paths : sequence of str
        Files to read in this order; if empty, standard input is read.

    Yields
    ------
    str
        One line.
    """
    if not paths:
        yield from sys.stdin
    for path in paths:
        with open(path, encoding='utf-8') as file:
            yield from file


def read_rows(lines):
    """Parse log lines.

    Text before the first brace of a line, such as a prefix added by a log
    collector, is skipped. Lines that are no JSON object or have no key
    ``event`` are left out.

    Parameters
    ----------
    lines : iterable of str
        Lines of logs.

    Yields
    ------
    dict
        Fields of one log line.
    """
    for line in lines:
        json_start = line.find('{')
        if json_start < 0:
            continue
        try:
            row = json.loads(line[json_start:])
        except ValueError:
            continue
        if isinstance(row, dict) and 'event' in row:
            yield row


class RequestLog:
    """Log lines about a request and about the groups that failed it.

    Parameters
    ----------
    request_rows : list of dict
        Log lines that have the id of the request.
    related_rows : dict of str to list of dict
        Log lines about each group and engine where an attempt failed, by the
        name of the group or engine.
    """

    __slots__ = ('related_rows', 'request_rows')

    def __init__(self, request_rows, related_rows):
        self.request_rows = request_rows
        self.related_rows = related_rows


def select_request_log(rows, request_id):
    """Select the log lines that explain the outcome of a request.

    Parameters
    ----------
    rows : list of dict
        Log lines of all nodes.
    request_id : str
        Id of the request.

    Returns
    -------
    RequestLog
        Groups and engines without any log line are left out.
    """
    request_rows = [row for row in rows if row.get('id') == request_id]
    related_rows = {}
    for row in request_rows:
        if row['event'] != 'attempt_failed':
            continue
        # The field is "service:server" or "service:group:epoch".
        group_names = str(row.get('place', '')).split(':')[1:2]
        for name in (*group_names, row.get('server')):
            if name:
                related_rows.setdefault(name, [])
    for row in rows:
        if 'id' in row:
            continue
        values = row.values()
        for name, lines in related_rows.items():
            if name in values or name in row.get('members', ()):
                lines.append(row)
    return RequestLog(
        request_rows,
        {
            name: selected
            for name, selected in related_rows.items()
            if selected
        },
    )


def format_row(row):
    """Format a log line as text.

    Parameters
    ----------
    row : dict
        Fields of the log line.

    Returns
    -------
    str
        Node, event and the other fields as ``key=value``, without the level,
        the timestamp and the id.
    """
    hidden_fields = ('event', 'node', 'level', 'timestamp', 'id')
    details = ' '.join(
        f'{key}={value}'
        for key, value in row.items()
        if key not in hidden_fields
    )
    return f'{row.get("node", "?")}: {row["event"]} {details}'
