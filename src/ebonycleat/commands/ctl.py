"""``ebonycleat-ctl``: the operators' language on the command line.

Exit codes: 0 done, 1 rejected, 2 wrong usage or settings, 3 outcome unknown
(look it up by the operation id), 4 no node answered and nothing was done.
"""

import dataclasses
import os
import pathlib
import sys
import types
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Final

import cappa
import msgspec

from ebonycleat.commands.ctl_output import format_answer
from ebonycleat.commands.ctl_settings import CtlSettings, read_operator_key
from ebonycleat.internal.connection.operator_client import (
    HttpOperatorTransport,
    NoNodeAnswered,
    OperatorClient,
)
from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    OperatorAnswer,
    OperatorRequest,
)
from ebonycleat.internal.process.command_line import program_version
from ebonycleat.internal.process.settings_file import (
    InvalidSettings,
    load_settings,
)
from ebonycleat.internal.version.operator_commands import ChangeCommand, Command
from ebonycleat.internal.version.command_parser import parse_script
from ebonycleat.internal.version.command_syntax_error import CommandSyntaxError
from ebonycleat.internal.version.command_formatter import format_command

PROGRAM: Final = 'ebonycleat-ctl'
EXIT_OK: Final = 0
EXIT_REJECTED: Final = 1
EXIT_USAGE_ERROR: Final = 2
EXIT_UNKNOWN: Final = 3
EXIT_NO_ANSWER: Final = 4


class UsageError(Exception):
    """Options that cannot be used with these commands."""


@dataclasses.dataclass(frozen=True)
class Options:
    """Change and inspect the configuration of all nodes.

    Exit codes: 0 done, 1 rejected, 2 wrong usage or settings, 3 outcome
    unknown, 4 no node answered and nothing was done.
    """

    settings: Annotated[
        pathlib.Path,
        cappa.Arg(long='--settings', help='TOML file with the settings'),
    ]
    command: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1,
            help='one command, such as: show teams; without it, commands '
            'are read from standard input',
        ),
    ] = dataclasses.field(default_factory=list)
    check_settings: Annotated[
        bool,
        cappa.Arg(
            long='--check-settings',
            help='check the settings file and exit',
        ),
    ] = False
    as_json: Annotated[
        bool,
        cappa.Arg(long='--json', help='print each answer as a line of JSON'),
    ] = False
    operation_id: Annotated[
        str,
        cappa.Arg(
            long='--operation-id',
            help='send one change again under the id of its first attempt',
        ),
    ] = ''
    expect: Annotated[
        list[str],
        cappa.Arg(
            long='--expect',
            help='SUBJECT=VERSION, such as team:survey=12: reject the '
            'change unless this is the last change of the subject',
        ),
    ] = dataclasses.field(default_factory=list)
    wait: Annotated[
        float,
        cappa.Arg(long='--wait', help='seconds to wait for a decision'),
    ] = 10


@dataclasses.dataclass(slots=True)
class ControlSession:
    """One run of the program; ``version`` is the last one that was seen."""

    client: OperatorClient
    options: Options
    expected: tuple[tuple[str, int], ...]
    create_operation_id: Callable[[], str]
    version: int = 0

    def run(self, commands: Sequence[Command]) -> int:
        """Send the commands in turn until one is not done."""
        for number, command in enumerate(commands, 1):
            code = self.send(command)
            if code:
                self.report_unsent(len(commands) - number)
                return code
        return EXIT_OK

    def send(self, command: Command) -> int:
        """Send one command and show its answer; return its exit code."""
        is_change = isinstance(command, ChangeCommand) and not command.dry_run
        is_repeat = is_change and bool(self.options.operation_id)
        operation_id = self.options.operation_id
        if is_change and not is_repeat:
            operation_id = self.create_operation_id()
        request = OperatorRequest(
            format_command(command),
            operation_id if is_change else '',
            int(is_repeat),
            self.expected,
            self.version,
            self.options.wait,
        )
        try:
            answer = self.client.send(request, is_change=is_change)
        except KeyboardInterrupt:
            answer = NoNodeAnswered(is_change, ('interrupted',))
        if isinstance(answer, NoNodeAnswered):
            answer = _describe_silence(answer, operation_id)
        self.version = max(self.version, answer.version)
        self.print_answer(answer)
        return EXIT_CODE_BY_STATUS[answer.status]

    def print_answer(self, answer: OperatorAnswer) -> None:
        """Print an answer; what went wrong goes to standard error."""
        if self.options.as_json:
            sys.stdout.write(f'{msgspec.json.encode(answer).decode()}\n')
            return
        is_done = EXIT_CODE_BY_STATUS[answer.status] == EXIT_OK
        stream = sys.stdout if is_done else sys.stderr
        stream.write(f'{format_answer(answer)}\n')

    def report_unsent(self, count: int) -> None:
        """Say that later commands were not sent."""
        if count:
            sys.stderr.write(f'commands not sent after this: {count}\n')


