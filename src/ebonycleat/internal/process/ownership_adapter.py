"""The ownership engine of a node, and who learns of its gains and losses."""

from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.lease_messages import LeaseMessage
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.dedupe_adapter import DedupeAdapter, DedupeOutput
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
from ebonycleat.internal.process.state_changes import StateChanges

OwnershipOutput: TypeAlias = Effect | DedupeOutput


class OwnershipAdapter:
    """Tells budgets and dedupe which slots they may use."""

    def __init__(
        self,
        engine: OwnershipEngine,
        budget_owner: BudgetOwner,
        dedupe: DedupeAdapter,
        service: str,
        state_changes: StateChanges,
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
        """Apply a page that this node itself has read."""
        effects = self.engine.apply_log_page(started_at, records, at_end, now)
        return self.distribute_changes(effects, now)

    def handle_message(
        self,
        sender: str,
        message: LeaseMessage,
        now: float,
    ) -> list[OwnershipOutput]:
        """Take a message of another node's engine."""
        effects = self.engine.handle_message(sender, message, now)
        return self.distribute_changes(effects, now)

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[OwnershipOutput]:
        """Take the result of an append to the ownership stream."""
        effects = self.engine.handle_append_result(append_result, now)
        return self.distribute_changes(effects, now)

    def update_members(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[OwnershipOutput]:
        """Take note of the nodes that are alive."""
        effects = self.engine.update_members(members, now)
        return self.distribute_changes(effects, now)

    def stop(self, now: float) -> list[OwnershipOutput]:
        """Release all slots, so that others need not wait for them."""
        return self.distribute_changes(self.engine.stop(now), now)

    def has_released_all(self) -> bool:
        """Tell whether no slot is held any more."""
        return not self.engine.lease_manager.leases

    def tick(self, now: float) -> list[OwnershipOutput]:
        """Let heartbeats and claims advance."""
        effects: list[Effect] = []
        unlogged = self.dedupe.needs_unlogged_flag(now)
        if unlogged != self.unlogged:
            self.unlogged = unlogged
            self.state_changes.note('ids run unlogged', unlogged=unlogged)
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
        """Tell budgets and dedupe what the engine gained and lost."""
        steps: list[OwnershipOutput] = list(effects)
        changes = self.engine.take_changes()
        self.state_changes.note_ownership(changes)
        for change in changes:
            steps.extend(self.distribute_change(change, now))
        return steps

    def distribute_change(
        self,
        change: OwnershipChange,
        now: float,
    ) -> list[DedupeOutput]:
        """Hand one change to the part that uses such slots."""
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
