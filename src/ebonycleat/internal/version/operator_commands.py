"""Commands of the operators' command language, as the parser returns them.

A command either changes the configuration or queries it.
"""

import dataclasses
import enum
from typing import TypeAlias

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.refusal import Reason
from ebonycleat.internal.version.records import Change


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteStep:
    """A step that does not depend on the current values of its subject.

    ``must_be_new`` is true for ``create``, which fails if the subject exists,
    and false for ``put``, which replaces it.
    """

    change: Change
    must_be_new: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TeamPatch:
    """A step that changes parts of a team; None keeps the current value."""

    team: str
    rate_per_s: float | None = None
    burst: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePatch:
    """A step that changes parts of a route; None keeps the current value."""

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
    """Steps that take effect together or not at all.

    A dry run checks them against the current configuration without changing
    it.
    """

    steps: tuple[ChangeStep, ...]
    dry_run: bool = False


class Listing(enum.Enum):
    """What ``show`` can list; the values are words of the language."""

    TEAMS = 'teams'
    KEYS = 'keys'
    ROUTES = 'routes'
    NODES = 'nodes'
    VERSION = 'version'


class RefusalGrouping(enum.Enum):
    """What ``show refusals`` groups its counts by.

    The values are words of the language.
    """

    TEAM = 'team'
    ROUTE = 'route'
    PRIORITY = 'priority'
    ZONE = 'zone'
    REASON = 'reason'


@dataclasses.dataclass(frozen=True, slots=True)
class ShowListing:
    """List a part of the current configuration, or the nodes.

    ``team`` limits a list of keys to one team; it is empty otherwise.
    """

    listing: Listing
    team: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShowRefusals:
    """Count the refusals of the node that answers, since its start."""

    group_by: RefusalGrouping = RefusalGrouping.REASON


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHistory:
    """List the newest change sets, including rejected ones."""

    limit: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ShowChange:
    """Show the change set with this operation id."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRefusal:
    """Explain what a refusal reason means and what to do about it."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForVersion:
    """Wait until the node has applied this version or a later one."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForChange:
    """Wait until the change set with this operation id is decided.

    It is decided once it is accepted or rejected.
    """

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHelp:
    """Show the help text of a topic; the overview if ``topic`` is empty."""

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
