"""Decisions of the dedupe owner, and of the ingress node that asks it.

The owner of a slot decides whether a call with an Idempotency-Key may run. An
id consists of the team and the Idempotency-Key of a call. Calls with the same
id must run at most once in total.
"""

import dataclasses

import pytest

from ebonycleat import Answer, Call, Outcome, Priority, Reason, RefusedCall
from ebonycleat.internal.process.dedupe_memory import (
    ID_RETENTION_S,
    DedupeLimits,
)
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases, Tenure
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
)
from ebonycleat.internal.process.id_lifecycle import OfferCall
from ebonycleat.internal.process.started_log import (
    APPEND_TIMEOUT_S,
    GROUP_INTERVAL_S,
    GroupCommit,
    StartedGroup,
    split_hashes,
)
from ebonycleat.internal.request.dedupe_tracker import (
    CopyNotTaken,
    CopyRecipient,
    DedupeAsk,
    DedupeTracker,
    NextStep,
    OwnerAnswer,
    hash_idempotency_key,
)
from ebonycleat.internal.request.refusal import (
    refuse_not_run,
    refuse_outcome_unknown,
)

SLOT = 3

EPOCH = 7

OWNER = CopyRecipient('a', 1, EPOCH)


class ControllableLeases(DedupeLeases):
    def __init__(self):
        self.lease_valid = True
        self.flag_acknowledged = False

    def is_usable(self, slot, now):
        return self.lease_valid

    def is_unlogged_acknowledged(self, slot, now):
        return self.flag_acknowledged


def create_ask(key, call_number=1, attempt=1, copy_number=1, deadline=5000):
    call = Call(
        call_id=f'{key}/{call_number}',
        root_id=key,
        team='survey',
        route='deposit',
        service='payment',
        priority=Priority.HIGH,
        idempotent=False,
        deadline=deadline,
        method='POST',
        path='/deposit',
        idempotency_key=key,
    )
    return DedupeAsk(call, SLOT, EPOCH, attempt, copy_number)


@dataclasses.dataclass
class OwnerHarness:
    owner: DedupeOwner
    leases: ControllableLeases

    def run(self, key, now, body=b'whole'):
        events = self.owner.handle_ask(create_ask(key), now)
        append = events[0]
        self.confirm(append, now)
        assert self.owner.may_dispatch(f'{key}/1', now)
        answer = Answer(f'{key}/1', 200, body=body)
        return self.owner.finish_run(f'{key}/1', answer, now)

    def confirm(self, append, now):
        confirmed = AppendConfirmed(append.operation_id, 1)
        return self.owner.handle_append_result(confirmed, now)


def create_harness(never_owned=True, unlogged=False, limits=None):
    leases = ControllableLeases()
    owner = DedupeOwner(GroupCommit('a', 1, 'payment'), leases, limits)
    tenure = Tenure(SLOT, EPOCH, EPOCH, unlogged, never_owned)
    owner.handle_slot_gained(tenure, 0)
    return OwnerHarness(owner, leases)


def refusal_outcomes(events):
    return [event.result.refusal.outcome for event in events]


def test_a_call_runs_only_after_its_append_is_confirmed():
    """Guards against a run that no log record shows to the next owner."""
    harness = create_harness()
    events = harness.owner.handle_ask(create_ask('id'), 1)
    assert [type(event) for event in events] == [AppendToLog]
    assert not harness.owner.may_dispatch('id/1', 1)
    assert harness.confirm(events[0], 1.005) == [
        OfferCall(create_ask('id').call, SLOT),
    ]


def test_a_lapsed_lease_stops_a_call_whose_append_is_confirmed():
    """Guards against a dispatch by a node that is no longer the owner."""
    harness = create_harness()
    harness.confirm(harness.owner.handle_ask(create_ask('id'), 1)[0], 1.005)
    harness.leases.lease_valid = False
    assert not harness.owner.may_dispatch('id/1', 1.5)


