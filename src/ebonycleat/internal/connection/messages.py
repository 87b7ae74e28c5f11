"""Messages that carry calls between nodes.

Times travel as the seconds that are left, never as points in time, because
the clocks of two VMs have different origins.
"""

import dataclasses

from ebonycleat.internal.process.gate_events import GateLoad
from ebonycleat.internal.request.call import Answer, Call, RefusedCall


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


LINK_MESSAGES = (Challenge, Hello, Ping, Pong)
CALL_MESSAGES = (PeerCall, PeerAnswer, PeerRefusal, PeerCancel)
