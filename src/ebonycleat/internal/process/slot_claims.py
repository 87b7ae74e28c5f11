"""Claims to slots that have no owner, or whose owner seems to be gone.

A claim is only ever an offer to the log. Claiming too eagerly costs records
and may end a healthy owner's epoch, but cannot give a slot two owners.
"""

import dataclasses
import itertools
from collections.abc import Iterable

from ebonycleat.internal.connection.lease_messages import (
    AskedSlot,
    SupportAsk,
    SupportGiven,
)
from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.process.effects import (
    AppendDone,
    AppendResult,
    AppendToLog,
    Effect,
    SendToPeer,
)
from ebonycleat.internal.process.lease import HEARTBEAT_INTERVAL_S, PROMISE_DURATION_S
from ebonycleat.internal.process.ownership import (
    BUDGET_KIND,
    DEDUPE_KIND,
    Claim,
    OwnershipFold,
    SlotId,
    SlotState,
    has_majority,
)
from ebonycleat.internal.process.rendezvous import (
    SLOTS_PER_SCOPE,
    Member,
    rank_candidates,
    choose_witnesses,
)

# The next node in rank steps in when the better one has not claimed by then.
RANK_STAGGER_S = 0.5
# Long enough for all witnesses to answer; only then is a supporter that
# cannot vouch for logged runs accepted, which blocks unknown ids for minutes.
VOUCH_WAIT_S = 2 * HEARTBEAT_INTERVAL_S
# Claims without support say "unlogged", so support is tried for longer than
# any promise lasts.
UNSUPPORTED_AFTER_S = 2 * PROMISE_DURATION_S
# Witnesses that did not support by then are cut off rather than bound.
EAGER_S = 10.0
PATIENT_ASK_S = 2.0
RETRY_AFTER_REFUSED_S = 0.3
RETRY_AFTER_UNKNOWN_S = 1.5
# The log takes several hundred appends/s from the whole fleet.
MAX_CLAIMS_IN_FLIGHT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Who this node is; ``incarnation`` grows with each start."""

    node: str
    zone: str
    incarnation: int
    services: tuple[str, ...] = ()
    slots_per_scope: int = SLOTS_PER_SCOPE


@dataclasses.dataclass(slots=True)
class ClaimAttempt:
    """One node's effort to supersede one epoch of a slot.

    ``votes`` maps supporting witnesses to their ``unlogged`` flag.
    """

    epoch: int
    since: float
    votes: dict[str, bool] = dataclasses.field(default_factory=dict)
    operation_id: str = ''
    retry_at: float = 0
    next_ask_at: float = float('-inf')


class SlotClaims:
    """All attempts of one node to gain slots."""

    def __init__(
        self,
        settings: OwnershipSettings,
        fold: OwnershipFold,
    ) -> None:
        """Begin without members, hence without attempts."""
        self.settings = settings
        self.fold = fold
        self.members: tuple[Member, ...] = ()
        self.live_nodes: frozenset[str] = frozenset()
        self.ranks: dict[SlotId, int] = {}
        self.attempts: dict[SlotId, ClaimAttempt] = {}
        self.operation_numbers = itertools.count(1)

    def update_members(self, members: Iterable[Member]) -> None:
        """Rank this node anew for every slot that it may own."""
        self.members = tuple(members)
        self.live_nodes = frozenset(member.node for member in self.members)
        self.ranks = {}
        if self.settings.node in self.live_nodes:
            self.ranks = {
                slot: self._rank(slot) for slot in self._slots_in_scope()
            }

    def tick(self, now: float) -> list[Effect]:
        """Claim what is claimable, and ask for support where it is needed."""
        claims: list[Effect] = []
        asked: dict[str, list[AskedSlot]] = {}
        for slot, attempt in self._due_attempts(now):
            claim = self._compose_claim(slot, attempt, now)
            if claim is not None:
                claims.append(self._send_claim(attempt, claim, now))
            elif now >= attempt.next_ask_at:
                attempt.next_ask_at = now + _ask_pause_s(now - attempt.since)
                for witness in self.fold.state_of(slot).witnesses:
                    asked.setdefault(witness, []).append(
                        AskedSlot(slot, attempt.epoch),
                    )
        asks = [
            SendToPeer(addressee, SupportAsk(tuple(slots)))
            for addressee, slots in asked.items()
        ]
        return [*claims, *asks]

    def record_support(self, witness: str, given: SupportGiven) -> None:
        """Count support for attempts against the epochs it names."""
        for supported in given.supported:
            attempt = self.attempts.get(supported.slot)
            if attempt is not None and attempt.epoch == supported.epoch:
                attempt.votes[witness] = supported.unlogged

    def handle_append_result(self, outcome: AppendResult, now: float) -> None:
        """Plan the next try; a second claim to one epoch does no harm."""
        for attempt in self.attempts.values():
            if attempt.operation_id != outcome.operation_id:
                continue
            if isinstance(outcome, AppendDone) or outcome.may_have_taken_effect:
                attempt.retry_at = now + RETRY_AFTER_UNKNOWN_S
            else:
                attempt.retry_at = now + RETRY_AFTER_REFUSED_S

    def _slots_in_scope(self) -> list[SlotId]:
        scopes = [(BUDGET_KIND, self.settings.zone)]
        scopes += [(DEDUPE_KIND, service) for service in self.settings.services]
        return [
            SlotId(kind, scope, index)
            for kind, scope in scopes
            for index in range(self.settings.slots_per_scope)
        ]

    def _rank(self, slot: SlotId) -> int:
        return rank_candidates(slot, self.members).index(self.settings.node)

    def _due_attempts(self, now: float) -> list[tuple[SlotId, ClaimAttempt]]:
        due = []
        in_flight = 0
        for slot, rank in self.ranks.items():
            attempt = self._find_attempt(slot, now)
            if attempt is None or now < attempt.since + rank * RANK_STAGGER_S:
                continue
            if attempt.operation_id and now < attempt.retry_at:
                in_flight += 1
            else:
                due.append((slot, attempt))
        return due[: max(MAX_CLAIMS_IN_FLIGHT - in_flight, 0)]

    def _find_attempt(self, slot: SlotId, now: float) -> ClaimAttempt | None:
        state = self.fold.state_of(slot)
        if not self._is_claimable(state):
            self.attempts.pop(slot, None)
            return None
        attempt = self.attempts.get(slot)
        if attempt is None or attempt.epoch != state.epoch:
            attempt = ClaimAttempt(state.epoch, now)
            self.attempts[slot] = attempt
        return attempt

    def _is_claimable(self, state: SlotState) -> bool:
        if state.released or state.fenced:
            return True
        if state.owner == self.settings.node:
            return state.incarnation != self.settings.incarnation
        return state.owner not in self.live_nodes

    def _compose_claim(
        self,
        slot: SlotId,
        attempt: ClaimAttempt,
        now: float,
    ) -> Claim | None:
        state = self.fold.state_of(slot)
        if state.released:
            return self._claim(slot, state, (), unlogged=state.unlogged)
        supporters = tuple(attempt.votes)
        vouching = tuple(
            witness for witness in supporters if not attempt.votes[witness]
        )
        waited_s = now - attempt.since
        # An unlogged run needed a majority of acks, and one of them would be
        # among these; a flag of the other supporters never took effect.
        if has_majority(vouching, state.witnesses):
            return self._claim(slot, state, vouching, unlogged=state.unlogged)
        if has_majority(supporters, state.witnesses):
            if slot.kind == BUDGET_KIND or waited_s >= VOUCH_WAIT_S:
                return self._claim(slot, state, supporters, unlogged=True)
            return None
        gone = state.fenced or state.owner == self.settings.node
        if gone and waited_s >= UNSUPPORTED_AFTER_S:
            return self._claim(slot, state, (), unlogged=True)
        return None

    def _claim(
        self,
        slot: SlotId,
        state: SlotState,
        supporters: tuple[str, ...],
        *,
        unlogged: bool,
    ) -> Claim:
        settings = self.settings
        return Claim(
            slot=slot,
            owner=settings.node,
            incarnation=settings.incarnation,
            previous_epoch=state.epoch,
            witnesses=choose_witnesses(slot, settings.node, self.members),
            supporters=supporters,
            unlogged=unlogged,
            operation_id=(
                f'{settings.node}/{settings.incarnation}'
                f'/c{next(self.operation_numbers)}'
            ),
        )

    def _send_claim(
        self,
        attempt: ClaimAttempt,
        claim: Claim,
        now: float,
    ) -> AppendToLog:
        attempt.operation_id = claim.operation_id
        attempt.retry_at = now + RETRY_AFTER_UNKNOWN_S
        return AppendToLog(Stream.OWNERSHIP, claim, claim.operation_id)


def _ask_pause_s(waited_s: float) -> float:
    return HEARTBEAT_INTERVAL_S if waited_s < EAGER_S else PATIENT_ASK_S
