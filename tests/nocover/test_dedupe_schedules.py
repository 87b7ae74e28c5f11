"""Adversarial schedules over several nodes' at-most-once decisions.

The checker reads what the fake targets ran and what callers were told. Each
mutant removes one safeguard; a checker that misses it proves nothing.
"""

import pytest

from bench.dedupe_scenario import run_schedule
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_tenure import Tenure
from ebonycleat.internal.process.started_log import GroupCommit
from ebonycleat.internal.request.dedupe_tracker import DedupeTracker

SCHEDULES = 1000

BATCH = 100


@pytest.mark.parametrize('first', range(0, SCHEDULES, BATCH))
def test_no_id_runs_twice_and_no_word_is_false(first):
    """Guards against any interleaving that breaks P8 or P9."""
    for seed in range(first, first + BATCH):
        verdict = run_schedule(seed)
        assert not verdict.violations, f'seed {seed}'


def test_schedules_that_once_failed_stay_repaired():
    """Guards against the return of faults that larger counts found."""
    for seed in (203843, 210791):
        assert not run_schedule(seed).violations


def test_the_schedules_reach_every_kind_of_word():
    """Guards against schedules so harsh or mild that they prove nothing."""
    verdicts = [run_schedule(seed) for seed in range(40)]
    for kind in ('runs', 'answers', 'not_run', 'unknown'):
        assert sum(getattr(verdict, kind) for verdict in verdicts) >= 20


def always(*_):
    return True


def never(*_):
    return False


def first_usable_but_not_blind(tenure, now):
    tenure.usable_since = now


def link_closed_as_if_unsent(send, copy_number, *, sent):
    send.unresolved_copies.pop(copy_number, None)
    return send._send_again_or_give_up()


def gain_as_if_usable(owner, tenure, now):
    tenure.usable_since = now
    owner.tenures.setdefault(tenure.slot, tenure).epoch = tenure.epoch
    return []


ACKNOWLEDGED = 'bench.dedupe_simulation.NodeLeases.is_unlogged_acknowledged'

COVERS = 'ebonycleat.internal.process.dedupe_memory.RefusedCopies.includes'


def run_before_the_append(monkeypatch):
    monkeypatch.setattr(GroupCommit, 'is_log_down', always)
    monkeypatch.setattr(ACKNOWLEDGED, always)
    monkeypatch.setattr(Tenure, 'needs_unlogged_flag', never)


def forget_unlogged_at_takeover(monkeypatch):
    monkeypatch.setattr(Tenure, 'mark_usable', first_usable_but_not_blind)


def not_run_after_a_lost_answer(monkeypatch):
    monkeypatch.setattr(
        DedupeTracker,
        'link_closed',
        link_closed_as_if_unsent,
    )


def no_check_at_dispatch(monkeypatch):
    monkeypatch.setattr(DedupeOwner, '_may_run', always)


def run_without_acknowledgement(monkeypatch):
    monkeypatch.setattr(ACKNOWLEDGED, always)


def read_the_log_before_the_lease(monkeypatch):
    monkeypatch.setattr(DedupeOwner, 'handle_slot_gained', gain_as_if_usable)


def forget_refused_copies(monkeypatch):
    monkeypatch.setattr(COVERS, never)


@pytest.mark.parametrize(
    'mutant',
    [
        run_before_the_append,
        forget_unlogged_at_takeover,
        not_run_after_a_lost_answer,
        no_check_at_dispatch,
        run_without_acknowledgement,
        read_the_log_before_the_lease,
        forget_refused_copies,
    ],
)
def test_the_checker_catches_a_missing_safeguard(mutant, monkeypatch):
    """Guards against a checker or schedules that cannot see the fault."""
    mutant(monkeypatch)
    caught = next(
        (seed for seed in range(SCHEDULES) if run_schedule(seed).violations),
        None,
    )
    assert caught is not None
