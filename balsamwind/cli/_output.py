"""Output of commands as text tables, JSON or errors."""

import json
import sys

import click


def print_rows(rows, columns, as_json):
    """Print rows as a table or as JSON.

    Parameters
    ----------
    rows : list of dict
        Rows to print. A key that is missing in a row gives an empty cell.
    columns : sequence of str
        Keys to show in the table, in this order.
    as_json : bool
        Whether to print JSON with all keys instead of a table.
    """
    if as_json:
        click.echo(json.dumps(rows, ensure_ascii=False, indent=2))
        return
    lines = [list(columns)]
    lines += [[str(row.get(column, '')) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        click.echo('  '.join(cells).rstrip())


def exit_with_error(message, exit_code):
    """Print an error to standard error and exit.

    Parameters
    ----------
    message : str
        Text of the error.
    exit_code : int
        Exit code of the process.
    """
    click.echo(message, err=True)
    sys.exit(exit_code)
