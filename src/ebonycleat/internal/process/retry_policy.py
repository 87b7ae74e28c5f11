"""The one place that decides whether a failed attempt is repeated."""

import dataclasses
import random
from typing import TypeAlias

from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.retry_ledger import RetryLedger
from ebonycleat.internal.request.refusal import Outcome, Reason, Refusal

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
"""All other reasons would be the same at any other target."""

OVERLOAD_REASONS = frozenset((Reason.SHED, Reason.QUEUE_FULL, Reason.DEADLINE))
"""With an unknown outcome these come from a call further down: repeating
from here would repeat all work done before it, for the same refusal."""

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
MIN_RETRY_AFTER_S = 0.2
MAX_JITTER_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """One attempt that ended without a whole answer.

    ``refused_zones`` are the zones that refused earlier attempts;
    ``zones`` are all zones with members of the service.
    """

    call: Call
    refusal: Refusal
    attempts_made: int
    refused_zones: frozenset[str]
    available_zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Repeat the call after ``delay_s``, outside these zones."""

    delay_s: float
    avoid_zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this refusal."""

    refusal: Refusal


RetryDecision: TypeAlias = RetryAfter | GiveUp


class RetryPolicy:
    """Combines truth about the outcome, ledger, budget and deadline."""

    def __init__(self, budget: RetryBudget, rng: random.Random) -> None:
        """Share the node's budget; ``rng`` jitters the delays."""
        self.budget = budget
        self.rng = rng

    def decide(
        self,
        failed: FailedAttempt,
        ledger: RetryLedger,
        now: float,
    ) -> RetryDecision:
        """Decide; ``RetryAt`` has already been paid from both accounts."""
        avoid_zones = failed.refused_zones
        if failed.refusal.zone:
            avoid_zones |= {failed.refusal.zone}
        delay_s = self.backoff_s(failed.attempts_made)
        fits = now + delay_s < failed.call.deadline
        has_zone = bool(failed.available_zones - avoid_zones)
        if not (fits and has_zone and _may_run_again(failed)):
            return GiveUp(self.with_jitter(failed.refusal))
        service = failed.call.service
        if self.budget.can_retry(service, now) and ledger.take_retry():
            self.budget.take_retry(service, now)
            return RetryAfter(delay_s, avoid_zones)
        return GiveUp(self.with_jitter(failed.refusal))

    def backoff_s(self, attempts_made: int) -> float:
        """Jittered delay, growing with the attempts already made."""
        exponent = min(max(0, attempts_made - 1), 8)
        longest_s = INITIAL_BACKOFF_S * 2**exponent
        return self.rng.uniform(0, min(longest_s, MAX_BACKOFF_S))

    def with_jitter(self, refusal: Refusal) -> Refusal:
        """Add jitter to the advice, so that callers do not return at once."""
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
