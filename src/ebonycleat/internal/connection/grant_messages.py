"""Peer messages by which nodes get rate tokens of a team.

In each availability zone one node owns the token bucket of a team; the other
nodes, the holders, ask it for grants of tokens. Reports contain the totals of
a grant, so that a report which arrives twice or out of order does no harm.
"""

import dataclasses
import enum
from typing import NamedTuple, TypeAlias


class DenialReason(enum.Enum):
    """Why no tokens were granted."""

    EMPTY = 'empty'
    NOT_OWNER = 'not-owner'


class GrantReport(NamedTuple):
    """Use of one grant: tokens spent so far, and tokens returned unused."""

    grant_id: str
    spent: int
    returned: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAsk:
    """A holder asks the owner for tokens and reports the use of its grants.

    If ``wanted`` is zero, the message is only a report.
    """

    ask_id: str
    holder: str
    team: str
    wanted: int
    reports: tuple[GrantReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantGiven:
    """The owner grants tokens.

    They expire ``lifetime_s`` after the holder sent the ``GrantAsk``.
    """

    ask_id: str
    grant_id: str
    team: str
    tokens: int
    lifetime_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDenied:
    """The owner grants no tokens now.

    The next token is expected in ``retry_after_s`` seconds.
    """

    ask_id: str
    team: str
    reason: DenialReason
    retry_after_s: float


GrantAnswer: TypeAlias = GrantGiven | GrantDenied
GrantMessage: TypeAlias = GrantAsk | GrantAnswer
GRANT_MESSAGES = (GrantAsk, GrantGiven, GrantDenied)
