"""Ownership decisions of one node: owner, witness and claimant in one place.

The driver feeds it pages of the ownership stream, peer messages and ticks,
and carries out the effects it returns. Safety does not depend on the driver
calling in time: a late call finds the lease over.
"""

from collections.abc import Iterable

from ebonycleat.internal.connection.lease_messages import (
    Heartbeat,
    HeartbeatAck,
    LeaseMessage,
    SupportAsk,
    SupportGiven,
)
from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.process.effects import (
    AppendResult,
    AppendToLog,
    Effect,
    SendToPeer,
)
from ebonycleat.internal.process.ownership import (
    Fence,
    OwnershipFold,
    OwnershipSnapshot,
    create_ownership_fold,
)
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.slot_claims import (
    OwnershipSettings,
    SlotClaims,
)
from ebonycleat.internal.process.slot_ownership import SlotOwnership
from ebonycleat.internal.process.witness import Witness


class OwnershipEngine(SlotOwnership):
    """Everything that one node decides about ownership."""

    def __init__(
        self,
        settings: OwnershipSettings,
        fold: OwnershipFold,
        witness: Witness,
    ) -> None:
        """Start with a fold, owning nothing and vouching for nobody."""
        super().__init__(settings, fold)
        self.witness = witness
        self.claims = SlotClaims(settings, fold)
        self.has_read_whole_log = False

    def set_unlogged(
        self,
        service: str,
        *,
        is_unlogged: bool,
        now: float,
    ) -> list[Effect]:
        """Say on heartbeats whether ids of a service run unlogged.

        The flag may be cleared only when no id that ran unlogged is within
        its memory span any more, or all of them are in the log by now.
        """
        self.lease_manager.set_unlogged(service, is_unlogged=is_unlogged)
        return self.tick(now)

    def update_members(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[Effect]:
        """Take note of the nodes that are alive as far as this node knows."""
        self.claims.update_members(members)
        self.lease_manager.update_members(self.claims.members)
        return self.tick(now)

    def apply_log_page(
        self,
        started_at: float,
        records: Iterable[tuple[int, object]],
        at_end: bool,
        now: float,
    ) -> list[Effect]:
        """Apply records of the ownership stream, in order and without gaps.

        ``at_end`` counts as evidence only for a read of the log by this node
        that began at ``started_at``; pages passed on by peers must say False.
        """
        for offset, record in records:
            self.apply_record(offset, record, now)
        if at_end:
            self.has_read_whole_log = True
            self.witness.mark_log_read()
            for lease in self.lease_manager.leases.values():
                lease.extend_by_log_read(started_at)
        return self.tick(now)

    def handle_message(
        self,
        sender: str,
        message: LeaseMessage,
        now: float,
    ) -> list[Effect]:
        """React to a message of another node's engine."""
        return self._deliver_to_self(self._answer(sender, message, now), now)

    def handle_append_result(
        self,
        outcome: AppendResult,
        now: float,
    ) -> list[Effect]:
        """Learn the fate of an append, as far as the log told it."""
        self.claims.handle_append_result(outcome, now)
        self.lease_manager.handle_append_result(outcome)
        return []

    def compose_fence(self, node: str, operation_id: str) -> list[Effect]:
        """Write an operator's word that a node is gone for good."""
        record = Fence(node, self.fold.offset, operation_id)
        return [AppendToLog(Stream.OWNERSHIP, record, operation_id)]

    def stop(self, now: float) -> list[Effect]:
        """Stop using all slots and release them; ``tick`` retries.

        The node may exit when ``held.leases`` is empty, or at any time if it
        accepts that its slots wait for a takeover.
        """
        self.lease_manager.stop()
        self.claims.update_members(())
        return self.tick(now)

    def tick(self, now: float) -> list[Effect]:
        """Send what is due; call it every 100 ms or so."""
        effects = self.lease_manager.tick(now)
        if self.has_read_whole_log and not self.lease_manager.is_stopping:
            effects += self.claims.tick(now)
        return self._deliver_to_self(effects, now)

    def _answer(
        self,
        sender: str,
        message: LeaseMessage,
        now: float,
    ) -> list[Effect]:
        if isinstance(message, HeartbeatAck):
            self.lease_manager.handle_ack(sender, message)
        elif isinstance(message, SupportGiven):
            self.claims.record_support(sender, message)
        else:
            return self._answer_as_witness(sender, message, now)
        return []

    def _answer_as_witness(
        self,
        sender: str,
        message: Heartbeat | SupportAsk,
        now: float,
    ) -> list[Effect]:
        answer: LeaseMessage | None
        if isinstance(message, Heartbeat):
            answer = self.witness.handle_heartbeat(sender, message, now)
        else:
            answer = self.witness.answer_support_ask(message, now)
        return [] if answer is None else [SendToPeer(sender, answer)]

    def _deliver_to_self(
        self,
        effects: list[Effect],
        now: float,
    ) -> list[Effect]:
        # A node may be its own witness; such messages need no network.
        outside: list[Effect] = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            to_self = isinstance(effect, SendToPeer) and (
                effect.node == self.settings.node
            )
            if to_self and isinstance(effect, SendToPeer):
                pending += self._answer(effect.node, effect.message, now)
            else:
                outside.append(effect)
        return outside


def create_ownership_engine(
    settings: OwnershipSettings,
    started_at: float,
    snapshot: OwnershipSnapshot | None = None,
) -> OwnershipEngine:
    """Build the engine of a node that starts now, with no memory."""
    fold = create_ownership_fold(snapshot)
    book = Witness(fold, started_at)
    return OwnershipEngine(settings, fold, book)
