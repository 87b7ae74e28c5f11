"""The gate beside a target: the last word before a send."""

import pytest
from tests.mesh_fakes import (
    SERVICE,
    ManualClock,
    create_heartbeat,
    create_call,
    create_gate_call,
    create_mesh_gate,
)

from ebonycleat import Answer, Outcome, Reason
from ebonycleat.internal.connection.client_requests import (
    SendFailureKind,
)
from ebonycleat.internal.connection.platform_interfaces import (
    TargetDeregistration,
)
from ebonycleat.internal.process.mesh_gate_client import (
    MeshGateClient,
    LocalNode,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.target_stats_table import Member


@pytest.fixture(name='clock')
def fixture_clock():
    return ManualClock()


def offer(gate, clock, count=1, **options):
    """Offer calls and return the list of results, filled as they come."""
    results = []
    for number in range(count):
        gate.offer(
            create_gate_call(clock, number, **options),
            results.append,
        )
    return results


def refused(results):
    """Return the one refusal among the results."""
    return next(one.refusal for one in results if not isinstance(one, Answer))


def test_an_answer_of_the_target_goes_back_whole(clock):
    """Guards against answers that lose their status or body."""
    gate = create_mesh_gate(clock)
    results = offer(gate, clock)
    gate.pool.sends[0].answer(203, (('x-kept', 'yes'),), b'map')
    assert results == [Answer('call-0', 203, (('x-kept', 'yes'),), b'map')]


def test_no_more_calls_run_than_the_target_has_slots(clock):
    """Guards against a target that sheds what the gate let pass."""
    gate = create_mesh_gate(clock, slots=2)
    offer(gate, clock, 5)
    assert len(gate.pool.sends) == 2
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 3


def test_the_instance_meant_is_named_on_each_send(clock):
    """Guards against runs at a target that took over the address."""
    gate = create_mesh_gate(clock)
    offer(gate, clock)
    encoded = gate.pool.sends[0].request.encoded
    assert b'x-expected-instance: i-1' in encoded
    assert b'x-caller-service: origin' in encoded
    assert b'x-tenant-id: shop' in encoded


@pytest.mark.parametrize(
    'word',
    [
        create_heartbeat(state='draining', sequence=2),
        TargetDeregistration('i-1'),
    ],
)
def test_nothing_is_sent_once_the_target_said_that_it_leaves(clock, word):
    """Guards against work for a target whose leaving was acknowledged."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer(gate, clock, 2)
    gate.handle_target_message(word)
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 1
    assert refused(results).outcome is Outcome.NOT_RUN


def test_a_queued_call_whose_key_is_withdrawn_is_not_sent(clock):
    """Guards against keys that work on in a queue."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer(gate, clock, 2)
    gate.holder.index.team_by_key_fingerprint.clear()
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 1
    assert refused(results).reason is Reason.WITHDRAWN_KEY


def test_a_queued_call_is_not_sent_on_an_old_proof(clock):
    """Guards against keys withdrawn while this process stood still."""
    gate = create_mesh_gate(clock, slots=1)
    results = offer(gate, clock, 2, deadline=clock() + 60)
    clock.now += 6
    gate.pool.sends[0].answer()
    assert len(gate.pool.sends) == 1
    assert refused(results).reason is Reason.STALE_CONFIGURATION
    assert refused(results).outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('kind', 'was_sent', 'outcome'),
    [
        (SendFailureKind.NOT_CONNECTED, False, Outcome.NOT_RUN),
        (SendFailureKind.CLOSED, True, Outcome.UNKNOWN),
        (SendFailureKind.TRUNCATED, True, Outcome.UNKNOWN),
        (SendFailureKind.MALFORMED, True, Outcome.UNKNOWN),
    ],
)
def test_only_what_was_surely_not_sent_counts_as_not_run(
    clock,
    kind,
    was_sent,
    outcome,
):
    """Guards against a promise that a target may have broken."""
    gate = create_mesh_gate(clock)
    results = offer(gate, clock)
    gate.pool.sends[0].fail(kind, was_sent=was_sent)
    assert results[0].refusal.outcome is outcome


def test_a_target_that_says_it_has_not_run_is_believed(clock):
    """Guards against a shed request that counts as lost."""
    gate = create_mesh_gate(clock)
    results = offer(gate, clock)
    gate.pool.sends[0].answer(503, (('x-not-executed', '1'),))
    assert results[0].refusal.reason is Reason.TARGET_SHED
    assert results[0].refusal.outcome is Outcome.NOT_RUN


