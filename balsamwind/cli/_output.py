"""Output of commands: tables for people, JSON for programs."""

import json
import sys

import click


def print_rows(rows, columns, as_json):
    """Print rows as a table or as JSON.

    Parameters
    ----------
    rows : list of dict
        Rows.
    columns : sequence of str
        Keys to show in the table.
    as_json : bool
        Whether to print JSON with all keys instead.
    """
    if as_json:
        click.echo(json.dumps(rows, ensure_ascii=False, indent=2))
        return
    table = [list(columns)]
    table += [[str(row.get(column, '')) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
    for line in table:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        click.echo('  '.join(cells).rstrip())


def fail(message, code):
    """Print an error and exit."""
    click.echo(message, err=True)
    sys.exit(code)
