"""Adversarial schedules of at-most-once decisions on several nodes.

The checker compares what the fake targets ran with what callers were told.
Mutation tests show that it works: each mutant removes one safeguard, and the
checker must find a violation.
"""

import pytest

from bench.dedupe_scenario import run_schedule
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_tenure import Tenure
from ebonycleat.internal.process.started_log import GroupCommit
from ebonycleat.internal.request.dedupe_tracker import DedupeTracker

SCHEDULES = 1000

SEEDS_PER_TEST = 100


@pytest.mark.parametrize('first_seed', range(0, SCHEDULES, SEEDS_PER_TEST))
def test_no_id_runs_twice_and_every_answer_is_true(first_seed):
    """Guards against interleavings that break at-most-once processing.

    No id may run twice. Each answer must be the complete answer of the first
    run, and an id that was reported as not run must not have run.
    """
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        verdict = run_schedule(seed)
        assert not verdict.violations, f'seed {seed}'


def test_schedules_that_failed_before_pass():
    """Guards against the return of faults found by runs of more schedules."""
    for seed in (203843, 210791):
        assert not run_schedule(seed).violations


def test_the_schedules_reach_every_outcome():
    """Guards against schedules in which an outcome hardly ever occurs.

    Such schedules have too many faults, or too few, to test the decisions.
    """
    verdicts = [run_schedule(seed) for seed in range(40)]
    for outcome in ('runs', 'answers', 'not_run', 'unknown'):
        assert sum(getattr(verdict, outcome) for verdict in verdicts) >= 20


def return_true(*_):
    return True


def return_false(*_):
    return False


def mark_usable_without_unlogged(tenure, now):
    tenure.usable_since = now


def give_up_copy_as_unsent(send, copy_number, *, sent):
    send.unresolved_copies.pop(copy_number, None)
    return send._send_again_or_give_up()


def gain_slot_as_usable(owner, tenure, now):
    tenure.usable_since = now
    owner.tenures.setdefault(tenure.slot, tenure).epoch = tenure.epoch
    return []


IS_UNLOGGED_ACKNOWLEDGED = (
    'bench.dedupe_simulation.NodeLeases.is_unlogged_acknowledged'
)

REFUSED_COPIES_INCLUDES = (
    'ebonycleat.internal.process.dedupe_memory.RefusedCopies.includes'
)


def run_before_the_append(monkeypatch):
    monkeypatch.setattr(GroupCommit, 'is_log_down', return_true)
    monkeypatch.setattr(IS_UNLOGGED_ACKNOWLEDGED, return_true)
    monkeypatch.setattr(Tenure, 'needs_unlogged_flag', return_false)


def ignore_unlogged_flag_at_takeover(monkeypatch):
    monkeypatch.setattr(Tenure, 'mark_usable', mark_usable_without_unlogged)


def report_not_run_after_a_lost_answer(monkeypatch):
    monkeypatch.setattr(
        DedupeTracker,
        'link_closed',
        give_up_copy_as_unsent,
    )


def skip_check_at_dispatch(monkeypatch):
    monkeypatch.setattr(DedupeOwner, '_may_run', return_true)


def run_without_acknowledgement(monkeypatch):
    monkeypatch.setattr(IS_UNLOGGED_ACKNOWLEDGED, return_true)


def read_log_before_lease_is_valid(monkeypatch):
    monkeypatch.setattr(DedupeOwner, 'handle_slot_gained', gain_slot_as_usable)


def forget_refused_copies(monkeypatch):
    monkeypatch.setattr(REFUSED_COPIES_INCLUDES, return_false)


@pytest.mark.parametrize(
    'mutant',
    [
        run_before_the_append,
        ignore_unlogged_flag_at_takeover,
        report_not_run_after_a_lost_answer,
        skip_check_at_dispatch,
        run_without_acknowledgement,
        read_log_before_lease_is_valid,
        forget_refused_copies,
    ],
)
def test_the_checker_detects_a_missing_safeguard(mutant, monkeypatch):
    """Guards against a checker or schedules that do not detect the fault."""
    mutant(monkeypatch)
    failing_seed = next(
        (seed for seed in range(SCHEDULES) if run_schedule(seed).violations),
        None,
    )
    assert failing_seed is not None
