"""Parsing of operator commands; errors point at the offending word."""

import pytest

from ebonycleat import Priority
from ebonycleat.internal.version import operator_commands
from ebonycleat.internal.version.command_parser import (
    parse_command,
    parse_script,
)
from ebonycleat.internal.version.command_syntax_error import CommandSyntaxError
from ebonycleat.internal.version.help_topics import (
    ADVICE_BY_REASON,
    HELP_BY_TOPIC,
)
from ebonycleat.internal.version.records import FenceNode, PutTeam, WithdrawKey
from tests.configuration_records import create_put_route, sha256_hex

SCRIPT = """
# names may be keywords
dry run begin
    change team rate rate 5/s ; fence node n1

    withdraw key {digest}  # leaked
commit
change route to retries 0 not idempotent; change team x burst 2
show keys of team team
wait for 12
wait for op-12
"""


def test_a_route_is_read_with_all_its_options_in_any_order():
    """Guards against an option that is parsed and then dropped."""
    command = parse_command(
        'create route map open to all timeout 2000ms retries 2 idempotent '
        'path /map priority CRITICAL methods get to map',
    )
    route = create_put_route(open_to_all=True)
    assert command == operator_commands.ChangeCommand((
        operator_commands.CompleteStep(route, must_be_new=True),
    ))


def test_semicolons_and_blocks_make_one_change_and_lines_make_several():
    """Guards against steps of one change that are applied one by one."""
    script = SCRIPT.format(digest=sha256_hex('k').upper())
    assert parse_script(script) == (
        operator_commands.ChangeCommand(
            (
                operator_commands.TeamPatch('rate', rate_per_s=5),
                operator_commands.CompleteStep(FenceNode('n1')),
                operator_commands.CompleteStep(WithdrawKey(sha256_hex('k'))),
            ),
            dry_run=True,
        ),
        operator_commands.ChangeCommand(
            (
                operator_commands.RoutePatch(
                    'to', retry_limit=0, idempotent=False
                ),
                operator_commands.TeamPatch('x', burst=2),
            ),
        ),
        operator_commands.ShowListing(operator_commands.Listing.KEYS, 'team'),
        operator_commands.WaitForVersion(12),
        operator_commands.WaitForChange('op-12'),
    )


def test_a_zone_without_a_weight_has_weight_one():
    """Guards against a default that differs from the documented one."""
    command = parse_command('put team a rate 1.5e2 burst 3 zones x, y=2')
    team = PutTeam('a', 150, 3, (('x', 1), ('y', 2)))
    assert command.steps == (operator_commands.CompleteStep(team),)


@pytest.mark.parametrize(
    ('text', 'line', 'column', 'expected_text'),
    [
        ('create temas', 1, 8, 'expected one of key, route, team; did you'),
        ('show teams\nshow teamsx', 2, 6, 'did you mean "teams"?'),
        ('create team a rate fast', 1, 20, 'expected a number'),
        ('create team a rate 5', 1, 13, 'a also needs: burst, zones'),
        ('create team a rate', 1, 19, 'ends too early, expected a number'),
        ('change team a rate 1 rate 2', 1, 22, 'rate is given twice'),
        ('change team a', 1, 13, 'say what to change'),
        ('change team a rate 1e999', 1, 20, 'the number is too large'),
        ('create key K for team a', 1, 12, '64 hexadecimal digits'),
        ('change route r priority hihg', 1, 25, 'did you mean "high"?'),
        ('explain refusal over', 1, 17, 'did you mean "over-rate"?'),
        ('begin\nfence node n', 2, 13, 'commit'),
        ('show teams; show keys', 1, 11, 'expected one of'),
    ],
)
def test_errors_point_at_the_word_and_say_what_was_expected(
    text,
    line,
    column,
    expected_text,
):
    """Guards against errors that do not tell the operator what is wrong."""
    with pytest.raises(CommandSyntaxError) as raised:
        parse_script(text)
    assert (raised.value.line, raised.value.column) == (line, column)
    message, source_line, caret = str(raised.value).split('\n')
    assert expected_text in message
    assert source_line.strip() == text.split('\n')[line - 1].strip()
    assert caret.index('^') == column + 1


def test_every_priority_help_topic_and_reason_can_be_parsed():
    """Guards against help topics that the parser does not accept."""
    for priority in Priority:
        text = f'change route r priority {priority.name}'
        assert parse_command(text).steps[0].priority is priority
    for topic in HELP_BY_TOPIC:
        assert HELP_BY_TOPIC[parse_command(f'help {topic}').topic]
    for reason in ADVICE_BY_REASON:
        command = parse_command(f'explain refusal {reason.value}')
        assert ADVICE_BY_REASON[command.reason]
