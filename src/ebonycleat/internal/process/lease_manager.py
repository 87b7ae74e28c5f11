"""Maintains the leases on the slots that this node owns according to the log.

Acks of heartbeats extend the leases, renewals replace witnesses that are gone,
and releases let other nodes claim the slots at once in a planned stop.
"""

import itertools

from ebonycleat.internal.connection.lease_messages import (
    HeartbeatAck,
    HeldSlot,
)
from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
    Effect,
)
from ebonycleat.internal.process.lease import (
    HEARTBEAT_INTERVAL_S,
    PROMISE_DURATION_S,
    Lease,
)
from ebonycleat.internal.process.lease_heartbeats import LeaseHeartbeats
from ebonycleat.internal.process.ownership import (
    DEDUPE_KIND,
    Claim,
    ClaimAccepted,
    ClaimBasis,
    Release,
    SlotId,
)
from ebonycleat.internal.process.rendezvous import Member, choose_witnesses
from ebonycleat.internal.process.slot_claims import OwnershipSettings

# A witness can be absent from the member list for a moment without being gone,
# and every renewal costs one append.
RENEWAL_INTERVAL_S = 2.0
RELEASE_RETRY_S = 1.0
MAX_RENEWALS_PER_TICK = 8
# The deduplication window, for which dedupe owners remember an id at least.
# Until it has passed, a request that the previous owner ran without a log
# record may be sent again.
UNLOGGED_RETENTION_S = 600.0

BASES_WITHOUT_WAIT = frozenset((ClaimBasis.FIRST, ClaimBasis.RELEASED))


