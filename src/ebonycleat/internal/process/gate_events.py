"""What the gate tells its driver to do, and what it tells its callers."""

import dataclasses
from typing import TypeAlias

from ebonycleat.internal.process.pressure import ServiceShares
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Run this call at the target now."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer this call with a refusal."""

    call: Call
    refusal: Refusal


GateEvent: TypeAlias = Dispatch | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
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
