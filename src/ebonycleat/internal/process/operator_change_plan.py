"""Builds a change set from a change command and the view in force."""

import dataclasses
from typing import Any, TypeAlias

from ebonycleat.internal.version.change_checks import check_change
from ebonycleat.internal.version.configuration_fold import (
    ConfigurationFold,
    apply_change,
)
from ebonycleat.internal.version.configuration_view import ConfigurationView
from ebonycleat.internal.version.operator_commands import (
    ChangeCommand,
    ChangeStep,
    CompleteStep,
    RoutePatch,
    TeamPatch,
)
from ebonycleat.internal.version.records import (
    Change,
    ChangeSet,
    PutRoute,
    PutTeam,
    Rejected,
    RejectionReason,
)

ExpectedVersions: TypeAlias = tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOrigin:
    """Who requested a change set, and when in seconds since the epoch."""

    operation_id: str
    operator: str
    issued_at: float


def plan_change_set(
    view: ConfigurationView,
    command: ChangeCommand,
    origin: ChangeOrigin,
    expected: ExpectedVersions,
) -> ChangeSet | Rejected:
    """Build the change set of a command, or say why it is rejected.

    Settings that the command leaves out are taken from the view. The change
    set names the versions of its subjects on which it is based; ``expected``
    overrides them. Each step is checked against the view as changed by the
    steps before it. The change set is accepted unless another change of its
    subjects is appended to the log first.
    """
    provisional = view
    versions: dict[str, int] = {}
    changes: list[Change] = []
    for step in command.steps:
        change = _complete_change(provisional, step)
        if isinstance(change, Rejected):
            return change
        rejected = _check_must_be_new(provisional, step) or check_change(
            provisional, change
        )
        if rejected is not None:
            return rejected
        versions.setdefault(
            change.subject, view.last_change_offset(change.subject)
        )
        provisional = apply_change(provisional, view.offset + 1, change)
        changes.append(change)
    record = ChangeSet(
        origin.operation_id,
        origin.operator,
        origin.issued_at,
        tuple(sorted((versions | dict(expected)).items())),
        tuple(changes),
    )
    return ConfigurationFold(view).preview(record) or record


def _check_must_be_new(
    view: ConfigurationView, step: ChangeStep
) -> Rejected | None:
    if not isinstance(step, CompleteStep) or not step.must_be_new:
        return None
    changed_at = view.last_change_offset(step.change.subject)
    if not changed_at:
        return None
    return Rejected(
        RejectionReason.CONFLICT,
        step.change.subject,
        changed_at,
        f'{step.change.subject} exists already; use "put" or "change"',
    )


def _complete_change(
    view: ConfigurationView, step: ChangeStep
) -> Change | Rejected:
    match step:
        case CompleteStep():
            return step.change
        case TeamPatch():
            team = view.teams.get(step.team)
            if team is not None:
                return PutTeam(**_merge(team, step))
            subject = f'team:{step.team}'
        case RoutePatch():
            route = view.routes.get(step.route)
            if route is not None:
                return PutRoute(**_merge(route, step))
            subject = f'route:{step.route}'
    return Rejected(
        RejectionReason.NOT_FOUND,
        subject,
        view.last_change_or_withdrawal_offset(subject),
        f'there is no {subject}',
    )


def _merge(current: Any, step: TeamPatch | RoutePatch) -> dict[str, Any]:
    merged = dataclasses.asdict(current)
    merged.pop('changed_at')
    for name, setting in dataclasses.asdict(step).items():
        if setting is not None:
            merged[name] = setting
    return merged
