"""Peer messages between holders and owners of a team's tokens.

Counts in reports are totals of the grant, so a report that arrives twice or
out of order changes nothing.
"""

import dataclasses
import enum
from typing import NamedTuple, TypeAlias


class DenialReason(enum.Enum):
    """Why an owner gave no token."""

    EMPTY = 'empty'
    NOT_OWNER = 'not-owner'


class GrantReport(NamedTuple):
    """Tokens of one grant spent, and handed back unspent, so far."""

    grant_id: str
    spent: int
    returned: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAsk:
    """A holder asks for tokens; with none wanted it only reports."""

    ask_id: str
    holder: str
    team: str
    wanted: int
    reports: tuple[GrantReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantGiven:
    """Tokens that are valid for ``lifetime_s`` from before the ask."""

    ask_id: str
    grant_id: str
    team: str
    tokens: int
    lifetime_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDenied:
    """No token now; the next one is due in ``retry_after_s`` seconds."""

    ask_id: str
    team: str
    reason: DenialReason
    retry_after_s: float


GrantAnswer: TypeAlias = GrantGiven | GrantDenied
GrantMessage: TypeAlias = GrantAsk | GrantAnswer
GRANT_MESSAGES = (GrantAsk, GrantGiven, GrantDenied)
