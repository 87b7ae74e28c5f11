"""Checks a change against the configuration view that it would change.

Each check returns a ``Rejected``, or None if the change is allowed. The
configuration fold runs the checks on every record, so all nodes decide alike,
whichever program appended the record to the log.
"""

import math
from typing import Final, TypeAlias

from ebonycleat.internal.version.configuration_view import ConfigurationView
from ebonycleat.internal.version.records import (
    DIGEST_PATTERN,
    METHOD_PATTERN,
    NAME_PATTERN,
    PATH_PATTERN,
    Change,
    ChangeSet,
    FenceNode,
    PutKey,
    PutRoute,
    PutTeam,
    Rejected,
    RejectionReason,
    WithdrawKey,
    WithdrawRoute,
    WithdrawTeam,
    ZoneWeights,
)

MAX_CHANGES_PER_SET: Final = 1000
# Above this, arithmetic on rates, bursts and weights loses whole tokens to
# rounding.
MAX_QUANTITY: Final = 1e12
MAX_ZONES: Final = 200
MAX_RETRY_LIMIT: Final = 20
MAX_TIMEOUT_MS: Final = 3_600_000

CheckResult: TypeAlias = Rejected | None


def check_change_set(view: ConfigurationView, record: ChangeSet) -> CheckResult:
    """Check the size of a change set and the versions that it expects."""
    if not record.changes:
        return Rejected(
            RejectionReason.EMPTY,
            '',
            detail='no change in it',
        )
    if max(len(record.changes), len(record.expected)) > MAX_CHANGES_PER_SET:
        return Rejected(
            RejectionReason.TOO_LARGE,
            '',
            detail=f'more than {MAX_CHANGES_PER_SET} changes, '
            'send them in parts',
        )
    if not math.isfinite(record.issued_at):
        return _malformed('', 'the time of issue is not a number')
    for subject, offset in record.expected:
        if view.last_change_offset(subject) != offset:
            return Rejected(
                RejectionReason.CONFLICT,
                subject,
                view.last_change_or_withdrawal_offset(subject),
                f'expected version {offset} of {subject}, '
                f'found {view.last_change_offset(subject)}',
            )
    return None


def check_change(view: ConfigurationView, change: Change) -> CheckResult:
    """Check one change.

    ``view`` must already contain the earlier changes of the same set.
    """
    match change:
        case PutTeam():
            return _check_put_team(view, change)
        case PutKey():
            return _check_put_key(view, change)
        case PutRoute():
            return _check_put_route(view, change)
        case FenceNode():
            return _check_name(change.subject, change.node)
    return _check_withdrawal(view, change)


def normalize_path_prefix(path_prefix: str) -> str:
    """Return the prefix without a final slash, as in ``routes_by_prefix``."""
    return path_prefix.rstrip('/') or '/'


def _malformed(subject: str, detail: str) -> Rejected:
    return Rejected(RejectionReason.MALFORMED, subject, detail=detail)


def _check_name(subject: str, name: str) -> CheckResult:
    if NAME_PATTERN.fullmatch(name):
        return None
    return _malformed(
        subject,
        f'{name!r:.60} is not a name: use letters, digits, "_", "." and "-"',
    )


def _check_put_team(view: ConfigurationView, change: PutTeam) -> CheckResult:
    rejection = _check_name(change.subject, change.team)
    if rejection is not None:
        return rejection
    for label, quantity in (
        ('rate', change.rate_per_s),
        ('burst', change.burst),
    ):
        if not 0 <= quantity <= MAX_QUANTITY:
            return Rejected(
                RejectionReason.BAD_RATE,
                change.subject,
                detail=f'the {label} must be 0 to {MAX_QUANTITY:g}, '
                f'found {quantity:g}',
            )
    return _check_weights(change) or _check_weights_unchanged(view, change)


