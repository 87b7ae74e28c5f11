"""Derives the owner of every slot from the order of records in the log.

Ownership of budgets and of idempotency keys is divided into slots. Nodes claim
and release slots by appending records to the ownership stream of the log, and
every node computes the owners from that stream by itself.

The result is a pure function of the records, so nodes that have read up to the
same offset agree on every owner without exchanging messages. That holds only
if the fold is given every record of the stream and nothing else. For this
reason an operator's fence is also written to this stream.
"""

import dataclasses
import enum
from collections.abc import Collection, Mapping
from typing import NamedTuple, TypeAlias

BUDGET_KIND = 'budget'
DEDUPE_KIND = 'dedupe'


class SlotId(NamedTuple):
    """Identifier of an ownership slot.

    The scope of a budget slot is a zone, that of a dedupe slot is a service.
    ``number`` is the index of the slot within its scope.

    This is a named tuple because every heartbeat carries slot ids: CBOR then
    encodes an array without field names.
    """

    kind: str
    scope: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Log record: a node claims a slot.

    The offset of the record becomes the epoch of the ownership.
    ``previous_epoch`` is the epoch that the claim supersedes, 0 for a slot
    that never had an owner. ``witnesses`` are the nodes that will ack the new
    owner's heartbeats, ``supporters`` the witnesses of the previous owner that
    agreed to the claim. ``unlogged`` says that an owner in a previous epoch
    may have run requests without first recording their ids in the log.
    """

    slot: SlotId
    owner: str
    incarnation: int
    previous_epoch: int
    witnesses: tuple[str, ...]
    supporters: tuple[str, ...]
    unlogged: bool
    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Log record: an owner gives up a slot.

    The owner stops using the slot before it appends this record, so the next
    owner may use the slot at once.
    """

    slot: SlotId
    epoch: int
    owner: str
    unlogged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Log record: an operator declares that a node is gone for good.

    The fence covers claims up to ``through_epoch`` only, so that a delayed
    copy of the record cannot fence a later VM that has the same node name.
    """

    node: str
    through_epoch: int
    operation_id: str


class ClaimBasis(enum.Enum):
    """The rule by which the fold accepted a claim.

    ``FIRST``: the slot never had an owner. ``RELEASED``: the previous owner
    released it. ``RENEWED``: the same process owned it already. ``SUPPORTED``:
    a majority of the previous owner's witnesses supports the claim.
    ``SAME_NODE``: an earlier process of the same node owned it. ``FENCED``: an
    operator fenced the previous owner.
    """

    FIRST = 'first'
    RELEASED = 'released'
    RENEWED = 'renewed'
    SUPPORTED = 'supported'
    SAME_NODE = 'same-node'
    FENCED = 'fenced'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotState:
    """State of one slot after a prefix of the ownership stream.

    Epoch 0 means that the slot never had an owner. ``unlogged`` is explained
    in ``Claim``.
    """

    epoch: int = 0
    owner: str = ''
    incarnation: int = 0
    witnesses: tuple[str, ...] = ()
    released: bool = True
    unlogged: bool = False
    fenced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipSnapshot:
    """State of all slots after the record at ``through_offset``.

    Readers start from a snapshot when the records before it have expired in
    the log.
    """

    through_offset: int
    slots: tuple[tuple[SlotId, SlotState], ...]


OWNERSHIP_RECORDS = (Claim, Release, Fence, OwnershipSnapshot)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAccepted:
    """The claimant owns the slot from the offset ``epoch`` of its claim on."""

    claim: Claim
    epoch: int
    basis: ClaimBasis
    unlogged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRejected:
    """The claim was rejected; ``lost_to`` is the epoch that remains in force."""

    claim: Claim
    lost_to: int


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The slot was released and has no owner."""

    slot: SlotId


@dataclasses.dataclass(frozen=True, slots=True)
class NothingChanged:
    """The record did not change the owner of any slot.

    This is the outcome of a stale release, a fence, a snapshot, and a record
    that was applied before.
    """


ApplyOutcome: TypeAlias = (
    ClaimAccepted | ClaimRejected | Released | NothingChanged
)

NEVER_OWNED = SlotState()


