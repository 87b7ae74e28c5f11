"""Connects the dedupe owner of a node to the gate, the log and other nodes."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.peer_messages import (
    PeerAskAnswer,
    PeerAskRefusal,
)
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases, Tenure
from ebonycleat.internal.process.effects import (
    AppendResult,
    AppendToLog,
)
from ebonycleat.internal.process.id_lifecycle import DedupeEvent, OfferCall
from ebonycleat.internal.process.lease import LeaseQueries
from ebonycleat.internal.process.ownership import (
    DEDUPE_KIND,
    ClaimBasis,
    SlotId,
)
from ebonycleat.internal.process.slot_ownership import (
    SlotGained,
    SlotOwnership,
    SlotRenewed,
)
from ebonycleat.internal.process.started_log import StartedGroup
from ebonycleat.internal.request.call import Answer, CallResult
from ebonycleat.internal.request.dedupe_tracker import (
    CopyNotTaken,
    DedupeAsk,
    OwnerAnswer,
    hash_idempotency_key,
)

# The ingress node no longer waits for a reply that is ready later than this
# after the deadline of its call.
ORIGIN_RETENTION_S = 5.0

OwnerReply: TypeAlias = OwnerAnswer | CopyNotTaken


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToIngress:
    """A reply of the dedupe owner for the ingress node that sent the ask."""

    node: str
    reply: OwnerReply


DedupeOutput: TypeAlias = OfferCall | AppendToLog | ReplyToIngress


@dataclasses.dataclass(frozen=True, slots=True)
class AskOrigin:
    """The node that sent an ask; the record is dropped at ``expires_at``."""

    node: str
    expires_at: float


class ServiceDedupeLeases(DedupeLeases):
    """Looks up the leases of this node on the dedupe slots of one service."""

    def __init__(self, leases: SlotOwnership, service: str) -> None:
        """Look up the slots of ``service``."""
        self.leases = leases
        self.service = service

    def is_usable(self, slot: int, now: float) -> bool:
        """Tell whether the node holds the slot under a lease that is valid now."""
        queries: LeaseQueries = self.leases
        return queries.is_usable(SlotId(DEDUPE_KIND, self.service, slot), now)

    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Tell whether a majority of witnesses acked the unlogged flag."""
        slot_id = SlotId(DEDUPE_KIND, self.service, slot)
        return self.leases.is_unlogged_acknowledged(slot_id, now)


