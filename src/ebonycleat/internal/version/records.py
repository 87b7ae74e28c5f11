"""Records of the configuration log, and the patterns that their texts match.

The class and field names of ``ChangeSet`` and of the changes are part of the
stored format. The changes are tagged msgspec structs, because msgspec can
decode a union of classes only by a tag; all other classes are frozen
dataclasses.
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
# Excludes the segments "." and "..", which a target could resolve to another
# path.
PATH_PATTERN: Final = re.compile(
    r"/|(?:/(?!\.{1,2}(?:/|$))[A-Za-z0-9_.~!$&'()*+,=:@-]+){1,50}/?",
)

ZoneWeights: TypeAlias = tuple[tuple[str, float], ...]


class PutTeam(msgspec.Struct, frozen=True, tag=True):
    """Create a team, or replace its rate (requests/s) and burst (requests).

    ``zone_weights`` divide both over the zones; they cannot be changed while
    the team exists.
    """

    team: str
    rate_per_s: float
    burst: float
    zone_weights: ZoneWeights

    @property
    def subject(self) -> str:
        """What is changed, as ``kind:name``."""
        return f'team:{self.team}'


class WithdrawTeam(msgspec.Struct, frozen=True, tag=True):
    """Withdraw a team and all its keys."""

    team: str

    @property
    def subject(self) -> str:
        """What is changed, as ``kind:name``."""
        return f'team:{self.team}'


class PutKey(msgspec.Struct, frozen=True, tag=True):
    """Assign the key with this SHA-256 digest (hexadecimal) to a team."""

    digest: str
    team: str

    @property
    def subject(self) -> str:
        """What is changed, as ``kind:name``."""
        return f'key:{self.digest}'


class WithdrawKey(msgspec.Struct, frozen=True, tag=True):
    """Withdraw the key with this SHA-256 digest (hexadecimal)."""

    digest: str

    @property
    def subject(self) -> str:
        """What is changed, as ``kind:name``."""
        return f'key:{self.digest}'


class PutRoute(msgspec.Struct, frozen=True, tag=True):
    """Create or replace a route.

    It sends requests with one of ``methods``, and a path at or below
    ``path_prefix``, to ``service``. ``open_to_all`` admits requests without a
    key.
    """

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
        """What is changed, as ``kind:name``."""
        return f'route:{self.route}'


class WithdrawRoute(msgspec.Struct, frozen=True, tag=True):
    """Withdraw the route with this name."""

    route: str

    @property
    def subject(self) -> str:
        """What is changed, as ``kind:name``."""
        return f'route:{self.route}'


class FenceNode(msgspec.Struct, frozen=True, tag=True):
    """Assert that the VM that had this node id so far is gone for good.

    Other nodes may then take over what it owned. A new VM may get the same
    node id, and may be fenced in turn.
    """

    node: str

    @property
    def subject(self) -> str:
        """What is changed, as ``kind:name``."""
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

    ``issued_at`` is in seconds since the Unix epoch; it is shown to operators
    and never compared. ``expected`` pairs a subject, such as ``team:survey``,
    with the offset of the last change that the operator has seen; 0 requires
    that the subject does not exist.
    """

    operation_id: str
    operator: str
    issued_at: float
    expected: tuple[tuple[str, int], ...]
    changes: tuple[Change, ...]


class RejectionReason(enum.Enum):
    """Why a change set was rejected, by the fold or by the node that got it."""

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
    """The change set took effect; ``version`` is its offset in the log."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change set was rejected and none of its changes took effect.

    ``subject`` is that of the first wrong change. ``lost_to`` is the offset
    of the earlier change that it conflicts with, 0 if there is none.
    """

    reason: RejectionReason
    subject: str
    lost_to: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyDecided:
    """A second copy of the change set decided at ``decided_offset``."""

    decided_offset: int


Decision: TypeAlias = Accepted | Rejected | AlreadyDecided
