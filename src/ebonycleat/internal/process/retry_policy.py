"""Decides whether a failed attempt of the ingress is retried."""

import dataclasses
import random
from typing import TypeAlias

from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Outcome, Reason, Refusal
from ebonycleat.internal.request.retry_ledger import RetryLedger

RETRYABLE_REASONS = frozenset((
    Reason.SHED,
    Reason.QUEUE_FULL,
    Reason.NODE_SATURATED,
    Reason.DRAINING,
    Reason.NO_TARGET,
    Reason.NO_CONFIGURATION,
    Reason.DEDUPE_UNAVAILABLE,
    Reason.TARGET_FAILED,
    Reason.DEPENDENCY_FAILED,
    Reason.TRUNCATED_ANSWER,
    Reason.CONNECTION_LOST,
))
"""Reasons for which another target may give another result."""

OVERLOAD_REASONS = frozenset((Reason.SHED, Reason.QUEUE_FULL, Reason.DEADLINE))
"""With an unknown outcome, these reasons come from a call that the target
made. A retry would repeat all work done before that call, and end in the same
refusal."""

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
MIN_RETRY_AFTER_S = 0.2
MAX_JITTER_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that ended without a complete answer.

    ``refused_zones`` are the zones that refused earlier attempts.
    ``available_zones`` are all zones with members of the service.
    """

    call: Call
    refusal: Refusal
    attempts_made: int
    refused_zones: frozenset[str]
    available_zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry the call after ``delay_s`` seconds, outside ``avoid_zones``."""

    delay_s: float
    avoid_zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not retry; answer the caller with this refusal."""

    refusal: Refusal


RetryDecision: TypeAlias = RetryAfter | GiveUp


class RetryPolicy:
    """Decides on retries by outcome, deadline, zones, ledger and budget."""

    def __init__(self, budget: RetryBudget, rng: random.Random) -> None:
        """Use the node's retry budget; ``rng`` jitters the delays."""
        self.budget = budget
        self.rng = rng

    def decide(
        self,
        failed: FailedAttempt,
        ledger: RetryLedger,
        now: float,
    ) -> RetryDecision:
        """Decide whether to retry.

        For ``RetryAfter`` the retry has been taken from the request's ledger
        and from the node's budget.
        """
        avoid_zones = failed.refused_zones
        if failed.refusal.zone:
            avoid_zones |= {failed.refusal.zone}
        delay_s = self.backoff_s(failed.attempts_made)
        is_in_time = now + delay_s < failed.call.deadline
        has_zone = bool(failed.available_zones - avoid_zones)
        if not (is_in_time and has_zone and _may_run_again(failed)):
            return GiveUp(self.with_jitter(failed.refusal))
        service = failed.call.service
        if self.budget.can_retry(service, now) and ledger.take_retry():
            self.budget.take_retry(service, now)
            return RetryAfter(delay_s, avoid_zones)
        return GiveUp(self.with_jitter(failed.refusal))

    def backoff_s(self, attempts_made: int) -> float:
        """Return a jittered delay that grows with the attempts made."""
        exponent = min(max(0, attempts_made - 1), 8)
        max_delay_s = INITIAL_BACKOFF_S * 2**exponent
        return self.rng.uniform(0, min(max_delay_s, MAX_BACKOFF_S))

    def with_jitter(self, refusal: Refusal) -> Refusal:
        """Jitter a refusal's Retry-After, so that callers spread out."""
        wait_s = max(refusal.retry_after_s, MIN_RETRY_AFTER_S)
        jitter = self.rng.uniform(1, MAX_JITTER_FACTOR)
        return dataclasses.replace(refusal, retry_after_s=wait_s * jitter)


def _may_run_again(failed: FailedAttempt) -> bool:
    if failed.refusal.reason not in RETRYABLE_REASONS:
        return False
    if failed.refusal.outcome is Outcome.NOT_RUN:
        return True
    return (
        failed.call.idempotent and failed.refusal.reason not in OVERLOAD_REASONS
    )
