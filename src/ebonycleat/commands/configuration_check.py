"""``ebonycleat-mesh-node check-configuration``: checks a file offline."""

import dataclasses
import pathlib
import sys
from collections.abc import Sequence
from typing import Annotated

import cappa
import msgspec

from ebonycleat.internal.connection.errors import InvalidConfiguration
from ebonycleat.internal.process.command_line import (
    EXIT_OK,
    EXIT_USAGE_ERROR,
    parse_options,
)
from ebonycleat.internal.version.configuration_lint import (
    Finding,
    Severity,
    check_configuration,
    compare_configurations,
)
from ebonycleat.platform.configuration_format import (
    PlatformConfigurationFormat,
    name_place,
)

SUBCOMMAND = 'check-configuration'
EXIT_ERRORS = 1


@dataclasses.dataclass(frozen=True)
class CheckOptions:
    """Options of the subcommand, parsed by cappa."""

    file: Annotated[
        pathlib.Path,
        cappa.Arg(help='JSON file with the configuration to submit'),
    ]
    against: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--against',
            help='JSON file with the configuration in force',
        ),
    ] = None
    as_json: Annotated[
        bool,
        cappa.Arg(long='--json', help='print one line of JSON'),
    ] = False


def run_check(arguments: Sequence[str], program: str) -> int:
    """Check a configuration, print the findings and return the exit code."""
    try:
        options = parse_options(
            CheckOptions,
            f'{program} {SUBCOMMAND}',
            'Check a configuration before it is submitted. Exit codes: 0 no '
            'errors, 1 errors, 2 wrong usage or a file that cannot be read.',
            arguments,
        )
    except cappa.Exit as parser_exit:
        return (
            parser_exit.code
            if isinstance(parser_exit.code, int)
            else EXIT_USAGE_ERROR
        )
    try:
        findings = check_files(options.file, options.against)
    except OSError as error:
        sys.stderr.write(f'{error.filename}: {error.strerror}\n')
        return EXIT_USAGE_ERROR
    findings = [
        dataclasses.replace(finding, place=name_place(finding.place))
        for finding in findings
    ]
    errors = sum(finding.severity is Severity.ERROR for finding in findings)
    if options.as_json:
        report = {'errors': errors, 'findings': findings}
        sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')
    else:
        for finding in findings:
            sys.stdout.write(
                f'{finding.severity.value}: {finding.place}: {finding.reason}\n'
            )
        sys.stdout.write(f'{options.file}: {errors} errors\n')
    return EXIT_ERRORS if errors else EXIT_OK


def check_files(
    path: pathlib.Path, in_force_path: pathlib.Path | None
) -> list[Finding]:
    """Check one file, and compare it with the one in force if given.

    Raises ``OSError`` if a file cannot be read.
    """
    record = path.read_bytes()
    in_force = b'' if in_force_path is None else in_force_path.read_bytes()
    platform_format = PlatformConfigurationFormat()
    try:
        submitted = platform_format.parse_configuration(record)
    except InvalidConfiguration as error:
        return [Finding(Severity.ERROR, str(path), str(error))]
    findings = check_configuration(submitted)
    if in_force_path is None:
        return findings
    try:
        compared = platform_format.parse_configuration(in_force)
    except InvalidConfiguration as error:
        return [
            *findings,
            Finding(Severity.ERROR, str(in_force_path), str(error)),
        ]
    return [*findings, *compare_configurations(submitted, compared)]
