"""Single decisions of the dedupe owner and of the ingress."""

import dataclasses

import pytest

from ebonycleat import Answer, Call, Outcome, Priority, Reason, RefusedCall
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_memory import (
    ID_RETENTION_S,
    DedupeLimits,
)
from ebonycleat.internal.process.id_lifecycle import OfferCall
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases, Tenure
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
)
from ebonycleat.internal.process.started_log import (
    GROUP_INTERVAL_S,
    APPEND_TIMEOUT_S,
    GroupCommit,
    StartedGroup,
    split_hashes,
)
from ebonycleat.internal.request.dedupe_tracker import (
    OwnerAnswer,
    CopyNotTaken,
    DedupeAsk,
    DedupeTracker,
    NextStep,
    CopyRecipient,
    hash_idempotency_key,
)
from ebonycleat.internal.request.refusal import (
    refuse_not_run,
    refuse_outcome_unknown,
)

SLOT = 3

EPOCH = 7

OWNER = CopyRecipient('a', 1, EPOCH)


class Rights(DedupeLeases):
    def __init__(self):
        self.lease = True
        self.flag = False

    def is_usable(self, slot, now):
        return self.lease

    def is_unlogged_acknowledged(self, slot, now):
        return self.flag


def make_ask(key, call_number=1, attempt=1, copy_number=1, deadline=5000):
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
class Bench:
    owner: DedupeOwner
    rights: Rights

    def run(self, key, now, body=b'whole'):
        events = self.owner.handle_ask(make_ask(key), now)
        append = events[0]
        self.confirm(append, now)
        assert self.owner.may_dispatch(f'{key}/1', now)
        answer = Answer(f'{key}/1', 200, body=body)
        return self.owner.finish_run(f'{key}/1', answer, now)

    def confirm(self, append, now):
        done = AppendConfirmed(append.operation_id, 1)
        return self.owner.handle_append_result(done, now)


def make_bench(never_owned=True, unlogged=False, limits=None):
    rights = Rights()
    owner = DedupeOwner(GroupCommit('a', 1, 'payment'), rights, limits)
    tenure = Tenure(SLOT, EPOCH, EPOCH, unlogged, never_owned)
    owner.handle_slot_gained(tenure, 0)
    return Bench(owner, rights)


def outcomes(events):
    return [event.result.refusal.outcome for event in events]


def test_a_call_runs_only_after_its_append_is_confirmed():
    """Guards against a run that the next owner cannot know of."""
    bench = make_bench()
    events = bench.owner.handle_ask(make_ask('id'), 1)
    assert [type(event) for event in events] == [AppendToLog]
    assert not bench.owner.may_dispatch('id/1', 1)
    assert bench.confirm(events[0], 1.005) == [
        OfferCall(make_ask('id').call, SLOT),
    ]


def test_a_lapsed_lease_stops_a_call_that_has_its_permit():
    """Guards against a dispatch by a node that is no longer the owner."""
    bench = make_bench()
    bench.confirm(bench.owner.handle_ask(make_ask('id'), 1)[0], 1.005)
    bench.rights.lease = False
    assert not bench.owner.may_dispatch('id/1', 1.5)


def test_repeats_get_the_answer_of_the_one_run():
    """Guards against a second run, and against an answer with a wrong id."""
    bench = make_bench()
    append = bench.owner.handle_ask(make_ask('id'), 1)[0]
    assert bench.owner.handle_ask(make_ask('id', 2, attempt=2), 1) == []
    bench.confirm(append, 1.005)
    assert bench.owner.may_dispatch('id/1', 1.005)
    answer = Answer('id/1', 200, body=b'whole', retries_unused=2)
    events = bench.owner.finish_run('id/1', answer, 1.1)
    assert [event.result for event in events] == [
        answer,
        Answer('id/2', 200, body=b'whole'),
    ]
    later = bench.owner.handle_ask(make_ask('id', 3, attempt=3), 2)
    assert later[0].result == Answer('id/3', 200, body=b'whole')


def test_appends_are_grouped_and_the_first_leaves_at_once():
    """Guards against one append per call, and against idle waiting."""
    bench = make_bench()
    first = bench.owner.handle_ask(make_ask('id-0'), 1)
    for number in range(1, 10):
        assert bench.owner.handle_ask(make_ask(f'id-{number}'), 1) == []
    ran = bench.confirm(first[0], 1.005)
    assert [type(event) for event in ran] == [OfferCall]
    assert bench.owner.tick(1 + GROUP_INTERVAL_S - 0.001) == []
    group = bench.owner.tick(1 + GROUP_INTERVAL_S)[0]
    assert len(split_hashes(group.record.id_hashes)) == 9


