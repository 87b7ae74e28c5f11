"""Checks a configuration before it is submitted.

The format has already been checked by decoding. These checks find what can be
decoded but cannot be meant: entries that never match, and limits that
contradict each other.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator
from typing import Any

from ebonycleat.internal.version.mesh_configuration import (
    MeshConfiguration,
    MeshRoute,
    MeshTeam,
    RouteKind,
)


class Severity(enum.Enum):
    """How serious a finding is; only errors should stop a submission."""

    ERROR = 'error'
    WARNING = 'warning'
    DIFFERENCE = 'difference'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding; ``place`` is the path of the entry in the configuration."""

    severity: Severity
    place: str
    reason: str


def check_configuration(configuration: MeshConfiguration) -> list[Finding]:
    """Return the errors and warnings of a configuration."""
    return [
        *find_hidden_routes(configuration.routes),
        *find_unused_services(configuration),
        *find_shared_keys(configuration.teams),
        *(
            finding
            for route in configuration.routes
            for finding in check_route(route)
        ),
        *(
            finding
            for team in configuration.teams
            for finding in check_team(team)
        ),
        *check_limits(configuration),
    ]


def find_hidden_routes(routes: Iterable[MeshRoute]) -> Iterator[Finding]:
    """Find routes whose host and prefix an earlier route has as well."""
    first_names: dict[tuple[str, str], str] = {}
    for route in routes:
        first = first_names.setdefault(
            (route.host, route.path_prefix), route.name
        )
        if first != route.name:
            yield Finding(
                Severity.ERROR,
                f'routes.{route.name}',
                f'never matches: route {first} has the same host and prefix',
            )


def find_unused_services(
    configuration: MeshConfiguration,
) -> Iterator[Finding]:
    """Find services that get no request."""
    used = {
        service for route in configuration.routes for service in route.services
    }
    for name in configuration.services:
        if name not in used:
            yield Finding(
                Severity.WARNING,
                f'services.{name}',
                'no route leads to the service',
            )
    for route_name, service in configuration.unused_weights:
        yield Finding(
            Severity.WARNING,
            f'routes.{route_name}',
            f'service {service} has the weight 0 and gets no request',
        )


def find_shared_keys(teams: Iterable[MeshTeam]) -> Iterator[Finding]:
    """Find keys that several teams have; keys themselves are not shown."""
    owners: dict[str, str] = {}
    for team in teams:
        for number, key in enumerate(team.keys):
            owner = owners.setdefault(key, team.name)
            if owner != team.name:
                yield Finding(
                    Severity.ERROR,
                    f'teams.{team.name}.keys[{number}]',
                    f'team {owner} has the same key',
                )


def check_route(route: MeshRoute) -> Iterator[Finding]:
    """Check one route by itself."""
    place = f'routes.{route.name}'
    if route.path_prefix and not route.path_prefix.startswith('/'):
        yield Finding(
            Severity.ERROR, place, 'never matches: paths begin with /'
        )
    if '' in route.services:
        yield Finding(Severity.ERROR, place, 'has no service')
    if route.latency_objective_s > route.timeout_s:
        yield Finding(
            Severity.ERROR,
            place,
            f'the latency objective of {route.latency_objective_s:g} s is '
            f'longer than the time-out of {route.timeout_s:g} s',
        )
    if route.kind is RouteKind.UNKNOWN:
        yield Finding(
            Severity.WARNING,
            place,
            'the kind is unknown; the route is served as not idempotent',
        )


def check_team(team: MeshTeam) -> Iterator[Finding]:
    """Check one team by itself."""
    place = f'teams.{team.name}'
    if not team.keys:
        yield Finding(
            Severity.WARNING, place, 'has no key, so it can send no request'
        )
    if team.rate_per_s and team.burst < 1:
        yield Finding(
            Severity.ERROR,
            place,
            f'a burst of {team.burst:g} is below one request',
        )
    if team.burst and not team.rate_per_s:
        yield Finding(
            Severity.ERROR,
            place,
            'a rate of 0 means no limit, so the burst has no effect',
        )


def check_limits(configuration: MeshConfiguration) -> Iterator[Finding]:
    """Check the limits of callers and of cold targets."""
    for field, limit in _fields_of(configuration.limits).items():
        if limit <= 0:
            yield Finding(
                Severity.ERROR,
                f'limits.{field}',
                f'{limit:g} leaves no room for a request',
            )
    for service in configuration.services.values():
        if bool(service.warm_up_s) != bool(service.warm_up_rate_per_s):
            yield Finding(
                Severity.WARNING,
                f'services.{service.name}',
                'a duration and a rate of the warm-up have no effect without '
                'each other',
            )


def compare_configurations(
    submitted: MeshConfiguration, in_force: MeshConfiguration
) -> list[Finding]:
    """Return the differences, and an error if the version is not newer."""
    findings = []
    if submitted.version <= in_force.version:
        findings.append(
            Finding(
                Severity.ERROR,
                'version',
                f'{submitted.version:08x} is not newer than the version in '
                f'force, {in_force.version:08x}, and would be ignored',
            ),
        )
    entries = _entries_of(submitted)
    entries_before = _entries_of(in_force)
    for place in sorted({*entries, *entries_before}):
        reason = _describe_change(entries_before.get(place), entries.get(place))
        if reason:
            findings.append(Finding(Severity.DIFFERENCE, place, reason))
    return findings


def _entries_of(configuration: MeshConfiguration) -> dict[str, Any]:
    """Return the entries of all tables by their place."""
    entries: dict[str, Any] = {'limits': configuration.limits}
    for route in configuration.routes:
        entries[f'routes.{route.name}'] = route
    for service in configuration.services.values():
        entries[f'services.{service.name}'] = service
    for team in configuration.teams:
        entries[f'teams.{team.name}'] = team
    return entries


def _describe_change(before: Any, after: Any) -> str:
    """Describe the change of an entry, empty if there is none."""
    if before == after:
        return ''
    if before is None:
        return 'added'
    if after is None:
        return 'removed'
    after_by_field = _fields_of(after)
    return ', '.join(
        _describe_field(field, old, after_by_field[field])
        for field, old in _fields_of(before).items()
        if old != after_by_field[field]
    )


def _describe_field(field: str, before: Any, after: Any) -> str:
    if field == 'keys':
        # Keys are secrets, and reports are kept.
        added = len(set(after) - set(before))
        removed = len(set(before) - set(after))
        return f'keys: {added} added, {removed} removed'
    return f'{field}: {_show(before)} -> {_show(after)}'


def _show(shown: Any) -> str:
    if isinstance(shown, enum.Enum):
        return str(shown.value)
    if isinstance(shown, tuple):
        parts = (f'{part.service} {part.weight:g}' for part in shown)
        return f'[{"; ".join(parts)}]'
    return str(shown)


def _fields_of(entry: Any) -> dict[str, Any]:
    return {
        field.name: getattr(entry, field.name)
        for field in dataclasses.fields(entry)
    }
