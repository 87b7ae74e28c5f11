"""The fold decides owners; guards against claims that must not succeed."""

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.process.ownership import (
    BUDGET_KIND,
    ClaimBasis,
    Claim,
    ClaimRejected,
    Fence,
    OwnershipSnapshot,
    Release,
    SlotId,
    create_ownership_fold,
)

SLOT = SlotId(BUDGET_KIND, 'a', 3)


def claim(owner, previous_epoch, **changes):
    fields = {
        'incarnation': 1,
        'witnesses': ('w1', 'w2', 'w3'),
        'supporters': (),
        'unlogged': False,
        'operation_id': f'{owner}/{previous_epoch}',
    }
    fields.update(changes)
    return Claim(SLOT, owner, previous_epoch=previous_epoch, **fields)


def owned_fold():
    fold = create_ownership_fold()
    fold.apply(5, claim('a', 0))
    return fold


def test_only_the_first_of_two_racing_claims_is_accepted():
    fold = owned_fold()
    rejected = fold.apply(6, claim('b', 0))
    assert isinstance(rejected, ClaimRejected)
    assert rejected.lost_to == 5


def test_a_copy_of_an_accepted_claim_is_rejected():
    assert isinstance(owned_fold().apply(9, claim('a', 0)), ClaimRejected)


def test_a_minority_of_witnesses_cannot_give_a_slot_away():
    fold = owned_fold()
    minority = claim('b', 5, supporters=('w1', 'x', 'y'))
    assert isinstance(fold.apply(6, minority), ClaimRejected)
    majority = claim('b', 5, supporters=('w1', 'w3'))
    assert fold.apply(7, majority).basis is ClaimBasis.SUPPORTED


def test_a_new_incarnation_without_support_must_assume_unlogged_runs():
    fold = owned_fold()
    assert isinstance(
        fold.apply(6, claim('a', 5, incarnation=2)),
        ClaimRejected,
    )
    accepted = fold.apply(7, claim('a', 5, incarnation=2, unlogged=True))
    assert accepted.basis is ClaimBasis.SAME_NODE


def test_a_release_of_an_old_epoch_changes_nothing():
    fold = owned_fold()
    fold.apply(6, claim('a', 5))
    fold.apply(7, Release(SLOT, 5, 'a'))
    assert not fold.state_of(SLOT).released


def test_a_release_passes_unlogged_runs_on():
    fold = owned_fold()
    fold.apply(6, Release(SLOT, 5, 'a', unlogged=True))
    assert fold.apply(7, claim('b', 5)).unlogged


def test_a_late_copy_of_a_fence_does_not_fence_a_later_vm():
    fold = owned_fold()
    fold.apply(6, Fence('a', 5, 'f1'))
    assert (
        fold.apply(7, claim('b', 5, unlogged=True)).basis is ClaimBasis.FENCED
    )
    fold.apply(8, Release(SLOT, 7, 'b'))
    fold.apply(9, claim('a', 7, incarnation=4))
    fold.apply(10, Fence('a', 5, 'f1'))
    assert not fold.state_of(SLOT).fenced


def test_a_reader_from_a_snapshot_agrees_with_one_from_the_beginning():
    fold = owned_fold()
    later = create_ownership_fold(fold.snapshot())
    for reader in (fold, later):
        reader.apply(6, claim('b', 5, supporters=('w1', 'w2')))
    assert later.snapshot() == fold.snapshot()


def test_records_survive_the_codec():
    codec = create_codec(Claim, Release, Fence, OwnershipSnapshot)
    records = (
        claim('a', 0, supporters=('w1',)),
        Release(SLOT, 5, 'a'),
        Fence('a', 5, 'f1'),
        owned_fold().snapshot(),
    )
    for record in records:
        assert codec.decode(codec.encode(record)) == record
