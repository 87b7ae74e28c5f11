"""Settings of a node, as the administrator of its VM writes them in TOML."""

import dataclasses
import ipaddress
import re
from typing import Annotated, Literal, TypeAlias

from msgspec import Meta

from ebonycleat.internal.process.settings_file import ValueCheck

MIB = 1048576
DEFAULT_QUEUE_PER_SLOT = 2

_HOST_PORT = re.compile(r'\[?([0-9a-fA-F.:]+?)\]?:([0-9]{1,5})')
_NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z'


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` or ``[IPv6]:port``; raises ``ValueError``."""
    parts = _HOST_PORT.fullmatch(address)
    if parts is None or not is_ip_address(parts.group(1)):
        raise ValueError(f'{address!r} is not IP:port')
    port = int(parts.group(2))
    if not 0 < port < 65536:
        raise ValueError(f'{address!r} has no port from 1 to 65535')
    return parts.group(1), port


def join_address(host: str, port: int) -> str:
    """Join host and port to an address that ``split_address`` accepts."""
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def is_ip_address(text: str) -> bool:
    """Tell whether text is an IPv4 or IPv6 address.

    Settings accept no host names, because nodes must work while DNS fails.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_peer_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _is_reachable_address(text: str) -> bool:
    if not is_ip_address(text):
        return False
    return not ipaddress.ip_address(text).is_unspecified


Name: TypeAlias = Annotated[
    str,
    Meta(
        pattern=_NAME_PATTERN,
        description='1 to 64 letters, digits, dots, dashes or underscores',
    ),
]
IpAddress: TypeAlias = Annotated[
    str, ValueCheck(is_ip_address, 'an IP address')
]
ReachableAddress: TypeAlias = Annotated[
    str,
    ValueCheck(_is_reachable_address, 'an IP address that other VMs can reach'),
]
PeerAddress: TypeAlias = Annotated[str, ValueCheck(_is_peer_address, 'IP:port')]
Port: TypeAlias = Annotated[
    int,
    Meta(ge=0, le=65535, description='a port, 0 to 65535 (0: any free one)'),
]
FixedPort: TypeAlias = Annotated[
    int,
    Meta(ge=1, le=65535, description='a port, 1 to 65535'),
]
KeyDigest: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r'^[0-9a-f]{64}\Z',
        description='a SHA-256 digest, 64 lowercase hexadecimal digits',
    ),
]
HttpUrl: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r'^https?://[0-9A-Za-z.:\[\]-]+(/[!-~]*)?\Z',
        description='http://HOST:PORT or https://HOST:PORT',
    ),
]
Seconds: TypeAlias = Annotated[
    float,
    Meta(gt=0, le=600, description='seconds, above 0 and up to 600'),
]
PositiveInt: TypeAlias = Annotated[
    int,
    Meta(ge=1, le=1_000_000, description='a whole number, 1 to 1000000'),
]
LogEra: TypeAlias = Annotated[
    int,
    Meta(ge=0, le=1_000_000, description='a whole number, 0 to 1000000'),
]
ByteLimit: TypeAlias = Annotated[
    int,
    Meta(ge=1, le=256 * MIB, description='bytes, 1 to 268435456'),
]
LogLevel: TypeAlias = Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """The identity of a node.

    A node id belongs to one VM permanently and must not be reused for
    another. ``seed`` initialises the node's random generator; with 0 the
    program takes a seed from the operating system.
    """

    id: Name
    zone: Name
    service: Name
    seed: Annotated[int, Meta(ge=0, description='a whole number from 0')] = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallersSettings:
    """The address for callers and the limit of their request bodies."""

    address: IpAddress
    port: Port
    max_body_bytes: ByteLimit = MIB


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeersSettings:
    """The address for other nodes, which is announced to them.

    ``seeds`` are peers that the node asks for the members if it cannot read
    the log when it starts. ``secret_env`` is the name of the environment
    variable that holds the fleet's secret.
    """

    address: ReachableAddress
    port: Port
    seeds: tuple[PeerAddress, ...] = ()
    secret_env: Name = 'EBONYCLEAT_FLEET_SECRET'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """The target to which this node dispatches calls.

    ``slots`` is how many calls it runs at a time.
    """

    host: IpAddress
    port: FixedPort
    slots: PositiveInt
    max_answer_bytes: ByteLimit = 8 * MIB


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogServiceSettings:
    """The address of the platform's append-only log, and its time limit.

    ``era`` is the number of times that the log was restored from an older
    copy. While it differs from the log's, the node goes on without the log. It
    may be changed only while all nodes are stopped.
    """

    base_url: HttpUrl
    timeout_s: Seconds = 2
    era: LogEra = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Longest queue of the gate, in calls; by default twice the slots."""

    length: PositiveInt | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """An operator who may change the configuration through this node."""

    name: Name
    key_digest: KeyDigest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatsdSettings:
    """The statsd server for counters; without this table none are sent."""

    host: IpAddress
    port: FixedPort = 8125
    prefix: Name = 'ebonycleat'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoggingSettings:
    """The lowest level of log lines that are written."""

    level: LogLevel = 'INFO'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """The complete settings file of ``ebonycleat-node``."""

    node: NodeIdentity
    callers: CallersSettings
    peers: PeersSettings
    target: TargetSettings
    log: LogServiceSettings
    queue: QueueSettings = QueueSettings()
    operators: tuple[OperatorSettings, ...] = ()
    statsd: StatsdSettings | None = None
    logging: LoggingSettings = LoggingSettings()

    def queue_length(self) -> int:
        """Return how many calls may wait for the target.

        The default is twice the slots: during a surge all slots are in use,
        and the second half of the queue is reserved for critical calls.
        """
        return self.queue.length or DEFAULT_QUEUE_PER_SLOT * self.target.slots

    def __post_init__(self) -> None:
        """Check values that are only invalid in combination.

        Raises ``ValueError`` with a text that says what is allowed.
        """
        digests = {operator.key_digest for operator in self.operators}
        if len(digests) < len(self.operators):
            raise ValueError('operators whose key digests differ')
        if self.callers.port and self.callers.port == self.peers.port:
            raise ValueError('callers.port and peers.port that differ')
