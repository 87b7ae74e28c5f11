"""What the gate tells its driver to do, and what it tells its callers."""

from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.pressure import ServiceShares
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Refusal


class Dispatch(msgspec.Struct, frozen=True):
    """Run this call at the target now."""

    call: Call


class Refuse(msgspec.Struct, frozen=True):
    """Answer this call with a refusal."""

    call: Call
    refusal: Refusal


GateEvent: TypeAlias = Dispatch | Refuse


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
    shares: tuple[ServiceShares, ...] = ()
