"""What the gate tells its driver to do, and what it tells its callers."""

from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.backpressure import AdmissibleShares
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Refusal


class DispatchCall(msgspec.Struct, frozen=True):
    """Run this call at the target now."""

    call: Call


class RefuseCall(msgspec.Struct, frozen=True):
    """Answer this call with a refusal."""

    call: Call
    refusal: Refusal


GateDecision: TypeAlias = DispatchCall | RefuseCall


class GateLoad(msgspec.Struct, frozen=True):
    """Summary for answers and heartbeats; ``latency_s`` includes waiting.

    ``shares`` has the full services behind this gate, its own among them.
    """

    queued: int
    running: int
    limit: int
    latency_s: float
    admission_level: int
    draining: bool
    shares: tuple[AdmissibleShares, ...] = ()
