"""Command that replays recorded traces."""

import sys

import click

from balsamwind import exceptions
from balsamwind import replay as replay_package

EXIT_NOT_MET = 1
"""Exit code: a stated outcome was not met."""

EXIT_MALFORMED = 2
"""Exit code: a trace is malformed; the others were replayed all the same."""


@click.command()
@click.argument('paths', nargs=-1, required=True)
def replay(paths):
    """Replay traces and compare the outcomes that they state.

    Exits with 0 if all were met, 1 if one was not, 2 if a trace is
    malformed.
    """
    code = 0
    for path in paths:
        try:
            findings = replay_package.replay_file(path)
        except exceptions.InvalidInput as error:
            findings = error.findings
            code = EXIT_MALFORMED
        if not findings:
            click.echo(f'{path}: ok')
            continue
        code = code or EXIT_NOT_MET
        for finding in findings:
            click.echo(str(finding), err=True)
    sys.exit(code)
