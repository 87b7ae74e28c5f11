"""The dedupe owner of a node, and whom its words are for."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.peer_messages import (
    PeerAskAnswer,
    PeerAskRefusal,
)
from ebonycleat.internal.process.dedupe import DedupeOwner
from ebonycleat.internal.process.dedupe_runs import DedupeEvent, RunCall
from ebonycleat.internal.process.dedupe_slots import SlotRights, Tenure
from ebonycleat.internal.process.effects import (
    AppendResult,
    AppendToLog,
)
from ebonycleat.internal.process.lease import LeaseQueries
from ebonycleat.internal.process.ownership import DEDUPE, Basis, SlotId
from ebonycleat.internal.process.slot_leases import (
    SlotGained,
    SlotLeases,
    SlotRenewed,
)
from ebonycleat.internal.process.started_log import StartedGroup
from ebonycleat.internal.request.call import Answer, CallResult
from ebonycleat.internal.request.dedupe_tracker import (
    OwnerAnswer,
    CopyNotTaken,
    DedupeAsk,
    hash_idempotency_key,
)

# An owner's word that comes this long after the deadline finds nobody.
ORIGIN_KEPT_S = 5.0

OwnerWord: TypeAlias = OwnerAnswer | CopyNotTaken


@dataclasses.dataclass(frozen=True, slots=True)
class WordForIngress:
    """What the owner says of a call, for the ingress at ``node``."""

    node: str
    word: OwnerWord


HostOutput: TypeAlias = RunCall | AppendToLog | WordForIngress


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where an ask came from; forgotten at ``expires_at`` in seconds."""

    node: str
    expires_at: float


class LeasedSlots(SlotRights):
    """The rights that the node's leases give to dedupe slots."""

    def __init__(self, leases: SlotLeases, service: str) -> None:
        """Look up the slots of ``service``."""
        self.leases = leases
        self.service = service

    def usable(self, slot: int, now: float) -> bool:
        """Say if the node holds the slot under a valid lease."""
        queries: LeaseQueries = self.leases
        return queries.usable(SlotId(DEDUPE, self.service, slot), now)

    def unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Say if a majority of witnesses holds the flag ``unlogged``."""
        slot_id = SlotId(DEDUPE, self.service, slot)
        return self.leases.unlogged_acknowledged(slot_id, now)


class DedupeHost:
    """Connects a dedupe owner to the gate, the log and the ingresses."""

    def __init__(self, owner: DedupeOwner) -> None:
        """Serve asks through ``owner``."""
        self.owner = owner
        self.draining = False
        self.origins: dict[str, Origin] = {}

    def ask(
        self,
        ask: DedupeAsk,
        sender: str,
        now: float,
    ) -> list[HostOutput]:
        """Take one copy of a call from the ingress at ``sender``.

        A draining owner begins nothing new, so that the ingress can go on to
        the next owner; ids that it knows it still answers.
        """
        if self.draining and not self.knows(ask):
            runs = self.owner.runs
            word = runs.not_taken(ask, self.owner.commit, now)
            return self.address_to(sender, word)
        expires_at = ask.call.deadline + ORIGIN_KEPT_S
        self.origins[ask.call.call_id] = Origin(sender, expires_at)
        return self.address(self.owner.begin(ask, now))

    def knows(self, ask: DedupeAsk) -> bool:
        """Tell whether the id of an ask waits, runs or is remembered."""
        id_hash = hash_idempotency_key(ask.call.team, ask.call.idempotency_key)
        return id_hash in self.owner.runs.memory.entries

    def finished(self, call_result: CallResult, now: float) -> list[HostOutput]:
        """Take the result of a run from the gate."""
        call_id = call_result.call_id
        return self.address(self.owner.finished(call_id, call_result, now))

    def slot_gained(self, gained: SlotGained, now: float) -> list[HostOutput]:
        """Begin to decide for a slot."""
        tenure = Tenure(
            slot=gained.slot.number,
            first_epoch=gained.epoch,
            epoch=gained.epoch,
            unlogged=gained.unlogged,
            never_owned=gained.basis is Basis.FIRST,
        )
        return self.address(self.owner.slot_gained(tenure, now))

    def slot_renewed(
        self,
        renewed: SlotRenewed,
        now: float,
    ) -> list[HostOutput]:
        """Take copies that are sent with the new epoch, too."""
        held = self.owner.tenures.get(renewed.slot.number)
        if held is None:
            return []
        tenure = dataclasses.replace(held, epoch=renewed.epoch)
        return self.address(self.owner.slot_gained(tenure, now))

    def slot_lost(self, slot: SlotId, now: float) -> list[HostOutput]:
        """Stop deciding for a slot."""
        return self.address(self.owner.slot_lost(slot.number, now))

    def append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[HostOutput]:
        """Take the result of an append of started ids."""
        return self.address(self.owner.append_result(append_result, now))

    def started_page(
        self,
        records: Iterable[object],
        read_started_at: float,
        now: float,
        *,
        at_end: bool,
    ) -> list[HostOutput]:
        """Take a page of the ``started`` stream that this node has read."""
        service = self.owner.commit.service
        groups = [
            record
            for record in records
            if isinstance(record, StartedGroup) and record.service == service
        ]
        events = self.owner.started_page(
            groups,
            read_started_at,
            now,
            at_end=at_end,
        )
        return self.address(events)

    def started_records_lost(self, now: float) -> None:
        """Note that the log forgot started ids which were not read here."""
        self.owner.started.gap(now)

    def tick(self, now: float) -> list[HostOutput]:
        """Let waits and groups advance, and forget old origins."""
        late = [
            call_id
            for call_id, origin in self.origins.items()
            if origin.expires_at <= now
        ]
        for call_id in late:
            self.origins.pop(call_id)
        return self.address(self.owner.tick(now))

    def needs_unlogged_flag(self, now: float) -> bool:
        """Say if heartbeats must tell that ids may run without the log."""
        return any(
            self.owner.needs_unlogged_flag(slot, now)
            for slot in self.owner.tenures
        )

    def address(self, events: Iterable[DedupeEvent]) -> list[HostOutput]:
        """Add to each word the ingress that it is for."""
        outputs: list[HostOutput] = []
        for event in events:
            if isinstance(event, (RunCall, AppendToLog)):
                outputs.append(event)
                continue
            origin = self.origins.get(event.call_id)
            if origin is not None:
                outputs.extend(self.address_to(origin.node, event))
        return outputs

    def address_to(self, node: str, event: DedupeEvent) -> list[HostOutput]:
        """Make the word for the ingress at one node."""
        if isinstance(event, (RunCall, AppendToLog)):
            return [event]
        return [WordForIngress(node, event)]


def message_of_word(
    word: OwnerWord,
) -> PeerAskAnswer | PeerAskRefusal | CopyNotTaken:
    """Put an owner's word into the form that peers exchange."""
    if isinstance(word, CopyNotTaken):
        return word
    head = (word.call_id, word.copy_number, word.epoch)
    if isinstance(word.result, Answer):
        return PeerAskAnswer(*head, word.result)
    return PeerAskRefusal(*head, word.result)


def word_of_message(message: PeerAskAnswer | PeerAskRefusal) -> OwnerAnswer:
    """Read an owner's word from the form that peers exchange."""
    if isinstance(message, PeerAskAnswer):
        word_result: CallResult = message.answer
    else:
        word_result = message.refused
    return OwnerAnswer(
        message.call_id,
        message.copy_number,
        message.epoch,
        word_result,
    )
