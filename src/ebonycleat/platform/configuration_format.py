"""The format in which operators write the configuration on the platform."""

import re
import types
from typing import Annotated, Any

import msgspec

from ebonycleat.internal.connection.errors import InvalidConfiguration
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
    RouteKind,
    WeightedService,
)

CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
VERSION_BASE = 16

KIND_BY_WORD = types.MappingProxyType({
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'upload': RouteKind.UPLOAD,
    'download': RouteKind.DOWNLOAD,
})

_NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0)]
_Version = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{8}$')]


class _WeightedCluster(msgspec.Struct, frozen=True):
    service: str
    weight: _NonNegativeNumber


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    host: str
    path_prefix: str
    route_type: str
    attempts: Annotated[int, msgspec.Meta(ge=1)]
    timeout_s: Annotated[float, msgspec.Meta(gt=0)]
    priority: int = 0
    # Latency goal: a response within it gets full credit. It is not a limit.
    target_latency_s: _NonNegativeNumber = 0
    auth_exempt: bool = False
    service: str = ''
    weighted_clusters: tuple[_WeightedCluster, ...] = ()


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    health_path: str = ''
    max_connections: int = 0
    warm_up_s: _NonNegativeNumber = msgspec.field(name='warmupS', default=0)
    warm_up_rate_per_s: _NonNegativeNumber = msgspec.field(
        name='warmupPerS', default=0
    )


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: _NonNegativeNumber = 0
    burst: _NonNegativeNumber = 0


class _Configuration(msgspec.Struct, frozen=True):
    version: _Version
    routes: dict[str, _Route]
    services: dict[str, _Service] = {}
    limits: _Limits = _Limits()
    tenants: dict[str, _Tenant] = {}


_decoder = msgspec.json.Decoder(_Configuration)

NULL_ESCAPE = b'\x5cu0000%s'

_SURROGATES = re.compile(
    rb'\\u[dD][89abAB]..\\u[dD][c-fC-F]..'
    rb'|\\u(?P<lone>[dD][89a-fA-F][0-9a-fA-F]{2})'
    rb'|\\.'
)
"""Escapes of JSON; those of surrogates without their other half are named."""

_ENTRY_TYPES = types.MappingProxyType({
    'routes': _Route,
    'services': _Service,
    'tenants': _Tenant,
})


class PlatformConfigurationFormat(ConfigurationFormat):
    """Reads the configuration, one JSON record of the platform's store."""

    def select_newest_record(self, page: TopicPage) -> bytes:
        """Return the newest configuration record of a page, empty if none."""
        newest = b''
        for key, record in page.records:
            if key == CONFIGURATION_KEY and record:
                newest = record
        return newest

    def list_evacuations(self, page: TopicPage) -> list[tuple[str, bool]]:
        """Return the zones of the records, and whether each has a value."""
        return [
            (key.removeprefix(EVACUATION_PREFIX), bool(record))
            for key, record in page.records
            if key.startswith(EVACUATION_PREFIX) and key != EVACUATION_PREFIX
        ]

    def parse_configuration(self, record: bytes) -> MeshConfiguration:
        """Decode a record as a whole."""
        try:
            decoded = _decoder.decode(_replace_lone_surrogates(record))
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidConfiguration(
                _find_invalid_entry(record) or str(error)
            ) from error
        return MeshConfiguration(
            version=int(decoded.version, VERSION_BASE),
            routes=tuple(
                _create_route(name, route)
                for name, route in decoded.routes.items()
            ),
            teams=tuple(
                _create_team(name, tenant)
                for name, tenant in decoded.tenants.items()
            ),
            services={
                name: MeshService(
                    name,
                    service.health_path,
                    service.max_connections,
                    service.warm_up_s,
                    service.warm_up_rate_per_s,
                )
                for name, service in decoded.services.items()
            },
            limits=CallerLimits(
                decoded.limits.max_header_bytes,
                decoded.limits.max_body_bytes,
                decoded.limits.header_timeout_s,
                decoded.limits.idle_timeout_s,
            ),
            encoded_record=record,
            unknown_kinds=tuple(
                (name, route.route_type)
                for name, route in decoded.routes.items()
                if route.route_type not in KIND_BY_WORD
            ),
            unused_weights=tuple(
                (name, part.service)
                for name, route in decoded.routes.items()
                for part in route.weighted_clusters
                if not part.weight
            ),
        )


def name_place(place: str) -> str:
    """Return a place of ``configuration_lint`` in the words of the format."""
    table, dot, entry = place.partition('.')
    if table != 'teams':
        return place
    return f'tenants{dot}{entry.replace(".keys[", ".apiKeys[")}'


def _replace_lone_surrogates(record: bytes) -> bytes:
    """Replace escapes of half a surrogate pair, which cannot be decoded.

    A null character and the digits of the escape take its place. Names stay
    different, and a name with a null character is never sent.
    """
    return _SURROGATES.sub(_replace_escape, record)


def _replace_escape(escape: re.Match[bytes]) -> bytes:
    digits: bytes | None = escape['lone']
    return escape[0] if digits is None else NULL_ESCAPE % digits


def _find_invalid_entry(record: bytes) -> str:
    """Return the first entry of a table that is invalid, and why.

    The decoder itself names the table and the field, but not the entry.
    Returns an empty string if no entry of a table is the cause.
    """
    try:
        tree: Any = msgspec.json.decode(record)
    except (msgspec.DecodeError, RecursionError):
        return ''
    if not isinstance(tree, dict):
        return ''
    for table, entry_type in _ENTRY_TYPES.items():
        entries = tree.get(table)
        if not isinstance(entries, dict):
            continue
        for name, entry in entries.items():
            try:
                msgspec.convert(entry, entry_type)
            except msgspec.ValidationError as error:
                return f'{table}.{name}: {error}'
    return ''


def _create_route(name: str, route: _Route) -> MeshRoute:
    weighted_services = tuple(
        WeightedService(part.service, part.weight)
        for part in route.weighted_clusters
        if part.weight > 0
    )
    return MeshRoute(
        name=name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        weighted_services=weighted_services
        or (WeightedService(route.service, 1),),
        # What is not known to be idempotent must not run twice.
        kind=KIND_BY_WORD.get(route.route_type, RouteKind.UNKNOWN),
        attempts=route.attempts,
        timeout_s=route.timeout_s,
        latency_objective_s=route.target_latency_s,
        priority=route.priority,
        is_open_to_all=route.auth_exempt,
    )


def _create_team(name: str, tenant: _Tenant) -> MeshTeam:
    return MeshTeam(
        name=name,
        keys=tenant.api_keys,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        priority=tenant.priority,
    )
