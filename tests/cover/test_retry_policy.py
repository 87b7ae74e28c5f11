"""Retries are made only if they are safe, within the budget and in time."""

import random

import pytest

from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.retry_policy import (
    FailedAttempt,
    GiveUp,
    RetryAfter,
    RetryDecision,
    RetryPolicy,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)
from ebonycleat.internal.request.retry_ledger import RetryLedger
from tests.cover.call_builders import make_call

ZONES = frozenset(('z1', 'z2', 'z3'))


def decide(
    refusal: Refusal,
    idempotent: bool = True,
    refused_zones: str = '',
    deadline: float = 10,
    ledger: RetryLedger | None = None,
) -> RetryDecision:
    call = make_call('1', idempotent=idempotent, deadline=deadline)
    failed = FailedAttempt(
        call, refusal, 1, frozenset(refused_zones.split()), ZONES
    )
    policy = RetryPolicy(RetryBudget(), random.Random(1))
    return policy.decide(failed, ledger or RetryLedger(1), 0)


def test_retry_avoids_every_zone_that_refused() -> None:
    """Guards against a retry in a zone that refused an earlier attempt."""
    refusal = refuse_not_run(Reason.QUEUE_FULL, zone='z1')
    decision = decide(refusal, refused_zones='z2')
    assert isinstance(decision, RetryAfter)
    assert decision.avoid_zones == {'z1', 'z2'}
    last = decide(refusal, refused_zones='z2 z3')
    assert isinstance(last, GiveUp)


def test_call_that_may_have_run_is_repeated_only_when_idempotent() -> None:
    """Guards against running a deposit or a renewal twice."""
    refusal = refuse_outcome_unknown(Reason.CONNECTION_LOST)
    assert isinstance(decide(refusal), RetryAfter)
    assert isinstance(decide(refusal, idempotent=False), GiveUp)
    not_run = refuse_not_run(Reason.CONNECTION_LOST)
    assert isinstance(decide(not_run, idempotent=False), RetryAfter)


@pytest.mark.parametrize(
    'reason',
    [Reason.OVER_RATE, Reason.UNKNOWN_KEY, Reason.CRASH_SUSPECT],
)
def test_refusals_that_any_target_would_give_are_final(
    reason: Reason,
) -> None:
    """Guards against a request that crashes one target after another."""
    assert isinstance(decide(refuse_not_run(reason)), GiveUp)


def test_overload_further_down_is_not_retried_by_upstream_nodes() -> None:
    """Guards against repeating the work of all hops before the overload."""
    downstream = refuse_outcome_unknown(Reason.SHED)
    assert isinstance(decide(downstream), GiveUp)
    assert isinstance(decide(refuse_not_run(Reason.SHED)), RetryAfter)
    failed = refuse_outcome_unknown(Reason.DEPENDENCY_FAILED)
    assert isinstance(decide(failed), RetryAfter)


def test_no_retry_after_the_deadline_or_without_allowance() -> None:
    """Guards against retries that nobody waits for or nothing allows."""
    refusal = refuse_not_run(Reason.SHED)
    assert isinstance(decide(refusal, deadline=0), GiveUp)
    given_up = decide(refusal, ledger=RetryLedger(0))
    assert isinstance(given_up, GiveUp)
    assert given_up.refusal.retry_after_s > 0


def test_budget_allows_a_tenth_of_successes_and_is_bounded() -> None:
    """Guards against retries adding a multiple of the load."""
    budget = RetryBudget()
    assert sum(budget.take_retry('map', 0) for _ in range(50)) == 3
    for _ in range(100):
        budget.record_success('map', 0)
    assert sum(budget.take_retry('map', 0) for _ in range(50)) in {9, 10}
    for _ in range(10_000):
        budget.record_success('map', 0)
    assert sum(budget.take_retry('map', 0) for _ in range(500)) <= 100
