"""Limits how long the owner of a slot may go on using it.

A lease rests on evidence that the owner gathered itself: reads of the log to
its end, and acks by a majority of its witnesses. Its duration is counted from
before the owner sent the request for this evidence. No other node can extend
it, and an owner that was paused finds it expired when it resumes.
"""

import abc
from collections.abc import Collection, Mapping

from ebonycleat.internal.process.ownership import SlotId, has_majority

LEASE_DURATION_S = 1.5
HEARTBEAT_INTERVAL_S = 0.3
MAX_CLOCK_DRIFT = 0.01

# A node that waits for another node's lease to expire waits longer by the
# largest difference between the speeds of their clocks.
PROMISE_DURATION_S = LEASE_DURATION_S * (1 + MAX_CLOCK_DRIFT)

NEVER = float('-inf')


class LeaseQueries(abc.ABC):
    """Read access to leases for the parts of a node that use slots."""

    @abc.abstractmethod
    def is_usable(self, slot: SlotId, now: float) -> bool:
        """Tell whether this node alone may use the slot at this moment."""

    @abc.abstractmethod
    def lease_ends_at(self, slot: SlotId, now: float) -> float:
        """Return when the lease ends, on the clock of this node."""

    @abc.abstractmethod
    def gained_epoch(self, slot: SlotId) -> int | None:
        """Return the epoch in which this node gained the slot, if it holds it.

        Renewals do not change it. State that was collected under an earlier
        gain must not be used, as another node may have owned the slot in
        between.
        """


class Lease:
    """The lease of this node on one slot that it owns according to the log."""

    def __init__(
        self,
        slot: SlotId,
        epoch: int,
        witnesses: tuple[str, ...],
        usable_from: float,
    ) -> None:
        """Start a lease that is usable from ``usable_from`` on.

        It is not valid before the first evidence arrives.
        """
        self.slot = slot
        self.epoch = epoch
        self.gained_epoch = epoch
        self.usable_from = usable_from
        self.witnesses = witnesses
        # Witnesses in renewals that may or may not be in the log, by operation
        # id.
        self.pending_renewals: dict[str, tuple[str, ...]] = {}
        # For each witness, when the latest heartbeat that it acked was sent.
        self.acked_sent_at: dict[str, float] = {}
        self.refusing_witnesses: set[str] = set()
        self.unlogged = False
        self.unlogged_after_sequence = 0
        self.unlogged_witnesses: set[str] = set()
        self.log_lease_ends_at = NEVER
        self.witness_lease_ends_at = NEVER
        self.is_stopped = False

    def ends_at(self) -> float:
        """Return the end of the lease on the clock of the owner."""
        return max(self.log_lease_ends_at, self.witness_lease_ends_at)

    def is_usable(self, now: float) -> bool:
        """Tell whether the slot may be used at this moment."""
        if self.is_stopped or now < self.usable_from:
            return False
        return now < self.ends_at()

    def extend_by_log_read(self, read_started_at: float) -> None:
        """Extend the lease after a read to the end of the log showed its epoch."""
        self.log_lease_ends_at = max(
            self.log_lease_ends_at, read_started_at + LEASE_DURATION_S
        )

    def extend_by_ack(
        self,
        witness: str,
        sent_at: float,
        sequence: int,
    ) -> None:
        """Extend the lease by an ack of the heartbeat sent at ``sent_at``."""
        if sent_at < self.acked_sent_at.get(witness, NEVER):
            return
        self.refusing_witnesses.discard(witness)
        self.acked_sent_at[witness] = sent_at
        if self.unlogged and sequence > self.unlogged_after_sequence:
            self.unlogged_witnesses.add(witness)
        self._update_witness_lease()

    def change_unlogged(self, is_unlogged: bool, last_sequence: int) -> None:
        """Set the flag that heartbeats after ``last_sequence`` carry.

        Acks of earlier heartbeats do not prove that a witness knows the
        present flag.
        """
        if is_unlogged != self.unlogged:
            self.unlogged = is_unlogged
            self.unlogged_after_sequence = last_sequence
            self.unlogged_witnesses.clear()

    def record_refusal(self, witness: str) -> None:
        """Record that a witness refuses to ack heartbeats for this epoch."""
        self.refusing_witnesses.add(witness)
        self.unlogged_witnesses.discard(witness)

    def add_renewal(
        self,
        operation_id: str,
        witnesses: tuple[str, ...],
    ) -> None:
        """Require a majority of the witnesses of a renewal as well from now on.

        The renewal may be in the log long before this owner reads it back, and
        claimants then ask only the new witnesses for support.
        """
        self.pending_renewals[operation_id] = witnesses

    def discard_renewal(self, operation_id: str) -> None:
        """Forget a renewal that certainly was not written to the log."""
        self.pending_renewals.pop(operation_id, None)

    def complete_renewal(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Continue under a new epoch, after which no other renewal can succeed."""
        self.epoch = epoch
        self.witnesses = witnesses
        self.pending_renewals.clear()
        self.refusing_witnesses.clear()
        self._update_witness_lease()

    def all_witnesses(self) -> set[str]:
        """Return every node whose ack may count towards a majority."""
        return set(self.witnesses).union(*self.pending_renewals.values())

    def is_unlogged_acknowledged(self) -> bool:
        """Tell whether every majority of supporters would report the flag."""
        return self.unlogged and all(
            has_majority(self.unlogged_witnesses, witnesses)
            for witnesses in self._witness_sets()
        )

    def _witness_sets(self) -> list[tuple[str, ...]]:
        return [self.witnesses, *self.pending_renewals.values()]

    def _update_witness_lease(self) -> None:
        # The maximum keeps the effect of acks that sufficed before a renewal
        # was sent: a claimant that supersedes the renewal waits longer than
        # that lease lasts.
        majority_sent_at = min(
            majority_time(self.acked_sent_at, witnesses)
            for witnesses in self._witness_sets()
        )
        self.witness_lease_ends_at = max(
            self.witness_lease_ends_at, majority_sent_at + LEASE_DURATION_S
        )


def majority_time(
    acked_sent_at: Mapping[str, float],
    witnesses: Collection[str],
) -> float:
    """Return the latest send time that a majority of the witnesses has acked.

    ``acked_sent_at`` holds for each witness when the latest heartbeat that it
    acked was sent. A witness without an entry counts as ``NEVER``.
    """
    times = sorted(
        (acked_sent_at.get(witness, NEVER) for witness in witnesses),
        reverse=True,
    )
    return times[len(times) // 2]
