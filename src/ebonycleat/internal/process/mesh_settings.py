"""Settings of a mesh node, independent of the platform's file format."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A host and TCP port to listen on or to connect to."""

    host: str
    port: int

    @property
    def host_port(self) -> str:
        """The address as ``host:port``, which also identifies a node."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class MeshLimits:
    """Limits that operators set; times are in seconds.

    ``key_withdrawal_s`` is the time after which a withdrawn key must be
    refused. With None, keys stay valid however long the store cannot be
    read. ``stop_grace_s`` is the time that a stopping node has to finish
    requests. In each window of ``retry_window_s`` the retries sent to a
    service by the whole fleet are limited to ``retry_share`` of its requests
    plus ``retry_slack``. A change of the configuration must be in force
    everywhere within ``propagation_s``. ``max_descriptors`` limits the open
    files and sockets of the process; None leaves it to the operating system.
    ``memory_mb`` is the memory of the machine in 1,000,000 bytes, None if it
    is not known.
    """

    key_withdrawal_s: float | None
    stop_grace_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    propagation_s: float = 2
    max_descriptors: int | None = None
    memory_mb: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Identity, addresses and limits of one node.

    ``callers``, ``peers``, ``ready`` and ``control`` are listened on;
    ``target`` and ``store`` are connected to. Metrics are served on the host
    of ``peers`` at ``metrics_port``. With ``has_zone_spillover`` the node
    decides which fraction of its calls leaves the zone; otherwise it compares
    single targets by fixed marks of occupancy.
    """

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
    mesh_limits: MeshLimits
    has_zone_spillover: bool = False
