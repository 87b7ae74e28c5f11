"""Command line options of ``ebonycleat-mesh-node``.

They are for manual use: the platform starts the program without any.
"""

import dataclasses
import pathlib
import sys
from collections.abc import Callable, Sequence
from typing import Annotated

import cappa

from ebonycleat.commands.configuration_check import SUBCOMMAND, run_check
from ebonycleat.internal.process.command_line import (
    EXIT_INTERRUPTED,
    EXIT_OK,
    EXIT_USAGE_ERROR,
    parse_options,
)
from ebonycleat.internal.process.settings_file import InvalidSettings
from ebonycleat.platform import SETTINGS_VARIABLE, load_platform_settings

PROGRAM_NAME = 'ebonycleat-mesh-node'


@dataclasses.dataclass(frozen=True)
class MeshNodeOptions:
    """Options of the program, parsed by cappa."""

    settings: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--settings',
            help='JSON file of the platform with the settings',
        ),
    ] = None
    check_settings: Annotated[
        bool,
        cappa.Arg(
            long='--check-settings',
            help='check the settings file and exit',
        ),
    ] = False
    metrics_port: Annotated[
        int | None,
        cappa.Arg(
            long='--metrics-port',
            help='port of the metrics instead of the one of the platform',
        ),
    ] = None


def run_with_options(
    run: Callable[[pathlib.Path, int | None], int],
    arguments: Sequence[str],
    environment_path: str | None,
) -> int:
    """Parse the arguments, then run or check the settings.

    ``run`` runs a node with a settings file and a port for metrics, which is
    None for that of the platform, and returns the exit code.
    ``environment_path`` is the settings file that the environment names; the
    option ``--settings`` replaces it. The subcommand that checks a
    configuration needs no settings.
    """
    if arguments and arguments[0] == SUBCOMMAND:
        return run_check(arguments[1:], PROGRAM_NAME)
    try:
        options = parse_options(
            MeshNodeOptions,
            PROGRAM_NAME,
            'The node beside one target on the platform.',
            arguments,
        )
    except cappa.Exit as parser_exit:
        return (
            parser_exit.code
            if isinstance(parser_exit.code, int)
            else EXIT_USAGE_ERROR
        )
    path = options.settings
    if path is None and environment_path:
        path = pathlib.Path(environment_path)
    if path is None:
        sys.stderr.write(
            f'give --settings FILE, or name the file in the environment '
            f'variable {SETTINGS_VARIABLE}\n',
        )
        return EXIT_USAGE_ERROR
    try:
        return _run(run, path, options)
    except InvalidSettings as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE_ERROR
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run(
    run: Callable[[pathlib.Path, int | None], int],
    path: pathlib.Path,
    options: MeshNodeOptions,
) -> int:
    if not options.check_settings:
        return run(path, options.metrics_port)
    load_platform_settings(path)
    sys.stdout.write(f'{path}: the settings can be used\n')
    return EXIT_OK
