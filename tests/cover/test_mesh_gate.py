"""The gate of a target: its last checks before a request is sent."""

import pytest

from ebonycleat import Answer, Outcome, Reason
from ebonycleat.internal.connection.client_requests import (
    SendFailureKind,
)
from ebonycleat.internal.connection.platform_interfaces import (
    TargetDeregistration,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_gate import SILENCE_GRACE_S
from ebonycleat.internal.process.mesh_gate_client import (
    LocalNode,
    MeshGateClient,
)
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.target_stats_table import Member
from tests.mesh_fakes import (
    SERVICE,
    ManualClock,
    create_call,
    create_gate_call,
    create_heartbeat,
    create_mesh_gate,
)


@pytest.fixture(name='clock')
def fixture_clock():
    return ManualClock()


def offer_calls(gate, clock, count=1, **options):
    """Offer calls and return a list that receives their results."""
    results = []
    for number in range(count):
        gate.offer(
            create_gate_call(clock, number, **options),
            results.append,
        )
    return results


def find_refusal(results):
    """Return the first refusal among the results."""
    return next(
        result.refusal for result in results if not isinstance(result, Answer)
    )


def test_an_answer_of_the_target_is_returned_unchanged(clock):
    """Guards against answers that lose their status or body."""
    gate = create_mesh_gate(clock)
    results = offer_calls(gate, clock)
    gate.pool.sends[0].answer(203, (('x-kept', 'yes'),), b'map')
    assert results == [Answer('call-0', 203, (('x-kept', 'yes'),), b'map')]


def pass_time(gate, clock, seconds):
    """Advance the clock in the steps in which a node ticks its queues."""
    end = clock.now + seconds
    while clock.now < end:
        clock.now += 0.1
        gate.tick()
        gate.cancel_silent_runs()


def test_a_call_that_is_never_answered_frees_its_slot_and_may_have_run(clock):
    """Guards against slots that silent targets keep for good.

    A non-idempotent call is not cancelled by its caller, so only the gate ends
    it, some time after its deadline. It must not be sent a second time.
    """
    gate = create_mesh_gate(clock, slots=2)
    results = offer_calls(gate, clock, idempotent=False)
    pass_time(gate, clock, 1 + SILENCE_GRACE_S - 0.2)
    assert not results
    pass_time(gate, clock, 1)
    assert find_refusal(results).outcome is Outcome.UNKNOWN
    assert len(gate.pool.sends) == 1
    assert not gate.gate.running
    assert gate.pool.failure_counts['silent'] == 1


def test_other_runs_of_a_silent_target_go_on(clock):
    """Guards against ending runs that the target still works on."""
    gate = create_mesh_gate(clock, slots=4)
    results = []
    for number, seconds in enumerate((1, 3)):
        gate.offer(
            create_gate_call(
                clock, number, idempotent=False, deadline=clock() + seconds
            ),
            results.append,
        )
    pass_time(gate, clock, 2)
    assert [result.call_id for result in results] == ['call-0']
    assert list(gate.gate.running) == ['call-1']


def test_a_target_that_leaves_calls_unanswered_when_full_gets_fewer(clock):
    """Guards against overfilling a target again and again.

    It has room for two calls beside those of an earlier process of this node,
    and never answers the others.
    """
    gate = create_mesh_gate(clock, slots=4)
    results = offer_calls(gate, clock, 4, deadline=clock() + 1)
    for answered in gate.pool.sends[:2]:
        answered.answer()
    clock.now += 1.08
    for number in (2, 3):
        gate.cancel(f'call-{number}')
    assert len([one for one in results if isinstance(one, Answer)]) == 2
    assert gate.limit.allowed_calls(clock()) == 2
    pass_time(gate, clock, 4)
    assert gate.limit.allowed_calls(clock()) == 4


def test_a_lost_answer_of_an_idle_target_lowers_no_limit(clock):
    """Guards against taking each missing answer for a full target."""
    gate = create_mesh_gate(clock, slots=4)
    offer_calls(gate, clock)
    clock.now += 1.08
    gate.cancel('call-0')
    assert gate.pool.failure_counts['silent'] == 1
    assert gate.limit.allowed_calls(clock()) == 4


def test_a_slow_target_that_answers_at_the_deadline_is_not_silent(clock):
    """Guards against fewer calls to a target that is only slow."""
    gate = create_mesh_gate(clock, slots=2)
    results = offer_calls(gate, clock, 2)
    clock.now += 1.05
    for send in gate.pool.sends:
        send.answer(504)
    gate.tick()
    assert [result.status for result in results] == [504, 504]
    assert gate.limit.allowed_calls(clock()) == 2


@pytest.mark.parametrize('change', ['key', 'deadline', 'leaving', 'instance'])
def test_a_permission_is_checked_again_when_the_connection_is_open(
    clock, change
):
    """Guards against sending after a pause between check and connection."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock, deadline=clock() + 30)
    may_send = gate.pool.sends[0].request.may_send
    assert may_send()
    if change == 'key':
        clock.now += 5
    elif change == 'deadline':
        clock.now += 31
        gate.holder.record_proof(1, clock())
    elif change == 'leaving':
        gate.handle_target_message(TargetDeregistration('i-1', 100))
    else:
        gate.handle_target_message(
            create_heartbeat('i-2', started_ms=200, sequence=1)
        )
    assert not may_send()


def test_a_request_that_was_not_sent_for_lack_of_permission_has_not_run(clock):
    """Guards against an unknown outcome for what never left the node."""
    gate = create_mesh_gate(clock)
    results = offer_calls(gate, clock)
    gate.pool.sends[0].fail(SendFailureKind.EXPIRED, was_sent=False)
    assert find_refusal(results).outcome is Outcome.NOT_RUN
    assert not gate.crashes.closed_connections


def test_no_more_calls_run_than_the_target_has_slots(clock):
    """Guards against sending a target more calls than it accepts."""
    gate = create_mesh_gate(clock, slots=2)
    offer_calls(gate, clock, 5)
    assert len(gate.pool.sends) == 2
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 3


def test_each_request_names_the_expected_instance(clock):
    """Guards against running a request at another target of that address."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    encoded = gate.pool.sends[0].request.encoded
    assert b'x-expected-instance: i-1' in encoded
    assert b'x-caller-service: origin' in encoded
    assert b'x-tenant-id: shop' in encoded


@pytest.mark.parametrize(
    'message',
    [
        create_heartbeat(state='draining', sequence=2),
        TargetDeregistration('i-1'),
    ],
)
def test_nothing_is_sent_after_the_target_announced_its_departure(
    clock, message
):
    """Guards against calls to a target whose departure was acknowledged."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer_calls(gate, clock, 2)
    gate.handle_target_message(message)
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 1
    assert find_refusal(results).outcome is Outcome.NOT_RUN


def test_a_queued_call_whose_key_is_withdrawn_is_not_sent(clock):
    """Guards against queued calls whose key has been withdrawn."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer_calls(gate, clock, 2)
    gate.holder.index.team_by_key_fingerprint.clear()
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 1
    assert find_refusal(results).reason is Reason.WITHDRAWN_KEY


def test_a_queued_call_is_not_sent_with_a_stale_configuration(clock):
    """Guards against accepting keys withdrawn while the process was paused."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer_calls(gate, clock, 2, deadline=clock() + 60)
    clock.now += 6
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 1
    assert find_refusal(results).reason is Reason.STALE_CONFIGURATION
    assert find_refusal(results).outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('kind', 'was_sent', 'outcome'),
    [
        (SendFailureKind.NOT_CONNECTED, False, Outcome.NOT_RUN),
        (SendFailureKind.CLOSED, True, Outcome.UNKNOWN),
        (SendFailureKind.TRUNCATED, True, Outcome.UNKNOWN),
        (SendFailureKind.MALFORMED, True, Outcome.UNKNOWN),
    ],
)
def test_only_a_request_that_was_not_sent_counts_as_not_run(
    clock,
    kind,
    was_sent,
    outcome,
):
    """Guards against "not run" for a request that the target may have run."""
    gate = create_mesh_gate(clock)
    results = offer_calls(gate, clock)
    gate.pool.sends[0].fail(kind, was_sent=was_sent)
    assert results[0].refusal.outcome is outcome


def test_a_request_that_the_target_marks_as_not_executed_is_not_run(clock):
    """Guards against an unknown outcome for a request that was shed."""
    gate = create_mesh_gate(clock)
    results = offer_calls(gate, clock)
    gate.pool.sends[0].answer(503, (('x-not-executed', '1'),))
    assert results[0].refusal.reason is Reason.TARGET_SHED
    assert results[0].refusal.outcome is Outcome.NOT_RUN


def test_another_instance_at_the_address_closes_the_gate(clock):
    """Guards against sending to an address that another target has now."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    gate.pool.sends[0].answer(421, (('x-upstream-instance', 'i-2'),))
    results = offer_calls(gate, clock)
    assert len(gate.pool.sends) == 1
    assert results[0].refusal.outcome is Outcome.NOT_RUN


def test_a_new_target_is_used_although_it_refused_a_request_for_the_old(clock):
    """Guards against a target that stays unused until it is replaced."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    gate.handle_target_message(create_heartbeat('i-2', started_ms=200))
    gate.pool.sends[0].answer(421, (('x-upstream-instance', 'i-2'),))
    gate.offer(create_gate_call(clock, 1), lambda result: None)
    assert len(gate.pool.sends) == 2


def test_a_running_request_is_cancelled_when_its_caller_leaves(clock):
    """Guards against work that nobody waits for."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    gate.cancel('call-0')
    assert gate.pool.sends[0].is_cancelled


def test_what_is_withdrawn_from_a_gate_is_refused_only_if_it_waits(clock):
    """Guards against runs that the end of their caller's node breaks off."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer_calls(gate, clock, 2)
    for number in range(2):
        gate.cancel(f'call-{number}', spares_running=True)
    assert [result.call_id for result in results] == ['call-1']
    assert find_refusal(results).outcome is Outcome.NOT_RUN
    assert not gate.pool.sends[0].is_cancelled


def test_a_non_idempotent_request_continues_without_its_caller(clock):
    """Guards against cancelling a payment halfway."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock, idempotent=False)
    gate.cancel('call-0')
    assert not gate.pool.sends[0].is_cancelled


def test_a_non_idempotent_request_uses_a_recently_used_connection(clock):
    """Guards against an idle connection that closes during the write."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock, idempotent=False)
    assert gate.pool.sends[0].request.max_idle_s < 1


def test_a_kept_connection_needs_answers_that_name_the_request(clock):
    """Guards against a copied refusal that is taken for a later request's."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    request = gate.pool.sends[0].request
    request_id = (('x-request-id', 'request-0'),)
    assert request.is_own_response(())
    assert not request.is_identified_response(())
    assert request.is_identified_response(request_id)


def test_a_call_for_another_service_is_refused_by_the_local_gate(clock):
    """Guards against the member record of an earlier VM at the same address.

    After addresses were reused, a node found itself among the members of the
    earlier VM's service and sent a request for it to its own target.
    """
    gate = create_mesh_gate(clock)
    client = MeshGateClient(
        LocalNode('here:1', SERVICE), gate, MeshMembers(), None
    )
    call = create_call(clock, service='stations')
    admitted = AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline)
    results = []
    client.start_attempt(Member('here:1', 'a'), admitted, results.append)
    assert not gate.pool.sends
    assert results[0].result.refusal.outcome is Outcome.NOT_RUN


