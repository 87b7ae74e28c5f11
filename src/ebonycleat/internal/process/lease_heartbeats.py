"""Sends the heartbeats of a slot owner to its witnesses.

One heartbeat carries all slots that an owner shares with a witness. The full
list of slots is sent only when it changed; once the witness has acked it,
later heartbeats refer to it by its sequence number. After a heartbeat that was
not acked the next one carries the full list again, so a restarted witness
misses one heartbeat of the five that are sent during a lease.
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
    """Content of a sent heartbeat, looked up when its ack arrives."""

    witness: str
    sent_at: float
    list_sequence: int
    held: HeldSlotList


class LeaseHeartbeats:
    """The heartbeats that were sent recently, by sequence number."""

    def __init__(self, incarnation: int) -> None:
        """Start before the first sequence number."""
        self.incarnation = incarnation
        self.sequence = 0
        self.sent: dict[int, SentHeartbeat] = {}
        self.latest_sequences: dict[str, int] = {}
        # The last heartbeat to each of these witnesses if it was acked: the
        # witness knows its list.
        self.acked_lists: dict[str, SentHeartbeat] = {}

    def create_heartbeats(
        self,
        slots_by_witness: dict[str, list[HeldSlot]],
        now: float,
    ) -> list[Effect]:
        """Return one heartbeat to each witness for the slots that it witnesses."""
        self._drop_expired(now)
        return [
            self._create_heartbeat(witness, tuple(held), now)
            for witness, held in sorted(slots_by_witness.items())
        ]

    def match_ack(
        self,
        witness: str,
        ack: HeartbeatAck,
    ) -> SentHeartbeat | None:
        """Return the heartbeat that an ack belongs to, None if it is not known.

        An ack is matched only if it comes from the witness that the heartbeat
        was sent to, within the duration of a lease.
        """
        sent = self.sent.get(ack.sequence)
        is_own = ack.incarnation == self.incarnation
        if sent is None or not is_own or sent.witness != witness:
            return None
        if self.latest_sequences[witness] == ack.sequence:
            self.acked_lists[witness] = sent
        return sent

    def _create_heartbeat(
        self, witness: str, held: HeldSlotList, now: float
    ) -> SendToPeer:
        self.sequence += 1
        acked_list = self.acked_lists.pop(witness, None)
        is_repeated = acked_list is not None and acked_list.held == held
        list_sequence = self.sequence
        if acked_list is not None and is_repeated:
            list_sequence = acked_list.list_sequence
        self.latest_sequences[witness] = self.sequence
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
            () if is_repeated else held,
        )
        return SendToPeer(witness, heartbeat)

    def _drop_expired(self, now: float) -> None:
        for sequence, sent in tuple(self.sent.items()):
            if sent.sent_at + LEASE_DURATION_S > now:
                break
            self.sent.pop(sequence)
