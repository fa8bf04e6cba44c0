"""Root command group and the exit codes of the command line."""

import asyncio
import functools
import json
import logging
import sys

import click
import structlog

import balsamwind
from balsamwind.cli import _contracts
from balsamwind.cli import _explain
from balsamwind.cli import _output
from balsamwind.cli import _repairs
from balsamwind.cli import _replay
from balsamwind.cli import _status
from balsamwind.cli import _store
from balsamwind import entry as entry_package
from balsamwind import exceptions
from balsamwind import node
from balsamwind import platform
from balsamwind import settings as settings_package

EXIT_INVALID_INPUT = 2
"""Exit code for invalid input, such as a settings file with findings."""

EXIT_FAILED = 1
"""Exit code for a valid command that could not be carried out."""

EXIT_CONFLICT = 3
"""Exit code for a write rejected because of another operator's change."""


@click.group()
def cli():
    """Serve models whose replicas span several VMs."""


@cli.command()
@click.option('--settings', 'path', help='Settings file in balsamwind format.')
def entry(path):
    """Run an entry until SIGTERM.

    Without --settings, the entry runs on the users' platform and reads the
    platform's settings file, whose path is set in the environment.
    """
    if path is not None:
        settings = settings_package.load_settings(path)
        _configure_logs(sys.stderr)
        asyncio.run(entry_package.run_entry(settings))
        return
    load = functools.partial(
        platform.load_node_settings, _find_platform_settings()
    )
    node_settings = load()
    _configure_logs(sys.stdout)
    asyncio.run(
        node.run_node(node_settings, platform.make_platform_client, load)
    )


@cli.command()
@click.option('--settings', 'path', help='Settings file in balsamwind format.')
def check(path):
    """Validate a settings file.

    Without --settings, the platform's settings file is validated.
    """
    if path is None:
        path = _find_platform_settings()
        platform.load_node_settings(path)
    else:
        settings_package.load_settings(path)
    click.echo(f'{path}: ok')


@cli.command()
def version():
    """Print the version."""
    click.echo(balsamwind.__version__)


cli.add_command(_contracts.contract)
cli.add_command(_explain.explain)
cli.add_command(_repairs.repairs)
cli.add_command(_replay.replay)
cli.add_command(_status.status)
cli.add_command(_store.store)


def _find_platform_settings():
    path = platform.find_settings_path()
    if path is None:
        raise click.UsageError(
            '--settings is missing, and no settings file is set in the '
            'environment'
        )
    return path


def _configure_logs(stream):
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=json.dumps),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )


def main(argv=None):
    """Run the command line.

    Errors of the package are printed without a traceback, and their kind
    determines the exit code.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program name. Defaults to ``sys.argv[1:]``.
    """
    try:
        cli.main(args=argv, prog_name='balsamwind', standalone_mode=True)
    except exceptions.InvalidInput as error:
        _output.exit_with_error(str(error), EXIT_INVALID_INPUT)
    except exceptions.Conflict as error:
        _output.exit_with_error(f'conflict: {error}', EXIT_CONFLICT)
    except exceptions.BalsamwindError as error:
        _output.exit_with_error(f'{error.code}: {error}', EXIT_FAILED)
