"""What a witness may say; guards against two owners with one majority."""

from ebonycleat.internal.connection.lease_messages import (
    RequestedSlot,
    Heartbeat,
    HeldSlot,
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
READY = 10.0


def witness():
    book = Witness(create_ownership_fold(), started_at=0)
    book.mark_log_read()
    return book


def beat(sequence, epoch=7, unlogged=False):
    held = (HeldSlot(SLOT, epoch, unlogged),)
    return Heartbeat(1, sequence, sequence, held)


def test_a_promise_outlasts_the_lease_by_the_drift():
    book = witness()
    assert book.handle_heartbeat('a', beat(1), READY).refused == ()
    asked = RequestedSlot(SLOT, 7)
    assert book.support_claim(asked, READY + LEASE_DURATION_S) is None
    assert book.support_claim(asked, READY + PROMISE_DURATION_S) is not None


def test_a_supported_epoch_is_never_acknowledged_again():
    book = witness()
    book.support_claim(RequestedSlot(SLOT, 7), READY)
    assert book.handle_heartbeat('a', beat(1), READY).refused == (SLOT,)


def test_a_restarted_witness_supports_nobody_while_old_promises_may_last():
    assert (
        witness().support_claim(
            RequestedSlot(SLOT, 7), PROMISE_DURATION_S - 0.01
        )
        is None
    )


def test_a_witness_refuses_epochs_from_before_it_read_the_log():
    book = Witness(create_ownership_fold(), started_at=0)
    assert book.handle_heartbeat('a', beat(1), READY).refused == (SLOT,)


def test_support_passes_the_unlogged_flag_on():
    book = witness()
    book.handle_heartbeat('a', beat(1, unlogged=True), READY)
    late = READY + PROMISE_DURATION_S
    assert book.support_claim(RequestedSlot(SLOT, 7), late).unlogged


def test_support_assumes_unlogged_runs_if_the_witness_cannot_know():
    book = Witness(create_ownership_fold(), started_at=0)
    assert book.support_claim(RequestedSlot(SLOT, 7), READY).unlogged


def test_an_overtaken_heartbeat_does_not_take_the_unlogged_flag_back():
    book = witness()
    book.handle_heartbeat('a', beat(2, unlogged=True), READY)
    assert book.handle_heartbeat('a', beat(1, unlogged=False), READY) is None
    assert book.support_claim(
        RequestedSlot(SLOT, 7), READY + PROMISE_DURATION_S
    ).unlogged


def test_an_unknown_list_is_not_vouched_for():
    assert (
        witness().handle_heartbeat('a', Heartbeat(1, 5, 4, ()), READY) is None
    )


def test_an_ack_from_before_the_flag_does_not_vouch_for_unlogged_runs():
    lease = Lease(SLOT, 7, ('w1', 'w2', 'w3'), usable_from=0)
    lease.change_unlogged(True, last_sequence=4)
    for name in ('w1', 'w2'):
        lease.extend_by_ack(name, READY, sequence=4)
    assert not lease.is_unlogged_acknowledged()
    for name in ('w1', 'w2'):
        lease.extend_by_ack(name, READY, sequence=5)
    assert lease.is_unlogged_acknowledged()


def test_a_renewal_in_flight_needs_the_next_witnesses_too():
    lease = Lease(SLOT, 7, ('w1',), usable_from=0)
    lease.add_renewal('r1', ('w2',))
    lease.extend_by_ack('w1', READY, sequence=1)
    assert not lease.is_usable(READY)
    lease.extend_by_ack('w2', READY, sequence=2)
    assert lease.is_usable(READY)
    assert not lease.is_usable(READY + LEASE_DURATION_S)