def crash_target(gate, clock, number):
    """Crash the target during a request; return the refusal if there is one."""
    results = offer_calls(gate, clock, path='/fetch/deadly')
    if isinstance(results, list) and results:
        return results[0].refusal
    gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    gate.handle_target_message(
        create_heartbeat(f'i-{number}', started_ms=1000 * number)
    )
    return None


def test_a_request_is_refused_after_it_crashed_three_targets(clock):
    """Guards against one request that crashes target after target."""
    gate = create_mesh_gate(clock)
    for number in range(2, 5):
        assert crash_target(gate, clock, number) is None
    assert crash_target(gate, clock, 5).reason is Reason.CRASH_SUSPECT
    assert not offer_calls(gate, clock, path='/fetch/harmless')


def crash_in_quiet_hours(gate, clock, number, down_s=3):
    """Crash the target, which no other request meets before it is back."""
    gate.offer(
        create_gate_call(clock, number, path='/fetch/deadly'),
        lambda result: None,
    )
    gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    clock.now += down_s
    gate.holder.record_proof(1, clock())
    gate.handle_target_message(
        create_heartbeat(f'i-{number}', started_ms=1000 * number)
    )


def test_crashes_that_only_the_successor_shows_are_counted(clock):
    """Guards against a request that crashes targets in quiet hours for ever."""
    gate = create_mesh_gate(clock)
    for number in range(2, 5):
        crash_in_quiet_hours(gate, clock, number)
    results = offer_calls(gate, clock, path='/fetch/deadly')
    assert find_refusal(results).reason is Reason.CRASH_SUSPECT


