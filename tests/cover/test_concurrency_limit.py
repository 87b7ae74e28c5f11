"""The limit follows observed service times; health reports cannot raise it."""

from ebonycleat.internal.process.concurrency_limit import (
    AdaptiveLimit,
    create_fixed_limit,
)
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult

SLOTS = 40


def report_successes(
    limit: AdaptiveLimit,
    service_s: float,
    start: float,
    seconds: float,
    waited_s: float = 0,
) -> None:
    """Report 50 successes per second; the limit must stay within its bounds."""
    for number in range(int(seconds * 50)):
        now = start + number / 50
        outcome = RunOutcome(RunResult.SUCCEEDED, service_s, waited_s)
        limit.record_outcome(outcome, now)
        assert 1 <= limit.allowed_calls(now) <= SLOTS


def test_the_limit_of_a_cold_target_grows_in_steps() -> None:
    """Guards against running calls in all slots of a cold target at once."""
    limit = AdaptiveLimit(SLOTS)
    assert limit.allowed_calls(0) == SLOTS // 8
    report_successes(limit, 0.1, 0, 2)
    assert limit.allowed_calls(2) == SLOTS


def test_a_lower_limit_is_kept_only_if_it_improves_service_times() -> None:
    """Guards against losing throughput to a slowdown with another cause."""
    limit = AdaptiveLimit(SLOTS)
    report_successes(limit, 0.1, 0, 3)
    report_successes(limit, 0.4, 3, 0.7)
    assert limit.allowed_calls(3.7) < SLOTS
    report_successes(limit, 0.4, 4, 4)
    assert limit.allowed_calls(8) == SLOTS


def test_waiting_for_a_slow_dependency_does_not_lower_the_limit() -> None:
    """Guards against one slow service that stops all services that call it."""
    limit = AdaptiveLimit(SLOTS)
    report_successes(limit, 0.1, 0, 3)
    report_successes(limit, 1.1, 3, 3, waited_s=1)
    assert limit.allowed_calls(6) == SLOTS


def test_health_reports_only_lower_the_limit_and_expire() -> None:
    """Guards against health reports of too much or too little capacity."""
    limit = AdaptiveLimit(SLOTS)
    report_successes(limit, 0.1, 0, 3)
    limit.record_health(1000, 3)
    assert limit.allowed_calls(3) == SLOTS
    limit.record_health(0, 3)
    assert limit.allowed_calls(3) == 1
    assert limit.allowed_calls(6) == SLOTS


def test_a_failed_probe_postpones_the_trial_call() -> None:
    """Guards against sending callers' requests to a target that is dead."""
    limit = AdaptiveLimit(SLOTS)
    limit.record_outcome(RunOutcome(RunResult.TARGET_CRASHED), 0)
    limit.record_probe_failure(0.2)
    assert not limit.allowed_calls(0.6)
    assert limit.allowed_calls(0.8) == 1


def test_shedding_by_the_target_lowers_the_limit_once_per_window() -> None:
    """Guards against one burst of refusals that lowers the limit many times."""
    limit = AdaptiveLimit(SLOTS)
    report_successes(limit, 0.1, 0, 3)
    for _ in range(20):
        limit.record_outcome(RunOutcome(RunResult.TARGET_SHED), 3)
    assert limit.allowed_calls(3) == SLOTS * 9 // 10


def test_a_fixed_limit_always_equals_the_slots() -> None:
    """Guards against a baseline for comparisons that adapts to the target."""
    limit = create_fixed_limit(SLOTS)
    limit.record_health(0, 0)
    limit.record_outcome(RunOutcome(RunResult.TARGET_CRASHED), 0)
    assert limit.allowed_calls(0) == SLOTS
