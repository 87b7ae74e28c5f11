"""All targets that this node calls, and which of them it may use now."""

import enum
from collections.abc import Sequence

import msgspec

from ebonycleat.internal.process.gate_events import GateLoad
from ebonycleat.internal.process.target_record import Ejection, TargetRecord

ZONE_FAILURES = 3
FIRST_ZONE_CUT_S = 1
LONGEST_ZONE_CUT_S = 8
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


class TargetRecords:
    """Records per target, and cuts per zone."""

    def __init__(self) -> None:
        """Start without observations."""
        self.by_node: dict[str, TargetRecord] = {}
        self.zone_cuts: dict[str, Ejection] = {}

    def of(self, node: str) -> TargetRecord:
        """Record of a target; the oldest record leaves when full."""
        record = self.by_node.get(node)
        if record is None:
            if len(self.by_node) >= MAX_TARGETS:
                self.by_node.pop(next(iter(self.by_node)))
            record = TargetRecord()
            self.by_node[node] = record
        return record

    def cut_of(self, zone: str) -> Ejection:
        """State of a zone as seen from this node."""
        cut = self.zone_cuts.get(zone)
        if cut is None:
            if len(self.zone_cuts) >= MAX_ZONES:
                self.zone_cuts.pop(next(iter(self.zone_cuts)))
            cut = Ejection(FIRST_ZONE_CUT_S, LONGEST_ZONE_CUT_S)
            self.zone_cuts[zone] = cut
        return cut

    def usable(self, members: Sequence[Member], now: float) -> list[Member]:
        """Members that may get a call now.

        At most half of a service's targets are ejected, the ones with most
        failures; draining targets and zones cut off do not count.
        """
        if self.is_calm(members, now):
            return list(members)
        cut_zones = self.find_cut_zones(members, now)
        reachable = [
            member
            for member in members
            if member.zone not in cut_zones
            and member.state is MemberState.UP
            and not self.of(member.node).is_closed(now)
        ]
        ejected = self.find_ejected(reachable, len(members) // 2, now)
        return [
            member
            for member in reachable
            if member.node not in ejected and self.has_turn(member)
        ]

    def is_calm(self, members: Sequence[Member], now: float) -> bool:
        """Whether nothing is known against any member or zone.

        Nearly always so, and then no member needs a closer look.
        """
        for cut in self.zone_cuts.values():
            if cut.on_trial or now < cut.until:
                return False
        for member in members:
            record = self.of(member.node)
            if member.state is not MemberState.UP or not record.is_calm(now):
                return False
        return True

    def has_turn(self, member: Member) -> bool:
        """On trial, also of its zone, a target gets one call at a time."""
        record = self.of(member.node)
        on_trial = record.ejection.on_trial or (
            self.cut_of(member.zone).on_trial
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
            if self.of(member.node).ejection.is_active(now)
        ]
        failing.sort(key=self.count_failures, reverse=True)
        return set(failing[:most])

    def count_failures(self, node: str) -> int:
        """Failures of a target since its last success."""
        return self.of(node).failures_in_row

    def find_cut_zones(
        self,
        members: Sequence[Member],
        now: float,
    ) -> set[str]:
        """Zones of which this node reaches no member of the service."""
        unreached: dict[str, list[int]] = {}
        for member in members:
            failures = self.of(member.node).unreached_in_row
            unreached.setdefault(member.zone, []).append(failures)
        for zone, failures_by_node in unreached.items():
            is_silent = min(failures_by_node) > 0
            if is_silent and sum(failures_by_node) >= ZONE_FAILURES:
                self.start_cut(zone, now)
        return {name for name in unreached if self.cut_of(name).is_active(now)}

    def start_cut(self, zone: str, now: float) -> None:
        """Avoid a silent zone; the first trial comes when the time is up."""
        cut = self.cut_of(zone)
        if not cut.on_trial:
            cut.eject(now)

    def note_unreached(self, zone: str, now: float) -> None:
        """Prolong the cut of a zone whose trial call got no answer."""
        cut = self.cut_of(zone)
        if cut.on_trial:
            cut.eject(now)

    def note_reached(self, zone: str) -> None:
        """End the cut of a zone: a node there answered."""
        self.cut_of(zone).end_trial()