class LeaseManager:
    """All leases of one node."""

    def __init__(self, settings: OwnershipSettings) -> None:
        """Start without leases."""
        self.settings = settings
        self.members: tuple[Member, ...] = ()
        self.live_nodes: frozenset[str] = frozenset()
        self.proposed_witnesses: dict[SlotId, tuple[str, ...]] = {}
        self.leases: dict[SlotId, Lease] = {}
        self.is_stopping = False
        self.heartbeats = LeaseHeartbeats(settings.incarnation)
        self.next_heartbeat_at = float('-inf')
        self.next_append_at: dict[SlotId, float] = {}
        self.unlogged_services: set[str] = set()
        self.inherited_unlogged_until: dict[SlotId, float] = {}
        self.operation_numbers = itertools.count(1)

    def add_lease(self, accepted: ClaimAccepted, now: float) -> Lease:
        """Create the lease of a slot that was gained.

        Unless the slot was free, the previous owner may still hold a lease;
        the new one then becomes usable only when that must have expired.
        """
        slot = accepted.claim.slot
        usable_from = now
        if accepted.basis not in BASES_WITHOUT_WAIT:
            usable_from += PROMISE_DURATION_S
        lease = Lease(
            slot,
            accepted.epoch,
            accepted.claim.witnesses,
            usable_from,
        )
        lease.is_stopped = self.is_stopping
        self.leases[slot] = lease
        self.next_append_at[slot] = now + RENEWAL_INTERVAL_S
        if accepted.unlogged:
            self.inherited_unlogged_until[slot] = now + UNLOGGED_RETENTION_S
        self.next_heartbeat_at = now
        return lease

    def remove_lease(self, slot: SlotId) -> None:
        """Drop the lease of a slot that this node no longer owns."""
        self.leases.pop(slot, None)
        self.inherited_unlogged_until.pop(slot, None)
        self.next_append_at.pop(slot, None)

    def stop(self) -> None:
        """Make all slots unusable at once; ``tick`` appends the releases."""
        self.is_stopping = True
        self.next_append_at.clear()
        for lease in self.leases.values():
            lease.is_stopped = True

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Replace the set of live members, from which witnesses are chosen."""
        self.members = members
        self.live_nodes = frozenset(member.node for member in members)
        self.proposed_witnesses.clear()

    def tick(self, now: float) -> list[Effect]:
        """Return the heartbeats and renewals, or the releases, that are due."""
        if self.is_stopping:
            return self._release_all(now)
        effects: list[Effect] = []
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            effects += self._create_heartbeats(now)
        renewals = itertools.chain.from_iterable(
            self._renew(lease, now) for lease in tuple(self.leases.values())
        )
        effects += itertools.islice(renewals, MAX_RENEWALS_PER_TICK)
        return effects

    def handle_ack(self, witness: str, ack: HeartbeatAck) -> None:
        """Extend the leases of all slots in the heartbeat that was acked."""
        sent = self.heartbeats.match_ack(witness, ack)
        if sent is None:
            return
        for held in sent.held:
            lease = self.leases.get(held.slot)
            if lease is None:
                continue
            if held.slot in ack.refused:
                lease.record_refusal(witness)
            else:
                lease.extend_by_ack(witness, sent.sent_at, ack.sequence)

    def handle_append_result(self, append_result: AppendResult) -> None:
        """Discard the renewal of an append that certainly was not written."""
        if (
            isinstance(append_result, AppendConfirmed)
            or append_result.may_have_taken_effect
        ):
            return
        for lease in self.leases.values():
            lease.discard_renewal(append_result.operation_id)

    def set_unlogged(self, service: str, *, is_unlogged: bool) -> None:
        """Set the unlogged flag of all dedupe slots of a service."""
        if is_unlogged:
            self.unlogged_services.add(service)
        else:
            self.unlogged_services.discard(service)
        # Heartbeats with the changed flag are sent at the next tick.
        self.next_heartbeat_at = float('-inf')

    def is_unlogged(self, slot: SlotId, now: float) -> bool:
        """Return the unlogged flag that the heartbeats for a slot carry."""
        if now < self.inherited_unlogged_until.get(slot, 0):
            return True
        return slot.kind == DEDUPE_KIND and slot.scope in self.unlogged_services

    def _create_heartbeats(self, now: float) -> list[Effect]:
        slots_by_witness: dict[str, list[HeldSlot]] = {}
        last_sequence = self.heartbeats.sequence
        for slot, lease in self.leases.items():
            lease.change_unlogged(self.is_unlogged(slot, now), last_sequence)
            held = HeldSlot(slot, lease.epoch, lease.unlogged)
            for witness in lease.all_witnesses():
                slots_by_witness.setdefault(witness, []).append(held)
        return self.heartbeats.create_heartbeats(slots_by_witness, now)

    def _propose_witnesses(self, slot: SlotId) -> tuple[str, ...]:
        # Ranking all members for each slot at each tick would take too much
        # processor time.
        proposed = self.proposed_witnesses.get(slot)
        if proposed is None:
            proposed = choose_witnesses(slot, self.settings.node, self.members)
            self.proposed_witnesses[slot] = proposed
        return proposed

    def _renew(self, lease: Lease, now: float) -> list[Effect]:
        slot = lease.slot
        # A renewal after the inherited flag has expired clears it in the log.
        has_flag_expired = (
            slot in self.inherited_unlogged_until
            and not self.is_unlogged(slot, now)
        )
        if now < self.next_append_at.get(slot, 0):
            return []
        witnesses = self._propose_witnesses(slot)
        if not has_flag_expired and not self._needs_renewal(lease, witnesses):
            return []
        if has_flag_expired:
            self.inherited_unlogged_until.pop(slot)
        self.next_append_at[slot] = now + RENEWAL_INTERVAL_S
        operation_id = self._next_operation_id()
        lease.add_renewal(operation_id, witnesses)
        claim = Claim(
            slot=slot,
            owner=self.settings.node,
            incarnation=self.settings.incarnation,
            previous_epoch=lease.epoch,
            witnesses=witnesses,
            supporters=(),
            unlogged=self.is_unlogged(slot, now),
            operation_id=operation_id,
        )
        return [AppendToLog(LogStream.OWNERSHIP, claim, operation_id)]

    def _needs_renewal(
        self,
        lease: Lease,
        proposed: tuple[str, ...],
    ) -> bool:
        if lease.refusing_witnesses.intersection(lease.witnesses):
            return True
        if proposed == lease.witnesses:
            return False
        is_witness_gone = not self.live_nodes.issuperset(lease.witnesses)
        has_more_witnesses = len(proposed) > len(lease.witnesses)
        return (
            is_witness_gone
            or has_more_witnesses
            or self.settings.node in lease.witnesses
        )

    def _release_all(self, now: float) -> list[Effect]:
        releases: list[Effect] = []
        for slot, lease in self.leases.items():
            # The next owner may use a released slot at once, so this node must
            # not release it while the lease of the owner before may still be
            # valid.
            if now < lease.usable_from:
                continue
            if now < self.next_append_at.get(slot, 0):
                continue
            self.next_append_at[slot] = now + RELEASE_RETRY_S
            record = Release(
                slot,
                lease.epoch,
                self.settings.node,
                self.is_unlogged(slot, now),
            )
            releases.append(
                AppendToLog(
                    LogStream.OWNERSHIP,
                    record,
                    self._next_operation_id(),
                ),
            )
        return releases

    def _next_operation_id(self) -> str:
        settings = self.settings
        number = next(self.operation_numbers)
        return f'{settings.node}/{settings.incarnation}/h{number}'
