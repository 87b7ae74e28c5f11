"""Parses the query and command language of the operators.

The result is typed and frozen. The parser checks words and forms; whether a
change makes sense is decided by the fold, in the same way for every writer.
"""

from pathlib import Path
from typing import Any, Final

from lark import Lark, Token
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from ebonycleat.internal.request.refusal import Reason
from ebonycleat.internal.version.commands import (
    ChangeCommand,
    Command,
    ExplainRefusal,
    Help,
    Listing,
    RecordStep,
    RefusalGroup,
    RouteChange,
    ShowChange,
    ShowHistory,
    ShowListing,
    ShowRefusals,
    Step,
    TeamChange,
    WaitForChange,
    WaitForVersion,
)
from ebonycleat.internal.version.help_topics import TEXT_BY_TOPIC
from ebonycleat.internal.version.language_error import (
    LanguageError,
    describe_unexpected,
    error_at,
)
from ebonycleat.internal.version.language_options import (
    Children,
    OptionBuilder,
    WordError,
    choose_word,
    collect_settings,
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
MAX_TEXT: Final = 500_000
DEFAULT_TIMEOUT_MS: Final = 10_000
HISTORY_SHOWN: Final = 20


def parse_script(text: str) -> tuple[Command, ...]:
    """Parse any number of commands; raise ``LanguageError``."""
    if len(text) > MAX_TEXT:
        raise LanguageError(
            f'the text is longer than {MAX_TEXT} characters, send it in parts',
            text.split('\n', 1)[0][:80],
            (1, 1),
        )
    try:
        commands = _BUILDER.transform(_PARSER.parse(text))
    except UnexpectedInput as error:
        raise describe_unexpected(error, text) from None
    except VisitError as error:
        if isinstance(error.orig_exc, WordError):
            word = error.orig_exc
            raise error_at(word.token, word.detail, text) from None
        raise
    except LarkError as error:
        raise LanguageError(str(error), text, (1, 1)) from error
    return tuple(commands.children)


def parse_command(text: str) -> Command:
    """Parse exactly one command; raise ``LanguageError``."""
    commands = parse_script(text)
    if len(commands) != 1:
        raise LanguageError(
            f'expected one command, found {len(commands)}',
            text,
            (1, 1),
        )
    return commands[0]


class StepBuilder(OptionBuilder):
    """Builds the steps of change commands."""

    def change(self, words: Children) -> ChangeCommand:
        is_dry = words[0] == 'dry run'
        return ChangeCommand(tuple(words[1:] if is_dry else words), is_dry)

    def dry_run(self, words: Children) -> str:
        return 'dry run'

    def put_team(self, words: Children) -> Step:
        verb, name, *options = words
        settings = collect_settings(options)
        require_options(name, settings, ['rate', 'burst', 'zones'])
        return _record_step(verb, PutTeam(team=str(name), **settings))

    def put_key(self, words: Children) -> Step:
        verb, digest, team = words
        return _record_step(verb, PutKey(digest.lower(), str(team)))

    def put_route(self, words: Children) -> Step:
        verb, name, *options = words
        settings = collect_settings(options)
        require_options(name, settings, ['to', 'methods', 'path', 'priority'])
        defaults = {
            'idempotent': False,
            'retry_limit': 0,
            'timeout_ms': DEFAULT_TIMEOUT_MS,
            'open_to_all': False,
        }
        route = PutRoute(route=str(name), **{**defaults, **settings})
        return _record_step(verb, route)

    def change_team(self, words: Children) -> Step:
        name, *options = words
        return TeamChange(str(name), **_some_settings(name, options))

    def change_route(self, words: Children) -> Step:
        name, *options = words
        return RouteChange(str(name), **_some_settings(name, options))

    def withdraw_team(self, words: Children) -> Step:
        return RecordStep(WithdrawTeam(str(words[0])))

    def withdraw_key(self, words: Children) -> Step:
        return RecordStep(WithdrawKey(words[0].lower()))

    def withdraw_route(self, words: Children) -> Step:
        return RecordStep(WithdrawRoute(str(words[0])))

    def fence(self, words: Children) -> Step:
        return RecordStep(FenceNode(str(words[0])))


class CommandBuilder(StepBuilder):
    """Builds queries as well."""

    def show(self, words: Children) -> Command:
        shown: Command = words[0]
        return shown

    def teams(self, words: Children) -> Command:
        return ShowListing(Listing.TEAMS)

    def keys(self, words: Children) -> Command:
        return ShowListing(Listing.KEYS, str(words[0]) if words else '')

    def routes(self, words: Children) -> Command:
        return ShowListing(Listing.ROUTES)

    def nodes(self, words: Children) -> Command:
        return ShowListing(Listing.NODES)

    def version(self, words: Children) -> Command:
        return ShowListing(Listing.VERSION)

    def refusals(self, words: Children) -> Command:
        return ShowRefusals(*words)

    def group(self, words: Children) -> RefusalGroup:
        return RefusalGroup(words[0].lower())

    def history(self, words: Children) -> Command:
        return ShowHistory(int(words[0]) if words else HISTORY_SHOWN)

    def show_change(self, words: Children) -> Command:
        return ShowChange(str(words[0]))

    def explain(self, words: Children) -> Command:
        reasons = [reason.value for reason in Reason]
        return ExplainRefusal(Reason(choose_word(words[0], reasons, 'reason')))

    def wait(self, words: Children) -> Command:
        waited: Command = words[0]
        return waited

    def wait_version(self, words: Children) -> Command:
        return WaitForVersion(int(words[0]))

    def wait_change(self, words: Children) -> Command:
        return WaitForChange(str(words[0]))

    def help(self, words: Children) -> Command:
        if not words:
            return Help()
        topics = sorted(topic for topic in TEXT_BY_TOPIC if topic)
        return Help(choose_word(words[0], topics, 'topic'))


def _record_step(verb: Token, change: Any) -> RecordStep:
    return RecordStep(change, must_be_new=verb.lower() == 'create')


def _some_settings(name: Token, options: Children) -> dict[str, Any]:
    if not options:
        raise WordError(name, f'say what to change about {name}')
    return collect_settings(options)


_PARSER: Final = Lark(
    Path(__file__).with_name('grammar.lark').read_text(encoding='utf-8'),
    parser='lalr',
)
_BUILDER: Final = CommandBuilder()
