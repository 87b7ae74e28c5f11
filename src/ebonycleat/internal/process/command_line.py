"""Command-line options and exit codes that all programs share.

An invalid settings file is a common mistake of administrators. The program
then prints one line for each problem and ends with exit code 2; it prints no
traceback.
"""

import dataclasses
import pathlib
import sys
from collections.abc import Callable, Sequence
from importlib import metadata
from typing import Annotated, Generic, TypeVar

import cappa

from ebonycleat.internal.process.settings_file import (
    InvalidSettings,
    load_settings,
)

SettingsT = TypeVar('SettingsT')
OptionsT = TypeVar('OptionsT')

EXIT_OK = 0
EXIT_USAGE_ERROR = 2
EXIT_INTERRUPTED = 130


@dataclasses.dataclass(frozen=True)
class Program(Generic[SettingsT]):
    """Description of a program; ``start`` runs it until it ends.

    ``start`` gets the checked settings and returns the exit code.
    """

    name: str
    description: str
    settings_class: type[SettingsT]
    start: Callable[[SettingsT], int]


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of the command line.

    Keys are never passed as options, because other users of the machine can
    read the command lines of running processes.
    """

    settings: Annotated[
        pathlib.Path,
        cappa.Arg(long='--settings', help='TOML file with the settings'),
    ]
    check_settings: Annotated[
        bool,
        cappa.Arg(
            long='--check-settings',
            help='check the settings file and exit',
        ),
    ] = False


def program_version() -> str:
    """Return the version of the package, marked if it is not installed."""
    try:
        return metadata.version('ebonycleat')
    except metadata.PackageNotFoundError:
        return '0.1.0 (not installed)'


def run_program(
    program: Program[SettingsT],
    argv: Sequence[str] | None = None,
) -> int:
    """Parse options, load settings and run a program; return its exit code.

    ``argv`` does not include the program's name; None means ``sys.argv``.
    """
    try:
        options = parse_options(
            Options,
            program.name,
            program.description,
            argv,
        )
    except cappa.Exit as ended:
        return ended.code if isinstance(ended.code, int) else EXIT_USAGE_ERROR
    try:
        settings = load_settings(options.settings, program.settings_class)
    except InvalidSettings as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE_ERROR
    if options.check_settings:
        sys.stdout.write(f'{options.settings}: the settings can be used\n')
        return EXIT_OK
    try:
        return program.start(settings)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def parse_options(
    options_class: type[OptionsT],
    name: str,
    description: str,
    argv: Sequence[str] | None,
) -> OptionsT:
    """Parse arguments into ``options_class``.

    ``argv`` does not include the program's name. Raises ``cappa.Exit`` for
    invalid arguments and for ``--help`` and ``--version``.
    """
    command = cappa.command(options_class, name=name, help=description)
    return cappa.parse(
        command,
        argv=None if argv is None else list(argv),
        version=cappa.Arg(
            f'{name} {program_version()}',
            long='--version',
            help='show the version and exit',
        ),
        completion=False,
        color=False,
    )
