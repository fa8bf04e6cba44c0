"""Root command group and the exit codes of the command line."""

import asyncio
import functools
import importlib
import json
import logging
import sys

import click
import structlog

import balsamwind
from balsamwind.cli import _output
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


_COMMANDS = {
    'contract': '_contracts',
    'explain': '_explain',
    'repairs': '_repairs',
    'replay': '_replay',
    'status': '_status',
    'store': '_store',
}
"""Modules of the commands that are imported when they are used, because a
node that restarts serves sooner without them."""


class _LazyGroup(click.Group):
    """Command group that imports most commands when they are used."""

    def list_commands(self, ctx):
        return sorted([*super().list_commands(ctx), *_COMMANDS])

    def get_command(self, ctx, cmd_name):
        module_name = _COMMANDS.get(cmd_name)
        if module_name is None:
            return super().get_command(ctx, cmd_name)
        module = importlib.import_module(f'balsamwind.cli.{module_name}')
        return getattr(module, cmd_name)


@click.group(cls=_LazyGroup)
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
        entry_package = importlib.import_module('balsamwind.entry')
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