def test_repeats_get_the_answer_of_the_one_run():
    """Guards against a second run, and against a wrong call id in an answer."""
    harness = create_harness()
    append = harness.owner.handle_ask(create_ask('id'), 1)[0]
    assert harness.owner.handle_ask(create_ask('id', 2, attempt=2), 1) == []
    harness.confirm(append, 1.005)
    assert harness.owner.may_dispatch('id/1', 1.005)
    answer = Answer('id/1', 200, body=b'whole', retries_unused=2)
    events = harness.owner.finish_run('id/1', answer, 1.1)
    assert [event.result for event in events] == [
        answer,
        Answer('id/2', 200, body=b'whole'),
    ]
    later = harness.owner.handle_ask(create_ask('id', 3, attempt=3), 2)
    assert later[0].result == Answer('id/3', 200, body=b'whole')


def test_appends_are_grouped_and_the_first_leaves_at_once():
    """Guards against an append per call, and against delaying the first one."""
    harness = create_harness()
    first_append = harness.owner.handle_ask(create_ask('id-0'), 1)
    for number in range(1, 10):
        assert harness.owner.handle_ask(create_ask(f'id-{number}'), 1) == []
    confirmed_events = harness.confirm(first_append[0], 1.005)
    assert [type(event) for event in confirmed_events] == [OfferCall]
    assert harness.owner.tick(1 + GROUP_INTERVAL_S - 0.001) == []
    group = harness.owner.tick(1 + GROUP_INTERVAL_S)[0]
    assert len(split_hashes(group.record.id_hashes)) == 9


def test_without_the_log_ids_wait_for_the_witnesses():
    """Guards against a run that neither the log nor the witnesses know of.

    Without the log, ids may run only after the witnesses have acknowledged the
    flag that marks the slot as having unlogged ids.
    """
    harness = create_harness()
    append = harness.owner.handle_ask(create_ask('id'), 1)[0]
    harness.owner.handle_append_result(
        AppendFailed(append.operation_id, True), 1.1
    )
    assert harness.owner.needs_unlogged_flag(SLOT, 1.1)
    assert not any(
        isinstance(event, OfferCall) for event in harness.owner.tick(1.2)
    )
    harness.leases.flag_acknowledged = True
    assert any(
        isinstance(event, OfferCall) for event in harness.owner.tick(1.4)
    )


def test_the_unlogged_flag_stays_until_the_log_has_the_ids():
    """Guards against a next owner that takes unlogged ids for new ones."""
    harness = create_harness()
    harness.leases.flag_acknowledged = True
    append = harness.owner.handle_ask(create_ask('id'), 1)[0]
    late = 1 + 2 * APPEND_TIMEOUT_S
    assert any(
        isinstance(event, OfferCall) for event in harness.owner.tick(late)
    )
    assert harness.owner.needs_unlogged_flag(SLOT, late)
    harness.confirm(append, late + 1)
    assert not harness.owner.needs_unlogged_flag(SLOT, late + 1)


def test_a_new_owner_waits_for_a_log_read_that_began_under_its_lease():
    """Guards against overlooking ids that the former owner appended last."""
    harness = create_harness(never_owned=False)
    ask = create_ask('id')
    assert harness.owner.handle_ask(ask, 1) == []
    started_groups = (
        StartedGroup(
            'b/1/1', 'b', 1, 'payment', hash_idempotency_key('survey', 'id')
        ),
    )
    early = harness.owner.apply_started_page((), -0.5, 1, at_end=True)
    assert early == []
    events = harness.owner.apply_started_page(
        started_groups, 1, 1.1, at_end=True
    )
    assert refusal_outcomes(events) == [Outcome.UNKNOWN]