def _check_weights(change: PutTeam) -> CheckResult:
    zones = [zone for zone, _ in change.zone_weights]
    detail = ''
    if not zones or len(zones) > MAX_ZONES:
        detail = f'name 1 to {MAX_ZONES} zones'
    elif len(set(zones)) != len(zones):
        detail = 'a zone is named twice'
    elif not all(map(NAME_PATTERN.fullmatch, zones)):
        detail = 'a zone name has other signs than letters, digits, "_.-"'
    elif not all(
        0 < weight <= MAX_QUANTITY for _, weight in change.zone_weights
    ):
        detail = f'each weight must be above 0 and at most {MAX_QUANTITY:g}'
    if detail:
        return Rejected(
            RejectionReason.BAD_ZONE_WEIGHTS,
            change.subject,
            detail=detail,
        )
    return None


def _check_weights_unchanged(
    view: ConfigurationView,
    change: PutTeam,
) -> CheckResult:
    known = view.teams.get(change.team)
    if known is None or dict(known.zone_weights) == dict(change.zone_weights):
        return None
    return Rejected(
        RejectionReason.ZONE_WEIGHTS_FIXED,
        change.subject,
        known.changed_at,
        'the zone weights of a team are fixed '
        f'({format_weights(known.zone_weights)}); '
        'create a team with another name',
    )


def _check_put_key(view: ConfigurationView, change: PutKey) -> CheckResult:
    if not DIGEST_PATTERN.fullmatch(change.digest):
        return _malformed(
            'key:?',
            'a key is named by its SHA-256 digest, 64 digits 0-9 and a-f',
        )
    if change.team in view.teams:
        return None
    return Rejected(
        RejectionReason.UNKNOWN_TEAM,
        change.subject,
        view.last_change_or_withdrawal_offset(f'team:{change.team}'),
        f'there is no team {change.team!r:.60}',
    )


def _check_put_route(view: ConfigurationView, change: PutRoute) -> CheckResult:
    rejection = _check_name(change.subject, change.route) or _check_name(
        change.subject,
        change.service,
    )
    return (
        rejection
        or _check_route_match(change)
        or _check_route_limits(change)
        or _check_overlap(view, change)
    )


def _check_route_match(change: PutRoute) -> CheckResult:
    if not change.methods or len(set(change.methods)) != len(change.methods):
        return _malformed(
            change.subject,
            'name each method once',
        )
    if not all(map(METHOD_PATTERN.fullmatch, change.methods)):
        return _malformed(
            change.subject,
            'methods are written A to Z',
        )
    if not PATH_PATTERN.fullmatch(change.path_prefix):
        return _malformed(
            change.subject,
            f'{change.path_prefix!r:.60} is not a path prefix of plain '
            'segments such as /map/current',
        )
    return None


def _check_route_limits(change: PutRoute) -> CheckResult:
    detail = ''
    if not 0 <= change.retry_limit <= MAX_RETRY_LIMIT:
        detail = f'the retry limit must be 0 to {MAX_RETRY_LIMIT}'
    elif not 1 <= change.timeout_ms <= MAX_TIMEOUT_MS:
        detail = f'the timeout must be 1 to {MAX_TIMEOUT_MS} ms'
    if detail:
        return Rejected(
            RejectionReason.BAD_LIMIT,
            change.subject,
            detail=detail,
        )
    return None


def _check_overlap(view: ConfigurationView, change: PutRoute) -> CheckResult:
    prefix = normalize_path_prefix(change.path_prefix)
    for name in view.routes_by_prefix.get(prefix) or ():
        other = view.routes.get(name)
        if other is None or name == change.route:
            continue
        if set(other.methods) & set(change.methods):
            return Rejected(
                RejectionReason.ROUTE_OVERLAP,
                change.subject,
                other.changed_at,
                f'route {name} already has this method and path prefix',
            )
    return None


def _check_withdrawal(
    view: ConfigurationView,
    change: WithdrawTeam | WithdrawKey | WithdrawRoute,
) -> CheckResult:
    if view.last_change_offset(change.subject):
        return None
    return Rejected(
        RejectionReason.NOT_FOUND,
        change.subject,
        view.last_change_or_withdrawal_offset(change.subject),
        f'there is no {change.subject:.80}',
    )


def format_weights(weights: ZoneWeights) -> str:
    """Format zone weights as in the operators' command language."""
    return ', '.join(
        f'{zone}={format_number(weight)}' for zone, weight in weights
    )


def format_number(quantity: float) -> str:
    """Format a number in the shortest form that parses to the same value."""
    return repr(float(quantity)).removesuffix('.0')
