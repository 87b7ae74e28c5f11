"""The deterministic fold of the configuration stream.

Every node applies the same records in the same order, so at the same
offset every node has an equal view. Nothing here may depend on time, on the
node, or on the order of iteration over a map.
"""

import dataclasses
from typing import Final

import msgspec

from ebonycleat.internal.version.change_checks import (
    CheckResult,
    check_change,
    check_change_set,
    normalize_path_prefix,
)
from ebonycleat.internal.version.records import (
    NAME_PATTERN,
    Accepted,
    AlreadyDecided,
    Change,
    ChangeSet,
    Decision,
    FenceNode,
    PutKey,
    PutRoute,
    PutTeam,
    Rejected,
    RejectionReason,
    WithdrawKey,
    WithdrawRoute,
    WithdrawTeam,
)
from ebonycleat.internal.version.configuration_view import (
    ConfigurationView,
    ActiveKey,
    DecidedOperation,
    ActiveRoute,
    ActiveTeam,
)

# Bounds what one bulk change adds to the history and to each snapshot.
MAX_CHANGES_IN_HISTORY: Final = 20


class ConfigurationFold:
    """Keeps the view in force and applies records to it."""

    def __init__(self, view: ConfigurationView) -> None:
        """Start from a view: the empty one, or one out of a snapshot."""
        self.view = view

    def apply(self, offset: int, record: ChangeSet) -> Decision:
        """Apply the change set at an offset past the view's offset.

        A change set with a known operation id is ignored, so that a second
        copy of an append whose answer was lost changes nothing.
        """
        if not NAME_PATTERN.fullmatch(record.operation_id):
            self.skip_record(offset)
            return Rejected(RejectionReason.MALFORMED, 'operation id')
        known = self.view.operations.get(record.operation_id)
        if known is not None:
            self.skip_record(offset)
            return AlreadyDecided(known.offset)
        verdict = self.apply_changes(offset, record)
        self._remember(offset, record, verdict)
        return Accepted(offset) if verdict is None else verdict

    def skip_record(self, offset: int) -> None:
        """Pass over a record that is no readable change set."""
        self.view = dataclasses.replace(self.view, offset=offset)

    def apply_changes(self, offset: int, record: ChangeSet) -> CheckResult:
        """Put all changes in force, or none and tell why."""
        view = self.view
        verdict = check_change_set(view, record)
        withdrawn: set[str] = set()
        for change in record.changes:
            verdict = verdict or _check_return(change, withdrawn)
            verdict = verdict or check_change(view, change)
            if verdict is not None:
                return verdict
            if isinstance(change, WithdrawTeam):
                withdrawn.add(change.subject)
            view = apply_change(view, offset, change)
        if verdict is None:
            self.view = dataclasses.replace(view, version=offset)
        return verdict

    def preview(self, record: ChangeSet) -> CheckResult:
        """Tell how the next record would be rejected; None if accepted."""
        trial = ConfigurationFold(self.view)
        return trial.apply_changes(self.view.offset + 1, record)

    def _remember(
        self,
        offset: int,
        record: ChangeSet,
        verdict: CheckResult,
    ) -> None:
        operation = DecidedOperation(
            record.operation_id,
            record.operator,
            record.issued_at,
            offset,
            len(record.changes),
            record.changes[:MAX_CHANGES_IN_HISTORY],
            verdict,
        )
        self.view = dataclasses.replace(
            self.view,
            offset=offset,
            operations=self.view.operations.put(
                record.operation_id,
                operation,
            ),
        )


def create_fold() -> ConfigurationFold:
    """Build a fold that has seen nothing."""
    return ConfigurationFold(ConfigurationView())


def apply_change(
    view: ConfigurationView,
    offset: int,
    change: Change,
) -> ConfigurationView:
    """Return the view with one checked change."""
    match change:
        case PutTeam():
            view = _put_team(view, offset, change)
        case WithdrawTeam():
            view = _withdraw_team(view, offset, change)
        case PutKey():
            key = ActiveKey(change.digest, change.team, offset)
            view = dataclasses.replace(
                view,
                keys=view.keys.put(change.digest, key),
            )
        case WithdrawKey():
            view = dataclasses.replace(
                view,
                keys=view.keys.remove(change.digest),
            )
        case PutRoute():
            view = _put_route(view, offset, change)
        case WithdrawRoute():
            view = _remove_route(view, change.route)
        case FenceNode():
            fenced = view.fenced.put(change.node, offset)
            return dataclasses.replace(view, fenced=fenced)
    return _note_withdrawal(view, offset, change)


def _check_return(change: Change, withdrawn: set[str]) -> CheckResult:
    # Otherwise one change set could replace the fixed zone weights without
    # any view in which the team is absent.
    if change.subject not in withdrawn:
        return None
    return Rejected(
        RejectionReason.ZONE_WEIGHTS_FIXED,
        change.subject,
        detail='a change set cannot withdraw and create the same team',
    )


def _note_withdrawal(
    view: ConfigurationView,
    offset: int,
    change: Change,
) -> ConfigurationView:
    subject = change.subject
    if isinstance(change, (WithdrawTeam, WithdrawKey, WithdrawRoute)):
        withdrawn = view.withdrawn.put(subject, offset)
    else:
        withdrawn = view.withdrawn.remove_all((subject,))
    return dataclasses.replace(view, withdrawn=withdrawn)


def _put_team(
    view: ConfigurationView,
    offset: int,
    change: PutTeam,
) -> ConfigurationView:
    team = ActiveTeam(
        change.team,
        change.rate_per_s,
        change.burst,
        tuple(sorted(change.zone_weights)),
        offset,
    )
    return dataclasses.replace(view, teams=view.teams.put(change.team, team))


def _withdraw_team(
    view: ConfigurationView,
    offset: int,
    change: WithdrawTeam,
) -> ConfigurationView:
    # Sorted, because the order decides which withdrawal is forgotten first.
    digests = sorted(
        digest for digest, key in view.keys.items() if key.team == change.team
    )
    return dataclasses.replace(
        view,
        teams=view.teams.remove(change.team),
        keys=view.keys.update((), digests),
        withdrawn=view.withdrawn.put_all({
            f'key:{digest}': offset for digest in digests
        }),
    )


def _put_route(
    view: ConfigurationView,
    offset: int,
    change: PutRoute,
) -> ConfigurationView:
    cleared = _remove_route(view, change.route)
    prefix = normalize_path_prefix(change.path_prefix)
    names = cleared.routes_by_prefix.get(prefix) or ()
    route = ActiveRoute(**msgspec.structs.asdict(change), changed_at=offset)
    return dataclasses.replace(
        cleared,
        routes=cleared.routes.put(change.route, route),
        routes_by_prefix=cleared.routes_by_prefix.put(
            prefix,
            tuple(sorted((*names, change.route))),
        ),
    )


def _remove_route(view: ConfigurationView, name: str) -> ConfigurationView:
    route = view.routes.get(name)
    if route is None:
        return view
    prefix = normalize_path_prefix(route.path_prefix)
    names = view.routes_by_prefix.get(prefix) or ()
    kept = tuple(other for other in names if other != name)
    index = view.routes_by_prefix
    return dataclasses.replace(
        view,
        routes=view.routes.remove(name),
        routes_by_prefix=(
            index.put(prefix, kept) if kept else index.remove(prefix)
        ),
    )