class OwnershipFold:
    """State of all slots after a prefix of the ownership stream."""

    def __init__(
        self,
        slots: Mapping[SlotId, SlotState],
        applied_offset: int = 0,
    ) -> None:
        """Start with the state after the record at ``applied_offset``."""
        self.slots = dict(slots)
        self.applied_offset = applied_offset

    def state_of(self, slot: SlotId) -> SlotState:
        """Return the state of a slot, ``NEVER_OWNED`` if no record names it."""
        return self.slots.get(slot, NEVER_OWNED)

    def apply(self, offset: int, record: object) -> ApplyOutcome:
        """Apply the record at an offset and return its outcome.

        Records at offsets that have been applied already change nothing.
        """
        if offset <= self.applied_offset:
            return NothingChanged()
        self.applied_offset = offset
        if isinstance(record, Claim):
            return self._apply_claim(offset, record)
        if isinstance(record, Release):
            return self._apply_release(record)
        if isinstance(record, Fence):
            self._apply_fence(record)
        return NothingChanged()

    def restore(self, snapshot: OwnershipSnapshot) -> None:
        """Replace the state by a snapshot of a later prefix of the stream."""
        self.slots = dict(snapshot.slots)
        self.applied_offset = snapshot.through_offset

    def snapshot(self) -> OwnershipSnapshot:
        """Return the whole state, with slots in sorted order.

        Every node that has applied the same records returns an equal snapshot.
        """
        return OwnershipSnapshot(
            self.applied_offset, tuple(sorted(self.slots.items()))
        )

    def _apply_claim(self, offset: int, claim: Claim) -> ApplyOutcome:
        state = self.state_of(claim.slot)
        basis = _find_basis(claim, state)
        if basis is None:
            return ClaimRejected(claim, state.epoch)
        is_inherited = state.unlogged and basis is ClaimBasis.RELEASED
        unlogged = claim.unlogged or is_inherited
        self.slots[claim.slot] = SlotState(
            epoch=offset,
            owner=claim.owner,
            incarnation=claim.incarnation,
            witnesses=claim.witnesses,
            released=False,
            unlogged=unlogged,
        )
        return ClaimAccepted(claim, offset, basis, unlogged)

    def _apply_release(self, release: Release) -> ApplyOutcome:
        state = self.state_of(release.slot)
        is_stale = state.released or state.epoch != release.epoch
        if is_stale or state.owner != release.owner:
            return NothingChanged()
        self.slots[release.slot] = dataclasses.replace(
            state,
            released=True,
            unlogged=state.unlogged or release.unlogged,
        )
        return Released(release.slot)

    def _apply_fence(self, fence: Fence) -> None:
        for slot, state in self.slots.items():
            if state.owner == fence.node and state.epoch <= fence.through_epoch:
                self.slots[slot] = dataclasses.replace(state, fenced=True)


def create_ownership_fold(
    snapshot: OwnershipSnapshot | None = None,
) -> OwnershipFold:
    """Create a fold at the beginning of the stream or after a snapshot.

    A reader whose first records have expired in the log must pass a snapshot.
    Without it, slots that were claimed in those records would look as if they
    never had an owner.
    """
    if snapshot is None:
        return OwnershipFold({})
    return OwnershipFold(dict(snapshot.slots), snapshot.through_offset)


def has_majority(voters: Collection[str], witnesses: Collection[str]) -> bool:
    """Tell whether more than half of the witnesses are among the voters."""
    votes = sum(1 for witness in witnesses if witness in voters)
    return votes * 2 > len(witnesses)


def _find_basis(claim: Claim, state: SlotState) -> ClaimBasis | None:
    if claim.previous_epoch != state.epoch:
        return None
    if state.epoch == 0:
        return ClaimBasis.FIRST
    if state.released:
        return ClaimBasis.RELEASED
    is_same_node = claim.owner == state.owner
    if is_same_node and claim.incarnation == state.incarnation:
        return ClaimBasis.RENEWED
    if has_majority(claim.supporters, state.witnesses):
        return ClaimBasis.SUPPORTED
    return _find_unsupported_basis(claim, state, is_same_node)


def _find_unsupported_basis(
    claim: Claim,
    state: SlotState,
    is_same_node: bool,
) -> ClaimBasis | None:
    if not claim.unlogged:
        return None
    if is_same_node and claim.incarnation > state.incarnation:
        return ClaimBasis.SAME_NODE
    return ClaimBasis.FENCED if state.fenced else None
