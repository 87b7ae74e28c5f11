"""The ownership engine of a node, and who learns of its gains and losses."""

from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.lease_messages import LeaseMessage
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.dedupe_host import DedupeHost, HostOutput
from ebonycleat.internal.process.effects import AppendResult, Effect
from ebonycleat.internal.process.ownership import BUDGET
from ebonycleat.internal.process.ownership_engine import OwnershipEngine
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.slot_leases import (
    OwnershipChange,
    SlotGained,
    SlotLost,
    SlotRenewed,
)
from ebonycleat.internal.process.state_changes import PendingStateChanges

OwnershipStep: TypeAlias = Effect | HostOutput


class OwnershipHost:
    """Tells budgets and dedupe which slots they may use."""

    def __init__(
        self,
        engine: OwnershipEngine,
        budgets: BudgetOwner,
        dedupe: DedupeHost,
        service: str,
        state_changes: PendingStateChanges,
    ) -> None:
        """Connect the engine of a node whose target serves ``service``."""
        self.engine = engine
        self.budgets = budgets
        self.dedupe = dedupe
        self.service = service
        self.state_changes = state_changes
        self.unlogged = False

    def log_page(
        self,
        started_at: float,
        records: Iterable[tuple[int, object]],
        now: float,
        *,
        at_end: bool,
    ) -> list[OwnershipStep]:
        """Apply a page that this node itself has read."""
        effects = self.engine.log_page(started_at, records, at_end, now)
        return self.pass_on_changes(effects, now)

    def receive(
        self,
        sender: str,
        message: LeaseMessage,
        now: float,
    ) -> list[OwnershipStep]:
        """Take a message of another node's engine."""
        effects = self.engine.receive(sender, message, now)
        return self.pass_on_changes(effects, now)

    def append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[OwnershipStep]:
        """Take the result of an append to the ownership stream."""
        effects = self.engine.append_result(append_result, now)
        return self.pass_on_changes(effects, now)

    def members_changed(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[OwnershipStep]:
        """Take note of the nodes that are alive."""
        effects = self.engine.members_changed(members, now)
        return self.pass_on_changes(effects, now)

    def stop(self, now: float) -> list[OwnershipStep]:
        """Release all slots, so that others need not wait for them."""
        return self.pass_on_changes(self.engine.stop(now), now)

    def is_stopped(self) -> bool:
        """Tell whether no slot is held any more."""
        return not self.engine.held.leases

    def tick(self, now: float) -> list[OwnershipStep]:
        """Let heartbeats and claims advance."""
        effects: list[Effect] = []
        unlogged = self.dedupe.needs_unlogged_flag(now)
        if unlogged != self.unlogged:
            self.unlogged = unlogged
            self.state_changes.record('ids run unlogged', unlogged=unlogged)
            effects += self.engine.set_unlogged(
                self.service,
                flag=unlogged,
                now=now,
            )
        effects += self.engine.tick(now)
        return self.pass_on_changes(effects, now)

    def pass_on_changes(
        self,
        effects: list[Effect],
        now: float,
    ) -> list[OwnershipStep]:
        """Tell budgets and dedupe what the engine gained and lost."""
        steps: list[OwnershipStep] = list(effects)
        changes = self.engine.take_changes()
        self.state_changes.record_ownership_changes(changes)
        for change in changes:
            steps.extend(self.apply_change(change, now))
        return steps

    def apply_change(
        self,
        change: OwnershipChange,
        now: float,
    ) -> list[HostOutput]:
        """Hand one change to the part that uses such slots."""
        is_budget = change.slot.kind == BUDGET
        match change:
            case SlotGained() if is_budget:
                self.budgets.slot_gained(change, now)
            case SlotGained():
                return self.dedupe.slot_gained(change, now)
            case SlotRenewed() if not is_budget:
                return self.dedupe.slot_renewed(change, now)
            case SlotLost() if is_budget:
                self.budgets.slot_lost(change.slot)
            case SlotLost():
                return self.dedupe.slot_lost(change.slot, now)
        return []
