"""Who owns which slot, decided by the order of records in the log.

The fold is a pure function of the ownership stream, so nodes that have read
to the same offset agree on every owner without talking to each other. It
must therefore be given every record of the stream and nothing else; this is
why an operator's fence is a record of this stream too.
"""

import dataclasses
import enum
from collections.abc import Collection, Mapping
from typing import NamedTuple, TypeAlias

BUDGET_KIND = 'budget'
DEDUPE_KIND = 'dedupe'


class SlotId(NamedTuple):
    """Name of an ownership slot.

    The scope of a budget slot is a zone, that of a dedupe slot a service.
    It is a tuple because it travels on every heartbeat: CBOR then carries
    no field names. ``number`` is the slot's index within its scope.
    """

    kind: str
    scope: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A node's claim to a slot; its epoch is the offset of the record.

    ``previous_epoch`` is 0 for a slot that never had an owner. ``unlogged``
    says that ids of the previous epochs may have run without a log record.
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
    """An owner's word that it stopped using the slot before writing this."""

    slot: SlotId
    epoch: int
    owner: str
    unlogged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """An operator's word that a node is gone for good.

    It covers claims up to ``through_epoch`` only, so a late copy of the
    record cannot fence a later VM of the same name.
    """

    node: str
    through_epoch: int
    operation_id: str


class ClaimBasis(enum.Enum):
    """Why the fold accepted a claim."""

    FIRST = 'first'
    RELEASED = 'released'
    RENEWED = 'renewed'
    SUPPORTED = 'supported'
    SAME_NODE = 'same-node'
    FENCED = 'fenced'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotState:
    """What the stream says about one slot; epoch 0 is never owned."""

    epoch: int = 0
    owner: str = ''
    incarnation: int = 0
    witnesses: tuple[str, ...] = ()
    released: bool = True
    unlogged: bool = False
    fenced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipSnapshot:
    """The fold after ``through_offset``, for readers past the retention."""

    through_offset: int
    slots: tuple[tuple[SlotId, SlotState], ...]


OWNERSHIP_RECORDS = (Claim, Release, Fence, OwnershipSnapshot)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAccepted:
    """The slot belongs to the claimant from this offset on."""

    claim: Claim
    epoch: int
    basis: ClaimBasis
    unlogged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRejected:
    """The claim changed nothing; ``lost_to`` is the epoch that stands."""

    claim: Claim
    lost_to: int


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The slot has no owner."""

    slot: SlotId


@dataclasses.dataclass(frozen=True, slots=True)
class NothingChanged:
    """A stale release, a fence, a snapshot or a record already applied."""


FoldOutcome: TypeAlias = (
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
        """Start after ``offset`` with the given slots."""
        self.slots = dict(slots)
        self.offset = applied_offset

    def state_of(self, slot: SlotId) -> SlotState:
        """Return what the stream says about a slot."""
        return self.slots.get(slot, NEVER_OWNED)

    def apply(self, offset: int, record: object) -> FoldOutcome:
        """Apply the record at an offset; earlier offsets change nothing."""
        if offset <= self.offset:
            return NothingChanged()
        self.offset = offset
        if isinstance(record, Claim):
            return self._claim(offset, record)
        if isinstance(record, Release):
            return self._release(record)
        if isinstance(record, Fence):
            self._fence(record)
        return NothingChanged()

    def restore(self, snapshot: OwnershipSnapshot) -> None:
        """Take over the state after a later prefix of the stream."""
        self.slots = dict(snapshot.slots)
        self.offset = snapshot.through_offset

    def snapshot(self) -> OwnershipSnapshot:
        """Return the whole state, in an order that is the same everywhere."""
        return OwnershipSnapshot(self.offset, tuple(sorted(self.slots.items())))

    def _claim(self, offset: int, claim: Claim) -> FoldOutcome:
        state = self.state_of(claim.slot)
        basis = _find_basis(claim, state)
        if basis is None:
            return ClaimRejected(claim, state.epoch)
        inherited = state.unlogged and basis is ClaimBasis.RELEASED
        unlogged = claim.unlogged or inherited
        self.slots[claim.slot] = SlotState(
            epoch=offset,
            owner=claim.owner,
            incarnation=claim.incarnation,
            witnesses=claim.witnesses,
            released=False,
            unlogged=unlogged,
        )
        return ClaimAccepted(claim, offset, basis, unlogged)

    def _release(self, release: Release) -> FoldOutcome:
        state = self.state_of(release.slot)
        stale = state.released or state.epoch != release.epoch
        if stale or state.owner != release.owner:
            return NothingChanged()
        self.slots[release.slot] = dataclasses.replace(
            state,
            released=True,
            unlogged=state.unlogged or release.unlogged,
        )
        return Released(release.slot)

    def _fence(self, fence: Fence) -> None:
        for slot, state in self.slots.items():
            if state.owner == fence.node and state.epoch <= fence.through_epoch:
                self.slots[slot] = dataclasses.replace(state, fenced=True)


def create_ownership_fold(
    snapshot: OwnershipSnapshot | None = None,
) -> OwnershipFold:
    """Start at the beginning of the stream, or after a snapshot.

    A reader whose first offset has expired must have a snapshot: without
    one it would take old slots for never owned.
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
    same_node = claim.owner == state.owner
    if same_node and claim.incarnation == state.incarnation:
        return ClaimBasis.RENEWED
    if has_majority(claim.supporters, state.witnesses):
        return ClaimBasis.SUPPORTED
    return _find_unsupported_basis(claim, state, same_node)


def _find_unsupported_basis(
    claim: Claim,
    state: SlotState,
    same_node: bool,
) -> ClaimBasis | None:
    if not claim.unlogged:
        return None
    if same_node and claim.incarnation > state.incarnation:
        return ClaimBasis.SAME_NODE
    return ClaimBasis.FENCED if state.fenced else None
