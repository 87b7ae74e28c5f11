"""A fake of slot ownership that follows the lease rules of the design."""

import dataclasses
import random
from collections.abc import Mapping
from typing import TYPE_CHECKING

from bench.dedupe_simulation import Action, Clock, Faults, SlotRecord
from ebonycleat.internal.process.dedupe_tenure import Tenure
from ebonycleat.internal.request.dedupe_tracker import CopyRecipient

if TYPE_CHECKING:
    from bench.dedupe_node import DedupeNode


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """One heartbeat for one slot; ``sent_at`` is on the sender's clock."""

    slot: int
    epoch: int
    number: int
    unlogged: bool
    sent_at: float
    incarnation: int


class FakeOwnership:
    """Assigns each slot to one owner at a time, as claims in a log do."""

    def __init__(
        self,
        clock: Clock,
        faults: Faults,
        rng: random.Random,
        nodes: Mapping[str, 'DedupeNode'],
    ) -> None:
        """Start with slots that have never had an owner."""
        self.clock = clock
        self.faults = faults
        self.rng = rng
        self.nodes = nodes
        self.offset = 0
        self.slots: dict[int, SlotRecord] = {}

    def claim(self, slot: int, name: str) -> None:
        """Let a node claim a slot from its owner, or renew its own claim."""
        node = self.nodes[name]
        if self.faults.active('log-down') or node.crashed:
            return
        former_record = self.slots.get(slot)
        if former_record and former_record.owner == name:
            if former_record.incarnation == node.incarnation:
                self._renew(slot, node, former_record)
                return
        self.offset += 1
        record = SlotRecord(self.offset, name, node.incarnation)
        record.unlogged = former_record is not None and former_record.unlogged
        self.slots[slot] = record
        tenure = Tenure(
            slot=slot,
            first_epoch=record.epoch,
            epoch=record.epoch,
            unlogged=record.unlogged,
            never_owned=former_record is None,
        )
        self._run_later(
            node,
            self.rng.choice((0.01, 0.5)),
            node.slots.handle_claim_accepted,
            tenure,
        )
        if former_record and former_record.owner != name:
            former_owner = self.nodes[former_record.owner]
            delay_s = self.rng.choice((0.01, 0.3, 6))
            self._run_later(
                former_owner,
                delay_s,
                former_owner.slots.handle_slot_lost,
                slot,
                former_record.epoch,
            )
        self._announce_owner(
            slot, CopyRecipient(name, record.incarnation, record.epoch)
        )

    def heartbeat(
        self,
        node: 'DedupeNode',
        slot: int,
        *,
        epoch: int,
        unlogged: bool,
    ) -> None:
        """Send a heartbeat to the witnesses, which may acknowledge it."""
        node.heartbeats += 1
        if not unlogged:
            node.slots.last_unflagged_heartbeat[slot] = node.heartbeats
        heartbeat = Heartbeat(
            slot=slot,
            epoch=epoch,
            number=node.heartbeats,
            unlogged=unlogged,
            sent_at=node.clock.now,
            incarnation=node.incarnation,
        )
        isolating_faults = ('cut', 'isolated')
        if not any(
            self.faults.active(kind, node.name) for kind in isolating_faults
        ):
            self.clock.after(
                self._delay(), self._handle_heartbeat, node, heartbeat
            )

    def _handle_heartbeat(
        self, node: 'DedupeNode', heartbeat: Heartbeat
    ) -> None:
        record = self.slots[heartbeat.slot]
        if (
            record.epoch == heartbeat.epoch
            and heartbeat.number > record.heartbeat
        ):
            record.heartbeat = heartbeat.number
            record.unlogged = heartbeat.unlogged
            self.clock.after(
                self._delay(),
                node.run,
                heartbeat.incarnation,
                node.slots.handle_heartbeat_ack,
                heartbeat,
            )

    def _renew(
        self, slot: int, node: 'DedupeNode', former_record: SlotRecord
    ) -> None:
        self.offset += 1
        record = dataclasses.replace(former_record, epoch=self.offset)
        self.slots[slot] = record
        tenure = Tenure(
            slot=slot,
            first_epoch=record.epoch,
            epoch=record.epoch,
            unlogged=record.unlogged,
            never_owned=False,
        )
        self._run_later(
            node,
            0.01,
            node.slots.handle_renewal_accepted,
            tenure,
            former_record.epoch,
        )
        self._announce_owner(
            slot, CopyRecipient(node.name, record.incarnation, record.epoch)
        )

    def _announce_owner(self, slot: int, recipient: CopyRecipient) -> None:
        for node in self.nodes.values():
            delay_s = self.rng.choice((0.02, 0.1, 1))
            self._run_later(
                node, delay_s, node.slots.update_recipient, slot, recipient
            )

    def _run_later(
        self,
        node: 'DedupeNode',
        delay_s: float,
        action: Action,
        *arguments: object,
    ) -> None:
        self.clock.after(
            delay_s,
            node.run,
            node.incarnation,
            action,
            *arguments,
        )

    def _delay(self) -> float:
        return self.rng.choice((0.001, 0.002, 0.005, 0.4))
