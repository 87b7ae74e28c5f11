"""Messages between nodes: link set-up, pings, calls and dedupe requests.

Deadlines are sent as the seconds that are left, because the monotonic clocks
of two VMs have different origins. The names of the classes and their fields
are part of the encoding.
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
    """First message of the accepting node: the nonce to be signed."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Answer to a ``Challenge``: names and authenticates the connecting node.

    ``proof`` is an HMAC-SHA-256 with the secret of the fleet over the nonce,
    the incarnation and the node id.
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

    The receiver derives the deadline from ``time_left_s`` and ignores
    ``call.deadline``, which is on the clock of the sender.
    """

    call: Call
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswer:
    """The complete response to a ``PeerCall``, with the load of its node."""

    answer: Answer
    load: GateLoad


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefusal:
    """The refusal of a ``PeerCall``, with the load of the refusing node."""

    refused: RefusedCall
    load: GateLoad


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCancel:
    """Nobody waits for the result of the call any more; it need not run."""

    call_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsk:
    """Asks the dedupe owner for the result of a non-idempotent call.

    The receiver derives the deadline from ``time_left_s`` and ignores
    ``ask.call.deadline``, which is on the clock of the sender.
    """

    ask: DedupeAsk
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAskAnswer:
    """Answer of a dedupe owner: the complete response of the single run."""

    call_id: str
    copy_number: int
    epoch: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAskRefusal:
    """Answer of a dedupe owner: a refusal.

    With the outcome ``NOT_RUN`` it covers all copies up to ``copy_number``
    that name an epoch of at most ``epoch``.
    """

    call_id: str
    copy_number: int
    epoch: int
    refused: RefusedCall


LINK_MESSAGES = (Challenge, Hello, Ping, Pong)
CALL_MESSAGES = (PeerCall, PeerAnswer, PeerRefusal, PeerCancel)
DEDUPE_MESSAGES = (PeerAsk, PeerAskAnswer, PeerAskRefusal, CopyNotTaken)


def pending_id(message: object) -> str:
    """Return the id under which a message awaits an answer.

    The id is empty for messages that have no answer. If the link closes
    before the answer, the call or copy with this id is lost.
    """
    match message:
        case PeerCall(call=call):
            return call.call_id
        case PeerAsk(ask=ask):
            return copy_id(ask.call.call_id, ask.copy_number)
    return ''


def resolved_id(message: object) -> str:
    """Return the id of the call or copy that a message answers, else ''."""
    match message:
        case PeerAnswer(answer=answer):
            return answer.call_id
        case PeerRefusal(refused=refused):
            return refused.call_id
        case PeerAskAnswer() | PeerAskRefusal() | CopyNotTaken():
            return copy_id(message.call_id, message.copy_number)
    return ''


def copy_id(call_id: str, copy_number: int) -> str:
    """Return the id of one copy of a call that went to a dedupe owner."""
    return f'{call_id}{COPY_SEPARATOR}{copy_number}'


def split_copy_id(message_id: str) -> tuple[str, int]:
    """Split the id of a copy; the copy number is 0 for the id of a call."""
    call_id, _, number = message_id.partition(COPY_SEPARATOR)
    return call_id, int(number or 0)
