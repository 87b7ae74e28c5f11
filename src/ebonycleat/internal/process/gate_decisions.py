"""Decisions of a gate on calls, and the load that it reports to callers."""

from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.backpressure import AdmissibleShares
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Refusal


class DispatchCall(msgspec.Struct, frozen=True):
    """Send this call to the target now.

    ``has_start_token`` tells that it was counted for a target that may be cold.
    """

    call: Call
    has_start_token: bool = False


class RefuseCall(msgspec.Struct, frozen=True):
    """Answer this call with this refusal."""

    call: Call
    refusal: Refusal


GateDecision: TypeAlias = DispatchCall | RefuseCall


class GateLoad(msgspec.Struct, frozen=True):
    """Load of a gate as reported with answers and heartbeats.

    ``queued`` and ``running`` are counts of calls, and ``limit`` is how many
    may run now. ``running`` includes calls at the target that came from others.
    ``latency_s`` is the expected time in the queue and at the target.
    ``shares`` has the overloaded services that calls to this gate reach, which
    can include the gate's own service. ``pace`` is how long work takes at the
    target at this moment, 1 as usual. ``service_s`` is the mean time that calls
    on the route of the answer spend at the target, without the queue and at its
    usual pace, 0 if it is not known.
    """

    queued: int
    running: int
    limit: int
    latency_s: float
    admission_level: int
    draining: bool
    shares: tuple[AdmissibleShares, ...] = ()
    pace: float = 1
    service_s: float = 0
