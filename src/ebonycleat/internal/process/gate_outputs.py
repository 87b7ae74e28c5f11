"""What the gate's side of a call asks the rest of the node to do."""

import dataclasses
from typing import TypeAlias

from ebonycleat.internal.process.effects import (
    CallTarget,
    Effect,
    ProbeTarget,
)
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.request.call import Call, CallResult


@dataclasses.dataclass(frozen=True, slots=True)
class CallResolved:
    """The result of a call for the node that sent it.

    ``origin`` is the peer's node id, or empty for this node's own ingress.
    """

    origin: str
    result: CallResult
    load: GateLoad


@dataclasses.dataclass(frozen=True, slots=True)
class CancelChildRequest:
    """Cancel a request that the target made and no longer waits for."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCall:
    """Let another node run a suspect; the result comes back here."""

    node: str
    call: Call


GateOutput: TypeAlias = (
    CallTarget
    | CallResolved
    | CancelChildRequest
    | ForwardCall
    | ProbeTarget
    | Effect
)
