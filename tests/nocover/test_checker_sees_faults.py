"""Each deliberate fault must be found by the checks of the schedules.

Guards against checks that pass because they see nothing.
"""

import dataclasses
import math
import random

from bench.history import find_violations
from bench.schedules import create_random_plan, draw_attack, run_plan
from bench.slot_attacks import (
    OWNER_CHANGE_WITH_DELAYS,
    RESTARTED_WITNESSES,
    UNSEEN_RENEWAL,
    EXPIRED_GRANTS,
    LATE_OWNER_RESUME,
)
from ebonycleat.internal.process import lease_manager
from ebonycleat.internal.process.lease import Lease
from ebonycleat.internal.process.team_token_queue import TeamTokenQueue
from ebonycleat.internal.process.team_tokens import TeamTokens
from ebonycleat.internal.process.token_bucket import TokenBucket
from ebonycleat.internal.process.witness import Witness

SEEDS = range(1, 401)

grant = TokenBucket.grant
hear = Witness.handle_heartbeat


def promises_broken(attack=()):
    for seed in SEEDS:
        plan = create_random_plan(seed)
        if attack:
            faults = draw_attack(random.Random(seed), attack)
            plan = dataclasses.replace(plan, faults=tuple(faults))
        found = find_violations(run_plan(plan))
        if found:
            return {violation.guarantee for violation in found}
    return set()


def grant_without_deduction(bucket, *args):
    level = bucket.level
    tokens = grant(bucket, *args)
    bucket.level = level
    return tokens


def cap_by_burst_only(bucket, burst):
    bucket.level = min(bucket.level, burst)


def add_without_expiry(tokens, held):
    held.expires_at = math.inf
    tokens.grants.setdefault(held.grant_id, held)


def answered_again(queue, ask_id):
    if ask_id == queue.in_flight_ask_id:
        queue.in_flight_ask_id = ''
    return queue.sent_asks.get(ask_id)


def add_again(tokens, held):
    if held.grant_id in tokens.grants:
        held.grant_id = f'{held.grant_id}/{len(tokens.grants)}'
    tokens.grants[held.grant_id] = held


def hear_after_forgetting(book, *args):
    book.supported_epochs.clear()
    return hear(book, *args)


def test_a_double_grant_is_seen(monkeypatch):
    monkeypatch.setattr(TokenBucket, 'grant', grant_without_deduction)
    assert 'rate x t + burst' in promises_broken()


def test_tokens_that_do_not_expire_at_the_holder_are_seen(monkeypatch):
    monkeypatch.setattr(TeamTokens, 'add', add_without_expiry)
    assert 'rate x t + burst' in promises_broken(EXPIRED_GRANTS)


def test_an_answer_that_is_taken_twice_is_seen(monkeypatch):
    monkeypatch.setattr(TeamTokenQueue, '_pop_answered', answered_again)
    monkeypatch.setattr(TeamTokens, 'add', add_again)
    assert 'rate x t + burst' in promises_broken(OWNER_CHANGE_WITH_DELAYS)


def test_a_takeover_without_wait_is_seen(monkeypatch):
    monkeypatch.setattr(lease_manager, 'PROMISE_DURATION_S', 0)
    assert 'one owner' in promises_broken()


def test_a_witness_that_forgets_its_promise_is_seen(monkeypatch):
    monkeypatch.setattr(Witness, 'handle_heartbeat', hear_after_forgetting)
    assert 'one owner' in promises_broken(LATE_OWNER_RESUME)


def test_a_restarted_witness_that_acknowledges_all_is_seen(monkeypatch):
    monkeypatch.setattr(
        Witness,
        '_could_acknowledge',
        lambda book, epoch: True,
    )
    assert 'one owner' in promises_broken(RESTARTED_WITNESSES)


def test_an_owner_that_overlooks_its_own_renewal_is_seen(monkeypatch):
    monkeypatch.setattr(Lease, 'add_renewal', lambda *renewal: None)
    assert 'one owner' in promises_broken(UNSEEN_RENEWAL)


def test_a_refill_that_ignores_outstanding_tokens_is_seen(monkeypatch):
    monkeypatch.setattr(TokenBucket, '_cap_level', cap_by_burst_only)
    assert 'rate x t + burst' in promises_broken()
