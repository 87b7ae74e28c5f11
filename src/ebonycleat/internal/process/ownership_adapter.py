"""Connects the ownership engine of a node to the owners of budgets and ids."""

from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.lease_messages import LeaseMessage
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.dedupe_adapter import (
    DedupeAdapter,
    DedupeOutput,
)
from ebonycleat.internal.process.effects import AppendResult, Effect
from ebonycleat.internal.process.ownership import BUDGET_KIND
from ebonycleat.internal.process.ownership_engine import OwnershipEngine
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.slot_ownership import (
    OwnershipChange,
    SlotGained,
    SlotLost,
    SlotRenewed,
)
from ebonycleat.internal.process.state_changes import PendingStateChanges

OwnershipOutput: TypeAlias = Effect | DedupeOutput


class OwnershipAdapter:
    """Tells the budget owner and the dedupe owner which slots they may use."""

    def __init__(
        self,
        engine: OwnershipEngine,
        budget_owner: BudgetOwner,
        dedupe: DedupeAdapter,
        service: str,
        state_changes: PendingStateChanges,
    ) -> None:
        """Connect the engine of a node whose target serves ``service``."""
        self.engine = engine
        self.budget_owner = budget_owner
        self.dedupe = dedupe
        self.service = service
        self.state_changes = state_changes
        self.unlogged = False

    def apply_log_page(
        self,
        started_at: float,
        records: Iterable[tuple[int, object]],
        now: float,
        *,
        at_end: bool,
    ) -> list[OwnershipOutput]:
        """Apply a page of the ownership stream that this node itself has read."""
        effects = self.engine.apply_log_page(started_at, records, at_end, now)
        return self.distribute_changes(effects, now)

    def handle_message(
        self,
        sender: str,
        message: LeaseMessage,
        now: float,
    ) -> list[OwnershipOutput]:
        """Process a lease message from another node."""
        effects = self.engine.handle_message(sender, message, now)
        return self.distribute_changes(effects, now)

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[OwnershipOutput]:
        """Process the result of an append to the ownership stream."""
        effects = self.engine.handle_append_result(append_result, now)
        return self.distribute_changes(effects, now)

    def update_members(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[OwnershipOutput]:
        """Replace the set of nodes that are alive."""
        effects = self.engine.update_members(members, now)
        return self.distribute_changes(effects, now)

    def stop(self, now: float) -> list[OwnershipOutput]:
        """Release all slots, so that other nodes can claim them at once."""
        return self.distribute_changes(self.engine.stop(now), now)

    def has_released_all(self) -> bool:
        """Tell whether this node holds no slot any more."""
        return not self.engine.lease_manager.leases

    def tick(self, now: float) -> list[OwnershipOutput]:
        """Send heartbeats and claims that are due; update the unlogged flag."""
        effects: list[Effect] = []
        unlogged = self.dedupe.needs_unlogged_flag(now)
        if unlogged != self.unlogged:
            self.unlogged = unlogged
            self.state_changes.record(
                'unlogged mode changed', unlogged=unlogged
            )
            effects += self.engine.set_unlogged(
                self.service,
                is_unlogged=unlogged,
                now=now,
            )
        effects += self.engine.tick(now)
        return self.distribute_changes(effects, now)

    def distribute_changes(
        self,
        effects: list[Effect],
        now: float,
    ) -> list[OwnershipOutput]:
        """Report gained, renewed and lost slots to the owners that use them.

        Returns ``effects`` followed by what the dedupe owner decided.
        """
        outputs: list[OwnershipOutput] = list(effects)
        changes = self.engine.take_changes()
        self.state_changes.record_ownership_changes(changes)
        for change in changes:
            outputs.extend(self.distribute_change(change, now))
        return outputs

    def distribute_change(
        self,
        change: OwnershipChange,
        now: float,
    ) -> list[DedupeOutput]:
        """Pass one change to the budget owner or to the dedupe owner."""
        is_budget = change.slot.kind == BUDGET_KIND
        match change:
            case SlotGained() if is_budget:
                self.budget_owner.handle_slot_gained(change, now)
            case SlotGained():
                return self.dedupe.handle_slot_gained(change, now)
            case SlotRenewed() if not is_budget:
                return self.dedupe.handle_slot_renewed(change, now)
            case SlotLost() if is_budget:
                self.budget_owner.handle_slot_lost(change.slot)
            case SlotLost():
                return self.dedupe.handle_slot_lost(change.slot, now)
        return []