def test_after_an_unlogged_claim_unknown_ids_may_have_run():
    """Guards against a second run of an id that was never logged.

    The former owner may have run ids that only its memory knew, so ids that
    the log does not contain are refused until the retention time has passed.
    """
    harness = create_harness(never_owned=False, unlogged=True)
    harness.owner.apply_started_page((), 1, 1, at_end=True)
    events = harness.owner.handle_ask(create_ask('id'), ID_RETENTION_S - 1)
    assert refusal_outcomes(events) == [Outcome.UNKNOWN]
    assert harness.owner.needs_unlogged_flag(SLOT, ID_RETENTION_S - 1)
    later = harness.owner.handle_ask(create_ask('id', 2), ID_RETENTION_S + 1)
    assert [type(event) for event in later] == [AppendToLog]


def test_a_repeat_after_the_answer_was_evicted_is_outcome_unknown():
    """Guards against a second run because the stored answer is gone."""
    harness = create_harness(limits=DedupeLimits(max_answer_bytes=10))
    harness.run('old', 1, b'12345678')
    harness.run('new', 2, b'12345678')
    events = harness.owner.handle_ask(create_ask('old', 2, attempt=2), 3)
    assert refusal_outcomes(events) == [Outcome.UNKNOWN]
    assert harness.owner.lifecycle.memory.stored_answer_bytes == 8


def test_ids_and_answers_are_forgotten_after_the_retention_time():
    """Guards against memory that grows for ever."""
    harness = create_harness()
    harness.run('id', 1)
    harness.owner.tick(ID_RETENTION_S + 2)
    assert not harness.owner.lifecycle.memory.entries
    assert harness.owner.lifecycle.memory.stored_answer_bytes == 0


def test_ids_of_a_long_log_outage_are_forgotten_after_the_retention_time():
    """Guards against an append queue that grows as long as the log is down."""
    harness = create_harness()
    harness.leases.flag_acknowledged = True
    append = harness.owner.handle_ask(create_ask('first'), 1)[0]
    harness.owner.handle_append_result(
        AppendFailed(append.operation_id, True), 1
    )
    harness.owner.handle_ask(create_ask('id'), 1.1)
    assert harness.owner.may_dispatch('id/1', 1.1)
    harness.owner.finish_run('id/1', Answer('id/1', 200), 1.2)
    assert harness.owner.needs_unlogged_flag(SLOT, 2)
    harness.owner.tick(ID_RETENTION_S + 2)
    assert not harness.owner.group_commit.queue
    assert not harness.owner.tenures[SLOT].unlogged_ids - {
        hash_idempotency_key('survey', 'first'),
    }


def test_a_new_id_is_outcome_unknown_while_the_memory_is_full():
    """Guards against forgetting an id that has started, to make room."""
    harness = create_harness(limits=DedupeLimits(max_ids=1))
    harness.run('id', 1)
    events = harness.owner.handle_ask(create_ask('other'), 2)
    assert refusal_outcomes(events) == [Outcome.UNKNOWN]


def test_after_a_gate_refusal_only_a_later_attempt_may_run():
    """Guards against a delayed earlier attempt that runs after NOT_RUN."""
    harness = create_harness()
    append = harness.owner.handle_ask(create_ask('id', 2, attempt=2), 1)[0]
    harness.confirm(append, 1.01)
    refused = RefusedCall('id/2', refuse_not_run(Reason.QUEUE_FULL))
    events = harness.owner.finish_run('id/2', refused, 1.02)
    assert refusal_outcomes(events) == [Outcome.NOT_RUN]
    late = harness.owner.handle_ask(create_ask('id', 1, attempt=1), 2)
    assert refusal_outcomes(late) == [Outcome.NOT_RUN]
    fresh = harness.owner.handle_ask(create_ask('id', 3, attempt=3), 3)
    assert [type(event) for event in fresh] == [AppendToLog]