@pytest.mark.parametrize('sign', ['heartbeat', 'answer'])
def test_a_connection_that_closed_long_before_a_crash_is_not_counted(
    clock, sign
):
    """Guards against suspects whose answer was lost while the target ran."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    clock.now += 1.5
    if sign == 'heartbeat':
        gate.handle_target_message(create_heartbeat(sequence=2))
    else:
        offer_calls(gate, clock, path='/fetch/other')
        gate.pool.sends[-1].answer()
    gate.handle_target_message(create_heartbeat('i-2', started_ms=5000))
    assert not gate.crashes.own_count_pairs()


def test_a_request_that_is_answered_is_no_suspect_of_earlier_crashes(clock):
    """Guards against refusing a popular request after unrelated crashes."""
    gate = create_mesh_gate(clock)
    for number in range(2, 8):
        assert crash_target(gate, clock, number) is None
        offer_calls(gate, clock, path='/fetch/deadly')
        gate.pool.sends[-1].answer()
    assert not gate.crashes.own_count_pairs()
    assert gate.crashes.has_cleared


def test_a_repeated_heartbeat_is_no_sign_of_life(clock):
    """Guards against crashes that a late copy of a heartbeat hides."""
    gate = create_mesh_gate(clock)
    offer_calls(gate, clock)
    gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    clock.now += 1.5
    gate.handle_target_message(create_heartbeat(sequence=1))
    gate.handle_target_message(create_heartbeat('i-2', started_ms=5000))
    assert gate.crashes.own_count_pairs()


def test_crashes_at_other_nodes_are_counted(clock):
    """Guards against a crash limit that each node counts separately."""
    gate = create_mesh_gate(clock)
    crash_target(gate, clock, 2)
    counts = gate.crashes.own_count_pairs()
    other = create_mesh_gate(clock)
    other.crashes.update_peer_counts([counts, counts, counts])
    assert crash_target(other, clock, 2).reason is Reason.CRASH_SUSPECT


def test_a_lost_answer_of_a_running_target_is_not_a_crash(clock):
    """Guards against refusing requests only because connections were reset."""
    gate = create_mesh_gate(clock)
    for _ in range(5):
        offer_calls(gate, clock)
        gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    assert not gate.crashes.own_count_pairs()


def test_the_load_report_is_renewed_when_the_target_begins_to_leave(clock):
    """Guards against further calls to a target that is about to leave."""
    gate = create_mesh_gate(clock)
    assert not gate.load_reporter.load_for_route('fetch').draining
    gate.handle_target_message(TargetDeregistration('i-1'))
    assert gate.load_reporter.load_for_route('fetch').draining


def test_a_load_report_is_computed_again_after_ten_milliseconds(clock):
    """Guards against ingress nodes that balance calls by an outdated load."""
    gate = create_mesh_gate(clock, slots=4)
    assert not gate.load_reporter.load_for_route('fetch').running
    offer_calls(gate, clock, 3)
    clock.now += 0.01
    assert gate.load_reporter.load_for_route('fetch').running == 3


@pytest.mark.parametrize('is_queued', [False, True])
@pytest.mark.parametrize('path', ['/fetch/\u2019', '/fetch/\ud800'])
def test_a_call_that_cannot_be_encoded_frees_its_slot(clock, path, is_queued):
    """Guards against slots that are lost to calls that cannot be sent."""
    gate = create_mesh_gate(clock, slots=1)
    if is_queued:
        gate.offer(create_gate_call(clock, 9), lambda result: None)
    results = offer_calls(gate, clock, 3, path=path)
    for send in gate.pool.sends:
        send.answer()
    assert len(results) == 3
    assert {one.refusal.reason for one in results} == {Reason.UNSENDABLE}
    assert find_refusal(results).outcome is Outcome.NOT_RUN
    assert not gate.gate.running
    assert not gate.pending_calls


def test_a_long_queue_of_calls_that_may_not_be_sent_is_refused(clock):
    """Guards against calls without a result when many are refused at once."""
    gate = create_mesh_gate(clock, slots=200)
    results = offer_calls(gate, clock, 700, deadline=clock() + 60)
    clock.now += 6
    gate.pool.sends[0].answer()
    answer = Answer('call-0', 200, (), b'whole')
    assert len(results) + len(gate.gate.running) == 700
    reasons = [one.refusal.reason for one in results if one != answer]
    assert set(reasons) == {Reason.STALE_CONFIGURATION}
    assert len(reasons) > 600
    assert len(gate.pending_calls) == len(gate.gate.running)


def test_a_call_that_a_refusal_of_another_cancels_is_not_sent(clock):
    """Guards against work for a caller that left while decisions were due."""
    gate = create_mesh_gate(clock, slots=1)
    offer_calls(gate, clock, deadline=clock() + 60)
    results = []
    gate.offer(
        create_gate_call(clock, 1, deadline=clock() + 1),
        lambda refused: gate.cancel('call-2'),
    )
    gate.offer(
        create_gate_call(clock, 2, deadline=clock() + 60), results.append
    )
    clock.now += 1
    gate.pool.sends[0].answer()
    assert find_refusal(results).reason is Reason.CANCELLED
    assert len(gate.pool.sends) == 1
    assert not gate.gate.running


def test_a_call_past_its_deadline_is_refused_even_with_a_free_slot(clock):
    """Guards against work whose caller no longer waits."""
    gate = create_mesh_gate(clock)
    results = offer_calls(gate, clock, deadline=clock())
    assert find_refusal(results).reason is Reason.DEADLINE
    assert not gate.pool.sends
