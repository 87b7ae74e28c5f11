"""Heartbeats of an owner: batched, and short while nothing changes.

A list of slots is sent whole once; when the witness has acked it, later
heartbeats only name it. A heartbeat that was not acked is followed by a whole
list, so a restarted witness costs one beat of the five that a lease lasts.
"""

import dataclasses

from ebonycleat.internal.connection.lease_messages import (
    Heartbeat,
    HeartbeatAck,
    HeldSlot,
)
from ebonycleat.internal.process.effects import Effect, SendToPeer
from ebonycleat.internal.process.lease import LEASE_DURATION_S

HeldSlotList = tuple[HeldSlot, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SentHeartbeat:
    """What an ack to this heartbeat will vouch for."""

    witness: str
    sent_at: float
    list_sequence: int
    held: HeldSlotList


class LeaseHeartbeats:
    """Heartbeats sent, and the acks that they still may get."""

    def __init__(self, incarnation: int) -> None:
        """Start with the first sequence number."""
        self.incarnation = incarnation
        self.sequence = 0
        self.sent: dict[int, SentHeartbeat] = {}
        self.latest: dict[str, int] = {}
        # The witness knows this list: it acked the latest heartbeat.
        self.known_lists: dict[str, SentHeartbeat] = {}

    def create_heartbeats(
        self,
        by_witness: dict[str, list[HeldSlot]],
        now: float,
    ) -> list[Effect]:
        """Send each witness the slots that it should vouch for."""
        self._forget_old(now)
        return [
            self._send(witness, tuple(held), now)
            for witness, held in sorted(by_witness.items())
        ]

    def match_ack(
        self,
        witness: str,
        ack: HeartbeatAck,
    ) -> SentHeartbeat | None:
        """Return the heartbeat that an ack belongs to, if it is known."""
        sent = self.sent.get(ack.sequence)
        own = ack.incarnation == self.incarnation
        if sent is None or not own or sent.witness != witness:
            return None
        if self.latest[witness] == ack.sequence:
            self.known_lists[witness] = sent
        return sent

    def _send(self, witness: str, held: HeldSlotList, now: float) -> SendToPeer:
        self.sequence += 1
        known = self.known_lists.pop(witness, None)
        repeats = known is not None and known.held == held
        list_sequence = self.sequence
        if known is not None and repeats:
            list_sequence = known.list_sequence
        self.latest[witness] = self.sequence
        self.sent[self.sequence] = SentHeartbeat(
            witness,
            now,
            list_sequence,
            held,
        )
        heartbeat = Heartbeat(
            self.incarnation,
            self.sequence,
            list_sequence,
            () if repeats else held,
        )
        return SendToPeer(witness, heartbeat)

    def _forget_old(self, now: float) -> None:
        for sequence, sent in tuple(self.sent.items()):
            if sent.sent_at + LEASE_DURATION_S > now:
                break
            self.sent.pop(sequence)
