"""Settings of a mesh node, in the product's own words."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to connect to."""

    host: str
    port: int

    @property
    def host_port(self) -> str:
        """Host and port in one text."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class MeshLimits:
    """What the operators demand, in seconds and shares.

    ``key_withdrawal_s`` is None where keys are honoured however long the
    store cannot be read. ``retry_share`` and ``retry_slack`` bound the
    repeats at a service in each ``retry_window_s``.
    """

    key_withdrawal_s: float | None
    stop_grace_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Where a node is, whom it serves, and what is demanded of it."""

    node: str
    zone: str
    service: str
    callers: Address
    peers: Address
    ready: Address
    control: Address
    target: Address
    store: Address
    metrics_port: int
    bounds: MeshLimits
