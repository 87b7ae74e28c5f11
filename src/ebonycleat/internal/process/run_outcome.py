"""How one run of a call at the target ended, as the gate learns it."""

import dataclasses
import enum


class RunResult(enum.Enum):
    """Ways in which a dispatched call ends."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    TARGET_SHED = 'target-shed'
    TARGET_DIED = 'target-died'


@dataclasses.dataclass(frozen=True, slots=True)
class RunOutcome:
    """Result of one run; ``service_s`` counts from dispatch to the end."""

    result: RunResult
    service_s: float = 0
