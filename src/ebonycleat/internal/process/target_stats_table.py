"""Observations of all targets that a node calls, and which are usable."""

import dataclasses
import enum
import functools
from collections.abc import Sequence

import msgspec

from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.target_stats import Ejection, TargetStats

FAILURES_TO_EJECT_ZONE = 3
INITIAL_ZONE_EJECTION_S = 1
MAX_ZONE_EJECTION_S = 8
"""A zone that is reachable again is tried after at most this long."""

OVERDUE_CHECK_INTERVAL_S = 0.01
"""How long a service in which no answer was overdue is not searched again. An
answer is overdue after at least five times as long."""

MAX_VIEWS = 1024
"""Limit of services of which the checked members are kept."""

MAX_TARGETS = 8192
MAX_ZONE_EJECTIONS = 1024


class MemberState(enum.Enum):
    """State that a member announces of its target."""

    UP = 'up'
    DRAINING = 'draining'


class Member(msgspec.Struct, frozen=True):
    """A node whose target runs a service.

    ``load`` is the load that the node last announced, if any. ``service`` is
    the service that its target runs, empty if the node is not told.
    """

    node: str
    zone: str
    state: MemberState = MemberState.UP
    load: GateLoad | None = None
    service: str = ''


@dataclasses.dataclass(slots=True)
class MembersView:
    """What was found out about a list of members, as long as it is the same.

    Until ``no_overdue_until`` none of their answers counts as overdue.
    ``by_zone`` has the members of the zones that were asked for.
    """

    members: Sequence[Member]
    are_all_up: bool
    no_overdue_until: float = 0
    by_zone: dict[str, Sequence[Member]] = dataclasses.field(
        default_factory=dict
    )