class DedupeAdapter:
    """Passes asks and results to the dedupe owner and addresses its replies."""

    def __init__(self, owner: DedupeOwner) -> None:
        """Pass asks to ``owner``."""
        self.owner = owner
        self.draining = False
        self.origins: dict[str, AskOrigin] = {}

    def handle_ask(
        self,
        ask: DedupeAsk,
        sender: str,
        now: float,
    ) -> list[DedupeOutput]:
        """Decide on one copy of a call from the ingress node ``sender``.

        While this node drains, it answers only for ids that it knows already.
        It refuses to take other copies, so that the ingress can ask the next
        owner.
        """
        if self.draining and not self.knows_id(ask):
            lifecycle = self.owner.lifecycle
            reply = lifecycle.refuse_copy(ask, self.owner.group_commit, now)
            return self.address_event(sender, reply)
        expires_at = ask.call.deadline + ORIGIN_RETENTION_S
        self.origins[ask.call.call_id] = AskOrigin(sender, expires_at)
        return self.address_events(self.owner.handle_ask(ask, now))

    def knows_id(self, ask: DedupeAsk) -> bool:
        """Tell whether the id of an ask waits, runs or is remembered."""
        id_hash = hash_idempotency_key(ask.call.team, ask.call.idempotency_key)
        return id_hash in self.owner.lifecycle.memory.entries

    def finish_run(
        self, call_result: CallResult, now: float
    ) -> list[DedupeOutput]:
        """Pass the result of a run from the gate to the owner."""
        call_id = call_result.call_id
        return self.address_events(
            self.owner.finish_run(call_id, call_result, now)
        )

    def handle_slot_gained(
        self, gained: SlotGained, now: float
    ) -> list[DedupeOutput]:
        """Start to decide for the ids in a slot."""
        tenure = Tenure(
            slot=gained.slot.number,
            first_epoch=gained.epoch,
            epoch=gained.epoch,
            unlogged=gained.unlogged,
            never_owned=gained.basis is ClaimBasis.FIRST,
        )
        return self.address_events(self.owner.handle_slot_gained(tenure, now))

    def handle_slot_renewed(
        self,
        renewed: SlotRenewed,
        now: float,
    ) -> list[DedupeOutput]:
        """Accept copies that were sent with the new epoch as well."""
        current = self.owner.tenures.get(renewed.slot.number)
        if current is None:
            return []
        tenure = dataclasses.replace(current, epoch=renewed.epoch)
        return self.address_events(self.owner.handle_slot_gained(tenure, now))

    def handle_slot_lost(self, slot: SlotId, now: float) -> list[DedupeOutput]:
        """Stop deciding for the ids in a slot."""
        return self.address_events(
            self.owner.handle_slot_lost(slot.number, now)
        )

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[DedupeOutput]:
        """Process the result of an append of started ids."""
        return self.address_events(
            self.owner.handle_append_result(append_result, now)
        )

    def apply_started_page(
        self,
        records: Iterable[object],
        read_started_at: float,
        now: float,
        *,
        at_end: bool,
    ) -> list[DedupeOutput]:
        """Apply a page of the ``started`` stream that this node has read.

        Ids of other services are left out.
        """
        service = self.owner.group_commit.service
        groups = [
            record
            for record in records
            if isinstance(record, StartedGroup) and record.service == service
        ]
        events = self.owner.apply_started_page(
            groups,
            read_started_at,
            now,
            at_end=at_end,
        )
        return self.address_events(events)

    def record_started_gap(self, now: float) -> None:
        """Record that the log deleted started ids before they were read here."""
        self.owner.started_ids.record_gap(now)

    def tick(self, now: float) -> list[DedupeOutput]:
        """Advance the owner's timers and drop expired origins."""
        expired = [
            call_id
            for call_id, origin in self.origins.items()
            if origin.expires_at <= now
        ]
        for call_id in expired:
            self.origins.pop(call_id)
        return self.address_events(self.owner.tick(now))

    def needs_unlogged_flag(self, now: float) -> bool:
        """Tell whether heartbeats must carry the unlogged flag."""
        return any(
            self.owner.needs_unlogged_flag(slot, now)
            for slot in self.owner.tenures
        )

    def address_events(
        self, events: Iterable[DedupeEvent]
    ) -> list[DedupeOutput]:
        """Turn decisions into outputs, with the ingress node that asked.

        A reply to a call whose origin has expired is dropped.
        """
        outputs: list[DedupeOutput] = []
        for event in events:
            if isinstance(event, (OfferCall, AppendToLog)):
                outputs.append(event)
                continue
            origin = self.origins.get(event.call_id)
            if origin is not None:
                outputs.extend(self.address_event(origin.node, event))
        return outputs

    def address_event(
        self, node: str, event: DedupeEvent
    ) -> list[DedupeOutput]:
        """Turn one decision into an output for the ingress at ``node``."""
        if isinstance(event, (OfferCall, AppendToLog)):
            return [event]
        return [ReplyToIngress(node, event)]


def create_reply_message(
    reply: OwnerReply,
) -> PeerAskAnswer | PeerAskRefusal | CopyNotTaken:
    """Convert a reply of the owner to a peer message."""
    if isinstance(reply, CopyNotTaken):
        return reply
    common_fields = (reply.call_id, reply.copy_number, reply.epoch)
    if isinstance(reply.result, Answer):
        return PeerAskAnswer(*common_fields, reply.result)
    return PeerAskRefusal(*common_fields, reply.result)


def read_reply_message(message: PeerAskAnswer | PeerAskRefusal) -> OwnerAnswer:
    """Convert a peer message to a reply of the owner."""
    if isinstance(message, PeerAskAnswer):
        result: CallResult = message.answer
    else:
        result = message.refused
    return OwnerAnswer(
        message.call_id,
        message.copy_number,
        message.epoch,
        result,
    )
