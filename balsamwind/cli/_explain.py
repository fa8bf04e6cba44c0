"""Story of one request, from the logs of all nodes."""

import json
import sys

import click

RELATED = ('place', 'server')
"""Fields that name what a request met."""


@click.command()
@click.argument('request_id')
@click.argument('paths', nargs=-1, type=click.Path(exists=True))
def explain(request_id, paths):
    """Print what became of a request, and of the groups that it met.

    Logs are read from PATHS, or from standard input. Lines of one node stand
    in the order in which it wrote them; wall clocks are not compared.
    """
    rows = list(read_rows(read_lines(paths)))
    story = plan_story(rows, request_id)
    if not story.request:
        raise click.ClickException(f'{request_id}: no line names it')
    click.echo(f'request {request_id}')
    for row in story.request:
        click.echo(f'  {format_row(row)}')
    for subject, lines in story.subjects.items():
        click.echo(subject)
        for row in lines:
            click.echo(f'  {format_row(row)}')


def read_lines(paths):
    """Lines of files, or of standard input where there are none."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        with open(path, encoding='utf-8') as file:
            yield from file


def read_rows(lines):
    """Log lines as objects; what stands before the brace is left out."""
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            row = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(row, dict) and 'event' in row:
            yield row


class Story:
    """Lines about a request, and about what it met.

    Parameters
    ----------
    request : list of dict
        Lines that name the request.
    subjects : dict of str to list of dict
        Lines about each group and engine that it met.
    """

    __slots__ = ('request', 'subjects')

    def __init__(self, request, subjects):
        self.request = request
        self.subjects = subjects


def plan_story(rows, request_id):
    """Pick the lines that explain a request.

    Parameters
    ----------
    rows : list of dict
        Log lines of all nodes.
    request_id : str
        Id of the request.

    Returns
    -------
    Story
    """
    request = [row for row in rows if row.get('id') == request_id]
    subjects = {}
    for row in request:
        if row['event'] != 'attempt_failed':
            continue
        group = str(row.get('place', '')).split(':')[1:2]
        for name in (*group, row.get('server')):
            if name:
                subjects.setdefault(name, [])
    for row in rows:
        if 'id' in row:
            continue
        values = row.values()
        for name, lines in subjects.items():
            if name in values or name in row.get('members', ()):
                lines.append(row)
    return Story(request, {name: ls for name, ls in subjects.items() if ls})


def format_row(row):
    """One line of text."""
    hidden = ('event', 'node', 'level', 'timestamp', 'id')
    rest = ' '.join(
        f'{key}={value}' for key, value in row.items() if key not in hidden
    )
    return f'{row.get("node", "?")}: {row["event"]} {rest}'