class TargetStatsTable:
    """Observations by target (its node's id), and ejections of zones.

    A zone is ejected for one service only: where the targets of one do not
    answer because they are dead, those of others may be well. ``suspects`` has
    the targets, and ``suspect_zones`` the zones, of which a fault was recorded
    that may last. Mostly there are none, and no list of members is searched
    for them.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.by_node: dict[str, TargetStats] = {}
        self.zone_ejections: dict[tuple[str, str], Ejection] = {}
        self.suspects: dict[str, TargetStats] = {}
        self.suspect_zones: list[Ejection] = []
        self.views: dict[str, MembersView] = {}

    def stats_of(self, node: str) -> TargetStats:
        """Return the observations of a target, new ones if there are none.

        The oldest entry is dropped when ``MAX_TARGETS`` are stored.
        """
        stats = self.by_node.get(node)
        if stats is None:
            if len(self.by_node) >= MAX_TARGETS:
                self.by_node.pop(next(iter(self.by_node)))
            stats = TargetStats(functools.partial(self.add_suspect, node))
            self.by_node[node] = stats
        return stats

    def add_suspect(self, node: str) -> None:
        """Remember that a fault of a target was recorded."""
        stats = self.by_node.get(node)
        if stats is not None:
            self.suspects[node] = stats

    def view_of(self, members: Sequence[Member]) -> MembersView:
        """Return the view of the members of one service, a new one if needed."""
        service = members[0].service if members else ''
        view = self.views.get(service)
        if view is None or view.members is not members:
            if len(self.views) >= MAX_VIEWS:
                self.views.clear()
            view = MembersView(
                members,
                all(member.state is MemberState.UP for member in members),
            )
            self.views[service] = view
        return view

    def ejection_of_zone(self, member: Member) -> Ejection:
        """Return the ejection state of a member's zone for its service."""
        key = (member.service, member.zone)
        ejection = self.zone_ejections.get(key)
        if ejection is None:
            if len(self.zone_ejections) >= MAX_ZONE_EJECTIONS:
                dropped = self.zone_ejections.pop(
                    next(iter(self.zone_ejections))
                )
                self.suspect_zones = [
                    suspect
                    for suspect in self.suspect_zones
                    if suspect is not dropped
                ]
            ejection = Ejection(INITIAL_ZONE_EJECTION_S, MAX_ZONE_EJECTION_S)
            self.zone_ejections[key] = ejection
        return ejection

    def usable_members(
        self, members: Sequence[Member], now: float
    ) -> Sequence[Member]:
        """Return the members that may get a call now.

        At most half of the members are ejected, those with the most failures.
        Members that are draining, down or in an ejected zone are left out as
        well, and do not count towards that half.
        """
        if self.has_no_faults(members, now):
            return members
        ejected_zones = self.eject_unreachable_zones(members, now)
        reachable = [
            member
            for member in members
            if member.zone not in ejected_zones
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
        """Tell whether no reason is known to avoid any member or zone.

        This is nearly always so, and saves the checks of each member.
        """
        if self.suspect_zones:
            self.suspect_zones = [
                ejection
                for ejection in self.suspect_zones
                if ejection.is_on_trial or ejection.is_active(now)
            ]
            if self.suspect_zones:
                return False
        if self.suspects:
            self.suspects = {
                node: stats
                for node, stats in self.suspects.items()
                if not stats.has_no_faults(now)
            }
            if any(member.node in self.suspects for member in members):
                return False
        return self.view_of(members).are_all_up

    def members_in_zone(
        self, members: Sequence[Member], zone: str
    ) -> Sequence[Member]:
        """Return the members in a zone; they are searched once for a view."""
        view = self.views.get(members[0].service) if members else None
        if view is None or view.members is not members:
            return [member for member in members if member.zone == zone]
        found = view.by_zone.get(zone)
        if found is None:
            found = [member for member in members if member.zone == zone]
            view.by_zone[zone] = found
        return found

    def answering_members(
        self, members: Sequence[Member], now: float
    ) -> Sequence[Member]:
        """Return the members of which no answer is overdue."""
        view = self.views.get(members[0].service)
        is_known = view is not None and view.members is members
        if is_known and view and now < view.no_overdue_until:
            return members
        answering = [
            member
            for member in members
            if not self.stats_of(member.node).is_answer_overdue(now)
        ]
        if view and is_known and len(answering) == len(members):
            view.no_overdue_until = now + OVERDUE_CHECK_INTERVAL_S
            return members
        return answering

    def may_receive_call(self, member: Member) -> bool:
        """Tell whether the member may get another call.

        While the target or its zone is on trial, the target gets only one
        call at a time.
        """
        stats = self.stats_of(member.node)
        on_trial = stats.ejection.is_on_trial or (
            self.ejection_of_zone(member).is_on_trial
        )
        return not (on_trial and stats.in_flight)

    def find_ejected(
        self,
        members: Sequence[Member],
        max_ejected: int,
        now: float,
    ) -> set[str]:
        """Return up to ``max_ejected`` ejected nodes, by most failures."""
        failing = [
            member.node
            for member in members
            if self.stats_of(member.node).ejection.is_active(now)
        ]
        failing.sort(key=self.count_failures, reverse=True)
        return set(failing[:max_ejected])

    def count_failures(self, node: str) -> int:
        """Return the failures of a target since its last success."""
        return self.stats_of(node).consecutive_failures

    def eject_unreachable_zones(
        self,
        members: Sequence[Member],
        now: float,
    ) -> set[str]:
        """Eject zones without a reachable member; return all ejected ones.

        A zone is ejected when every member of the service in it failed to
        answer, ``FAILURES_TO_EJECT_ZONE`` times altogether.
        """
        members_by_zone: dict[str, list[Member]] = {}
        for member in members:
            members_by_zone.setdefault(member.zone, []).append(member)
        ejected: set[str] = set()
        for zone, near_members in members_by_zone.items():
            failures = [
                self.stats_of(near.node).consecutive_unreachable
                for near in near_members
            ]
            is_unreachable = min(failures) > 0
            if is_unreachable and sum(failures) >= FAILURES_TO_EJECT_ZONE:
                self.eject_zone(near_members[0], now)
            if self.ejection_of_zone(near_members[0]).is_active(now):
                ejected.add(zone)
        return ejected

    def eject_zone(self, member: Member, now: float) -> None:
        """Eject a member's zone, unless it is ejected or on trial already."""
        ejection = self.ejection_of_zone(member)
        if not ejection.is_on_trial:
            ejection.eject(now)
            self.suspect_zones.append(ejection)

    def record_zone_unreachable(self, member: Member, now: float) -> None:
        """Eject a zone again if it is on trial and a call got no answer."""
        ejection = self.ejection_of_zone(member)
        if ejection.is_on_trial:
            ejection.eject(now)

    def record_zone_reachable(self, member: Member) -> None:
        """End the ejection of a zone: a node there answered."""
        self.ejection_of_zone(member).reset()
