"""Tells which slots this node owns, and which of them it may use now."""

import dataclasses
from typing import TypeAlias

from ebonycleat.internal.process.lease import NEVER, LeaseQueries
from ebonycleat.internal.process.lease_manager import LeaseManager
from ebonycleat.internal.process.ownership import (
    ClaimAccepted,
    ClaimBasis,
    OwnershipFold,
    OwnershipSnapshot,
    Released,
    SlotId,
    SlotState,
)
from ebonycleat.internal.process.slot_claims import OwnershipSettings


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGained:
    """This node owns the slot and may use it from ``usable_from`` on.

    ``unlogged`` says that a previous owner may have run ids of the slot
    without recording them in the log. The basis ``FIRST`` says that the slot
    never had an owner.
    """

    slot: SlotId
    epoch: int
    basis: ClaimBasis
    unlogged: bool
    usable_from: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLost:
    """This node no longer owns the slot."""

    slot: SlotId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRenewed:
    """This node still owns the slot, without a break, under a later epoch."""

    slot: SlotId
    epoch: int


OwnershipChange: TypeAlias = SlotGained | SlotRenewed | SlotLost


class SlotOwnership(LeaseQueries):
    """The owners of all slots by the log, and the leases of this node."""

    def __init__(
        self,
        settings: OwnershipSettings,
        fold: OwnershipFold,
    ) -> None:
        """Start from the state in ``fold`` without leases."""
        self.settings = settings
        self.fold = fold
        self.lease_manager = LeaseManager(settings)
        self.changes: list[OwnershipChange] = []

    def is_usable(self, slot: SlotId, now: float) -> bool:
        """Tell whether this node alone may use the slot at this moment."""
        lease = self.lease_manager.leases.get(slot)
        return lease is not None and lease.is_usable(now)

    def owner_of(self, slot: SlotId) -> str | None:
        """Return the owner of a slot as far as this node has read the log."""
        state = self.fold.state_of(slot)
        return None if state.released else state.owner

    def lease_ends_at(self, slot: SlotId, now: float) -> float:
        """Return when the lease ends; ``-inf`` when none is usable now."""
        lease = self.lease_manager.leases.get(slot)
        if lease is None or not lease.is_usable(now):
            return NEVER
        return lease.ends_at()

    def gained_epoch(self, slot: SlotId) -> int | None:
        """Return the epoch in which this node gained the slot, if it holds it."""
        lease = self.lease_manager.leases.get(slot)
        return None if lease is None else lease.gained_epoch

    def is_unlogged_acknowledged(self, slot: SlotId, now: float) -> bool:
        """Tell whether every possible next owner will see the unlogged flag."""
        lease = self.lease_manager.leases.get(slot)
        if lease is None or not lease.is_usable(now):
            return False
        return lease.is_unlogged_acknowledged()

    def take_changes(self) -> list[OwnershipChange]:
        """Return what was gained, renewed and lost since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def load_snapshot(self, snapshot: OwnershipSnapshot) -> bool:
        """Replace the state by a later snapshot; return False for an older one.

        What happened to the slots of this node in the skipped records is found
        by comparison: another owner ends a lease, a later epoch of this node
        renews it.
        """
        if snapshot.through_offset <= self.fold.applied_offset:
            return False
        self.fold.restore(snapshot)
        for slot, lease in tuple(self.lease_manager.leases.items()):
            state = self.fold.state_of(slot)
            if not self._is_owned_here(state):
                self._record_loss(slot)
            elif state.epoch != lease.epoch:
                lease.complete_renewal(state.epoch, state.witnesses)
                self.changes.append(SlotRenewed(slot, state.epoch))
        return True

    def apply_record(self, offset: int, record: object, now: float) -> None:
        """Apply one record of the ownership stream."""
        outcome = self.fold.apply(offset, record)
        if isinstance(outcome, ClaimAccepted):
            self._handle_accepted_claim(outcome, now)
        elif isinstance(outcome, Released):
            self._record_loss(outcome.slot)

    def _handle_accepted_claim(
        self, accepted: ClaimAccepted, now: float
    ) -> None:
        claim = accepted.claim
        incarnation = self.settings.incarnation
        if (claim.owner, claim.incarnation) != (
            self.settings.node,
            incarnation,
        ):
            self._record_loss(claim.slot)
            return
        lease = self.lease_manager.leases.get(claim.slot)
        if lease is not None and accepted.basis is ClaimBasis.RENEWED:
            lease.complete_renewal(accepted.epoch, claim.witnesses)
            self.changes.append(SlotRenewed(claim.slot, accepted.epoch))
            return
        new_lease = self.lease_manager.add_lease(accepted, now)
        self.changes.append(
            SlotGained(
                claim.slot,
                accepted.epoch,
                accepted.basis,
                accepted.unlogged,
                new_lease.usable_from,
            ),
        )

    def _is_owned_here(self, state: SlotState) -> bool:
        owner = (state.owner, state.incarnation)
        this_node = (self.settings.node, self.settings.incarnation)
        return owner == this_node and not state.released

    def _record_loss(self, slot: SlotId) -> None:
        if slot in self.lease_manager.leases:
            self.lease_manager.remove_lease(slot)
            self.changes.append(SlotLost(slot))