def test_another_instance_at_the_address_closes_the_gate(clock):
    """Guards against sends to an address that changed hands."""
    gate = create_mesh_gate(clock)
    offer(gate, clock)
    gate.pool.sends[0].answer(421, (('x-upstream-instance', 'i-2'),))
    results = offer(gate, clock)
    assert len(gate.pool.sends) == 1
    assert results[0].refusal.outcome is Outcome.NOT_RUN


def test_a_run_is_broken_off_for_a_caller_that_left(clock):
    """Guards against work that nobody waits for."""
    gate = create_mesh_gate(clock)
    offer(gate, clock)
    gate.cancel('call-0')
    assert gate.pool.sends[0].is_cancelled


def test_a_run_that_must_not_be_repeated_goes_on_without_its_caller(clock):
    """Guards against a charge that is broken off half way."""
    gate = create_mesh_gate(clock)
    offer(gate, clock, idempotent=False)
    gate.cancel('call-0')
    assert not gate.pool.sends[0].is_cancelled


def test_an_unrepeatable_request_goes_on_a_connection_used_just_now(clock):
    """Guards against a kept connection that closes as it is written."""
    gate = create_mesh_gate(clock)
    offer(gate, clock, idempotent=False)
    assert gate.pool.sends[0].request.max_idle_s < 1


def test_a_call_for_another_service_is_refused_by_the_own_gate(clock):
    """Guards against a member record of the VM that had the address before.

    On a day with reused addresses a node found itself among the members of
    the service of its predecessor, and sent the request to its own target.
    """
    gate = create_mesh_gate(clock)
    access = MeshGateClient(
        LocalNode('here:1', SERVICE), gate, MeshMembers(), None
    )
    call = create_call(clock, service='stations')
    admitted = AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline)
    results = []
    access.start_attempt(Member('here:1', 'a'), admitted, results.append)
    assert not gate.pool.sends
    assert results[0].result.refusal.outcome is Outcome.NOT_RUN


def crash(gate, clock, number):
    """Let the target die while it runs one request."""
    results = offer(gate, clock, path='/fetch/deadly')
    if isinstance(results, list) and results:
        return results[0].refusal
    gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    gate.handle_target_message(
        create_heartbeat(f'i-{number}', started_ms=1000 * number)
    )
    return None


def test_a_request_is_refused_after_three_targets_died_of_it(clock):
    """Guards against one request that ends target after target."""
    gate = create_mesh_gate(clock)
    for number in range(2, 5):
        assert crash(gate, clock, number) is None
    assert crash(gate, clock, 5).reason is Reason.CRASH_SUSPECT
    assert not offer(gate, clock, path='/fetch/harmless')


def test_deaths_at_other_nodes_count(clock):
    """Guards against a deadly request that each node learns anew."""
    gate = create_mesh_gate(clock)
    crash(gate, clock, 2)
    marks = gate.crashes.own_count_pairs()
    other = create_mesh_gate(clock)
    other.crashes.update_peer_counts([marks, marks, marks])
    assert crash(other, clock, 2).reason is Reason.CRASH_SUSPECT


def test_a_lost_answer_of_a_living_target_is_no_death(clock):
    """Guards against requests refused for resets alone."""
    gate = create_mesh_gate(clock)
    for _ in range(5):
        offer(gate, clock)
        gate.pool.sends[-1].fail(SendFailureKind.CLOSED)
    assert not gate.crashes.own_count_pairs()


def test_a_load_is_told_anew_when_the_target_begins_to_leave(clock):
    """Guards against calls sent on to a target that has said it leaves."""
    gate = create_mesh_gate(clock)
    assert not gate.load_reporter.load_for_route('fetch').draining
    gate.handle_target_message(TargetDeregistration('i-1'))
    assert gate.load_reporter.load_for_route('fetch').draining


def test_a_load_that_was_told_is_looked_up_again_after_a_moment(clock):
    """Guards against entries that spread calls by an old load."""
    gate = create_mesh_gate(clock, slots=4)
    assert not gate.load_reporter.load_for_route('fetch').running
    offer(gate, clock, 3)
    clock.now += 0.01
    assert gate.load_reporter.load_for_route('fetch').running == 3


def test_a_free_slot_is_no_reason_to_start_what_comes_too_late(clock):
    """Guards against work that its caller cannot wait for."""
    gate = create_mesh_gate(clock)
    results = offer(gate, clock, deadline=clock())
    assert refused(results).reason is Reason.DEADLINE
    assert not gate.pool.sends
