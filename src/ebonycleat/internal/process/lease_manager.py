"""The slots that the log says this node owns, and what keeps them usable.

Heartbeats gather evidence from witnesses, renewals replace witnesses that
are gone, and releases hand slots over on a planned stop.
"""

import itertools

from ebonycleat.internal.connection.lease_messages import (
    HeartbeatAck,
    HeldSlot,
)
from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.process.effects import (
    AppendDone,
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
    ClaimBasis,
    Claim,
    ClaimAccepted,
    Release,
    SlotId,
)
from ebonycleat.internal.process.rendezvous import Member, choose_witnesses
from ebonycleat.internal.process.slot_claims import OwnershipSettings

# A witness may miss from the members for a moment without being gone, and
# each renewal costs one append.
RENEWAL_PAUSE_S = 2.0
RELEASE_RETRY_S = 1.0
MAX_RENEWALS_PER_TICK = 8
# Memory span of ids in 6.4: for so long, a run that the previous owner did
# not log may still matter.
UNLOGGED_MEMORY_S = 600.0

SAFE_AT_ONCE = frozenset((ClaimBasis.FIRST, ClaimBasis.RELEASED))


class LeaseManager:
    """Leases of one node."""

    def __init__(self, settings: OwnershipSettings) -> None:
        """Hold nothing."""
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
        self.inherited_until: dict[SlotId, float] = {}
        self.operation_numbers = itertools.count(1)

    def add_lease(self, accepted: ClaimAccepted, now: float) -> Lease:
        """Begin a lease; the previous owner may hold one for a while."""
        slot = accepted.claim.slot
        usable_from = now
        if accepted.basis not in SAFE_AT_ONCE:
            usable_from += PROMISE_DURATION_S
        lease = Lease(
            slot,
            accepted.epoch,
            accepted.claim.witnesses,
            usable_from,
        )
        lease.is_stopped = self.is_stopping
        self.leases[slot] = lease
        self.next_append_at[slot] = now + RENEWAL_PAUSE_S
        if accepted.unlogged:
            self.inherited_until[slot] = now + UNLOGGED_MEMORY_S
        self.next_heartbeat_at = now
        return lease

    def remove_lease(self, slot: SlotId) -> None:
        """Forget a slot that the log gave to somebody else, or to nobody."""
        self.leases.pop(slot, None)
        self.inherited_until.pop(slot, None)
        self.next_append_at.pop(slot, None)

    def stop(self) -> None:
        """Use no slot from now on; ``tick`` appends the releases."""
        self.is_stopping = True
        self.next_append_at.clear()
        for lease in self.leases.values():
            lease.is_stopped = True

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Propose witnesses anew."""
        self.members = members
        self.live_nodes = frozenset(member.node for member in members)
        self.proposed_witnesses.clear()

    def tick(self, now: float) -> list[Effect]:
        """Send what is due: heartbeats and renewals, or releases."""
        if self.is_stopping:
            return self._release_all(now)
        effects: list[Effect] = []
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            effects += self._heartbeats(now)
        renewals = itertools.chain.from_iterable(
            self._renew(lease, now) for lease in tuple(self.leases.values())
        )
        effects += itertools.islice(renewals, MAX_RENEWALS_PER_TICK)
        return effects

    def handle_ack(self, witness: str, ack: HeartbeatAck) -> None:
        """Count an ack for the slots of its heartbeat."""
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

    def handle_append_result(self, outcome: AppendResult) -> None:
        """Forget a renewal that surely was not written."""
        if isinstance(outcome, AppendDone) or outcome.may_have_taken_effect:
            return
        for lease in self.leases.values():
            lease.discard_renewal(outcome.operation_id)

    def set_unlogged(self, service: str, *, is_unlogged: bool) -> None:
        """Set the flag of all dedupe slots of a service."""
        if is_unlogged:
            self.unlogged_services.add(service)
        else:
            self.unlogged_services.discard(service)
        # The next heartbeat carries the change without waiting its turn.
        self.next_heartbeat_at = float('-inf')

    def is_unlogged(self, slot: SlotId, now: float) -> bool:
        """Tell which flag the heartbeats of a slot carry."""
        if now < self.inherited_until.get(slot, 0):
            return True
        return slot.kind == DEDUPE_KIND and slot.scope in self.unlogged_services

    def _heartbeats(self, now: float) -> list[Effect]:
        by_witness: dict[str, list[HeldSlot]] = {}
        last_sequence = self.heartbeats.sequence
        for slot, lease in self.leases.items():
            lease.set_unlogged(self.is_unlogged(slot, now), last_sequence)
            held = HeldSlot(slot, lease.epoch, lease.unlogged)
            for witness in lease.all_witnesses():
                by_witness.setdefault(witness, []).append(held)
        return self.heartbeats.create_heartbeats(by_witness, now)

    def _propose(self, slot: SlotId) -> tuple[str, ...]:
        # Ranking is too dear to be repeated for each slot at each tick.
        proposed = self.proposed_witnesses.get(slot)
        if proposed is None:
            proposed = choose_witnesses(slot, self.settings.node, self.members)
            self.proposed_witnesses[slot] = proposed
        return proposed

    def _renew(self, lease: Lease, now: float) -> list[Effect]:
        slot = lease.slot
        # Renewing under an unlogged flag that has lapsed clears it in the log.
        lapsed = slot in self.inherited_until and not self.is_unlogged(
            slot, now
        )
        if now < self.next_append_at.get(slot, 0):
            return []
        witnesses = self._propose(slot)
        if not lapsed and not self._needs_renewal(lease, witnesses):
            return []
        if lapsed:
            self.inherited_until.pop(slot)
        self.next_append_at[slot] = now + RENEWAL_PAUSE_S
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
        return [AppendToLog(Stream.OWNERSHIP, claim, operation_id)]

    def _needs_renewal(
        self,
        lease: Lease,
        proposed: tuple[str, ...],
    ) -> bool:
        if lease.refusing_witnesses.intersection(lease.witnesses):
            return True
        if proposed == lease.witnesses:
            return False
        gone = not self.live_nodes.issuperset(lease.witnesses)
        more = len(proposed) > len(lease.witnesses)
        return gone or more or self.settings.node in lease.witnesses

    def _release_all(self, now: float) -> list[Effect]:
        releases: list[Effect] = []
        for slot, lease in self.leases.items():
            # The next owner uses a released slot at once, so the wait for
            # the owner before this one must be over.
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
                    Stream.OWNERSHIP,
                    record,
                    self._next_operation_id(),
                ),
            )
        return releases

    def _next_operation_id(self) -> str:
        settings = self.settings
        number = next(self.operation_numbers)
        return f'{settings.node}/{settings.incarnation}/h{number}'
