"""Messages that carry calls between nodes.

Times travel as the seconds that are left, never as points in time, because
the clocks of two VMs have different origins.
"""

import dataclasses

from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.request.call import Answer, Call, RefusedCall
from ebonycleat.internal.request.dedupe_tracker import (
    CopyNotTaken,
    DedupeAsk,
)

COPY_SEPARATOR = '#'


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side: what the dialler must sign."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Names the dialling node and proves that it knows the fleet's secret.

    ``proof`` is an HMAC-SHA-256 over the nonce, the node id and the
    incarnation.
    """

    node: str
    incarnation: int
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a ``Pong`` with the same number."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers a ``Ping``."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCall:
    """Asks a node to run a call at its own target.

    ``call.deadline`` holds no meaning on the wire; ``time_left_s`` does.
    """

    call: Call
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswer:
    """The whole answer to a ``PeerCall``."""

    answer: Answer
    load: GateLoad


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefusal:
    """A ``PeerCall`` that got no answer from a target."""

    refused: RefusedCall
    load: GateLoad


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCancel:
    """The caller no longer waits; the slot may be freed."""

    call_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsk:
    """Asks the dedupe owner for the result of a non-idempotent call.

    ``ask.call.deadline`` holds no meaning on the wire; ``time_left_s`` does.
    """

    ask: DedupeAsk
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAskAnswer:
    """The owner's word: the whole answer of the one run."""

    call_id: str
    copy_number: int
    epoch: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAskRefusal:
    """The owner's word: a refusal."""

    call_id: str
    copy_number: int
    epoch: int
    refused: RefusedCall


LINK_MESSAGES = (Challenge, Hello, Ping, Pong)
CALL_MESSAGES = (PeerCall, PeerAnswer, PeerRefusal, PeerCancel)
DEDUPE_MESSAGES = (PeerAsk, PeerAskAnswer, PeerAskRefusal, CopyNotTaken)


def pending_id(message: object) -> str:
    """Name what is lost if the link closes before an answer; else ''."""
    match message:
        case PeerCall(call=call):
            return call.call_id
        case PeerAsk(ask=ask):
            return copy_id(ask.call.call_id, ask.copy_number)
    return ''


def resolved_id(message: object) -> str:
    """Name what this message resolves; empty when it resolves nothing."""
    match message:
        case PeerAnswer(answer=answer):
            return answer.call_id
        case PeerRefusal(refused=refused):
            return refused.call_id
        case PeerAskAnswer() | PeerAskRefusal() | CopyNotTaken():
            return copy_id(message.call_id, message.copy_number)
    return ''


def copy_id(call_id: str, copy_number: int) -> str:
    """Name one copy of a call to a dedupe owner."""
    return f'{call_id}{COPY_SEPARATOR}{copy_number}'


def split_copy_id(tracked: str) -> tuple[str, int]:
    """Return the call id and the copy number; 0 for a plain call."""
    call_id, _, number = tracked.partition(COPY_SEPARATOR)
    return call_id, int(number or 0)
