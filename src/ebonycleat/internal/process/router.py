"""Chooses the target for one attempt.

What this node has seen itself counts first; what members announce only
fills the gaps. No list of a whole region is needed: the members handed in
are those of the own zone and the ones that other zones put forward.
"""

import random
from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.admission_level import (
    ReportedLevels,
    shedding_position_of,
)
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.target_stats_table import (
    Member,
    TargetStatsTable,
)
from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)

MAX_LOCAL_OCCUPANCY = 0.7
ZONE_SPILL_OCCUPANCY = 0.8
"""Above this the own zone's choice is compared with other zones'."""

OTHER_ZONE_PENALTY = 1.1
LEVEL_MARGIN = 128
"""Positions this close below a level may be refused by the next one."""

CRITICAL_LEVEL_MARGIN = 64
"""Critical calls have a part of each queue to themselves and can wait; when
they all follow the level, they crowd one target."""


class PlacementRequest(msgspec.Struct, frozen=True):
    """One attempt to be placed; ``members`` are those of the service."""

    call: Call
    members: Sequence[Member]
    avoid_zones: frozenset[str] = frozenset()
    avoid_nodes: frozenset[str] = frozenset()


PlacementChoice: TypeAlias = Member | Refusal


class Router:
    """Places attempts, and learns from how they end.

    Each ``note_sent`` is followed by exactly one of ``note_answer``,
    ``note_refused``, ``note_failure`` and ``note_abandoned``.
    """

    def __init__(
        self,
        zone: str,
        local_node: str,
        rng: random.Random,
    ) -> None:
        """Place the node; ``rng`` draws the two candidates."""
        self.zone = zone
        self.local_node = local_node
        self.rng = rng
        self.target_stats = TargetStatsTable()
        self.reported_levels = ReportedLevels()

    def choose(self, request: PlacementRequest, now: float) -> PlacementChoice:
        """Choose a member, or refuse early what all gates would refuse."""
        usable = self.target_stats.usable_members(request.members, now)
        if request.avoid_zones or request.avoid_nodes:
            usable = [
                member
                for member in usable
                if member.zone not in request.avoid_zones
                and member.node not in request.avoid_nodes
            ]
        if not usable:
            return refuse_not_run(Reason.NO_TARGET, 'no target can be used')
        admitting = [
            member
            for member in usable
            if self.reported_levels.admits(request.call, member.node, now)
        ]
        if not admitting:
            return refuse_not_run(Reason.SHED, 'overload: retry later')
        answering = [
            member
            for member in admitting
            if not self.target_stats.stats_of(member.node).is_answer_overdue(
                now
            )
        ]
        return self.choose_by_locality(
            request.call, answering or admitting, now
        )

    def choose_by_locality(
        self,
        call: Call,
        members: Sequence[Member],
        now: float,
    ) -> Member:
        """Prefer the local target, then the own zone, then the others."""
        own = [member for member in members if member.zone == self.zone]
        others = [member for member in members if member.zone != self.zone]
        for member in own:
            is_local = member.node == self.local_node
            if is_local and self.occupancy(member, now) < MAX_LOCAL_OCCUPANCY:
                return member
        if not own:
            return self.choose_of_two(others, now)
        near = self.choose_of_two(own, now)
        if not others or self.occupancy(near, now) < ZONE_SPILL_OCCUPANCY:
            return near
        far = self.choose_of_two(others, now)
        if self.is_saturated(near, now) and self.is_saturated(far, now):
            return self.choose_by_level(call, near, far, now)
        far_score = self.score(far, now) * OTHER_ZONE_PENALTY
        return far if far_score < self.score(near, now) else near

    def choose_of_two(self, members: Sequence[Member], now: float) -> Member:
        """Draw two and take the better; this avoids herds on the best."""
        drawn = self.rng.sample(members, min(2, len(members)))
        return min(drawn, key=lambda member: self.score(member, now))

    def choose_by_level(
        self,
        call: Call,
        near: Member,
        far: Member,
        now: float,
    ) -> Member:
        """Leave a saturated target only if it may soon refuse the call.

        Following every difference of levels would send all callers to the
        same target, because levels change slower than calls arrive.
        """
        near_level = self.reported_levels.level_of(near.node, now)
        far_level = self.reported_levels.level_of(far.node, now)
        is_critical = call.priority is Priority.CRITICAL
        margin = CRITICAL_LEVEL_MARGIN if is_critical else LEVEL_MARGIN
        is_risky = shedding_position_of(call) + margin >= near_level
        return far if is_risky and far_level > near_level else near

    def is_saturated(self, member: Member, now: float) -> bool:
        """Whether calls wait at the target; then its level tells more."""
        return self.occupancy(member, now) > 1

    def occupancy(self, member: Member, now: float) -> float:
        """Share of the target's limit in use, as far as known."""
        return self.target_stats.stats_of(member.node).occupancy(
            member.load, now
        )

    def score(self, member: Member, now: float) -> float:
        """Expected time at the target; lower is better."""
        return self.target_stats.stats_of(member.node).score(member.load, now)

    def record_sent(self, member: Member, now: float) -> None:
        """Count an attempt sent to a member."""
        self.target_stats.stats_of(member.node).record_sent(now)

    def record_answer(
        self,
        member: Member,
        load: GateLoad,
        latency_s: float,
        now: float,
    ) -> None:
        """Learn from a whole answer."""
        self.target_stats.stats_of(member.node).record_success(latency_s)
        self.record_refusal(member, load, now)

    def record_refusal(
        self,
        member: Member,
        load: GateLoad,
        now: float,
    ) -> None:
        """Learn from a refusal of the member's gate, which is no failure."""
        record = self.target_stats.stats_of(member.node)
        record.record_ended()
        record.record_load(load, now)
        self.target_stats.record_zone_reachable(member.zone)
        self.reported_levels.record(member.node, load.admission_level, now)

    def record_failure(self, member: Member, reached: bool, now: float) -> None:
        """Learn from an attempt that failed.

        ``reached`` tells that the node answered, and only its target failed.
        """
        record = self.target_stats.stats_of(member.node)
        record.record_ended()
        record.record_failure(reached, now)
        if not reached:
            self.target_stats.record_zone_unreachable(member.zone, now)

    def record_abandoned(self, member: Member) -> None:
        """Count out an attempt that was cancelled here."""
        self.target_stats.stats_of(member.node).record_ended()


def create_router(
    zone: str,
    local_node: str,
    rng: random.Random,
) -> Router:
    """Build the router of one node."""
    return Router(zone, local_node, rng)
