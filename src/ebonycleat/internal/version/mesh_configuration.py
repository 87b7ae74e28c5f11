"""The configuration of a mesh, as decoded from the platform's store.

Each version is one immutable object. A node replaces it as a whole, so that
no request is handled by parts of two versions.
"""

import dataclasses
import enum
import hashlib
import re
from collections.abc import Mapping

FINGERPRINT_BYTES = 8
"""Length of a key's fingerprint in messages between nodes. Such a short one is
enough: with 64 bits, the probability that two of thousands of keys have the
same fingerprint is about 1 in 10 to the 12."""

_HEADER_VALUE = re.compile(
    '[^\x00-\x20\x7f\ud800-\udfff]'
    '([^\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]*[^\x00-\x20\x7f\ud800-\udfff])?'
)
"""Text without control characters that HTTP does not trim at its ends."""


def fingerprint_key(key: str) -> bytes:
    """Return the digest that replaces a key in messages between nodes."""
    return hashlib.blake2b(key.encode(), digest_size=FINGERPRINT_BYTES).digest()


class RouteKind(enum.Enum):
    """What the requests of a route are, and therefore what may be repeated.

    An ``UPLOAD`` has a large body, a ``DOWNLOAD`` a large response. Only the
    kinds in ``REPEATABLE_KINDS`` may run more than once. A kind that this
    version does not know is ``UNKNOWN``.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    UPLOAD = 'upload'
    DOWNLOAD = 'download'
    UNKNOWN = 'unknown'


REPEATABLE_KINDS = frozenset((RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD))


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that runs a share of a route's requests.

    The share is ``weight`` divided by the sum of the weights of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshRoute:
    """Which requests are allowed, and how they are handled.

    A route applies to requests to ``host`` with a path that starts with
    ``path_prefix``. ``attempts`` is the maximum number of targets to which
    one request may be sent. ``timeout_s`` is the longest time that a caller
    may be kept waiting. ``latency_objective_s`` is the operators' latency
    goal for an answer, 0 without one. ``priority`` 0 is the most important. A
    route that ``is_open_to_all`` needs no key.
    """

    name: str
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    kind: RouteKind
    attempts: int
    timeout_s: float
    latency_objective_s: float
    priority: int
    is_open_to_all: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of the route may run more than once."""
        return self.kind in REPEATABLE_KINDS

    @property
    def services(self) -> set[str]:
        """Names of the services that may run the route's requests."""
        return {weighted.service for weighted in self.weighted_services}


@dataclasses.dataclass(frozen=True, slots=True)
class MeshTeam:
    """A team, its API keys and its limits in the whole fleet.

    ``rate_per_s`` and ``burst`` are in requests; a rate of zero means no
    limit. ``priority`` ranks the teams, 0 or None first.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float
    burst: float
    priority: int | None = None

    @property
    def has_sendable_name(self) -> bool:
        """Whether a target that gets the name in a header reads this name."""
        return _HEADER_VALUE.fullmatch(self.name) is not None


@dataclasses.dataclass(frozen=True, slots=True)
class MeshService:
    """What operators configure for a service.

    ``max_connections`` is a limit for one target; 0 means no limit. A target
    that has just started is cold for ``warm_up_s`` seconds, in which it takes
    ``warm_up_rate_per_s`` requests a second; 0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int = 0
    warm_up_s: float = 0
    warm_up_rate_per_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the requests of callers; the time-outs are in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshConfiguration:
    """One version of the configuration.

    ``encoded_record`` is the record of the store that it was decoded from;
    nodes send it on to other nodes. ``unknown_kinds`` has pairs of a route and
    the word for its kind that this version does not know. ``unused_weights``
    has pairs of a route and a service that has no weight there.
    """

    version: int
    routes: tuple[MeshRoute, ...]
    teams: tuple[MeshTeam, ...]
    services: Mapping[str, MeshService]
    limits: CallerLimits
    encoded_record: bytes = b''
    unknown_kinds: tuple[tuple[str, str], ...] = ()
    unused_weights: tuple[tuple[str, str], ...] = ()


class ConfigurationIndex:
    """Lookup tables for one version of the configuration.

    ``priority_offset_by_team`` has for each team the number that is added to
    the priority of a route to get the priority of the team's requests.
    """

    def __init__(self, configuration: MeshConfiguration) -> None:
        """Build the tables from ``configuration``."""
        self.configuration = configuration
        self.version = configuration.version
        self.routes_by_host = _group_by_host(configuration.routes)
        self.routes = {route.name: route for route in configuration.routes}
        self.teams = {team.name: team for team in configuration.teams}
        self.priority_offset_by_team = _calculate_priority_offsets(
            configuration
        )
        self.team_by_key = {
            key: team for team in configuration.teams for key in team.keys
        }
        self.team_by_key_fingerprint = {
            fingerprint_key(key): team.name
            for key, team in self.team_by_key.items()
        }

    def find_route(self, host: str, path: str) -> MeshRoute | None:
        """Return the route of the host with the longest matching prefix.

        Returns None if no route of the host matches the path.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _calculate_priority_offsets(
    configuration: MeshConfiguration,
) -> dict[str, int]:
    """Return for each team the number to add to the priority of its requests.

    Teams rank by their own priority first: each offset is larger than any
    priority of a request from a team that ranks higher.
    """
    ranks = sorted({team.priority or 0 for team in configuration.teams})
    priorities = {route.priority for route in configuration.routes}
    step = 1 + max(priorities, default=0)
    return {
        team.name: ranks.index(team.priority or 0) * step
        for team in configuration.teams
    }


def _group_by_host(
    routes: tuple[MeshRoute, ...],
) -> dict[str, list[MeshRoute]]:
    """Return the routes of each host, those with the longest prefix first."""
    by_host: dict[str, list[MeshRoute]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return by_host


def _prefix_length(route: MeshRoute) -> int:
    return len(route.path_prefix)
