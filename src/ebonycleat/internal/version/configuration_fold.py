"""Applies the records of the configuration log to a configuration view.

The configuration is a left fold over the log: every node applies the same
records in the same order to an empty view, so all nodes have equal views at
the same offset. Nothing in this module may therefore depend on the time, on
the node, or on the iteration order of a map.
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
from ebonycleat.internal.version.configuration_view import (
    ActiveKey,
    ActiveRoute,
    ActiveTeam,
    ConfigurationView,
    DecidedOperation,
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

# Limits what one bulk change set adds to the history, and with it to each
# snapshot.
MAX_CHANGES_IN_HISTORY: Final = 20


class ConfigurationFold:
    """Holds the current configuration view and applies log records to it."""

    def __init__(self, view: ConfigurationView) -> None:
        """Start from ``view``, either empty or restored from a snapshot."""
        self.view = view

    def apply(self, offset: int, record: ChangeSet) -> Decision:
        """Apply the change set at ``offset``, which must follow the view's.

        A change set whose operation id was decided before only advances the
        offset: a client whose append got no answer sends the change set
        again, and the second copy must have no effect.
        """
        if not NAME_PATTERN.fullmatch(record.operation_id):
            self.skip_record(offset)
            return Rejected(RejectionReason.MALFORMED, 'operation id')
        known = self.view.operations.get(record.operation_id)
        if known is not None:
            self.skip_record(offset)
            return AlreadyDecided(known.offset)
        rejection = self.apply_changes(offset, record)
        self._record_decision(offset, record, rejection)
        return Accepted(offset) if rejection is None else rejection

    def skip_record(self, offset: int) -> None:
        """Advance past a record that must not change the configuration."""
        self.view = dataclasses.replace(self.view, offset=offset)

    def apply_changes(self, offset: int, record: ChangeSet) -> CheckResult:
        """Apply all changes of the set, or none; return why it was rejected."""
        view = self.view
        rejection = check_change_set(view, record)
        withdrawn: set[str] = set()
        for change in record.changes:
            rejection = rejection or _check_not_recreated(change, withdrawn)
            rejection = rejection or check_change(view, change)
            if rejection is not None:
                return rejection
            if isinstance(change, WithdrawTeam):
                withdrawn.add(change.subject)
            view = apply_change(view, offset, change)
        if rejection is None:
            self.view = dataclasses.replace(view, version=offset)
        return rejection

    def preview(self, record: ChangeSet) -> CheckResult:
        """Return why ``record`` would be rejected if appended next, or None."""
        trial = ConfigurationFold(self.view)
        return trial.apply_changes(self.view.offset + 1, record)

    def _record_decision(
        self,
        offset: int,
        record: ChangeSet,
        rejection: CheckResult,
    ) -> None:
        operation = DecidedOperation(
            record.operation_id,
            record.operator,
            record.issued_at,
            offset,
            len(record.changes),
            record.changes[:MAX_CHANGES_IN_HISTORY],
            rejection,
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
    """Create a fold with an empty view, which precedes the first record."""
    return ConfigurationFold(ConfigurationView())


def apply_change(
    view: ConfigurationView,
    offset: int,
    change: Change,
) -> ConfigurationView:
    """Return the view after one change that has passed the checks."""
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
    return _record_withdrawal(view, offset, change)


def _check_not_recreated(change: Change, withdrawn: set[str]) -> CheckResult:
    # Zone weights are fixed while a team exists. Withdrawing and creating the
    # team in one change set would replace them without any view in between
    # in which the team is absent.
    if change.subject not in withdrawn:
        return None
    return Rejected(
        RejectionReason.ZONE_WEIGHTS_FIXED,
        change.subject,
        detail='a change set cannot withdraw and create the same team',
    )


def _record_withdrawal(
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
    # Sorted, because this order decides which remembered withdrawal is
    # evicted first, and that must be the same on every node.
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
    # Without the old version, which may have had another path prefix.
    without_old = _remove_route(view, change.route)
    prefix = normalize_path_prefix(change.path_prefix)
    names = without_old.routes_by_prefix.get(prefix) or ()
    route = ActiveRoute(**msgspec.structs.asdict(change), changed_at=offset)
    return dataclasses.replace(
        without_old,
        routes=without_old.routes.put(change.route, route),
        routes_by_prefix=without_old.routes_by_prefix.put(
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
    remaining = tuple(other for other in names if other != name)
    index = view.routes_by_prefix
    return dataclasses.replace(
        view,
        routes=view.routes.remove(name),
        routes_by_prefix=(
            index.put(prefix, remaining) if remaining else index.remove(prefix)
        ),
    )
