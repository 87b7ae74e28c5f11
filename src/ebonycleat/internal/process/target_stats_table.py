"""All targets that this node calls, and which of them it may use now."""

import enum
from collections.abc import Sequence

import msgspec

from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.target_stats import Ejection, TargetStats

FAILURES_TO_EJECT_ZONE = 3
INITIAL_ZONE_EJECTION_S = 1
MAX_ZONE_EJECTION_S = 8
"""A zone that is back is noticed at most this long afterwards."""

MAX_TARGETS = 8192
MAX_ZONES = 256


class MemberState(enum.Enum):
    """State that a member announces."""

    UP = 'up'
    DRAINING = 'draining'


class Member(msgspec.Struct, frozen=True):
    """A node that serves the service; ``load`` as it last announced it."""

    node: str
    zone: str
    state: MemberState = MemberState.UP
    load: GateLoad | None = None


class TargetStatsTable:
    """Records per target, and cuts per zone."""

    def __init__(self) -> None:
        """Start without observations."""
        self.by_node: dict[str, TargetStats] = {}
        self.zone_ejections: dict[str, Ejection] = {}

    def stats_of(self, node: str) -> TargetStats:
        """Record of a target; the oldest record leaves when full."""
        record = self.by_node.get(node)
        if record is None:
            if len(self.by_node) >= MAX_TARGETS:
                self.by_node.pop(next(iter(self.by_node)))
            record = TargetStats()
            self.by_node[node] = record
        return record

    def ejection_of_zone(self, zone: str) -> Ejection:
        """State of a zone as seen from this node."""
        cut = self.zone_ejections.get(zone)
        if cut is None:
            if len(self.zone_ejections) >= MAX_ZONES:
                self.zone_ejections.pop(next(iter(self.zone_ejections)))
            cut = Ejection(INITIAL_ZONE_EJECTION_S, MAX_ZONE_EJECTION_S)
            self.zone_ejections[zone] = cut
        return cut

    def usable_members(
        self, members: Sequence[Member], now: float
    ) -> list[Member]:
        """Members that may get a call now.

        At most half of a service's targets are ejected, the ones with most
        failures; draining targets and zones cut off do not count.
        """
        if self.has_no_faults(members, now):
            return list(members)
        cut_zones = self.find_ejected_zones(members, now)
        reachable = [
            member
            for member in members
            if member.zone not in cut_zones
            and member.state is MemberState.UP
            and not self.stats_of(member.node).is_unavailable(now)
        ]
        ejected = self.find_ejected(reachable, len(members) // 2, now)
        return [
            member
            for member in reachable
            if member.node not in ejected and self.may_receive_call(member)
        ]

    def has_no_faults(self, members: Sequence[Member], now: float) -> bool:
        """Whether nothing is known against any member or zone.

        Nearly always so, and then no member needs a closer look.
        """
        for cut in self.zone_ejections.values():
            if cut.is_on_trial or now < cut.ends_at:
                return False
        for member in members:
            record = self.stats_of(member.node)
            if member.state is not MemberState.UP or not record.has_no_faults(
                now
            ):
                return False
        return True

    def may_receive_call(self, member: Member) -> bool:
        """On trial, also of its zone, a target gets one call at a time."""
        record = self.stats_of(member.node)
        on_trial = record.ejection.is_on_trial or (
            self.ejection_of_zone(member.zone).is_on_trial
        )
        return not (on_trial and record.in_flight)

    def find_ejected(
        self,
        members: Sequence[Member],
        most: int,
        now: float,
    ) -> set[str]:
        """Nodes whose ejection is honoured, at most ``most``."""
        failing = [
            member.node
            for member in members
            if self.stats_of(member.node).ejection.is_active(now)
        ]
        failing.sort(key=self.count_failures, reverse=True)
        return set(failing[:most])

    def count_failures(self, node: str) -> int:
        """Failures of a target since its last success."""
        return self.stats_of(node).consecutive_failures

    def find_ejected_zones(
        self,
        members: Sequence[Member],
        now: float,
    ) -> set[str]:
        """Zones of which this node reaches no member of the service."""
        unreached: dict[str, list[int]] = {}
        for member in members:
            failures = self.stats_of(member.node).consecutive_unreachable
            unreached.setdefault(member.zone, []).append(failures)
        for zone, failures_by_node in unreached.items():
            is_silent = min(failures_by_node) > 0
            if is_silent and sum(failures_by_node) >= FAILURES_TO_EJECT_ZONE:
                self.eject_zone(zone, now)
        return {
            name
            for name in unreached
            if self.ejection_of_zone(name).is_active(now)
        }

    def eject_zone(self, zone: str, now: float) -> None:
        """Avoid a silent zone; the first trial comes when the time is up."""
        cut = self.ejection_of_zone(zone)
        if not cut.is_on_trial:
            cut.eject(now)

    def record_zone_unreachable(self, zone: str, now: float) -> None:
        """Prolong the cut of a zone whose trial call got no answer."""
        cut = self.ejection_of_zone(zone)
        if cut.is_on_trial:
            cut.eject(now)

    def record_zone_reachable(self, zone: str) -> None:
        """End the cut of a zone: a node there answered."""
        self.ejection_of_zone(zone).reset()
