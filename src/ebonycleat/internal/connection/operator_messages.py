"""Requests of operators to a node and its answers; both travel as JSON."""

import dataclasses
import enum
from typing import Final

from ebonycleat.internal.version.records import Rejected
from ebonycleat.internal.version.configuration_view import (
    ActiveKey,
    ActiveRoute,
    ActiveTeam,
)

OPERATOR_PATH: Final = '/-/ebonycleat/operator'


class AnswerStatus(enum.Enum):
    """What became of a request."""

    DONE = 'done'
    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'
    UNAUTHORISED = 'unauthorised'
    NOT_READY = 'not-ready'


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One command in the operators' language.

    ``operation_id`` names a change; one that is sent again keeps its id and
    counts ``attempt`` up. ``expected`` overrides the versions that the node
    takes from its view. The node waits until it has ``at_least_version``,
    and in all at most ``wait_s`` seconds.
    """

    text: str
    operation_id: str = ''
    attempt: int = 0
    expected: tuple[tuple[str, int], ...] = ()
    at_least_version: int = 0
    wait_s: float = 10


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRow:
    """One node as the answering node knows it."""

    node: str
    zone: str
    service: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalRow:
    """How often the answering node refused; all but the count are labels."""

    team: str
    route: str
    priority: str
    zone: str
    reason: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class CountRow:
    """Refusals added up under one label."""

    group: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRow:
    """One decided change set; ``changes`` are in the operators' language.

    ``issued_at`` is in seconds since the Unix epoch.
    """

    version: int
    operation_id: str
    operator: str
    issued_at: float
    outcome: str
    change_count: int
    changes: tuple[str, ...]
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The answer to one request.

    ``version`` is in force at the answering node, or for an accepted change
    the version that the change made. ``lost_to`` is the change that came
    first, if the node still remembers it.
    """

    status: AnswerStatus
    message: str = ''
    operation_id: str = ''
    version: int = 0
    rejected: Rejected | None = None
    lost_to: ChangeRow | None = None
    teams: tuple[ActiveTeam, ...] = ()
    keys: tuple[ActiveKey, ...] = ()
    routes: tuple[ActiveRoute, ...] = ()
    nodes: tuple[NodeRow, ...] = ()
    refusals: tuple[CountRow, ...] = ()
    history: tuple[ChangeRow, ...] = ()
