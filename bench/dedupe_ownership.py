"""A fake ownership authority with the lease rules of the design."""

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
    """Gives each slot to one node at a time; claims land in the log."""

    def __init__(
        self,
        clock: Clock,
        faults: Faults,
        rng: random.Random,
        nodes: Mapping[str, 'DedupeNode'],
    ) -> None:
        """Start with slots that never had an owner."""
        self.clock = clock
        self.faults = faults
        self.rng = rng
        self.nodes = nodes
        self.offset = 0
        self.slots: dict[int, SlotRecord] = {}

    def claim(self, slot: int, name: str) -> None:
        """Let a node take the slot over from whoever has it."""
        node = self.nodes[name]
        if self.faults.active('log-down') or node.crashed:
            return
        former = self.slots.get(slot)
        if former and former.owner == name:
            if former.incarnation == node.incarnation:
                self._renew(slot, node, former)
                return
        self.offset += 1
        truth = SlotRecord(self.offset, name, node.incarnation)
        truth.unlogged = former is not None and former.unlogged
        self.slots[slot] = truth
        tenure = Tenure(
            slot=slot,
            first_epoch=truth.epoch,
            epoch=truth.epoch,
            unlogged=truth.unlogged,
            never_owned=former is None,
        )
        self._tell(
            node,
            self.rng.choice((0.01, 0.5)),
            node.slots.handle_claim_accepted,
            tenure,
        )
        if former and former.owner != name:
            loser = self.nodes[former.owner]
            late_s = self.rng.choice((0.01, 0.3, 6))
            self._tell(
                loser, late_s, loser.slots.handle_slot_lost, slot, former.epoch
            )
        self._announce(
            slot, CopyRecipient(name, truth.incarnation, truth.epoch)
        )

    def heartbeat(
        self,
        node: 'DedupeNode',
        slot: int,
        *,
        epoch: int,
        unlogged: bool,
    ) -> None:
        """Carry one heartbeat to the witnesses and its answer back."""
        node.heartbeats += 1
        if not unlogged:
            node.slots.last_unflagged_heartbeat[slot] = node.heartbeats
        beat = Heartbeat(
            slot=slot,
            epoch=epoch,
            number=node.heartbeats,
            unlogged=unlogged,
            sent_at=node.clock.now,
            incarnation=node.incarnation,
        )
        cut = ('cut', 'isolated')
        if not any(self.faults.active(kind, node.name) for kind in cut):
            self.clock.after(self._delay(), self._arrive, node, beat)

    def _arrive(self, node: 'DedupeNode', beat: Heartbeat) -> None:
        truth = self.slots[beat.slot]
        if truth.epoch == beat.epoch and beat.number > truth.heartbeat:
            truth.heartbeat = beat.number
            truth.unlogged = beat.unlogged
            self.clock.after(
                self._delay(),
                node.run,
                beat.incarnation,
                node.slots.handle_heartbeat_ack,
                beat,
            )

    def _renew(self, slot: int, node: 'DedupeNode', former: SlotRecord) -> None:
        self.offset += 1
        truth = dataclasses.replace(former, epoch=self.offset)
        self.slots[slot] = truth
        tenure = Tenure(
            slot=slot,
            first_epoch=truth.epoch,
            epoch=truth.epoch,
            unlogged=truth.unlogged,
            never_owned=False,
        )
        self._tell(
            node, 0.01, node.slots.handle_renewal_accepted, tenure, former.epoch
        )
        self._announce(
            slot, CopyRecipient(node.name, truth.incarnation, truth.epoch)
        )

    def _announce(self, slot: int, view: CopyRecipient) -> None:
        for node in self.nodes.values():
            delay_s = self.rng.choice((0.02, 0.1, 1))
            self._tell(node, delay_s, node.slots.update_recipient, slot, view)

    def _tell(
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