def test_without_the_log_ids_wait_for_the_witnesses():
    """Guards against a run that neither log nor witnesses know of."""
    bench = make_bench()
    append = bench.owner.handle_ask(make_ask('id'), 1)[0]
    bench.owner.handle_append_result(
        AppendFailed(append.operation_id, True), 1.1
    )
    assert bench.owner.needs_unlogged_flag(SLOT, 1.1)
    assert not any(
        isinstance(event, OfferCall) for event in bench.owner.tick(1.2)
    )
    bench.rights.flag = True
    assert any(isinstance(event, OfferCall) for event in bench.owner.tick(1.4))


def test_the_flag_stays_until_the_log_has_the_unlogged_ids():
    """Guards against a successor that takes unlogged ids for new."""
    bench = make_bench()
    bench.rights.flag = True
    append = bench.owner.handle_ask(make_ask('id'), 1)[0]
    late = 1 + 2 * APPEND_TIMEOUT_S
    assert any(isinstance(event, OfferCall) for event in bench.owner.tick(late))
    assert bench.owner.needs_unlogged_flag(SLOT, late)
    bench.confirm(append, late + 1)
    assert not bench.owner.needs_unlogged_flag(SLOT, late + 1)


def test_a_new_owner_waits_for_a_read_that_began_after_its_lease():
    """Guards against ids that the former owner appended during the wait."""
    bench = make_bench(never_owned=False)
    ask = make_ask('id')
    assert bench.owner.handle_ask(ask, 1) == []
    page = (
        StartedGroup(
            'b/1/1', 'b', 1, 'payment', hash_idempotency_key('survey', 'id')
        ),
    )
    early = bench.owner.apply_started_page((), -0.5, 1, at_end=True)
    assert early == []
    events = bench.owner.apply_started_page(page, 1, 1.1, at_end=True)
    assert outcomes(events) == [Outcome.UNKNOWN]


def test_after_an_unlogged_claim_unknown_ids_wait_for_the_memory_span():
    """Guards against a second run of an id that only memory knew."""
    bench = make_bench(never_owned=False, unlogged=True)
    bench.owner.apply_started_page((), 1, 1, at_end=True)
    events = bench.owner.handle_ask(make_ask('id'), ID_RETENTION_S - 1)
    assert outcomes(events) == [Outcome.UNKNOWN]
    assert bench.owner.needs_unlogged_flag(SLOT, ID_RETENTION_S - 1)
    later = bench.owner.handle_ask(make_ask('id', 2), ID_RETENTION_S + 1)
    assert [type(event) for event in later] == [AppendToLog]


def test_an_evicted_answer_is_outcome_unknown():
    """Guards against memory pressure that turns into a second run."""
    bench = make_bench(limits=DedupeLimits(max_answer_bytes=10))
    bench.run('old', 1, b'12345678')
    bench.run('new', 2, b'12345678')
    events = bench.owner.handle_ask(make_ask('old', 2, attempt=2), 3)
    assert outcomes(events) == [Outcome.UNKNOWN]
    assert bench.owner.lifecycle.memory.stored_answer_bytes == 8


def test_memory_ends_with_the_memory_span():
    """Guards against ids that are kept for ever."""
    bench = make_bench()
    bench.run('id', 1)
    bench.owner.tick(ID_RETENTION_S + 2)
    assert not bench.owner.lifecycle.memory.entries
    assert bench.owner.lifecycle.memory.stored_answer_bytes == 0


def test_a_long_outage_of_the_log_does_not_fill_the_memory():
    """Guards against a queue for the log that grows with the outage."""
    bench = make_bench()
    bench.rights.flag = True
    append = bench.owner.handle_ask(make_ask('first'), 1)[0]
    bench.owner.handle_append_result(AppendFailed(append.operation_id, True), 1)
    bench.owner.handle_ask(make_ask('id'), 1.1)
    assert bench.owner.may_dispatch('id/1', 1.1)
    bench.owner.finish_run('id/1', Answer('id/1', 200), 1.2)
    assert bench.owner.needs_unlogged_flag(SLOT, 2)
    bench.owner.tick(ID_RETENTION_S + 2)
    assert not bench.owner.group_commit.queue
    assert not bench.owner.tenures[SLOT].unlogged_ids - {
        hash_idempotency_key('survey', 'first'),
    }


def test_a_full_memory_refuses_and_does_not_say_not_run():
    """Guards against forgetting a started id to make room."""
    bench = make_bench(limits=DedupeLimits(max_ids=1))
    bench.run('id', 1)
    events = bench.owner.handle_ask(make_ask('other'), 2)
    assert outcomes(events) == [Outcome.UNKNOWN]


