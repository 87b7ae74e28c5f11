"""How one run of a call at the target ended, as the gate learns it."""

import enum

import msgspec


class RunResult(enum.Enum):
    """Ways in which a dispatched call ends."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    TARGET_SHED = 'target-shed'
    TARGET_DIED = 'target-died'


class RunOutcome(msgspec.Struct, frozen=True):
    """Result of one run; ``service_s`` counts from dispatch to the end.

    ``waited_s`` is the part of it in which the target waited for calls of
    its own; a slow dependency is no reason to run fewer calls here.
    """

    result: RunResult
    service_s: float = 0
    dependency_wait_s: float = 0

    @property
    def own_service_s(self) -> float:
        """Seconds of the target's own work."""
        return max(0, self.service_s - self.dependency_wait_s)