def test_an_attempt_before_a_refused_one_never_runs():
    """Regression, seed 203843: an attempt ran after it was reported NOT_RUN."""
    harness = create_harness()
    append = harness.owner.handle_ask(create_ask('id', 2, attempt=2), 1)[0]
    harness.confirm(append, 1.01)
    refused = RefusedCall('id/2', refuse_not_run(Reason.QUEUE_FULL))
    harness.owner.finish_run('id/2', refused, 1.02)
    append = harness.owner.handle_ask(create_ask('id', 3, 3, deadline=3), 2)[0]
    late = create_ask('id', 1, 1)
    assert harness.owner.handle_ask(late, 2.1) == []
    events = harness.confirm(append, 3.5)
    assert set(refusal_outcomes(events)) == {Outcome.NOT_RUN}


def test_gaining_a_slot_again_ends_the_former_tenure():
    """Regression, seed 210791: another owner had run the id in between.

    The node was not told that it had lost the slot, so it still considered the
    id as not run when it gained the slot again.
    """
    harness = create_harness()
    append = harness.owner.handle_ask(create_ask('id', deadline=2), 1)[0]
    harness.owner.handle_append_result(
        AppendFailed(append.operation_id, True), 1
    )
    assert refusal_outcomes(harness.owner.tick(3)[:1]) == [Outcome.NOT_RUN]
    harness.owner.handle_slot_gained(Tenure(SLOT, 9, 9, False, False), 4)
    started_groups = (
        StartedGroup(
            'b/1/1', 'b', 1, 'payment', hash_idempotency_key('survey', 'id')
        ),
    )
    harness.owner.apply_started_page(started_groups, 5, 5, at_end=True)
    again = dataclasses.replace(create_ask('id', 2, 2), epoch=9)
    assert refusal_outcomes(harness.owner.handle_ask(again, 6)) == [
        Outcome.UNKNOWN
    ]


def test_a_copy_for_a_former_epoch_never_runs():
    """Guards against running a copy that the owner guaranteed not to run."""
    harness = create_harness()
    ask = dataclasses.replace(create_ask('id'), epoch=EPOCH - 1)
    assert harness.owner.handle_ask(ask, 1) == [CopyNotTaken('id/1', 1, 'a', 1)]
    assert harness.owner.handle_ask(create_ask('id'), 2) == [
        CopyNotTaken('id/1', 1, 'a', 1),
    ]


def test_a_restarted_owner_gives_no_guarantee_for_its_former_incarnation():
    """Regression, seed 151: NOT_RUN was reported for a call that had run."""
    tracker = DedupeTracker(create_ask('id').call, caller_attempt=1)
    tracker.create_copy(OWNER)
    assert tracker.link_closed(1, sent=True) is NextStep.SEND_AGAIN
    tracker.create_copy(OWNER)
    tracker.copy_not_taken(CopyNotTaken('id/1', 2, 'a', 2))
    assert tracker.give_up().refusal.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ('attempt', 'outcome'),
    [(0, Outcome.UNKNOWN), (1, Outcome.NOT_RUN), (2, Outcome.UNKNOWN)],
)
def test_only_a_first_attempt_that_was_not_sent_counts_as_not_run(
    attempt, outcome
):
    """Guards against NOT_RUN while an earlier send may have run."""
    tracker = DedupeTracker(create_ask('id').call, attempt)
    assert tracker.give_up().refusal.outcome is outcome


def test_a_refusal_of_an_older_copy_is_not_final():
    """Guards against answers out of order: a later copy may still run."""
    tracker = DedupeTracker(create_ask('id').call, caller_attempt=1)
    for _ in range(2):
        tracker.create_copy(OWNER)
    refused = RefusedCall('id/1', refuse_not_run(Reason.SHED))
    unknown = RefusedCall('id/1', refuse_outcome_unknown(Reason.SHED))
    owner_answer = OwnerAnswer('id/1', 1, EPOCH, refused)
    assert tracker.owner_answered(owner_answer) is NextStep.WAIT
    assert (
        tracker.owner_answered(
            dataclasses.replace(owner_answer, result=unknown)
        )
        is unknown
    )
