"""Claims of slots that have no owner."""

from ebonycleat.internal.process.effects import AppendToLog
from ebonycleat.internal.process.ownership import (
    BUDGET_KIND,
    Claim,
    Release,
    SlotId,
    create_ownership_fold,
)
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.slot_claims import (
    MAX_CLAIMS_IN_FLIGHT,
    OwnershipSettings,
    SlotClaims,
)

NODE = 'n1'
LOST_OWNER = 'gone'
ORPHANED_SLOTS = 20
RELEASED_SLOTS = 44
ZONE = 'a'


def create_claims():
    """Return claims over slots of a lost owner, and over released ones.

    The witnesses of the lost owner are lost too, so its slots get no support.
    """
    fold = create_ownership_fold()
    slot_count = ORPHANED_SLOTS + RELEASED_SLOTS
    for index in range(slot_count):
        slot = SlotId(BUDGET_KIND, ZONE, index)
        claim = Claim(
            slot=slot,
            owner=LOST_OWNER,
            incarnation=1,
            previous_epoch=0,
            witnesses=('gone-1', 'gone-2', 'gone-3'),
            supporters=(),
            unlogged=False,
            operation_id=f'op-{index}',
        )
        fold.apply(2 * index + 1, claim)
        if index >= ORPHANED_SLOTS:
            epoch = fold.state_of(slot).epoch
            fold.apply(2 * index + 2, Release(slot, epoch, LOST_OWNER, False))
    claims = SlotClaims(
        OwnershipSettings(NODE, ZONE, 1, slots_per_scope=slot_count), fold
    )
    claims.update_members([Member(NODE, ZONE)])
    return claims


def test_slots_without_support_do_not_keep_others_from_being_claimed():
    """Guards against released slots that nobody claims.

    More slots than claims may be in flight at once belong to an owner that is
    gone together with its witnesses.
    """
    claims = create_claims()
    claimed = set()
    for second in range(10):
        for effect in claims.tick(100.0 + second):
            if isinstance(effect, AppendToLog):
                next_offset = claims.fold.applied_offset + 1
                claims.fold.apply(next_offset, effect.record)
                claimed.add(effect.record.slot.number)
    assert claimed == set(
        range(ORPHANED_SLOTS, ORPHANED_SLOTS + RELEASED_SLOTS)
    )


def test_at_most_the_allowed_number_of_claims_is_in_flight():
    """Guards against a node that uses up the appends of the whole fleet."""
    claims = create_claims()
    effects = claims.tick(100.0) + claims.tick(100.1)
    appends = [one for one in effects if isinstance(one, AppendToLog)]
    assert len(appends) == MAX_CLAIMS_IN_FLIGHT
