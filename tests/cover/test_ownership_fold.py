"""The ownership fold: guards against accepting claims that must fail."""

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.process.ownership import (
    BUDGET_KIND,
    Claim,
    ClaimBasis,
    ClaimRejected,
    Fence,
    OwnershipSnapshot,
    Release,
    SlotId,
    create_ownership_fold,
)

SLOT = SlotId(BUDGET_KIND, 'a', 3)


def make_claim(owner, previous_epoch, **changes):
    fields = {
        'incarnation': 1,
        'witnesses': ('w1', 'w2', 'w3'),
        'supporters': (),
        'unlogged': False,
        'operation_id': f'{owner}/{previous_epoch}',
    }
    fields.update(changes)
    return Claim(SLOT, owner, previous_epoch=previous_epoch, **fields)


def create_fold_with_owner():
    fold = create_ownership_fold()
    fold.apply(5, make_claim('a', 0))
    return fold


def test_only_the_first_of_two_racing_claims_is_accepted():
    fold = create_fold_with_owner()
    rejected = fold.apply(6, make_claim('b', 0))
    assert isinstance(rejected, ClaimRejected)
    assert rejected.lost_to == 5


def test_a_copy_of_an_accepted_claim_is_rejected():
    assert isinstance(
        create_fold_with_owner().apply(9, make_claim('a', 0)), ClaimRejected
    )


def test_a_minority_of_witnesses_cannot_reassign_a_slot():
    fold = create_fold_with_owner()
    minority = make_claim('b', 5, supporters=('w1', 'x', 'y'))
    assert isinstance(fold.apply(6, minority), ClaimRejected)
    majority = make_claim('b', 5, supporters=('w1', 'w3'))
    assert fold.apply(7, majority).basis is ClaimBasis.SUPPORTED


def test_a_new_incarnation_without_support_must_assume_unlogged_runs():
    fold = create_fold_with_owner()
    assert isinstance(
        fold.apply(6, make_claim('a', 5, incarnation=2)),
        ClaimRejected,
    )
    accepted = fold.apply(7, make_claim('a', 5, incarnation=2, unlogged=True))
    assert accepted.basis is ClaimBasis.SAME_NODE


def test_a_release_of_an_old_epoch_changes_nothing():
    fold = create_fold_with_owner()
    fold.apply(6, make_claim('a', 5))
    fold.apply(7, Release(SLOT, 5, 'a'))
    assert not fold.state_of(SLOT).released


def test_a_release_passes_the_unlogged_flag_on():
    fold = create_fold_with_owner()
    fold.apply(6, Release(SLOT, 5, 'a', unlogged=True))
    assert fold.apply(7, make_claim('b', 5)).unlogged


def test_a_late_copy_of_a_fence_does_not_fence_a_later_vm():
    fold = create_fold_with_owner()
    fold.apply(6, Fence('a', 5, 'f1'))
    assert (
        fold.apply(7, make_claim('b', 5, unlogged=True)).basis
        is ClaimBasis.FENCED
    )
    fold.apply(8, Release(SLOT, 7, 'b'))
    fold.apply(9, make_claim('a', 7, incarnation=4))
    fold.apply(10, Fence('a', 5, 'f1'))
    assert not fold.state_of(SLOT).fenced


def test_a_fold_restored_from_a_snapshot_agrees_with_the_original():
    fold = create_fold_with_owner()
    restored = create_ownership_fold(fold.snapshot())
    for each_fold in (fold, restored):
        each_fold.apply(6, make_claim('b', 5, supporters=('w1', 'w2')))
    assert restored.snapshot() == fold.snapshot()


def test_records_survive_a_round_trip_through_the_codec():
    codec = create_codec(Claim, Release, Fence, OwnershipSnapshot)
    records = (
        make_claim('a', 0, supporters=('w1',)),
        Release(SLOT, 5, 'a'),
        Fence('a', 5, 'f1'),
        create_fold_with_owner().snapshot(),
    )
    for record in records:
        assert codec.decode(codec.encode(record)) == record
