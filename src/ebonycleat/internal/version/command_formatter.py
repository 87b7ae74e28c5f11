"""Formats commands and changes in the operators' command language.

The text parses to an equal command. The control program can therefore send
the commands of a script one by one, and an operator can enter a change from
the history again.
"""

from ebonycleat.internal.version.change_checks import (
    format_number,
    format_weights,
)
from ebonycleat.internal.version.operator_commands import (
    ChangeCommand,
    ChangeStep,
    Command,
    CompleteStep,
    ExplainRefusal,
    Query,
    RoutePatch,
    ShowChange,
    ShowHelp,
    ShowHistory,
    ShowListing,
    ShowRefusals,
    TeamPatch,
    WaitForChange,
    WaitForVersion,
)
from ebonycleat.internal.version.records import (
    Change,
    FenceNode,
    PutKey,
    PutRoute,
    PutTeam,
    WithdrawKey,
    WithdrawRoute,
    WithdrawTeam,
)


def format_command(command: Command) -> str:
    """Return the command as one line of text."""
    if isinstance(command, ChangeCommand):
        steps = '; '.join(map(format_step, command.steps))
        return f'dry run {steps}' if command.dry_run else steps
    return _format_query(command)


def format_step(step: ChangeStep) -> str:
    """Return one step of a change command as text."""
    match step:
        case CompleteStep():
            verb = 'create' if step.must_be_new else 'put'
            return format_change(step.change, verb)
        case TeamPatch():
            return _format_team_patch(step)
    return f'change route {step.route}{_format_route_options(step)}'


def format_change(change: Change, verb: str = 'put') -> str:
    """Return a change of the log as a command.

    ``verb``, create or put, is used only for teams, keys and routes.
    """
    match change:
        case PutTeam():
            return (
                f'{verb} team {change.team} '
                f'rate {format_number(change.rate_per_s)} '
                f'burst {format_number(change.burst)} '
                f'zones {format_weights(change.zone_weights)}'
            )
        case PutKey():
            return f'{verb} key {change.digest} for team {change.team}'
        case PutRoute():
            return f'{verb} route {change.route}{_format_route_options(change)}'
        case FenceNode():
            return f'fence node {change.node}'
    return _format_withdrawal(change)


def _format_withdrawal(
    change: WithdrawTeam | WithdrawKey | WithdrawRoute,
) -> str:
    kind, _, name = change.subject.partition(':')
    return f'withdraw {kind} {name}'


def _format_team_patch(step: TeamPatch) -> str:
    text = f'change team {step.team}'
    if step.rate_per_s is not None:
        text = f'{text} rate {format_number(step.rate_per_s)}'
    if step.burst is not None:
        text = f'{text} burst {format_number(step.burst)}'
    return text


def _format_route_options(route: PutRoute | RoutePatch) -> str:
    options: list[tuple[str, object]] = [
        ('to', route.service),
        ('methods', route.methods and ', '.join(route.methods)),
        ('path', route.path_prefix),
        (
            'priority',
            None if route.priority is None else route.priority.name.lower(),
        ),
        ('retries', route.retry_limit),
        ('timeout', route.timeout_ms),
    ]
    text = ''.join(
        f' {word} {setting}' for word, setting in options if setting is not None
    )
    idempotent = _format_flag('idempotent', is_set=route.idempotent)
    open_to_all = _format_flag('open to all', is_set=route.open_to_all)
    return f'{text}{idempotent}{open_to_all}'


def _format_flag(word: str, *, is_set: bool | None) -> str:
    if is_set is None:
        return ''
    return f' {word}' if is_set else f' not {word}'


def _format_query(query: Query) -> str:
    match query:
        case ShowListing():
            team = f' of team {query.team}' if query.team else ''
            return f'show {query.listing.value}{team}'
        case ShowRefusals():
            return f'show refusals by {query.group_by.value}'
        case ShowHistory():
            return f'show history {query.limit}'
        case ShowChange():
            return f'show change {query.operation_id}'
        case ExplainRefusal():
            return f'explain refusal {query.reason.value}'
    return _format_wait_or_help(query)


def _format_wait_or_help(
    query: WaitForVersion | WaitForChange | ShowHelp,
) -> str:
    match query:
        case WaitForVersion():
            return f'wait for version {query.version}'
        case WaitForChange():
            return f'wait for change {query.operation_id}'
    return f'help {query.topic}'.rstrip()
