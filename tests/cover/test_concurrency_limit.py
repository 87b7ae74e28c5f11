"""The limit follows the target, and no claim can raise it."""

from ebonycleat.internal.process.concurrency_limit import (
    AdaptiveLimit,
    create_fixed_limit,
)
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult

SLOTS = 40


def run(
    limit: AdaptiveLimit,
    service_s: float,
    start: float,
    seconds: float,
    waited_s: float = 0,
) -> None:
    """Report 50 successes per second."""
    for number in range(int(seconds * 50)):
        now = start + number / 50
        outcome = RunOutcome(RunResult.SUCCEEDED, service_s, waited_s)
        limit.record_outcome(outcome, now)
        assert 1 <= limit.allowed_calls(now) <= SLOTS


def test_cold_target_is_loaded_step_by_step() -> None:
    """Guards against giving a cold target all its slots at once."""
    limit = AdaptiveLimit(SLOTS)
    assert limit.allowed_calls(0) == SLOTS // 8
    run(limit, 0.1, 0, 2)
    assert limit.allowed_calls(2) == SLOTS


def test_limit_falls_while_that_helps_and_returns_when_it_does_not() -> None:
    """Guards against losing throughput to a slowness from elsewhere."""
    limit = AdaptiveLimit(SLOTS)
    run(limit, 0.1, 0, 3)
    run(limit, 0.4, 3, 0.7)
    assert limit.allowed_calls(3.7) < SLOTS
    run(limit, 0.4, 4, 4)
    assert limit.allowed_calls(8) == SLOTS


def test_waiting_for_a_slow_dependency_does_not_lower_the_limit() -> None:
    """Guards against a slow deep service closing all services above it."""
    limit = AdaptiveLimit(SLOTS)
    run(limit, 0.1, 0, 3)
    run(limit, 1.1, 3, 3, waited_s=1)
    assert limit.allowed_calls(6) == SLOTS


def test_health_claims_only_lower_the_limit_and_expire() -> None:
    """Guards against a lying health endpoint, in both directions."""
    limit = AdaptiveLimit(SLOTS)
    run(limit, 0.1, 0, 3)
    limit.record_health(1000, 3)
    assert limit.allowed_calls(3) == SLOTS
    limit.record_health(0, 3)
    assert limit.allowed_calls(3) == 1
    assert limit.allowed_calls(6) == SLOTS


def test_failed_probe_puts_off_the_trial_call() -> None:
    """Guards against using requests to find out that a target is dead."""
    limit = AdaptiveLimit(SLOTS)
    limit.record_outcome(RunOutcome(RunResult.TARGET_CRASHED), 0)
    limit.record_probe_failure(0.2)
    assert not limit.allowed_calls(0.6)
    assert limit.allowed_calls(0.8) == 1


def test_target_that_sheds_gets_fewer_calls_once_per_window() -> None:
    """Guards against one burst of refusals closing the target."""
    limit = AdaptiveLimit(SLOTS)
    run(limit, 0.1, 0, 3)
    for _ in range(20):
        limit.record_outcome(RunOutcome(RunResult.TARGET_SHED), 3)
    assert limit.allowed_calls(3) == SLOTS * 9 // 10


def test_fixed_limit_is_the_slots() -> None:
    """Guards against the baseline adapting."""
    limit = create_fixed_limit(SLOTS)
    limit.record_health(0, 0)
    limit.record_outcome(RunOutcome(RunResult.TARGET_CRASHED), 0)
    assert limit.allowed_calls(0) == SLOTS
