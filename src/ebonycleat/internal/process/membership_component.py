"""The membership component of a node and the directory for its ingress."""

from collections.abc import Iterable, Sequence

from ebonycleat.internal.process.effects import AppendResult, Effect
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.heartbeat_distribution import TargetLoad
from ebonycleat.internal.process.membership import (
    MemberMessage,
    Membership,
)
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberHeartbeat,
    MemberNews,
    MembersAsk,
    MemberState,
    MembersTold,
    Subscribe,
)
from ebonycleat.internal.process.rendezvous import Member as SlotMember
from ebonycleat.internal.process.service_directory import ServiceDirectory
from ebonycleat.internal.process.settings import split_address
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.version.configuration_view import ConfigurationView

MEMBER_RECORDS = (Announcement,)
MEMBER_MESSAGES = (
    MemberHeartbeat,
    HubDigest,
    Subscribe,
    MembersAsk,
    MembersTold,
    MemberNews,
)


class MemberDirectory(ServiceDirectory):
    """Lists live members by service, with a cache that each tick clears.

    Every call looks up members, so lists are cached. A member whose
    heartbeats stop is therefore left out from the next tick on.
    """

    def __init__(self, membership: Membership) -> None:
        """List the members of ``membership``."""
        self.membership = membership
        self.by_service: dict[str, list[Member]] = {}

    def members_of(self, service: str, now: float) -> Sequence[Member]:
        """Return the members of a service that may get new calls."""
        members = self.by_service.get(service)
        if members is None:
            members = self.look_up(service, now)
            self.by_service[service] = members
        return members

    def zones_of(self, service: str, now: float) -> frozenset[str]:
        """Return the zones that have members of a service."""
        members = self.members_of(service, now)
        return frozenset(member.zone for member in members)

    def invalidate(self) -> None:
        """Clear the cache, so that the next call looks members up again."""
        self.by_service.clear()

    def look_up(self, service: str, now: float) -> list[Member]:
        """Find members by their heartbeats and by summaries of other zones.

        This node itself is included if it serves the service and is not
        draining.
        """
        by_node = {
            member.node: Member(member.node, member.zone)
            for member in self.membership.live_members_of(service, now)
        }
        for summary in self.membership.zone_summaries(service, now):
            for node in summary.sample_nodes:
                if not self.is_known_unavailable(node):
                    by_node.setdefault(node, Member(node, summary.zone))
        own = self.membership.announcement_writer.own_announcement
        if own.service == service and own.state is MemberState.UP:
            by_node.setdefault(own.node, Member(own.node, own.zone))
        return list(by_node.values())

    def is_known_unavailable(self, node: str) -> bool:
        """Tell whether a node that a summary names must get no new calls.

        Summaries are up to 5 s old. Newer information takes precedence: that
        the node's heartbeats stopped, or that it announced that it is
        draining or has left.
        """
        member = self.membership.table.members.get(node)
        if member is None:
            return False
        is_silent = member.heartbeat is not None and not member.is_live
        return is_silent or member.state is not MemberState.UP


class MembershipComponent:
    """Connects the membership to the log, the peers and other components."""

    def __init__(
        self,
        membership: Membership,
        directory: MemberDirectory,
    ) -> None:
        """Serve one node; ``directory`` must list ``membership``."""
        self.membership = membership
        self.directory = directory
        self.last_live_members: tuple[SlotMember, ...] = ()

    def update_configuration(self, view: ConfigurationView) -> None:
        """Subscribe to the services to which the configured routes lead."""
        services = {route.service for _, route in view.routes.items()}
        self.membership.heartbeats.called_services = tuple(sorted(services))
        self.membership.subscribed_version = -1

    def apply_records(
        self,
        records: Iterable[tuple[int, object]],
        now: float,
        *,
        at_end: bool,
    ) -> tuple[()]:
        """Apply the announcements among the records of the log.

        ``at_end`` tells that the stream has no further records.
        """
        for _, record in records:
            if isinstance(record, Announcement):
                self.membership.apply_announcement(record)
        if at_end:
            self.membership.log_reached_end(now)
        return ()

    def handle_message(
        self, message: MemberMessage, now: float
    ) -> list[Effect]:
        """Handle a message of another node about membership."""
        return self.membership.handle_message(message, now)

    def handle_link_change(self, node: str, *, reachable: bool) -> None:
        """Record that the link to a node was lost or works again."""
        self.membership.handle_link_change(node, reachable=reachable)

    def handle_append_result(
        self, append_result: AppendResult, now: float
    ) -> None:
        """Handle the result of the append of the own announcement."""
        self.membership.handle_append_result(append_result, now)

    def start_draining(self, now: float) -> list[Effect]:
        """Announce that this node accepts no new calls."""
        self.directory.invalidate()
        return self.membership.change_state(MemberState.DRAINING, now)

    def pop_changed_live_members(
        self, now: float
    ) -> tuple[SlotMember, ...] | None:
        """Return the live members if they changed since the last call."""
        live = tuple(
            SlotMember(
                member.announcement.node,
                member.announcement.zone,
                (member.announcement.service,),
            )
            for member in self.membership.table.list_live(now)
        )
        if live == self.last_live_members:
            return None
        self.last_live_members = live
        return live

    def tick(self, load: GateLoad, now: float) -> list[Effect]:
        """Send due heartbeats and digests; ``load`` is the own gate's."""
        self.membership.load = TargetLoad(
            load.queued,
            load.running,
            load.admission_level,
        )
        effects = self.membership.tick(now)
        self.directory.invalidate()
        return effects

    def address_of(self, node: str) -> tuple[str, int] | None:
        """Return host and port for peers of a node, or None if unknown."""
        address = self.membership.address_of(node)
        return split_address(address) if address else None
