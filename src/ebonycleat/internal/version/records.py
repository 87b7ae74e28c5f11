"""Records of the configuration stream and the rules for their texts.

Changes are tagged msgspec structs, because msgspec decodes a union of
classes only by a tag; everything else is a frozen dataclass.
"""

import dataclasses
import enum
import re
from typing import Final, TypeAlias

import msgspec

from ebonycleat.internal.request.call import Priority

NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,99}')
DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}')
METHOD_PATTERN: Final = re.compile('[A-Z]{1,20}')
# Segments that a target could resolve to another path are not allowed.
PATH_PATTERN: Final = re.compile(
    r"/|(?:/(?!\.{1,2}(?:/|$))[A-Za-z0-9_.~!$&'()*+,=:@-]+){1,50}/?",
)

ZoneWeights: TypeAlias = tuple[tuple[str, float], ...]


class PutTeam(msgspec.Struct, frozen=True, tag=True):
    """Create a team or change its rate and burst (requests/s, requests)."""

    team: str
    rate_per_s: float
    burst: float
    zone_weights: ZoneWeights

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'team:{self.team}'


class WithdrawTeam(msgspec.Struct, frozen=True, tag=True):
    """Withdraw a team and with it all its keys."""

    team: str

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'team:{self.team}'


class PutKey(msgspec.Struct, frozen=True, tag=True):
    """Let the key with this SHA-256 digest (hexadecimal) act for a team."""

    digest: str
    team: str

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'key:{self.digest}'


class WithdrawKey(msgspec.Struct, frozen=True, tag=True):
    """Withdraw the key with this digest."""

    digest: str

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'key:{self.digest}'


class PutRoute(msgspec.Struct, frozen=True, tag=True):
    """Create or replace a route; ``timeout_ms`` is in milliseconds."""

    route: str
    service: str
    methods: tuple[str, ...]
    path_prefix: str
    priority: Priority
    idempotent: bool
    retry_limit: int
    timeout_ms: int
    open_to_all: bool

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'route:{self.route}'


class WithdrawRoute(msgspec.Struct, frozen=True, tag=True):
    """Withdraw a route."""

    route: str

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'route:{self.route}'


class FenceNode(msgspec.Struct, frozen=True, tag=True):
    """Assert that the VM that had this node id until now is gone for good.

    A later VM may have the same id and be fenced in its turn.
    """

    node: str

    @property
    def subject(self) -> str:
        """What this change is about."""
        return f'node:{self.node}'


Change: TypeAlias = (
    PutTeam
    | WithdrawTeam
    | PutKey
    | WithdrawKey
    | PutRoute
    | WithdrawRoute
    | FenceNode
)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes that take effect together or not at all.

    ``issued_at`` is in seconds since the Unix epoch and is only shown, never
    compared. ``expected`` pairs a subject with the offset of its last
    change; 0 says that the subject must not exist.
    """

    operation_id: str
    operator: str
    issued_at: float
    expected: tuple[tuple[str, int], ...]
    changes: tuple[Change, ...]


class RejectionReason(enum.Enum):
    """Why the fold or a node did not accept a change set."""

    CONFLICT = 'conflict'
    EMPTY = 'empty'
    TOO_LARGE = 'too-large'
    MALFORMED = 'malformed'
    UNKNOWN_TEAM = 'unknown-team'
    NOT_FOUND = 'not-found'
    BAD_RATE = 'bad-rate'
    BAD_ZONE_WEIGHTS = 'bad-zone-weights'
    ZONE_WEIGHTS_FIXED = 'zone-weights-fixed'
    BAD_LIMIT = 'bad-limit'
    ROUTE_OVERLAP = 'route-overlap'
    LOG_UNAVAILABLE = 'log-unavailable'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change set is in force; the version is its offset."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing of the change set is in force.

    ``lost_to`` is the offset of the change that came first, 0 when the
    change set is wrong by itself.
    """

    reason: RejectionReason
    subject: str
    lost_to: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyDecided:
    """A further copy of a change set that was decided at ``first_offset``."""

    decided_offset: int


Decision: TypeAlias = Accepted | Rejected | AlreadyDecided
