"""The configuration that a mesh serves, decoded from the platform's store.

One frozen object holds one version; a node replaces it whole, so that no
request ever sees parts of two versions.
"""

import dataclasses
import hashlib
from collections.abc import Mapping

FINGERPRINT_BYTES = 8
"""Digest length of keys between nodes: short on the wire, and 64 bits make
two equal marks among thousands of keys a matter of 1 in 10 to the 12."""


def fingerprint_key(key: str) -> bytes:
    """Digest by which nodes name a key without showing it."""
    return hashlib.blake2b(key.encode(), digest_size=FINGERPRINT_BYTES).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshRoute:
    """What may be requested, and how it may be handled.

    ``attempts`` is the largest number of targets that may get one request.
    ``priority`` counts from 0, the most important. ``timeout_s`` is the
    longest time that a caller may be kept waiting.
    """

    name: str
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    is_idempotent: bool
    attempts: int
    timeout_s: float
    latency_objective_s: float
    priority: int
    is_open_to_all: bool

    @property
    def services(self) -> set[str]:
        """Services that may run the route's requests."""
        return {part.service for part in self.weighted_services}


@dataclasses.dataclass(frozen=True, slots=True)
class MeshTeam:
    """A team's share of the fleet; a rate of zero means no limit."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float
    burst: float
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MeshService:
    """What is configured of a service's targets; 0 connections: no limit."""

    name: str
    health_path: str
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send; times are in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshConfiguration:
    """One version. ``record`` is its form in the store, to pass it on."""

    version: int
    routes: tuple[MeshRoute, ...]
    teams: tuple[MeshTeam, ...]
    services: Mapping[str, MeshService]
    limits: CallerLimits
    encoded_record: bytes = b''


class ConfigurationIndex:
    """One version, arranged for looking up requests."""

    def __init__(self, configuration: MeshConfiguration) -> None:
        """Index routes by host and teams by key."""
        self.configuration = configuration
        self.version = configuration.version
        self.routes_by_host = _sort_by_host(configuration.routes)
        self.routes = {route.name: route for route in configuration.routes}
        self.teams = {team.name: team for team in configuration.teams}
        self.priority_offset_by_team = _find_team_steps(configuration)
        self.team_by_key = {
            key: team for team in configuration.teams for key in team.keys
        }
        self.team_by_key_fingerprint = {
            fingerprint_key(key): team.name
            for key, team in self.team_by_key.items()
        }

    def find_route(self, host: str, path: str) -> MeshRoute | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _find_team_steps(configuration: MeshConfiguration) -> dict[str, int]:
    """How far the classes of each team stand behind the first team's."""
    ranks = sorted({team.priority or 0 for team in configuration.teams})
    classes = {route.priority for route in configuration.routes}
    step = 1 + max(classes, default=0)
    return {
        team.name: ranks.index(team.priority or 0) * step
        for team in configuration.teams
    }


def _sort_by_host(
    routes: tuple[MeshRoute, ...],
) -> dict[str, list[MeshRoute]]:
    """Routes of each host, the longest prefix first."""
    by_host: dict[str, list[MeshRoute]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return by_host


def _prefix_length(route: MeshRoute) -> int:
    return len(route.path_prefix)
