"""Parses the query and command language of the operators.

The result is typed and frozen. The parser checks words and forms; whether a
change makes sense is decided by the fold, in the same way for every writer.
"""

from pathlib import Path
from typing import Any, Final

from lark import Lark, Token
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from ebonycleat.internal.request.refusal import Reason
from ebonycleat.internal.version.operator_commands import (
    ChangeCommand,
    Command,
    ExplainRefusal,
    ShowHelp,
    Listing,
    CompleteStep,
    RefusalGrouping,
    RoutePatch,
    ShowChange,
    ShowHistory,
    ShowListing,
    ShowRefusals,
    ChangeStep,
    TeamPatch,
    WaitForChange,
    WaitForVersion,
)
from ebonycleat.internal.version.help_topics import HELP_BY_TOPIC
from ebonycleat.internal.version.command_syntax_error import (
    CommandSyntaxError,
    convert_parser_error,
    create_error_at,
)
from ebonycleat.internal.version.command_options import (
    ChildNodes,
    OptionBuilder,
    InvalidWord,
    require_known_word,
    collect_options,
    require_options,
)
from ebonycleat.internal.version.records import (
    FenceNode,
    PutKey,
    PutRoute,
    PutTeam,
    WithdrawKey,
    WithdrawRoute,
    WithdrawTeam,
)

# A change set is limited to 1,000 changes; this is ample for one.
MAX_SCRIPT_LENGTH: Final = 500_000
DEFAULT_TIMEOUT_MS: Final = 10_000
DEFAULT_HISTORY_LIMIT: Final = 20


def parse_script(text: str) -> tuple[Command, ...]:
    """Parse any number of commands; raise ``CommandSyntaxError``."""
    if len(text) > MAX_SCRIPT_LENGTH:
        raise CommandSyntaxError(
            f'the text is longer than {MAX_SCRIPT_LENGTH} characters, send it in parts',
            text.split('\n', 1)[0][:80],
            (1, 1),
        )
    try:
        commands = _BUILDER.transform(_PARSER.parse(text))
    except UnexpectedInput as error:
        raise convert_parser_error(error, text) from None
    except VisitError as error:
        if isinstance(error.orig_exc, InvalidWord):
            word = error.orig_exc
            raise create_error_at(word.token, word.detail, text) from None
        raise
    except LarkError as error:
        raise CommandSyntaxError(str(error), text, (1, 1)) from error
    return tuple(commands.children)


def parse_command(text: str) -> Command:
    """Parse exactly one command; raise ``CommandSyntaxError``."""
    commands = parse_script(text)
    if len(commands) != 1:
        raise CommandSyntaxError(
            f'expected one command, found {len(commands)}',
            text,
            (1, 1),
        )
    return commands[0]


class StepBuilder(OptionBuilder):
    """Builds the steps of change commands."""

    def change(self, words: ChildNodes) -> ChangeCommand:
        is_dry = words[0] == 'dry run'
        return ChangeCommand(tuple(words[1:] if is_dry else words), is_dry)

    def dry_run(self, words: ChildNodes) -> str:
        return 'dry run'

    def put_team(self, words: ChildNodes) -> ChangeStep:
        verb, name, *options = words
        settings = collect_options(options)
        require_options(name, settings, ['rate', 'burst', 'zones'])
        return _record_step(verb, PutTeam(team=str(name), **settings))

    def put_key(self, words: ChildNodes) -> ChangeStep:
        verb, digest, team = words
        return _record_step(verb, PutKey(digest.lower(), str(team)))

    def put_route(self, words: ChildNodes) -> ChangeStep:
        verb, name, *options = words
        settings = collect_options(options)
        require_options(name, settings, ['to', 'methods', 'path', 'priority'])
        defaults = {
            'idempotent': False,
            'retry_limit': 0,
            'timeout_ms': DEFAULT_TIMEOUT_MS,
            'open_to_all': False,
        }
        route = PutRoute(route=str(name), **{**defaults, **settings})
        return _record_step(verb, route)

    def change_team(self, words: ChildNodes) -> ChangeStep:
        name, *options = words
        return TeamPatch(str(name), **_some_settings(name, options))

    def change_route(self, words: ChildNodes) -> ChangeStep:
        name, *options = words
        return RoutePatch(str(name), **_some_settings(name, options))

    def withdraw_team(self, words: ChildNodes) -> ChangeStep:
        return CompleteStep(WithdrawTeam(str(words[0])))

    def withdraw_key(self, words: ChildNodes) -> ChangeStep:
        return CompleteStep(WithdrawKey(words[0].lower()))

    def withdraw_route(self, words: ChildNodes) -> ChangeStep:
        return CompleteStep(WithdrawRoute(str(words[0])))

    def fence(self, words: ChildNodes) -> ChangeStep:
        return CompleteStep(FenceNode(str(words[0])))


class CommandBuilder(StepBuilder):
    """Builds queries as well."""

    def show(self, words: ChildNodes) -> Command:
        shown: Command = words[0]
        return shown

    def teams(self, words: ChildNodes) -> Command:
        return ShowListing(Listing.TEAMS)

    def keys(self, words: ChildNodes) -> Command:
        return ShowListing(Listing.KEYS, str(words[0]) if words else '')

    def routes(self, words: ChildNodes) -> Command:
        return ShowListing(Listing.ROUTES)

    def nodes(self, words: ChildNodes) -> Command:
        return ShowListing(Listing.NODES)

    def version(self, words: ChildNodes) -> Command:
        return ShowListing(Listing.VERSION)

    def refusals(self, words: ChildNodes) -> Command:
        return ShowRefusals(*words)

    def group(self, words: ChildNodes) -> RefusalGrouping:
        return RefusalGrouping(words[0].lower())

    def history(self, words: ChildNodes) -> Command:
        return ShowHistory(int(words[0]) if words else DEFAULT_HISTORY_LIMIT)

    def show_change(self, words: ChildNodes) -> Command:
        return ShowChange(str(words[0]))

    def explain(self, words: ChildNodes) -> Command:
        reasons = [reason.value for reason in Reason]
        return ExplainRefusal(
            Reason(require_known_word(words[0], reasons, 'reason'))
        )

    def wait(self, words: ChildNodes) -> Command:
        waited: Command = words[0]
        return waited

    def wait_version(self, words: ChildNodes) -> Command:
        return WaitForVersion(int(words[0]))

    def wait_change(self, words: ChildNodes) -> Command:
        return WaitForChange(str(words[0]))

    def help(self, words: ChildNodes) -> Command:
        if not words:
            return ShowHelp()
        topics = sorted(topic for topic in HELP_BY_TOPIC if topic)
        return ShowHelp(require_known_word(words[0], topics, 'topic'))


def _record_step(verb: Token, change: Any) -> CompleteStep:
    return CompleteStep(change, must_be_new=verb.lower() == 'create')


def _some_settings(name: Token, options: ChildNodes) -> dict[str, Any]:
    if not options:
        raise InvalidWord(name, f'say what to change about {name}')
    return collect_options(options)


_PARSER: Final = Lark(
    Path(__file__).with_name('grammar.lark').read_text(encoding='utf-8'),
    parser='lalr',
)
_BUILDER: Final = CommandBuilder()
