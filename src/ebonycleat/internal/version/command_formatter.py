"""Writes commands and changes in the operators' language.

What is printed parses back to the same command, so the control program can
send one command of a script, and a change out of the history can be entered
again.
"""

from ebonycleat.internal.version.change_checks import (
    format_number,
    format_weights,
)
from ebonycleat.internal.version.operator_commands import (
    ChangeCommand,
    Command,
    ExplainRefusal,
    ShowHelp,
    Query,
    CompleteStep,
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
    """Write a command on one line."""
    if isinstance(command, ChangeCommand):
        steps = '; '.join(map(format_step, command.steps))
        return f'dry run {steps}' if command.dry_run else steps
    return _print_query(command)


def format_step(step: ChangeStep) -> str:
    """Write one step of a change command."""
    match step:
        case CompleteStep():
            verb = 'create' if step.must_be_new else 'put'
            return format_change(step.change, verb)
        case TeamPatch():
            return _print_team_change(step)
    return f'change route {step.route}{_print_route_options(step)}'


def format_change(change: Change, verb: str = 'put') -> str:
    """Write one record; ``verb`` is for those that can be created."""
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
            return f'{verb} route {change.route}{_print_route_options(change)}'
        case FenceNode():
            return f'fence node {change.node}'
    return _print_withdrawal(change)


def _print_withdrawal(
    change: WithdrawTeam | WithdrawKey | WithdrawRoute,
) -> str:
    kind, _, name = change.subject.partition(':')
    return f'withdraw {kind} {name}'


def _print_team_change(step: TeamPatch) -> str:
    text = f'change team {step.team}'
    if step.rate_per_s is not None:
        text = f'{text} rate {format_number(step.rate_per_s)}'
    if step.burst is not None:
        text = f'{text} burst {format_number(step.burst)}'
    return text


def _print_route_options(route: PutRoute | RoutePatch) -> str:
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
    idempotent = _print_flag('idempotent', is_set=route.idempotent)
    open_to_all = _print_flag('open to all', is_set=route.open_to_all)
    return f'{text}{idempotent}{open_to_all}'


def _print_flag(word: str, *, is_set: bool | None) -> str:
    if is_set is None:
        return ''
    return f' {word}' if is_set else f' not {word}'


def _print_query(query: Query) -> str:
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
    return _print_wait_or_help(query)


def _print_wait_or_help(
    query: WaitForVersion | WaitForChange | ShowHelp,
) -> str:
    match query:
        case WaitForVersion():
            return f'wait for version {query.version}'
        case WaitForChange():
            return f'wait for change {query.operation_id}'
    return f'help {query.topic}'.rstrip()
