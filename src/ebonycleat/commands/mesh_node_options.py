"""Command line of ``ebonycleat-mesh-node``, for people."""

import dataclasses
import pathlib
import sys
from collections.abc import Callable, Sequence
from typing import Annotated

import cappa

from ebonycleat.internal.process.command_line import (
    EXIT_OK,
    EXIT_INTERRUPTED,
    EXIT_USAGE_ERROR,
    parse_options,
)
from ebonycleat.internal.process.settings_file import InvalidSettings
from ebonycleat.platform import SETTINGS_VARIABLE, load_platform_settings

PROGRAM_NAME = 'ebonycleat-mesh-node'


@dataclasses.dataclass(frozen=True)
class MeshNodeOptions:
    """Options on the command line."""

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


def run_with_options(
    run: Callable[[pathlib.Path], int],
    arguments: Sequence[str],
    environment_path: str | None,
) -> int:
    """Parse the arguments and do what they say; returns the exit code."""
    try:
        options = parse_options(
            MeshNodeOptions,
            PROGRAM_NAME,
            'The process beside one target on the platform.',
            arguments,
        )
    except cappa.Exit as leave:
        return leave.code if isinstance(leave.code, int) else EXIT_USAGE_ERROR
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
        return _run(run, path, only_check=options.check_settings)
    except InvalidSettings as wrong:
        sys.stderr.write(f'{wrong}\n')
        return EXIT_USAGE_ERROR
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run(
    start: Callable[[pathlib.Path], int],
    path: pathlib.Path,
    *,
    only_check: bool,
) -> int:
    if not only_check:
        return start(path)
    load_platform_settings(path)
    sys.stdout.write(f'{path}: the settings can be used\n')
    return EXIT_OK
