"""The command parser handles any text, and formatted commands round-trip."""

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat import Reason
from ebonycleat.internal.version import operator_commands as typed
from ebonycleat.internal.version.command_formatter import format_command
from ebonycleat.internal.version.command_parser import (
    parse_command,
    parse_script,
)
from ebonycleat.internal.version.command_syntax_error import CommandSyntaxError
from ebonycleat.internal.version.help_topics import HELP_BY_TOPIC
from ebonycleat.internal.version.records import PutKey, PutRoute, PutTeam
from tests.configuration_records import sha256_hex
from tests.configuration_strategies import changes, names, quantities, routes

WORDS = (
    'create put change withdraw team teams key keys route routes node for to '
    'rate burst zones methods path priority retries timeout idempotent not '
    'open all begin commit dry run show history refusals by explain refusal '
    f'wait version help fence {sha256_hex("k")} a 12 5/s 1e999 9ms /p , = ; # \n'
).split(' ')

texts = st.one_of(
    st.text(max_size=60),
    st.lists(st.sampled_from(WORDS), max_size=14).map(' '.join),
    st.lists(st.sampled_from(WORDS), max_size=14).map(''.join),
)


@given(texts)
def test_any_text_parses_or_raises_a_syntax_error(text):
    """Guards against other exceptions, which name no line and column."""
    try:
        parse_script(text)
    except CommandSyntaxError as error:
        line = text.split('\n')[error.line - 1]
        assert 1 <= error.column <= len(line) + 1


def create_complete_step(change, *, is_new):
    can_be_new = isinstance(change, (PutTeam, PutKey, PutRoute))
    return typed.CompleteStep(change, must_be_new=is_new and can_be_new)


route_changes = st.builds(
    lambda route, fields: typed.RoutePatch(
        route.route,
        **{name: getattr(route, name) for name in fields},
    ),
    routes,
    st.sets(
        st.sampled_from(
            sorted(set(typed.RoutePatch.__dataclass_fields__) - {'route'}),
        ),
        min_size=1,
    ),
)
steps = st.one_of(
    st.builds(
        lambda change, is_new: create_complete_step(change, is_new=is_new),
        changes,
        st.booleans(),
    ),
    st.builds(typed.TeamPatch, names, quantities, st.none() | quantities),
    route_changes,
)
commands = st.one_of(
    st.builds(
        typed.ChangeCommand,
        st.lists(steps, min_size=1, max_size=4).map(tuple),
        st.booleans(),
    ),
    st.builds(typed.ShowListing, st.sampled_from(typed.Listing)),
    st.builds(typed.ShowListing, st.just(typed.Listing.KEYS), names),
    st.builds(typed.ShowRefusals, st.sampled_from(typed.RefusalGrouping)),
    st.builds(typed.ShowHistory, st.integers(0, 10**9)),
    st.builds(typed.ShowChange, names),
    st.builds(typed.ExplainRefusal, st.sampled_from(Reason)),
    st.builds(typed.WaitForVersion, st.integers(0, 10**9)),
    st.builds(typed.WaitForChange, names),
    st.builds(typed.ShowHelp, st.sampled_from(sorted(HELP_BY_TOPIC))),
)


@given(commands)
def test_a_formatted_command_parses_to_the_same_command(command):
    """Guards against a client that sends another change than was typed."""
    assert parse_command(format_command(command)) == command
