"""Claims slots that have no owner, or whose owner seems to be gone.

A claim takes effect only if the fold of the ownership stream accepts it. An
unnecessary claim costs a log record and may end the epoch of a healthy owner,
but can never give a slot two owners.
"""

import dataclasses
import itertools
from collections.abc import Iterable

from ebonycleat.internal.connection.lease_messages import (
    RequestedSlot,
    SupportAsk,
    SupportGiven,
)
from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
    Effect,
    SendToPeer,
)
from ebonycleat.internal.process.lease import (
    HEARTBEAT_INTERVAL_S,
    PROMISE_DURATION_S,
)
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
    choose_witnesses,
    rank_candidates,
)

# A node waits for this time for each better ranked node before it claims, so
# normally only the best ranked live node does.
RANK_DELAY_S = 0.5
# Long enough for all witnesses to answer. Supporters that cannot tell whether
# the owner ran ids unlogged are accepted only after this time, because a claim
# with their support makes the next owner refuse unknown ids for minutes.
FULL_SUPPORT_WAIT_S = 2 * HEARTBEAT_INTERVAL_S
# A claim without support must be marked as unlogged. Therefore support is
# sought for longer than any promise of a witness to the old owner lasts.
UNSUPPORTED_AFTER_S = 2 * PROMISE_DURATION_S
# Witnesses that have not given support after this time are more likely
# unreachable than bound by a promise, so they are asked less often from then
# on.
FREQUENT_ASK_DURATION_S = 10.0
SLOW_ASK_INTERVAL_S = 2.0
RETRY_AFTER_FAILURE_S = 0.3
RETRY_AFTER_UNKNOWN_S = 1.5
# All nodes together share several hundred appends per second.
MAX_CLAIMS_IN_FLIGHT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Identity of this node; ``incarnation`` grows with each start."""

    node: str
    zone: str
    incarnation: int
    services: tuple[str, ...] = ()
    slots_per_scope: int = SLOTS_PER_SCOPE


@dataclasses.dataclass(slots=True)
class ClaimAttempt:
    """The attempt of this node to supersede one epoch of a slot.

    ``votes`` maps each supporting witness to the ``unlogged`` flag that it
    reported. ``operation_id`` names the latest claim that was appended.
    """

    epoch: int
    started_at: float
    votes: dict[str, bool] = dataclasses.field(default_factory=dict)
    operation_id: str = ''
    retry_at: float = 0
    next_ask_at: float = float('-inf')

    def is_claim_in_flight(self, now: float) -> bool:
        """Tell whether the latest claim may still be confirmed."""
        return bool(self.operation_id) and now < self.retry_at


class SlotClaims:
    """All attempts of one node to gain slots."""

    def __init__(
        self,
        settings: OwnershipSettings,
        fold: OwnershipFold,
    ) -> None:
        """Start without members, and therefore without attempts."""
        self.settings = settings
        self.fold = fold
        self.members: tuple[Member, ...] = ()
        self.live_nodes: frozenset[str] = frozenset()
        self.ranks: dict[SlotId, int] = {}
        self.attempts: dict[SlotId, ClaimAttempt] = {}
        self.operation_numbers = itertools.count(1)

    def update_members(self, members: Iterable[Member]) -> None:
        """Replace the live members and rank this node for its possible slots."""
        self.members = tuple(members)
        self.live_nodes = frozenset(member.node for member in self.members)
        self.ranks = {}
        if self.settings.node in self.live_nodes:
            self.ranks = {
                slot: self._find_own_rank(slot)
                for slot in self._slots_in_scope()
            }

    def tick(self, now: float) -> list[Effect]:
        """Return the claims that are due and the requests for support."""
        claims: list[Effect] = []
        asked_by_witness: dict[str, list[RequestedSlot]] = {}
        for slot, attempt in self._due_attempts(now):
            claim = self._find_supported_claim(slot, attempt, now)
            if claim is not None:
                # Only claims count: attempts without enough support must not
                # keep others from claiming.
                if self._count_claims_in_flight(now) < MAX_CLAIMS_IN_FLIGHT:
                    claims.append(self._append_claim(attempt, claim, now))
            elif now >= attempt.next_ask_at:
                attempt.next_ask_at = now + _ask_interval_s(
                    now - attempt.started_at
                )
                for witness in self.fold.state_of(slot).witnesses:
                    asked_by_witness.setdefault(witness, []).append(
                        RequestedSlot(slot, attempt.epoch),
                    )
        return claims + _create_support_requests(asked_by_witness)

    def record_support(self, witness: str, given: SupportGiven) -> None:
        """Count a witness's support for the epochs that it names."""
        for supported in given.supported:
            attempt = self.attempts.get(supported.slot)
            if attempt is not None and attempt.epoch == supported.epoch:
                attempt.votes[witness] = supported.unlogged

    def handle_append_result(
        self, append_result: AppendResult, now: float
    ) -> None:
        """Schedule the next claim; a second claim to an epoch has no effect."""
        for attempt in self.attempts.values():
            if attempt.operation_id != append_result.operation_id:
                continue
            if (
                isinstance(append_result, AppendConfirmed)
                or append_result.may_have_taken_effect
            ):
                attempt.retry_at = now + RETRY_AFTER_UNKNOWN_S
            else:
                attempt.retry_at = now + RETRY_AFTER_FAILURE_S

    def _slots_in_scope(self) -> list[SlotId]:
        scopes = [(BUDGET_KIND, self.settings.zone)]
        scopes += [(DEDUPE_KIND, service) for service in self.settings.services]
        return [
            SlotId(kind, scope, index)
            for kind, scope in scopes
            for index in range(self.settings.slots_per_scope)
        ]

    def _find_own_rank(self, slot: SlotId) -> int:
        return rank_candidates(slot, self.members).index(self.settings.node)

    def _due_attempts(self, now: float) -> list[tuple[SlotId, ClaimAttempt]]:
        due = []
        for slot, rank in self.ranks.items():
            attempt = self._find_attempt(slot, now)
            if (
                attempt is None
                or now < attempt.started_at + rank * RANK_DELAY_S
            ):
                continue
            if not attempt.is_claim_in_flight(now):
                due.append((slot, attempt))
        return due

    def _count_claims_in_flight(self, now: float) -> int:
        return sum(
            attempt.is_claim_in_flight(now)
            for attempt in self.attempts.values()
        )

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

    def _find_supported_claim(
        self,
        slot: SlotId,
        attempt: ClaimAttempt,
        now: float,
    ) -> Claim | None:
        state = self.fold.state_of(slot)
        if state.released:
            return self._create_claim(slot, state, (), unlogged=state.unlogged)
        supporters = tuple(attempt.votes)
        without_flag = tuple(
            witness for witness in supporters if not attempt.votes[witness]
        )
        waited_s = now - attempt.started_at
        # An owner may run ids unlogged only after a majority of witnesses
        # acked the flag, and one of them would be among these. A flag that
        # only the other supporters report never took effect.
        if has_majority(without_flag, state.witnesses):
            return self._create_claim(
                slot, state, without_flag, unlogged=state.unlogged
            )
        if has_majority(supporters, state.witnesses):
            if slot.kind == BUDGET_KIND or waited_s >= FULL_SUPPORT_WAIT_S:
                return self._create_claim(
                    slot, state, supporters, unlogged=True
                )
            return None
        is_owner_gone = state.fenced or state.owner == self.settings.node
        if is_owner_gone and waited_s >= UNSUPPORTED_AFTER_S:
            return self._create_claim(slot, state, (), unlogged=True)
        return None

    def _create_claim(
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

    def _append_claim(
        self,
        attempt: ClaimAttempt,
        claim: Claim,
        now: float,
    ) -> AppendToLog:
        attempt.operation_id = claim.operation_id
        attempt.retry_at = now + RETRY_AFTER_UNKNOWN_S
        return AppendToLog(LogStream.OWNERSHIP, claim, claim.operation_id)


def _create_support_requests(
    asked_by_witness: dict[str, list[RequestedSlot]],
) -> list[Effect]:
    return [
        SendToPeer(witness, SupportAsk(tuple(slots)))
        for witness, slots in asked_by_witness.items()
    ]


def _ask_interval_s(waited_s: float) -> float:
    return (
        HEARTBEAT_INTERVAL_S
        if waited_s < FREQUENT_ASK_DURATION_S
        else SLOW_ASK_INTERVAL_S
    )
