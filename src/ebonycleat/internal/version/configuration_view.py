"""The frozen configuration at one offset of the log.

The view is the whole state of the fold, so a dry run or a snapshot starts
from a view without a copy.
"""

import dataclasses
from typing import Final
from urllib.parse import unquote

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)
from ebonycleat.internal.version.persistent_map import (
    BoundedMap,
    PersistentMap,
)
from ebonycleat.internal.version.records import Change, Rejected, ZoneWeights

# At 27,000 changes a day this is the history and the memory against second
# copies of 3.5 hours; a client gives up on one change after a minute.
MAX_OPERATIONS: Final = 4000
# A withdrawn key is refused as withdrawn until this many later withdrawals,
# and as unknown from then on; both refusals stop it.
MAX_WITHDRAWALS: Final = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneShare:
    """A zone's fixed part of a team's budget (requests/s, requests)."""

    rate_per_s: float
    burst: float


NO_SHARE: Final = ZoneShare(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveTeam:
    """A team, with the offset of its last change."""

    team: str
    rate_per_s: float
    burst: float
    zone_weights: ZoneWeights
    changed_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownTeam:
    """There is no such team in the view."""

    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveKey:
    """The digest of a key, with the offset of its last change."""

    digest: str
    team: str
    changed_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRoute:
    """A route, with the offset of its last change."""

    route: str
    service: str
    methods: tuple[str, ...]
    path_prefix: str
    priority: Priority
    idempotent: bool
    retry_limit: int
    timeout_ms: int
    open_to_all: bool
    changed_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class DecidedOperation:
    """A decided change set; ``rejected`` is None if it was accepted.

    Of a very long change set only the first changes are kept.
    """

    operation_id: str
    operator: str
    issued_at: float
    offset: int
    change_count: int
    changes: tuple[Change, ...]
    rejected: Rejected | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationView:
    """Everything that the configuration stream says up to ``offset``.

    ``version`` is the offset of the last accepted change set.
    """

    offset: int = 0
    version: int = 0
    teams: PersistentMap[ActiveTeam] = PersistentMap()
    keys: PersistentMap[ActiveKey] = PersistentMap()
    routes: PersistentMap[ActiveRoute] = PersistentMap()
    routes_by_prefix: PersistentMap[tuple[str, ...]] = PersistentMap()
    fenced: PersistentMap[int] = PersistentMap()
    withdrawn: BoundedMap[int] = BoundedMap(MAX_WITHDRAWALS)
    operations: BoundedMap[DecidedOperation] = BoundedMap(MAX_OPERATIONS)

    def find_team_of_key(self, digest: str) -> str | Refusal:
        """Name the team of a key, or refuse the key with the true reason."""
        key = self.keys.get(digest)
        if key is not None:
            return key.team
        if self.withdrawn.get(f'key:{digest}') is None:
            return refuse_not_run(Reason.UNKNOWN_KEY, 'no team has this key')
        return refuse_not_run(Reason.WITHDRAWN_KEY, 'the key was withdrawn')

    def find_team(self, name: str) -> ActiveTeam | UnknownTeam:
        """Find a team by its name."""
        return self.teams.get(name) or UnknownTeam(name)

    def zone_share(self, team: str, zone: str) -> ZoneShare:
        """Return the zone's part; unknown teams and zones have none."""
        found = self.teams.get(team)
        if found is None:
            return NO_SHARE
        weights = dict(found.zone_weights)
        share = weights.get(zone, 0) / sum(weights.values())
        return ZoneShare(found.rate_per_s * share, found.burst * share)

    def find_route(self, method: str, path: str) -> ActiveRoute | Refusal:
        """Find the route with the longest prefix of whole path segments.

        ``path`` is the path of the request line, still percent-encoded. A
        path that a target could resolve to another route is refused.
        """
        plain = unquote(path.partition('?')[0])
        if _is_ambiguous(plain):
            return refuse_not_run(
                Reason.BAD_REQUEST,
                'the path has empty, "." or ".." segments; '
                'send it in its shortest form',
            )
        prefix = plain.rstrip('/')
        while prefix:
            route = self._route_at(prefix, method)
            if route is not None:
                return route
            prefix = prefix.rpartition('/')[0]
        return self._route_at('/', method) or refuse_not_run(
            Reason.NO_ROUTE,
            f'no route for {method} {path.partition("?")[0]}',
        )

    def last_change_offset(self, subject: str) -> int:
        """Return the offset of the subject's last change; 0 if absent."""
        kind, _, name = subject.partition(':')
        if kind == 'node':
            return self.fenced.get(name) or 0
        found: ActiveTeam | ActiveKey | ActiveRoute | None = None
        if kind == 'team':
            found = self.teams.get(name)
        elif kind == 'key':
            found = self.keys.get(name)
        elif kind == 'route':
            found = self.routes.get(name)
        return 0 if found is None else found.changed_at

    def last_change_or_withdrawal_offset(self, subject: str) -> int:
        """Like ``last_change_offset``, but a remembered withdrawal counts too."""
        return (
            self.last_change_offset(subject) or self.withdrawn.get(subject) or 0
        )

    def _route_at(self, prefix: str, method: str) -> ActiveRoute | None:
        for name in self.routes_by_prefix.get(prefix) or ():
            route = self.routes.get(name)
            if route is not None and method in route.methods:
                return route
        return None


def _is_ambiguous(path: str) -> bool:
    if not path.startswith('/') or '\\' in path:
        return True
    segments = path[1:].removesuffix('/').split('/')
    if segments == ['']:
        return path != '/'
    return any(
        segment.partition(';')[0] in {'', '.', '..'} for segment in segments
    )
