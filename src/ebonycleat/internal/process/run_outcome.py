"""Outcomes of runs: how a dispatched call ended at its target."""

import enum

import msgspec


class RunResult(enum.Enum):
    """Ways in which a dispatched call can end.

    ``TARGET_SHED`` is the target's refusal for overload. ``TARGET_CRASHED``
    includes a target that could not be reached.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    TARGET_SHED = 'target-shed'
    TARGET_CRASHED = 'target-died'


class RunOutcome(msgspec.Struct, frozen=True):
    """Result of one run, and its duration from the dispatch to the end.

    ``dependency_wait_s`` is the part of ``service_s`` in which the target
    waited for calls that it made. It is kept apart because a slow dependency
    is no reason to run fewer calls at this target.
    """

    result: RunResult
    service_s: float = 0
    dependency_wait_s: float = 0

    @property
    def own_service_s(self) -> float:
        """Seconds of the target's own work."""
        return max(0, self.service_s - self.dependency_wait_s)
