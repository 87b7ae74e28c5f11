"""How operators write the configuration on the platform."""

from typing import Annotated, Literal

import msgspec

from ebonycleat.internal.connection.platform_interfaces import (
    ConfigurationFormat,
    TopicPage,
)
from ebonycleat.internal.version.mesh_configuration import (
    CallerLimits,
    MeshConfiguration,
    MeshRoute,
    MeshService,
    MeshTeam,
    WeightedService,
)

CONFIGURATION_KEY = 'config'
VERSION_BASE = 16

_Amount = Annotated[float, msgspec.Meta(ge=0)]
_Version = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{8}$')]


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: _Amount


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    host: str
    path_prefix: str
    route_type: Literal['idempotent', 'non_idempotent']
    attempts: Annotated[int, msgspec.Meta(ge=1)]
    timeout_s: Annotated[float, msgspec.Meta(gt=0)]
    priority: int = 0
    # Time for the full credit of an answer, not a limit of any kind.
    target_latency_s: _Amount = 0
    auth_exempt: bool = False
    service: str = ''
    weighted_clusters: tuple[_Part, ...] = ()


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    health_path: str = ''
    max_connections: int = 0


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: _Amount = 0
    burst: _Amount = 0


class _Configuration(msgspec.Struct, frozen=True):
    version: _Version
    routes: dict[str, _Route]
    services: dict[str, _Service] = {}
    limits: _Limits = _Limits()
    tenants: dict[str, _Tenant] = {}


_decoder = msgspec.json.Decoder(_Configuration)


class PlatformConfigurationFormat(ConfigurationFormat):
    """The record of the operator, as a whole configuration."""

    def select_newest_record(self, page: TopicPage) -> bytes:
        """The newest configuration among changed records, empty if none."""
        newest = b''
        for key, record in page.records:
            if key == CONFIGURATION_KEY and record:
                newest = record
        return newest

    def parse_configuration(self, record: bytes) -> MeshConfiguration | None:
        """Decode a record; None if it is not a configuration."""
        try:
            read = _decoder.decode(record)
        except (msgspec.DecodeError, RecursionError):
            return None
        return MeshConfiguration(
            version=int(read.version, VERSION_BASE),
            routes=tuple(
                _route(name, route) for name, route in read.routes.items()
            ),
            teams=tuple(
                _team(name, tenant) for name, tenant in read.tenants.items()
            ),
            services={
                name: MeshService(
                    name,
                    service.health_path,
                    service.max_connections,
                )
                for name, service in read.services.items()
            },
            limits=CallerLimits(
                read.limits.max_header_bytes,
                read.limits.max_body_bytes,
                read.limits.header_timeout_s,
                read.limits.idle_timeout_s,
            ),
            encoded_record=record,
        )


def _route(name: str, route: _Route) -> MeshRoute:
    parts = tuple(
        WeightedService(part.service, part.weight)
        for part in route.weighted_clusters
        if part.weight > 0
    )
    return MeshRoute(
        name=name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        weighted_services=parts or (WeightedService(route.service, 1),),
        is_idempotent=route.route_type == 'idempotent',
        attempts=route.attempts,
        timeout_s=route.timeout_s,
        latency_objective_s=route.target_latency_s,
        priority=route.priority,
        is_open_to_all=route.auth_exempt,
    )


def _team(name: str, tenant: _Tenant) -> MeshTeam:
    return MeshTeam(
        name=name,
        keys=tenant.api_keys,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        priority=tenant.priority,
    )
