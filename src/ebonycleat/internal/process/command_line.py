"""The options that every program shares, and its exit codes.

A wrong settings file is the administrator's everyday error, so it gives
exit code 2 and one line for each problem, never a traceback.
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
    """One entry point: ``start`` runs it and returns its exit code."""

    name: str
    description: str
    settings_class: type[SettingsT]
    start: Callable[[SettingsT], int]


@dataclasses.dataclass(frozen=True)
class Options:
    """Options on the command line; keys are never among them."""

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
    """Version of the installed package, or of the source tree."""
    try:
        return metadata.version('ebonycleat')
    except metadata.PackageNotFoundError:
        return '0.1.0 (not installed)'


def run_program(
    program: Program[SettingsT],
    argv: Sequence[str] | None = None,
) -> int:
    """Run one program; ``argv`` is without its name. Returns the exit code."""
    try:
        options = parse_options(
            Options,
            program.name,
            program.description,
            argv,
        )
    except cappa.Exit as leave:
        return leave.code if isinstance(leave.code, int) else EXIT_USAGE_ERROR
    try:
        settings = load_settings(options.settings, program.settings_class)
    except InvalidSettings as wrong:
        sys.stderr.write(f'{wrong}\n')
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
    """Parse arguments without the program's name; may raise cappa.Exit."""
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
