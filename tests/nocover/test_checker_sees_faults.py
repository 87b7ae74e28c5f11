"""Mutation tests of the checks that run over adversarial schedules.

Each test breaks the implementation on purpose, and the checks must find a
violation. This guards against checks that pass whatever happens.
"""

import dataclasses
import math
import random

import pytest

from bench.history import Admission, BudgetChange, History, find_violations
from bench.schedules import create_random_plan, draw_attack, run_plan
from bench.slot_attacks import (
    EXPIRED_GRANTS,
    LATE_OWNER_RESUME,
    OWNER_CHANGE_WITH_DELAYS,
    RESTARTED_WITNESSES,
    UNSEEN_RENEWAL,
)
from ebonycleat.internal.process import lease_manager
from ebonycleat.internal.process.lease import Lease
from ebonycleat.internal.process.team_token_queue import TeamTokenQueue
from ebonycleat.internal.process.team_tokens import TeamTokens
from ebonycleat.internal.process.token_bucket import TokenBucket
from ebonycleat.internal.process.witness import Witness

SEEDS = range(1, 401)

original_grant = TokenBucket.grant
original_handle_heartbeat = Witness.handle_heartbeat


def find_first_violations(attack=()):
    """Return the promises broken in the first schedule with a violation."""
    for seed in SEEDS:
        plan = create_random_plan(seed)
        if attack:
            faults = draw_attack(random.Random(seed), attack)
            plan = dataclasses.replace(plan, faults=tuple(faults))
        violations = find_violations(run_plan(plan))
        if violations:
            return {violation.guarantee for violation in violations}
    return set()


def grant_without_deduction(bucket, *args):
    level = bucket.level
    tokens = original_grant(bucket, *args)
    bucket.level = level
    return tokens


def cap_level_by_burst_only(bucket, burst):
    bucket.level = min(bucket.level, burst)


def add_without_expiry(tokens, held_grant):
    held_grant.expires_at = math.inf
    tokens.grants.setdefault(held_grant.grant_id, held_grant)


def get_answered_without_removal(queue, ask_id):
    if ask_id == queue.in_flight_ask_id:
        queue.in_flight_ask_id = ''
    return queue.sent_asks.get(ask_id)


def add_under_new_id(tokens, held_grant):
    if held_grant.grant_id in tokens.grants:
        held_grant.grant_id = f'{held_grant.grant_id}/{len(tokens.grants)}'
    tokens.grants[held_grant.grant_id] = held_grant


def handle_heartbeat_without_support(witness, *args):
    witness.supported_epochs.clear()
    return original_handle_heartbeat(witness, *args)


def test_a_grant_that_is_not_deducted_is_detected(monkeypatch):
    monkeypatch.setattr(TokenBucket, 'grant', grant_without_deduction)
    assert 'rate x t + burst' in find_first_violations()


def test_tokens_that_do_not_expire_at_the_holder_are_detected(monkeypatch):
    monkeypatch.setattr(TeamTokens, 'add', add_without_expiry)
    assert 'rate x t + burst' in find_first_violations(EXPIRED_GRANTS)


def test_a_grant_that_its_holder_accepts_twice_is_detected(monkeypatch):
    monkeypatch.setattr(
        TeamTokenQueue, '_pop_answered', get_answered_without_removal
    )
    monkeypatch.setattr(TeamTokens, 'add', add_under_new_id)
    assert 'rate x t + burst' in find_first_violations(OWNER_CHANGE_WITH_DELAYS)


def test_a_takeover_that_does_not_wait_for_promises_is_detected(monkeypatch):
    monkeypatch.setattr(lease_manager, 'PROMISE_DURATION_S', 0)
    assert 'one owner' in find_first_violations()


def test_a_witness_that_forgets_its_support_is_detected(monkeypatch):
    monkeypatch.setattr(
        Witness, 'handle_heartbeat', handle_heartbeat_without_support
    )
    assert 'one owner' in find_first_violations(LATE_OWNER_RESUME)


def test_a_restarted_witness_that_acks_any_epoch_is_detected(monkeypatch):
    monkeypatch.setattr(
        Witness,
        '_could_acknowledge',
        lambda witness, epoch: True,
    )
    assert 'one owner' in find_first_violations(RESTARTED_WITNESSES)


def test_an_owner_that_ignores_its_own_renewal_is_detected(monkeypatch):
    monkeypatch.setattr(Lease, 'add_renewal', lambda *renewal: None)
    assert 'one owner' in find_first_violations(UNSEEN_RENEWAL)


def test_a_refill_that_ignores_outstanding_tokens_is_detected(monkeypatch):
    monkeypatch.setattr(TokenBucket, '_cap_level', cap_level_by_burst_only)
    assert 'rate x t + burst' in find_first_violations()


@pytest.mark.parametrize(
    ('early', 'late', 'excess'),
    [
        # The burst in force at the first admission may be used whole.
        (6, 0, 0),
        (7, 0, 1),
        # A burst that rises later is no gift.
        (1, 5, 0),
        (1, 8, 3),
    ],
)
def test_admissions_beyond_the_burst_in_force_are_detected(early, late, excess):
    """The burst rises from 2 to 6 before the first admission, then to 9."""
    history = History()
    for at, burst in ((0, 2), (1, 6), (20, 9)):
        history.budget_changes.append(BudgetChange(at, 'a', 0, burst))
    for at, count in ((2, early), (21, late)):
        history.admissions.extend(
            Admission(at, 'a', 'node') for _ in range(count)
        )
    assert len(find_violations(history)) == excess
