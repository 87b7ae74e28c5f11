"""Outputs of the gate service to the other components of its node."""

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
    """The result of a call, for the sender of the call.

    ``origin`` is the id of the peer that sent the call, or one of the
    constants ``OWN_INGRESS`` and ``DEDUPE_OWNER`` of ``gate_service``.
    """

    origin: str
    result: CallResult
    load: GateLoad


@dataclasses.dataclass(frozen=True, slots=True)
class CancelChildRequest:
    """Cancel a request of the target whose parent call has ended."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCall:
    """Have another node run a crash suspect; its result comes back here."""

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
