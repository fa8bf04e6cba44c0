"""Command that replays traces and checks their expected outcomes."""

import sys

import click

from balsamwind import exceptions
from balsamwind import replay as replay_package

EXIT_OUTCOME_NOT_MET = 1
"""Exit code when an expected outcome of a well-formed trace was not met."""

EXIT_MALFORMED_TRACE = 2
"""Exit code when a trace is malformed; the other traces are still replayed."""


@click.command()
@click.argument('paths', nargs=-1, required=True)
def replay(paths):
    """Replay traces and check the outcomes that they expect.

    Exits with 0 if all outcomes were met, 1 if one was not met and 2 if a
    trace is malformed.
    """
    exit_code = 0
    for path in paths:
        try:
            findings = replay_package.replay_file(path)
        except exceptions.InvalidInput as error:
            findings = error.findings
            exit_code = EXIT_MALFORMED_TRACE
        if not findings:
            click.echo(f'{path}: ok')
            continue
        exit_code = exit_code or EXIT_OUTCOME_NOT_MET
        for finding in findings:
            click.echo(str(finding), err=True)
    sys.exit(exit_code)
