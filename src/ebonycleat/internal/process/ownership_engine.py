"""Decides on slot ownership for one node, as owner, witness and claimant.

A driver passes in pages of the ownership stream, peer messages and clock
ticks, and carries out the effects that are returned. Safety does not depend on
the driver calling in time: if it calls late, the lease of the node has expired
and the slot counts as unusable.
"""

from collections.abc import Iterable

from ebonycleat.internal.connection.lease_messages import (
    Heartbeat,
    HeartbeatAck,
    LeaseMessage,
    SupportAsk,
    SupportGiven,
)
from ebonycleat.internal.connection.log_service import LogStream
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
    """All ownership decisions of one node."""

    def __init__(
        self,
        settings: OwnershipSettings,
        fold: OwnershipFold,
        witness: Witness,
    ) -> None:
        """Start from the state in ``fold``, without leases or promises."""
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
        """Set the flag that the heartbeats for a service's dedupe slots carry.

        The flag says that this node may run ids of the service without
        recording them in the log first. It may be cleared only when every id
        that ran so has either been recorded in the log since, or is older than
        the time for which ids are remembered.
        """
        self.lease_manager.set_unlogged(service, is_unlogged=is_unlogged)
        return self.tick(now)

    def update_members(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[Effect]:
        """Replace the set of nodes that are alive as far as this node knows."""
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

        ``at_end`` tells that the page reaches the end of the stream. Such a
        page extends the leases of this node, counted from ``started_at``, so
        it must be True only for a read of the log that this node itself began
        at ``started_at``. Callers must pass False for pages that peers
        forwarded.
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
        """Process a lease message from another node."""
        return self._deliver_to_self(
            self._process_message(sender, message, now), now
        )

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[Effect]:
        """Process the result of an append that this engine requested."""
        self.claims.handle_append_result(append_result, now)
        self.lease_manager.handle_append_result(append_result)
        return []

    def compose_fence(self, node: str, operation_id: str) -> list[Effect]:
        """Create the append of an operator's fence for a lost node."""
        record = Fence(node, self.fold.applied_offset, operation_id)
        return [AppendToLog(LogStream.OWNERSHIP, record, operation_id)]

    def stop(self, now: float) -> list[Effect]:
        """Stop using all slots and release them; ``tick`` repeats the releases.

        The node may exit when ``lease_manager.leases`` is empty. If it exits
        earlier, other nodes can take over its slots only after a takeover
        delay.
        """
        self.lease_manager.stop()
        self.claims.update_members(())
        return self.tick(now)

    def tick(self, now: float) -> list[Effect]:
        """Return the messages and appends that are due; call it every 100 ms."""
        effects = self.lease_manager.tick(now)
        if self.has_read_whole_log and not self.lease_manager.is_stopping:
            effects += self.claims.tick(now)
        return self._deliver_to_self(effects, now)

    def _process_message(
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
        # A node may be its own witness. Messages that it sends to itself are
        # processed here instead of being sent over the network.
        external: list[Effect] = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            is_to_self = isinstance(effect, SendToPeer) and (
                effect.node == self.settings.node
            )
            if is_to_self and isinstance(effect, SendToPeer):
                pending += self._process_message(
                    effect.node, effect.message, now
                )
            else:
                external.append(effect)
        return external


def create_ownership_engine(
    settings: OwnershipSettings,
    started_at: float,
    snapshot: OwnershipSnapshot | None = None,
) -> OwnershipEngine:
    """Create the engine of a node that starts now, without earlier promises."""
    fold = create_ownership_fold(snapshot)
    witness = Witness(fold, started_at)
    return OwnershipEngine(settings, fold, witness)
