"""The dedupe owner of a node, and whom its words are for."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.messages import (
    PeerAskAnswer,
    PeerAskRefusal,
)
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.id_lifecycle import DedupeEvent, OfferCall
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases, Tenure
from ebonycleat.internal.process.effects import (
    AppendResult,
    AppendToLog,
)
from ebonycleat.internal.process.lease import LeaseQueries
from ebonycleat.internal.process.ownership import DEDUPE_KIND, ClaimBasis, SlotId
from ebonycleat.internal.process.slot_ownership import (
    SlotGained,
    SlotOwnership,
    SlotRenewed,
)
from ebonycleat.internal.process.started_log import StartedGroup
from ebonycleat.internal.request.call import Answer, CallResult
from ebonycleat.internal.request.idempotent_send import (
    AskAnswered,
    CopyNotTaken,
    DedupeAsk,
    hash_id,
)

# An owner's word that comes this long after the deadline finds nobody.
ORIGIN_KEPT_S = 5.0

OwnerReply: TypeAlias = AskAnswered | CopyNotTaken


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToIngress:
    """What the owner says of a call, for the ingress at ``node``."""

    node: str
    reply: OwnerReply


DedupeOutput: TypeAlias = OfferCall | AppendToLog | ReplyToIngress


@dataclasses.dataclass(frozen=True, slots=True)
class AskOrigin:
    """Where an ask came from; forgotten at ``expires_at`` in seconds."""

    node: str
    expires_at: float


class ServiceDedupeLeases(DedupeLeases):
    """The rights that the node's leases give to dedupe slots."""

    def __init__(self, leases: SlotOwnership, service: str) -> None:
        """Look up the slots of ``service``."""
        self.leases = leases
        self.service = service

    def is_usable(self, slot: int, now: float) -> bool:
        """Say if the node holds the slot under a valid lease."""
        queries: LeaseQueries = self.leases
        return queries.is_usable(SlotId(DEDUPE_KIND, self.service, slot), now)

    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Say if a majority of witnesses holds the flag ``unlogged``."""
        slot_id = SlotId(DEDUPE_KIND, self.service, slot)
        return self.leases.is_unlogged_acknowledged(slot_id, now)


class DedupeAdapter:
    """Connects a dedupe owner to the gate, the log and the ingresses."""

    def __init__(self, owner: DedupeOwner) -> None:
        """Serve asks through ``owner``."""
        self.owner = owner
        self.draining = False
        self.origins: dict[str, AskOrigin] = {}

    def handle_ask(
        self,
        ask: DedupeAsk,
        sender: str,
        now: float,
    ) -> list[DedupeOutput]:
        """Take one copy of a call from the ingress at ``sender``.

        A draining owner begins nothing new, so that the ingress can go on to
        the next owner; ids that it knows it still answers.
        """
        if self.draining and not self.knows_id(ask):
            runs = self.owner.lifecycle
            word = runs.refuse_copy(ask, self.owner.group_commit, now)
            return self.address_event(sender, word)
        expires_at = ask.call.deadline + ORIGIN_KEPT_S
        self.origins[ask.call.call_id] = AskOrigin(sender, expires_at)
        return self.address_events(self.owner.handle_ask(ask, now))

    def knows_id(self, ask: DedupeAsk) -> bool:
        """Tell whether the id of an ask waits, runs or is remembered."""
        id_hash = hash_id(ask.call.team, ask.call.idempotency_key)
        return id_hash in self.owner.lifecycle.memory.entries

    def finish_run(self, call_result: CallResult, now: float) -> list[DedupeOutput]:
        """Take the result of a run from the gate."""
        call_id = call_result.call_id
        return self.address_events(self.owner.finish_run(call_id, call_result, now))

    def handle_slot_gained(self, gained: SlotGained, now: float) -> list[DedupeOutput]:
        """Begin to decide for a slot."""
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
        """Take copies that are sent with the new epoch, too."""
        held = self.owner.tenures.get(renewed.slot.number)
        if held is None:
            return []
        tenure = dataclasses.replace(held, epoch=renewed.epoch)
        return self.address_events(self.owner.handle_slot_gained(tenure, now))

    def handle_slot_lost(self, slot: SlotId, now: float) -> list[DedupeOutput]:
        """Stop deciding for a slot."""
        return self.address_events(self.owner.handle_slot_lost(slot.number, now))

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[DedupeOutput]:
        """Take the result of an append of started ids."""
        return self.address_events(self.owner.handle_append_result(append_result, now))

    def apply_started_page(
        self,
        records: Iterable[object],
        read_started_at: float,
        now: float,
        *,
        at_end: bool,
    ) -> list[DedupeOutput]:
        """Take a page of the ``started`` stream that this node has read."""
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
        """Note that the log forgot started ids which were not read here."""
        self.owner.started_ids.record_gap(now)

    def tick(self, now: float) -> list[DedupeOutput]:
        """Let waits and groups advance, and forget old origins."""
        late = [
            call_id
            for call_id, origin in self.origins.items()
            if origin.expires_at <= now
        ]
        for call_id in late:
            self.origins.pop(call_id)
        return self.address_events(self.owner.tick(now))

    def needs_unlogged_flag(self, now: float) -> bool:
        """Say if heartbeats must tell that ids may run without the log."""
        return any(
            self.owner.needs_unlogged_flag(slot, now)
            for slot in self.owner.tenures
        )

    def address_events(self, events: Iterable[DedupeEvent]) -> list[DedupeOutput]:
        """Add to each word the ingress that it is for."""
        outputs: list[DedupeOutput] = []
        for event in events:
            if isinstance(event, (OfferCall, AppendToLog)):
                outputs.append(event)
                continue
            origin = self.origins.get(event.call_id)
            if origin is not None:
                outputs.extend(self.address_event(origin.node, event))
        return outputs

    def address_event(self, node: str, event: DedupeEvent) -> list[DedupeOutput]:
        """Make the word for the ingress at one node."""
        if isinstance(event, (OfferCall, AppendToLog)):
            return [event]
        return [ReplyToIngress(node, event)]


def create_reply_message(
    word: OwnerReply,
) -> PeerAskAnswer | PeerAskRefusal | CopyNotTaken:
    """Put an owner's word into the form that peers exchange."""
    if isinstance(word, CopyNotTaken):
        return word
    head = (word.call_id, word.copy_number, word.epoch)
    if isinstance(word.result, Answer):
        return PeerAskAnswer(*head, word.result)
    return PeerAskRefusal(*head, word.result)


def read_reply_message(message: PeerAskAnswer | PeerAskRefusal) -> AskAnswered:
    """Read an owner's word from the form that peers exchange."""
    if isinstance(message, PeerAskAnswer):
        word_result: CallResult = message.answer
    else:
        word_result = message.refused
    return AskAnswered(
        message.call_id,
        message.copy_number,
        message.epoch,
        word_result,
    )
