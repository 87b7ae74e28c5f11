"""Decides as a witness which heartbeats to ack and which claims to support.

An ack of an owner's heartbeat is a promise not to support another claim to its
slots for some time. A witness stores nothing durably, so two rules replace its
memory after a restart. It supports no claim until every promise that it may
have given before has expired. And it acks only epochs that are later than its
first complete read of the log: before the restart it may have supported a
claim against any older epoch, and the append of that claim may still be in
flight.
"""

import dataclasses

from ebonycleat.internal.connection.lease_messages import (
    Heartbeat,
    HeartbeatAck,
    HeldSlot,
    RequestedSlot,
    SupportAsk,
    SupportedSlot,
    SupportGiven,
)
from ebonycleat.internal.process.lease import PROMISE_DURATION_S
from ebonycleat.internal.process.ownership import OwnershipFold, SlotId

HeldSlotList = tuple[HeldSlot, ...]
ListId = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """No claim to the slot is supported before ``until``."""

    epoch: int
    unlogged: bool
    until: float


class Witness:
    """Promises and support given by one node, for all slots it witnesses."""

    def __init__(self, fold: OwnershipFold, started_at: float) -> None:
        """Start at ``started_at`` without memory of earlier promises."""
        self.fold = fold
        self.supports_from = started_at + PROMISE_DURATION_S
        self.acknowledges_after: int | None = None
        self.promises: dict[SlotId, Promise] = {}
        self.supported_epochs: dict[SlotId, int] = {}
        self.held_lists: dict[str, tuple[ListId, HeldSlotList]] = {}
        self.last_sequences: dict[str, tuple[int, int]] = {}

    def mark_log_read(self) -> None:
        """Record where the log ended at the first complete read."""
        if self.acknowledges_after is None:
            self.acknowledges_after = self.fold.applied_offset

    def handle_heartbeat(
        self,
        owner: str,
        heartbeat: Heartbeat,
        now: float,
    ) -> HeartbeatAck | None:
        """Give promises for the slots of a heartbeat, and refuse the others.

        Returns None, without a promise, in two cases: a later heartbeat of the
        same owner arrived before, because the ``unlogged`` flags may be out of
        date; or the heartbeat refers to a list of slots that this node does
        not know.
        """
        sequence = (heartbeat.incarnation, heartbeat.sequence)
        if sequence <= self.last_sequences.get(owner, (-1, -1)):
            return None
        self.last_sequences[owner] = sequence
        held_list = self._find_list(owner, heartbeat)
        if held_list is None:
            return None
        refused = tuple(
            held.slot
            for held in held_list
            if not self._give_promise(owner, held, now)
        )
        return HeartbeatAck(heartbeat.incarnation, heartbeat.sequence, refused)

    def answer_support_ask(
        self, ask: SupportAsk, now: float
    ) -> SupportGiven | None:
        """Return support for the claims that may be supported, if there is any."""
        answers = [self.support_claim(asked, now) for asked in ask.asked]
        supported = tuple(answer for answer in answers if answer is not None)
        return SupportGiven(supported) if supported else None

    def support_claim(
        self, asked: RequestedSlot, now: float
    ) -> SupportedSlot | None:
        """Support a claim against an epoch, unless a promise forbids it.

        A promise covers the slot under any epoch, because an owner that renews
        its claim may not know yet under which epoch it holds the slot.
        """
        slot, epoch = asked
        promise = self.promises.get(slot)
        is_promised = promise is not None and now < promise.until
        if is_promised or now < self.supports_from:
            return None
        supported = max(epoch, self.supported_epochs.get(slot, 0))
        self.supported_epochs[slot] = supported
        unlogged = not self._could_acknowledge(epoch)
        if promise is not None:
            unlogged = unlogged or promise.unlogged
        return SupportedSlot(slot, epoch, unlogged)

    def _find_list(
        self,
        owner: str,
        heartbeat: Heartbeat,
    ) -> HeldSlotList | None:
        list_id = (heartbeat.incarnation, heartbeat.list_sequence)
        if heartbeat.list_sequence == heartbeat.sequence:
            self.held_lists[owner] = (list_id, heartbeat.held)
            return heartbeat.held
        known_id, held = self.held_lists.get(owner, ((0, 0), ()))
        return held if known_id == list_id else None

    def _give_promise(self, owner: str, held: HeldSlot, now: float) -> bool:
        slot, epoch, unlogged = held
        state = self.fold.state_of(slot)
        is_superseded = state.epoch > epoch and state.owner != owner
        has_supported_claim = epoch <= self.supported_epochs.get(slot, 0)
        if (
            is_superseded
            or has_supported_claim
            or not self._could_acknowledge(epoch)
        ):
            return False
        self.promises[slot] = Promise(epoch, unlogged, now + PROMISE_DURATION_S)
        return True

    def _could_acknowledge(self, epoch: int) -> bool:
        return (
            self.acknowledges_after is not None
            and epoch > self.acknowledges_after
        )
