"""The settings file that the platform writes for each process."""

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
    ValueCheck,
    FileFormat,
    load_settings,
)

SETTINGS_VARIABLE = 'EBONYCLEAT_BOOT'

METRICS_PORT = 9464
"""``deploy/system.toml`` names the same port; the internal ports are drawn
anew for each deployment and cannot stand there."""

MAX_PORT = 65_535


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return bool(host) and port.isdecimal() and 0 < int(port) <= MAX_PORT


_AddressText = Annotated[str, ValueCheck(_is_address, 'HOST:PORT')]
_NotNegative = Annotated[
    float,
    msgspec.Meta(ge=0, description='a number, zero or more'),
]


def _named(name: str, **options: Any) -> Any:
    return dataclasses.field(metadata={'key': name}, **options)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Listen:
    # Requests of callers and of the own target.
    outbound: _AddressText
    ready: _AddressText
    control: _AddressText


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Bounds:
    revoke_fail_closed: bool = _named('revokeFailClosed', default=False)
    revoke_s: _NotNegative = _named('revokeS', default=5)
    grace_s: _NotNegative = _named('graceS', default=6)
    retry_budget_ratio: _NotNegative = _named('retryBudgetRatio', default=0.2)
    budget_slack: _NotNegative = _named('budgetSlack', default=0)
    budget_window_s: _NotNegative = _named('budgetWindowS', default=10)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Store:
    address: _AddressText


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _BootFile:
    node: str
    ip: str
    zone: str
    service: str
    listen: _Listen
    internal_ports: tuple[int, ...] = _named('internalPortRange')
    target_address: _AddressText = _named('appAddr')
    bounds: _Bounds = _Bounds()
    platform: _Store

    def __post_init__(self) -> None:
        """Demand a port for the links between nodes."""
        if not self.internal_ports:
            raise ValueError('internalPortRange with a first and a last port')


def load_platform_settings(path: pathlib.Path) -> MeshSettings:
    """Read the file; raises ``WrongSettings`` with every problem."""
    read = load_settings(path, _BootFile, FileFormat.JSON)
    first_port = read.internal_ports[0]
    return MeshSettings(
        node=read.node,
        zone=read.zone,
        service=read.service,
        callers=_address(read.listen.outbound),
        peers=Address(read.ip, first_port),
        ready=_address(read.listen.ready),
        control=_address(read.listen.control),
        target=_address(read.target_address),
        store=_address(read.platform.address),
        metrics_port=METRICS_PORT,
        bounds=_bounds(read.bounds),
    )


def _bounds(bounds: _Bounds) -> MeshLimits:
    return MeshLimits(
        key_withdrawal_s=(
            bounds.revoke_s if bounds.revoke_fail_closed else None
        ),
        stop_grace_s=bounds.grace_s,
        retry_share=bounds.retry_budget_ratio,
        retry_slack=bounds.budget_slack,
        retry_window_s=bounds.budget_window_s,
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
