"""Typed commands of the operators' language."""

import dataclasses
import enum
from typing import TypeAlias

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.refusal import Reason
from ebonycleat.internal.version.records import Change


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteStep:
    """A change that is complete in itself.

    ``must_be_new`` tells ``create`` from ``put``, which also replaces.
    """

    change: Change
    must_be_new: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TeamPatch:
    """A change of a team; None leaves a value as it is."""

    team: str
    rate_per_s: float | None = None
    burst: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePatch:
    """A change of a route; None leaves a value as it is."""

    route: str
    service: str | None = None
    methods: tuple[str, ...] | None = None
    path_prefix: str | None = None
    priority: Priority | None = None
    idempotent: bool | None = None
    retry_limit: int | None = None
    timeout_ms: int | None = None
    open_to_all: bool | None = None


ChangeStep: TypeAlias = CompleteStep | TeamPatch | RoutePatch


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCommand:
    """Steps that take effect together or not at all."""

    steps: tuple[ChangeStep, ...]
    dry_run: bool = False


class Listing(enum.Enum):
    """What ``show`` can list."""

    TEAMS = 'teams'
    KEYS = 'keys'
    ROUTES = 'routes'
    NODES = 'nodes'
    VERSION = 'version'


class RefusalGrouping(enum.Enum):
    """By what ``show refusals`` adds up."""

    TEAM = 'team'
    ROUTE = 'route'
    PRIORITY = 'priority'
    ZONE = 'zone'
    REASON = 'reason'


@dataclasses.dataclass(frozen=True, slots=True)
class ShowListing:
    """List what is in force; ``team`` limits keys to one team."""

    listing: Listing
    team: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShowRefusals:
    """Count the refusals of the node that answers."""

    group_by: RefusalGrouping = RefusalGrouping.REASON


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHistory:
    """List the newest change sets, also the rejected ones."""

    limit: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ShowChange:
    """Look up one change set by its operation id."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRefusal:
    """Say what a refusal means and what to do about it."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForVersion:
    """Wait until the node has this version or a later one."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForChange:
    """Wait until the change set with this operation id is decided."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHelp:
    """Describe the language, or one topic of it."""

    topic: str = ''


Query: TypeAlias = (
    ShowListing
    | ShowRefusals
    | ShowHistory
    | ShowChange
    | ExplainRefusal
    | WaitForVersion
    | WaitForChange
    | ShowHelp
)
Command: TypeAlias = ChangeCommand | Query
