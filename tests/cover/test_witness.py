"""What a witness may say; guards against two owners with one majority."""

from ebonycleat.internal.connection.lease_messages import (
    RequestedSlot,
    Heartbeat,
    HeldSlot,
)
from ebonycleat.internal.process.lease import HOLD_S, PROMISE_S, Lease
from ebonycleat.internal.process.ownership import (
    DEDUPE,
    SlotId,
    create_ownership_fold,
)
from ebonycleat.internal.process.witness import WitnessBook

SLOT = SlotId(DEDUPE, 'payment', 1)
READY = 10.0


def witness():
    book = WitnessBook(create_ownership_fold(), started_at=0)
    book.log_was_read_to_its_end()
    return book


def beat(sequence, epoch=7, unlogged=False):
    held = (HeldSlot(SLOT, epoch, unlogged),)
    return Heartbeat(1, sequence, sequence, held)


def test_a_promise_outlasts_the_lease_by_the_drift():
    book = witness()
    assert book.hear('a', beat(1), READY).refused == ()
    asked = RequestedSlot(SLOT, 7)
    assert book.support(asked, READY + HOLD_S) is None
    assert book.support(asked, READY + PROMISE_S) is not None


def test_a_supported_epoch_is_never_acknowledged_again():
    book = witness()
    book.support(RequestedSlot(SLOT, 7), READY)
    assert book.hear('a', beat(1), READY).refused == (SLOT,)


def test_a_restarted_witness_supports_nobody_while_old_promises_may_last():
    assert witness().support(RequestedSlot(SLOT, 7), PROMISE_S - 0.01) is None


def test_a_witness_refuses_epochs_from_before_it_read_the_log():
    book = WitnessBook(create_ownership_fold(), started_at=0)
    assert book.hear('a', beat(1), READY).refused == (SLOT,)


def test_support_passes_the_unlogged_flag_on():
    book = witness()
    book.hear('a', beat(1, unlogged=True), READY)
    late = READY + PROMISE_S
    assert book.support(RequestedSlot(SLOT, 7), late).unlogged


def test_support_assumes_unlogged_runs_if_the_witness_cannot_know():
    book = WitnessBook(create_ownership_fold(), started_at=0)
    assert book.support(RequestedSlot(SLOT, 7), READY).unlogged


def test_an_overtaken_heartbeat_does_not_take_the_unlogged_flag_back():
    book = witness()
    book.hear('a', beat(2, unlogged=True), READY)
    assert book.hear('a', beat(1, unlogged=False), READY) is None
    assert book.support(RequestedSlot(SLOT, 7), READY + PROMISE_S).unlogged


def test_an_unknown_list_is_not_vouched_for():
    assert witness().hear('a', Heartbeat(1, 5, 4, ()), READY) is None


def test_an_ack_from_before_the_flag_does_not_vouch_for_unlogged_runs():
    lease = Lease(SLOT, 7, ('w1', 'w2', 'w3'), usable_from=0)
    lease.change_unlogged(True, last_sequence=4)
    for name in ('w1', 'w2'):
        lease.heard_from_witness(name, READY, sequence=4)
    assert not lease.is_unlogged_acknowledged()
    for name in ('w1', 'w2'):
        lease.heard_from_witness(name, READY, sequence=5)
    assert lease.is_unlogged_acknowledged()


def test_a_renewal_in_flight_needs_the_next_witnesses_too():
    lease = Lease(SLOT, 7, ('w1',), usable_from=0)
    lease.renewal_sent('r1', ('w2',))
    lease.heard_from_witness('w1', READY, sequence=1)
    assert not lease.is_usable(READY)
    lease.heard_from_witness('w2', READY, sequence=2)
    assert lease.is_usable(READY)
    assert not lease.is_usable(READY + HOLD_S)
