"""Commands."""

import asyncio
import json
import sys

import click
import structlog

import balsamwind
from balsamwind.cli import _contracts
from balsamwind.cli import _output
from balsamwind.cli import _replay
from balsamwind.cli import _status
from balsamwind.cli import _store
from balsamwind import entry as entry_package
from balsamwind import exceptions
from balsamwind import settings as settings_package

EXIT_FINDINGS = 2
"""Exit code: bad input."""

EXIT_FAILED = 1
"""Exit code: the command could not do what was asked."""

EXIT_CONFLICT = 3
"""Exit code: another operator's change came first."""


@click.group()
def cli():
    """Serve models whose replicas span several VMs."""


@cli.command()
@click.option('--settings', 'path', required=True, help='Settings file.')
def entry(path):
    """Run an entry until SIGTERM."""
    settings = settings_package.load_settings(path)
    _configure_logs()
    asyncio.run(entry_package.run_entry(settings))


@cli.command()
@click.option('--settings', 'path', required=True, help='Settings file.')
def check(path):
    """Check a settings file."""
    settings_package.load_settings(path)
    click.echo(f'{path}: ok')


@cli.command()
def version():
    """Print the version."""
    click.echo(balsamwind.__version__)


cli.add_command(_contracts.contract)
cli.add_command(_replay.replay)
cli.add_command(_status.status)
cli.add_command(_store.store)


def _configure_logs():
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=json.dumps),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def main(argv=None):
    """Run the command line; every error has an exit code and no trace."""
    try:
        cli.main(args=argv, prog_name='balsamwind', standalone_mode=True)
    except exceptions.InvalidInput as error:
        _output.fail(str(error), EXIT_FINDINGS)
    except exceptions.Conflict as error:
        _output.fail(f'conflict: {error}', EXIT_CONFLICT)
    except exceptions.BalsamwindError as error:
        _output.fail(f'{error.code}: {error}', EXIT_FAILED)