def test_a_gate_refusal_frees_the_id_for_a_new_send_only():
    """Guards against a delayed earlier send that runs after NOT_RUN."""
    bench = make_bench()
    append = bench.owner.handle_ask(make_ask('id', 2, attempt=2), 1)[0]
    bench.confirm(append, 1.01)
    refused = RefusedCall('id/2', refuse_not_run(Reason.QUEUE_FULL))
    events = bench.owner.finish_run('id/2', refused, 1.02)
    assert outcomes(events) == [Outcome.NOT_RUN]
    late = bench.owner.handle_ask(make_ask('id', 1, attempt=1), 2)
    assert outcomes(late) == [Outcome.NOT_RUN]
    fresh = bench.owner.handle_ask(make_ask('id', 3, attempt=3), 3)
    assert [type(event) for event in fresh] == [AppendToLog]


def test_a_refused_attempt_may_wait_but_is_not_what_runs():
    """Regression, seed 203843: an attempt ran that was said not to."""
    bench = make_bench()
    append = bench.owner.handle_ask(make_ask('id', 2, attempt=2), 1)[0]
    bench.confirm(append, 1.01)
    refused = RefusedCall('id/2', refuse_not_run(Reason.QUEUE_FULL))
    bench.owner.finish_run('id/2', refused, 1.02)
    append = bench.owner.handle_ask(make_ask('id', 3, 3, deadline=3), 2)[0]
    late = make_ask('id', 1, 1)
    assert bench.owner.handle_ask(late, 2.1) == []
    events = bench.confirm(append, 3.5)
    assert set(outcomes(events)) == {Outcome.NOT_RUN}


def test_a_gain_ends_a_tenure_whose_loss_was_not_reported():
    """Regression, seed 210791: another owner had run the id in between."""
    bench = make_bench()
    append = bench.owner.handle_ask(make_ask('id', deadline=2), 1)[0]
    bench.owner.handle_append_result(AppendFailed(append.operation_id, True), 1)
    assert outcomes(bench.owner.tick(3)[:1]) == [Outcome.NOT_RUN]
    bench.owner.handle_slot_gained(Tenure(SLOT, 9, 9, False, False), 4)
    page = (
        StartedGroup(
            'b/1/1', 'b', 1, 'payment', hash_idempotency_key('survey', 'id')
        ),
    )
    bench.owner.apply_started_page(page, 5, 5, at_end=True)
    again = dataclasses.replace(make_ask('id', 2, 2), epoch=9)
    assert outcomes(bench.owner.handle_ask(again, 6)) == [Outcome.UNKNOWN]


def test_a_copy_for_a_former_epoch_is_not_taken_then_or_later():
    """Guards against a delayed copy that runs under a later tenure."""
    bench = make_bench()
    ask = dataclasses.replace(make_ask('id'), epoch=EPOCH - 1)
    assert bench.owner.handle_ask(ask, 1) == [CopyNotTaken('id/1', 1, 'a', 1)]
    assert bench.owner.handle_ask(make_ask('id'), 2) == [
        CopyNotTaken('id/1', 1, 'a', 1),
    ]


def test_a_restarted_owner_does_not_speak_for_its_former_incarnation():
    """Regression, seed 151: NOT_RUN was said of a call that had run."""
    send = DedupeTracker(make_ask('id').call, caller_attempt=1)
    send.create_copy(OWNER)
    assert send.link_closed(1, sent=True) is NextStep.SEND_AGAIN
    send.create_copy(OWNER)
    send.copy_not_taken(CopyNotTaken('id/1', 2, 'a', 2))
    assert send.give_up().refusal.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ('attempt', 'outcome'),
    [(0, Outcome.UNKNOWN), (1, Outcome.NOT_RUN), (2, Outcome.UNKNOWN)],
)
def test_only_a_first_send_that_never_left_is_surely_not_run(attempt, outcome):
    """Guards against NOT_RUN while an earlier send may have run."""
    send = DedupeTracker(make_ask('id').call, attempt)
    assert send.give_up().refusal.outcome is outcome


def test_a_refusal_of_an_older_copy_is_not_final():
    """Guards against crossed answers: a later copy may still run."""
    send = DedupeTracker(make_ask('id').call, caller_attempt=1)
    for _ in range(2):
        send.create_copy(OWNER)
    refused = RefusedCall('id/1', refuse_not_run(Reason.SHED))
    unknown = RefusedCall('id/1', refuse_outcome_unknown(Reason.SHED))
    word = OwnerAnswer('id/1', 1, EPOCH, refused)
    assert send.owner_answered(word) is NextStep.WAIT
    assert (
        send.owner_answered(dataclasses.replace(word, result=unknown))
        is unknown
    )
