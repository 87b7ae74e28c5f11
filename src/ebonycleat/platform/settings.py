"""Reads the settings file that the platform writes for each node."""

import dataclasses
import pathlib
from typing import Annotated, Any

import msgspec

from ebonycleat.internal.process.mesh_settings import (
    Address,
    MeshLimits,
    MeshSettings,
)
from ebonycleat.internal.process.settings_file import (
    FileFormat,
    ValueCheck,
    load_settings,
)

SETTINGS_VARIABLE = 'EBONYCLEAT_BOOT'

METRICS_PORT = 9464
"""Port of the metrics endpoint. It is fixed because ``deploy/system.toml``
names it too; the internal ports change with each deployment."""

MAX_PORT = 65_535


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return bool(host) and port.isdecimal() and 0 < int(port) <= MAX_PORT


_AddressText = Annotated[str, ValueCheck(_is_address, 'HOST:PORT')]
_NonNegativeNumber = Annotated[
    float,
    msgspec.Meta(ge=0, description='a number, zero or more'),
]


_PositiveNumber = Annotated[
    float,
    msgspec.Meta(gt=0, description='a number above zero'),
]

_PositiveInt = Annotated[
    int,
    msgspec.Meta(gt=0, description='a whole number above zero'),
]


def _field_with_key(name: str, **options: Any) -> Any:
    # Declares a field whose key in the file differs from its name.
    return dataclasses.field(metadata={'key': name}, **options)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Listen:
    # Address for requests of callers and of the node's own target.
    outbound: _AddressText
    ready: _AddressText
    control: _AddressText


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Bounds:
    revoke_fail_closed: bool = _field_with_key(
        'revokeFailClosed', default=False
    )
    revoke_s: _NonNegativeNumber = _field_with_key('revokeS', default=5)
    grace_s: _NonNegativeNumber = _field_with_key('graceS', default=6)
    retry_budget_ratio: _NonNegativeNumber = _field_with_key(
        'retryBudgetRatio', default=0.2
    )
    budget_slack: _NonNegativeNumber = _field_with_key('budgetSlack', default=0)
    budget_window_s: _NonNegativeNumber = _field_with_key(
        'budgetWindowS', default=10
    )
    propagation_s: _PositiveNumber = _field_with_key('propagationS', default=2)
    evacuate_s: _PositiveNumber | None = _field_with_key(
        'evacuateS', default=None
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Limits:
    max_descriptors: _PositiveInt | None = _field_with_key(
        'maxFds', default=None
    )
    memory_mb: _PositiveNumber | None = _field_with_key(
        'memoryMb', default=None
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Store:
    address: _AddressText


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SettingsFile:
    node: str
    ip: str
    zone: str
    service: str
    listen: _Listen
    internal_ports: tuple[int, ...] = _field_with_key('internalPortRange')
    target_address: _AddressText = _field_with_key('appAddr')
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    platform: _Store
    has_zone_spillover: bool = _field_with_key('zoneSpillover', default=False)

    def __post_init__(self) -> None:
        """Require a port for the links between nodes."""
        if not self.internal_ports:
            raise ValueError('internalPortRange with a first and a last port')


def load_platform_settings(path: pathlib.Path) -> MeshSettings:
    """Read a settings file; raises ``InvalidSettings`` with all problems."""
    file_settings = load_settings(path, _SettingsFile, FileFormat.JSON)
    first_port = file_settings.internal_ports[0]
    return MeshSettings(
        node=file_settings.node,
        zone=file_settings.zone,
        service=file_settings.service,
        callers=_parse_address(file_settings.listen.outbound),
        peers=Address(file_settings.ip, first_port),
        ready=_parse_address(file_settings.listen.ready),
        control=_parse_address(file_settings.listen.control),
        target=_parse_address(file_settings.target_address),
        store=_parse_address(file_settings.platform.address),
        metrics_port=METRICS_PORT,
        has_zone_spillover=file_settings.has_zone_spillover,
        mesh_limits=dataclasses.replace(
            _convert_bounds(file_settings.bounds),
            max_descriptors=file_settings.limits.max_descriptors,
            memory_mb=file_settings.limits.memory_mb,
        ),
    )


def _convert_bounds(bounds: _Bounds) -> MeshLimits:
    return MeshLimits(
        # Without revokeFailClosed, keys are accepted however long the store
        # cannot be read.
        key_withdrawal_s=(
            bounds.revoke_s if bounds.revoke_fail_closed else None
        ),
        stop_grace_s=bounds.grace_s,
        retry_share=bounds.retry_budget_ratio,
        retry_slack=bounds.budget_slack,
        retry_window_s=bounds.budget_window_s,
        # Evacuations are read together with the configuration.
        propagation_s=min(
            bounds.propagation_s, bounds.evacuate_s or bounds.propagation_s
        ),
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
