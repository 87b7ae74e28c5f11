"""Witnesses of leases: guards against two owners of a slot at one time."""

from ebonycleat.internal.connection.lease_messages import (
    Heartbeat,
    HeldSlot,
    RequestedSlot,
)
from ebonycleat.internal.process.lease import (
    LEASE_DURATION_S,
    PROMISE_DURATION_S,
    Lease,
)
from ebonycleat.internal.process.ownership import (
    DEDUPE_KIND,
    SlotId,
    create_ownership_fold,
)
from ebonycleat.internal.process.witness import Witness

SLOT = SlotId(DEDUPE_KIND, 'payment', 1)
READY_AT = 10.0


def create_witness():
    witness = Witness(create_ownership_fold(), started_at=0)
    witness.mark_log_read()
    return witness


def make_heartbeat(sequence, epoch=7, unlogged=False):
    held = (HeldSlot(SLOT, epoch, unlogged),)
    return Heartbeat(1, sequence, sequence, held)


def test_a_promise_outlasts_the_lease_by_the_clock_drift():
    witness = create_witness()
    assert (
        witness.handle_heartbeat('a', make_heartbeat(1), READY_AT).refused == ()
    )
    requested = RequestedSlot(SLOT, 7)
    assert witness.support_claim(requested, READY_AT + LEASE_DURATION_S) is None
    assert (
        witness.support_claim(requested, READY_AT + PROMISE_DURATION_S)
        is not None
    )


def test_a_supported_epoch_is_never_acknowledged_again():
    witness = create_witness()
    witness.support_claim(RequestedSlot(SLOT, 7), READY_AT)
    assert witness.handle_heartbeat(
        'a', make_heartbeat(1), READY_AT
    ).refused == (SLOT,)


def test_a_restarted_witness_supports_no_claim_while_old_promises_may_last():
    assert (
        create_witness().support_claim(
            RequestedSlot(SLOT, 7), PROMISE_DURATION_S - 0.01
        )
        is None
    )


def test_a_witness_refuses_epochs_from_before_it_read_the_log():
    witness = Witness(create_ownership_fold(), started_at=0)
    assert witness.handle_heartbeat(
        'a', make_heartbeat(1), READY_AT
    ).refused == (SLOT,)


def test_support_passes_the_unlogged_flag_on():
    witness = create_witness()
    witness.handle_heartbeat('a', make_heartbeat(1, unlogged=True), READY_AT)
    late = READY_AT + PROMISE_DURATION_S
    assert witness.support_claim(RequestedSlot(SLOT, 7), late).unlogged


def test_support_assumes_unlogged_runs_if_the_witness_cannot_know():
    witness = Witness(create_ownership_fold(), started_at=0)
    assert witness.support_claim(RequestedSlot(SLOT, 7), READY_AT).unlogged


def test_an_outdated_heartbeat_does_not_clear_the_unlogged_flag():
    witness = create_witness()
    witness.handle_heartbeat('a', make_heartbeat(2, unlogged=True), READY_AT)
    assert (
        witness.handle_heartbeat(
            'a', make_heartbeat(1, unlogged=False), READY_AT
        )
        is None
    )
    assert witness.support_claim(
        RequestedSlot(SLOT, 7), READY_AT + PROMISE_DURATION_S
    ).unlogged


def test_a_heartbeat_with_an_unknown_slot_list_is_not_acknowledged():
    assert (
        create_witness().handle_heartbeat('a', Heartbeat(1, 5, 4, ()), READY_AT)
        is None
    )


def test_an_ack_sent_before_the_flag_does_not_acknowledge_it():
    lease = Lease(SLOT, 7, ('w1', 'w2', 'w3'), usable_from=0)
    lease.change_unlogged(True, last_sequence=4)
    for name in ('w1', 'w2'):
        lease.extend_by_ack(name, READY_AT, sequence=4)
    assert not lease.is_unlogged_acknowledged()
    for name in ('w1', 'w2'):
        lease.extend_by_ack(name, READY_AT, sequence=5)
    assert lease.is_unlogged_acknowledged()


def test_a_renewal_in_flight_needs_the_next_witnesses_too():
    lease = Lease(SLOT, 7, ('w1',), usable_from=0)
    lease.add_renewal('r1', ('w2',))
    lease.extend_by_ack('w1', READY_AT, sequence=1)
    assert not lease.is_usable(READY_AT)
    lease.extend_by_ack('w2', READY_AT, sequence=2)
    assert lease.is_usable(READY_AT)
    assert not lease.is_usable(READY_AT + LEASE_DURATION_S)
