"""The router chooses the target for each attempt to run a call.

It relies first on what its node has observed itself. The load that members
announce is used only where observations are missing. No list of all members in
a region is needed: the candidates are the members of the router's zone and
those that other zones offer.
"""

import random
from collections.abc import Mapping, Sequence
from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.admission_level import (
    ReportedLevels,
    shedding_position_of,
)
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.evacuated_zones import (
    EvacuatedZones,
)
from ebonycleat.internal.process.placement.expected_delay import (
    FULL_OCCUPANCY,
    expected_wait_s,
)
from ebonycleat.internal.process.placement.move_decision import (
    is_too_late,
    objective_margin_s,
)
from ebonycleat.internal.process.placement.service_spillover import (
    ServiceSpillover,
    SpilloverTable,
)
from ebonycleat.internal.process.placement.target_draw import (
    draw_two,
    draw_two_evenly,
)
from ebonycleat.internal.process.placement.target_speed import (
    USUAL_RATIO,
    SpeedTable,
)
from ebonycleat.internal.process.target_stats import INITIAL_LATENCY_S
from ebonycleat.internal.process.target_stats_table import (
    Member,
    MemberState,
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
"""Above this occupancy, the choice within this node's zone is compared with
one from other zones."""

OTHER_ZONE_PENALTY = 1.1
UNEVEN_RATIO = 1.25
MAX_UNEVEN_TARGETS = 16
"""Targets whose ratio differs from 1 by this factor are listed on the metrics
page, the most different ones and at most so many. If the fastest target of a
service differs by less, its targets are drawn evenly."""

ALTERNATIVES_CHECKED = 2
"""How many other targets are looked at before a call is allowed to move. If
neither can start it in time, the service is probably full."""

LEVEL_MARGIN = 128
"""A call whose position is this close below a level may be refused after the
level's next change."""

CRITICAL_LEVEL_MARGIN = 64
"""Critical calls have a reserved part of each queue and can wait there. If all
of them followed the levels, they would crowd one target."""


ALL_EVACUATED_REFUSAL = refuse_not_run(
    Reason.EVACUATED,
    'all zones with targets of the service are evacuated',
    retry_after_s=1.0,
)


class PlacementRequest(msgspec.Struct, frozen=True):
    """An attempt for which to choose one of ``members``.

    ``members`` run the call's service. Members in ``avoid_zones`` and
    ``avoid_nodes`` are not chosen.
    """

    call: Call
    members: Sequence[Member]
    avoid_zones: frozenset[str] = frozenset()
    avoid_nodes: frozenset[str] = frozenset()


PlacementChoice: TypeAlias = Member | Refusal


class Router:
    """Chooses members for attempts, and records how the attempts end.

    Each ``record_sent`` is followed by exactly one of ``record_answer``,
    ``record_refusal``, ``record_failure`` and ``record_abandoned``.
    """

    def __init__(
        self,
        zone: str,
        local_node: str,
        rng: random.Random,
        evacuated: EvacuatedZones,
    ) -> None:
        """Create the router of ``local_node`` in ``zone``.

        ``rng`` draws the two candidates of ``choose_of_two``, and the zones
        of calls that leave this one. Members in ``evacuated`` zones are not
        chosen. ``has_free_second`` tells whether the one that was not taken in
        the last choice has a free slot.
        """
        self.zone = zone
        self.local_node = local_node
        self.rng = rng
        self.evacuated = evacuated
        self.target_stats = TargetStatsTable()
        self.speeds = SpeedTable()
        self.has_free_second = False
        self.reported_levels = ReportedLevels()
        self.spillover = SpilloverTable(zone, rng)
        self.calls_to_other_zones = 0

    def choose(self, request: PlacementRequest, now: float) -> PlacementChoice:
        """Choose a member, or refuse a call that all gates would refuse."""
        self.has_free_second = False
        members = request.members
        evacuated = self.evacuated.zones
        if evacuated:
            members = [
                member for member in members if member.zone not in evacuated
            ]
            if request.members and not members:
                return ALL_EVACUATED_REFUSAL
        usable = self.target_stats.usable_members(members, now)
        if request.avoid_zones or request.avoid_nodes:
            usable = [
                member
                for member in usable
                if member.zone not in request.avoid_zones
                and member.node not in request.avoid_nodes
            ]
        if not usable:
            return refuse_not_run(
                Reason.NO_TARGET,
                'no target of the service is available',
            )
        admitting = usable
        if self.reported_levels.by_node:
            admitting = [
                member
                for member in usable
                if self.reported_levels.admits(request.call, member.node, now)
            ]
        if not admitting:
            return refuse_not_run(
                Reason.SHED,
                'all targets of the service are overloaded; retry later',
            )
        answering = self.target_stats.answering_members(admitting, now)
        # An attempt that avoids members shows only a part of the service.
        is_partial = request.avoid_zones or request.avoid_nodes
        return self.choose_by_locality(
            request.call,
            answering or admitting,
            now,
            () if is_partial else usable,
        )

    def choose_by_locality(
        self,
        call: Call,
        members: Sequence[Member],
        now: float,
        usable: Sequence[Member] = (),
    ) -> Member:
        """Prefer the local target, then this node's zone, then other zones.

        ``usable`` are all members that may get calls, also those whose
        answers are overdue. Without them, the decision about spillover stays
        as it is.
        """
        for member in members:
            is_local = member.node == self.local_node
            if is_local and self.occupancy(member, now) < MAX_LOCAL_OCCUPANCY:
                return member
        own = self.target_stats.members_in_zone(members, self.zone)
        spillover = self.spillover.find(call, now)
        if spillover is None:
            return self.choose_by_marks(call, own, members, now)
        if usable and spillover.is_due(now):
            self.spillover.update(spillover, usable, now)
        if spillover.has_no_reports:
            return self.choose_by_marks(call, own, members, now)
        far = self.choose_leaving(spillover, members, now, has_own=bool(own))
        return far or self.choose_of_two(own or members, now)

    def choose_leaving(
        self,
        spillover: ServiceSpillover,
        members: Sequence[Member],
        now: float,
        *,
        has_own: bool,
    ) -> Member | None:
        """Choose a member in another zone if the call is to leave this one.

        Returns None if it stays, or if the zones that may get it have no
        member that does.
        """
        if spillover.trial_zones:
            trial_zone = spillover.take_trial(now)
            tried = [member for member in members if member.zone == trial_zone]
            if tried:
                return self.choose_of_two(tried, now)
        shares = spillover.decision.shares
        if not shares or (has_own and not spillover.take_leave()):
            return None
        by_zone: dict[str, list[Member]] = {}
        for member in members:
            if member.zone in shares:
                by_zone.setdefault(member.zone, []).append(member)
        if not by_zone:
            return None
        weights = [shares[zone] for zone in by_zone]
        if not any(weights):
            return None
        return self.choose_in_zones(by_zone, weights, now)

    def choose_in_zones(
        self,
        by_zone: Mapping[str, Sequence[Member]],
        weights: Sequence[float],
        now: float,
    ) -> Member:
        """Draw two members of zones with these weights; choose the better one.

        Two draws react to a change of a target's pace before the shares do.
        """
        first, second = (
            by_zone[zone]
            for zone in self.rng.choices(tuple(by_zone), weights, k=2)
        )
        if first is second:
            return self.choose_of_two(first, now)
        drawn = (self.draw_one(first, now), self.draw_one(second, now))
        usual_s = self.usual_s(drawn[0])
        return min(drawn, key=lambda member: self.rank(member, usual_s, now))

    def choose_by_marks(
        self,
        call: Call,
        own: Sequence[Member],
        members: Sequence[Member],
        now: float,
    ) -> Member:
        """Choose by fixed marks of occupancy.

        This serves the calls of services without a latency objective, and all
        calls before the first report of a load.
        """
        others = [member for member in members if member.zone != self.zone]
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
        """Draw two members and choose the better one.

        Always choosing the best of all would send all callers to it at once.
        """
        if len(members) < 2:
            return members[0]
        first, second = self.draw_candidates(members, now)
        usual_s = self.usual_s(first)
        first_rank = self.rank(first, usual_s, now)
        second_rank = self.rank(second, usual_s, now)
        if second_rank < first_rank:
            self.has_free_second = not first_rank[0]
            return second
        self.has_free_second = not second_rank[0]
        return first

    def draw_candidates(
        self, members: Sequence[Member], now: float
    ) -> tuple[Member, Member]:
        """Draw two members, by their speeds if these are known to differ."""
        fastest = self.speeds.fastest_ratio(members[0].service)
        if fastest * UNEVEN_RATIO >= USUAL_RATIO:
            return draw_two_evenly(members, self.rng)
        return draw_two(
            members,
            lambda member: self.draw_weight(member, fastest, now),
            self.rng,
        )

    def draw_one(self, members: Sequence[Member], now: float) -> Member:
        """Draw one member like the candidates of ``choose_of_two``."""
        if len(members) < 2:
            return members[0]
        return self.draw_candidates(members, now)[0]

    def draw_weight(self, member: Member, fastest: float, now: float) -> float:
        """Return how likely a drawn member is kept, from 0 to 1.

        A target of twice the speed serves twice the calls, so it has to be
        drawn twice as often.
        """
        stats = self.target_stats.stats_of(member.node)
        return fastest / stats.speed.ratio_at(now)

    def choose_by_level(
        self,
        call: Call,
        near: Member,
        far: Member,
        now: float,
    ) -> Member:
        """Choose between two saturated targets by their admission levels.

        The near one is left only if it may soon refuse the call. Following
        every difference of levels would send all callers to the same target,
        because levels change more slowly than calls arrive.
        """
        near_level = self.reported_levels.level_of(near.node, now)
        far_level = self.reported_levels.level_of(far.node, now)
        is_critical = call.priority is Priority.CRITICAL
        margin = CRITICAL_LEVEL_MARGIN if is_critical else LEVEL_MARGIN
        is_risky = shedding_position_of(call) + margin >= near_level
        return far if is_risky and far_level > near_level else near

    def is_saturated(self, member: Member, now: float) -> bool:
        """Tell whether calls wait at the target.

        Its admission level then says more than its occupancy.
        """
        return self.occupancy(member, now) > 1

    def occupancy(self, member: Member, now: float) -> float:
        """Return the calls at the target relative to its limit, if known."""
        return self.target_stats.stats_of(member.node).occupancy(
            member.load, now
        )

    def score(self, member: Member, now: float) -> float:
        """Return the expected seconds at the target; lower is better."""
        return self.target_stats.stats_of(member.node).score(
            member.load, self.usual_s(member), now
        )

    def rank(
        self, member: Member, usual_s: float, now: float
    ) -> tuple[bool, float]:
        """Return whether a call has to wait at the target, and its score."""
        return self.target_stats.stats_of(member.node).rank(
            member.load, usual_s, now
        )

    def usual_s(self, member: Member) -> float:
        """Return the mean seconds of a call to the member's service."""
        return self.speeds.mean_s(member.service, INITIAL_LATENCY_S)

    def may_start_elsewhere(
        self, request: PlacementRequest, chosen: Member, now: float
    ) -> bool:
        """Tell whether another target is expected to start a call in time.

        Only a few of the others are checked, so that the time does not grow
        with the fleet. Mostly the other candidate of the choice has a free
        slot, and nothing else has to be looked at.
        """
        if self.has_free_second:
            return True
        members = request.members
        count = len(members)
        if count < 2:
            return False
        first = int(self.rng.random() * count)
        for step in range(min(count, ALTERNATIVES_CHECKED + 1)):
            member = members[(first + step) % count]
            if member.node != chosen.node and self.starts_in_time(
                member, request.call, now
            ):
                return True
        return False

    def starts_in_time(self, member: Member, call: Call, now: float) -> bool:
        """Tell whether a usable member is expected to start a call in time."""
        stats = self.target_stats.stats_of(member.node)
        if member.state is not MemberState.UP or not stats.has_no_faults(now):
            return False
        if stats.is_answer_overdue(now):
            return False
        occupancy, pace = stats.assume(member.load, now)
        if occupancy < FULL_OCCUPANCY:
            return True
        relative_s = self.usual_s(member) * pace * stats.speed.ratio_at(now)
        return not is_too_late(
            now + expected_wait_s(occupancy, relative_s),
            call.deadline - relative_s,
            objective_margin_s(call),
            now,
        )

    def uneven_ratios(self, now: float) -> dict[str, float]:
        """Return the ratios of targets that are faster or slower than usual."""
        ratios = {
            node: stats.speed.ratio_at(now)
            for node, stats in self.target_stats.by_node.items()
        }
        uneven = [
            (max(ratio, 1 / ratio), node)
            for node, ratio in ratios.items()
            if not 1 / UNEVEN_RATIO < ratio < UNEVEN_RATIO
        ]
        uneven.sort(reverse=True)
        return {node: ratios[node] for _, node in uneven[:MAX_UNEVEN_TARGETS]}

    def record_sent(self, member: Member, now: float) -> None:
        """Record that an attempt was sent to a member."""
        if member.zone != self.zone:
            self.calls_to_other_zones += 1
        self.target_stats.stats_of(member.node).record_sent(now)

    def record_answer(
        self,
        member: Member,
        load: GateLoad,
        latency_s: float,
        now: float,
        route: str = '',
    ) -> None:
        """Record a complete answer, its latency and the load sent with it."""
        stats = self.target_stats.stats_of(member.node)
        stats.record_success(latency_s)
        self.speeds.record_answer(
            stats.speed,
            member.service,
            route,
            load.service_s,
            latency_s,
            now,
        )
        self.record_refusal(member, load, now)

    def record_refusal(
        self,
        member: Member,
        load: GateLoad,
        now: float,
    ) -> None:
        """Record a refusal of the member's gate, which is no failure."""
        stats = self.target_stats.stats_of(member.node)
        stats.record_ended()
        stats.record_load(load, now)
        if self.spillover.by_service:
            self.spillover.record_report(member, stats)
        self.target_stats.record_zone_reachable(member)
        self.reported_levels.record(member.node, load.admission_level, now)

    def record_failure(self, member: Member, reached: bool, now: float) -> None:
        """Record a failed attempt.

        ``reached`` is true if the node answered, so that only its target
        failed.
        """
        stats = self.target_stats.stats_of(member.node)
        stats.record_ended()
        stats.record_failure(reached, now)
        if not reached:
            self.target_stats.record_zone_unreachable(member, now)

    def record_abandoned(self, member: Member) -> None:
        """Record that this node cancelled an attempt."""
        self.target_stats.stats_of(member.node).record_ended()


def create_router(
    zone: str,
    local_node: str,
    rng: random.Random,
    evacuated: EvacuatedZones | None = None,
) -> Router:
    """Create the router of one node, by default without evacuated zones."""
    return Router(zone, local_node, rng, evacuated or EvacuatedZones())
