"""Requests of operators to a node and the answers, encoded as JSON."""

import dataclasses
import enum
from typing import Final

from ebonycleat.internal.version.configuration_view import (
    ActiveKey,
    ActiveRoute,
    ActiveTeam,
)
from ebonycleat.internal.version.records import Rejected

OPERATOR_PATH: Final = '/-/ebonycleat/operator'


class AnswerStatus(enum.Enum):
    """The result of a request.

    ``DONE`` answers a query, ``ACCEPTED`` a change that is in force.
    ``UNKNOWN`` means that the outcome of a change is not known yet.
    ``NOT_READY`` means that another node should be asked.
    """

    DONE = 'done'
    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'
    UNAUTHORISED = 'unauthorised'
    NOT_READY = 'not-ready'


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One command of an operator.

    ``text`` is the command in the operators' language. ``operation_id``
    identifies a change; a repeated request keeps the id and increases
    ``attempt``. ``expected`` are the versions that the change is based on, by
    subject (the changed item, such as ``team:NAME``); where one is missing,
    the node takes it from its own view. The node answers once it has the
    configuration ``at_least_version``, after at most ``wait_s`` seconds.
    """

    text: str
    operation_id: str = ''
    attempt: int = 0
    expected: tuple[tuple[str, int], ...] = ()
    at_least_version: int = 0
    wait_s: float = 10


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRow:
    """One node of the fleet, as known to the answering node."""

    node: str
    zone: str
    service: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalRow:
    """Number of refusals of the answering node for one set of labels."""

    team: str
    route: str
    priority: str
    zone: str
    reason: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class CountRow:
    """Number of refusals with ``group`` as the value of one label."""

    group: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRow:
    """One change set that was accepted or rejected.

    ``changes`` are commands in the operators' language. ``issued_at`` is in
    seconds since the Unix epoch.
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

    ``version`` is the configuration version of the answering node, or the
    version that an accepted change has created. For a change that was
    rejected because of an earlier one, ``lost_to`` is that earlier change, if
    the node still has it.
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
