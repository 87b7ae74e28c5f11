"""How long an owner may go on using a slot.

The lease rests on evidence that the owner gathered itself, counted from
before it asked. Nobody else can extend it, and a paused owner finds it over
when it wakes.
"""

import abc
from collections.abc import Collection, Mapping

from ebonycleat.internal.process.ownership import SlotId, has_majority

LEASE_DURATION_S = 1.5
HEARTBEAT_INTERVAL_S = 0.3
MAX_CLOCK_DRIFT = 0.01

# Waits on the other side of a right are longer than the right by the drift.
PROMISE_DURATION_S = LEASE_DURATION_S * (1 + MAX_CLOCK_DRIFT)

NEVER = float('-inf')


class LeaseQueries(abc.ABC):
    """What those who use slots must know about them."""

    @abc.abstractmethod
    def is_usable(self, slot: SlotId, now: float) -> bool:
        """Tell whether this node alone may use the slot at this moment."""

    @abc.abstractmethod
    def lease_ends_at(self, slot: SlotId, now: float) -> float:
        """Return when the lease ends on this node's clock."""

    @abc.abstractmethod
    def gained_epoch(self, slot: SlotId) -> int | None:
        """Return the epoch of the gain that began the present ownership.

        Renewals keep it. State from an earlier gain must not be used.
        """


class Lease:
    """The right of this node to use one slot that the log says it owns."""

    def __init__(
        self,
        slot: SlotId,
        epoch: int,
        witnesses: tuple[str, ...],
        usable_from: float,
    ) -> None:
        """Hold a slot from ``usable_from`` on, without evidence so far."""
        self.slot = slot
        self.epoch = epoch
        self.gained_epoch = epoch
        self.usable_from = usable_from
        self.witnesses = witnesses
        # Witness sets of renewals whose fate in the log is not known yet.
        self.pending_renewals: dict[str, tuple[str, ...]] = {}
        self.acked_at: dict[str, float] = {}
        self.refusing_witnesses: set[str] = set()
        self.unlogged = False
        self.unlogged_after_sequence = 0
        self.unlogged_witnesses: set[str] = set()
        self.log_until = NEVER
        self.witness_until = NEVER
        self.is_stopped = False

    def ends_at(self) -> float:
        """Return the end of the lease on the owner's clock."""
        return max(self.log_until, self.witness_until)

    def is_usable(self, now: float) -> bool:
        """Tell whether the slot may be used at this moment."""
        if self.is_stopped or now < self.usable_from:
            return False
        return now < self.ends_at()

    def extend_by_log_read(self, read_started_at: float) -> None:
        """Count a read to the end of the log that showed this epoch."""
        self.log_until = max(self.log_until, read_started_at + LEASE_DURATION_S)

    def extend_by_ack(
        self,
        witness: str,
        sent_at: float,
        sequence: int,
    ) -> None:
        """Count an ack to the heartbeat that was sent at ``sent_at``."""
        if sent_at < self.acked_at.get(witness, NEVER):
            return
        self.refusing_witnesses.discard(witness)
        self.acked_at[witness] = sent_at
        if self.unlogged and sequence > self.unlogged_after_sequence:
            self.unlogged_witnesses.add(witness)
        self._refresh()

    def set_unlogged(self, flag: bool, last_sequence: int) -> None:
        """Change the flag for heartbeats after ``last_sequence``.

        Acks to earlier heartbeats say nothing about the flag of now.
        """
        if flag != self.unlogged:
            self.unlogged = flag
            self.unlogged_after_sequence = last_sequence
            self.unlogged_witnesses.clear()

    def record_refusal(self, witness: str) -> None:
        """Note that a witness no longer vouches for this epoch."""
        self.refusing_witnesses.add(witness)
        self.unlogged_witnesses.discard(witness)

    def add_renewal(
        self,
        operation_id: str,
        witnesses: tuple[str, ...],
    ) -> None:
        """Require a majority of the next witnesses too from now on.

        The renewal may stand in the log long before this owner sees it, and
        claimants then ask the new witnesses only.
        """
        self.pending_renewals[operation_id] = witnesses

    def discard_renewal(self, operation_id: str) -> None:
        """Forget a renewal that surely never reached the log."""
        self.pending_renewals.pop(operation_id, None)

    def complete_renewal(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Go on under a new epoch; other renewals can no longer succeed."""
        self.epoch = epoch
        self.witnesses = witnesses
        self.pending_renewals.clear()
        self.refusing_witnesses.clear()
        self._refresh()

    def all_witnesses(self) -> set[str]:
        """Return every node whose ack may be needed."""
        return set(self.witnesses).union(*self.pending_renewals.values())

    def is_unlogged_acknowledged(self) -> bool:
        """Tell whether any majority of supporters would pass the flag on."""
        return self.unlogged and all(
            has_majority(self.unlogged_witnesses, witnesses)
            for witnesses in self._witness_sets()
        )

    def _witness_sets(self) -> list[tuple[str, ...]]:
        return [self.witnesses, *self.pending_renewals.values()]

    def _refresh(self) -> None:
        # The maximum keeps acks that were enough before a renewal was sent:
        # a claimant who supersedes the renewal waits for longer than that.
        heard_at = min(
            majority_time(self.acked_at, witnesses)
            for witnesses in self._witness_sets()
        )
        self.witness_until = max(self.witness_until, heard_at + LEASE_DURATION_S)


def majority_time(
    acked_at: Mapping[str, float],
    witnesses: Collection[str],
) -> float:
    """Return the latest time for which a majority has acked."""
    times = sorted(
        (acked_at.get(witness, NEVER) for witness in witnesses),
        reverse=True,
    )
    return times[len(times) // 2]