EXIT_CODE_BY_STATUS: Final[Mapping[AnswerStatus, int]] = (
    types.MappingProxyType({
        AnswerStatus.DONE: EXIT_OK,
        AnswerStatus.ACCEPTED: EXIT_OK,
        AnswerStatus.REJECTED: EXIT_REJECTED,
        AnswerStatus.INVALID: EXIT_USAGE_ERROR,
        AnswerStatus.UNAUTHORISED: EXIT_USAGE_ERROR,
        AnswerStatus.UNKNOWN: EXIT_UNKNOWN,
        AnswerStatus.NOT_READY: EXIT_NO_ANSWER,
    })
)


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``ebonycleat-ctl``; returns the exit code."""
    try:
        options = _parse_options(argv)
    except cappa.Exit as leave:
        return leave.code if isinstance(leave.code, int) else EXIT_USAGE_ERROR
    try:
        return _run(options)
    except (InvalidSettings, UsageError, CommandSyntaxError) as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE_ERROR


def _run(options: Options) -> int:
    settings = load_settings(options.settings, CtlSettings)
    key = read_operator_key(settings, os.environ, str(options.settings))
    if options.check_settings:
        sys.stdout.write(f'{options.settings}: the settings can be used\n')
        return EXIT_OK
    text = ' '.join(options.command) or sys.stdin.read()
    commands = parse_script(text)
    _check_use(options, commands)
    transport = HttpOperatorTransport(key, settings.connect_timeout_s)
    session = ControlSession(
        OperatorClient(settings.nodes, transport),
        options,
        tuple(map(_parse_expected, options.expect)),
        _new_operation_id,
    )
    return session.run(commands)


def _new_operation_id() -> str:
    return f'op-{uuid.uuid4().hex}'


def _check_use(options: Options, commands: Sequence[Command]) -> None:
    if not commands:
        raise UsageError('no command; try: help')
    if not 0 <= options.wait <= 60:
        raise UsageError('--wait takes 0 to 60 seconds')
    if len(commands) > 1 and (options.operation_id or options.expect):
        raise UsageError('--operation-id and --expect go with one command')


def _parse_expected(text: str) -> tuple[str, int]:
    subject, _, version = text.rpartition('=')
    if subject and version.isascii() and version.isdigit():
        return subject, int(version)
    raise UsageError(f'--expect takes SUBJECT=VERSION, found {text!r}')


def _describe_silence(
    silence: NoNodeAnswered, operation_id: str
) -> OperatorAnswer:
    problems = '\n'.join(silence.failures)
    if silence.may_have_taken_effect:
        return OperatorAnswer(
            AnswerStatus.UNKNOWN,
            'no node told the outcome, the change may be in force; look it '
            f'up with: wait for change {operation_id}\n{problems}',
            operation_id,
        )
    return OperatorAnswer(
        AnswerStatus.NOT_READY,
        f'no node answered and nothing was done\n{problems}',
    )


def _parse_options(argv: Sequence[str] | None) -> Options:
    return cappa.parse(
        cappa.command(Options, name=PROGRAM),
        argv=None if argv is None else list(argv),
        version=cappa.Arg(
            f'{PROGRAM} {program_version()}',
            long='--version',
            help='show the version and exit',
        ),
        completion=False,
        color=False,
    )
