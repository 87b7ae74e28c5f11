"""Membership as the other parts of a node need it."""

from collections.abc import Iterable, Sequence

from ebonycleat.internal.process.service_directory import ServiceDirectory
from ebonycleat.internal.process.effects import AppendResult, Effect
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.membership import (
    Membership,
    MemberMessage,
)
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberHeartbeat,
    MemberNews,
    MembersAsk,
    MembersTold,
    MemberState,
    Subscribe,
)
from ebonycleat.internal.process.heartbeat_distribution import TargetLoad
from ebonycleat.internal.process.rendezvous import Member as SlotMember
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
    """Live members by service, refreshed when time advances.

    Every call looks them up, so they are kept as ready lists; a member is
    noticed as silent at the next tick at the latest.
    """

    def __init__(self, membership: Membership) -> None:
        """Read from ``membership``."""
        self.membership = membership
        self.by_service: dict[str, list[Member]] = {}

    def members_of(self, service: str, now: float) -> Sequence[Member]:
        """Members of a service that may get new work."""
        members = self.by_service.get(service)
        if members is None:
            members = self.look_up(service, now)
            self.by_service[service] = members
        return members

    def zones_of(self, service: str, now: float) -> frozenset[str]:
        """Zones that have members of the service."""
        members = self.members_of(service, now)
        return frozenset(member.zone for member in members)

    def invalidate(self) -> None:
        """Look members up again when they are next needed."""
        self.by_service.clear()

    def look_up(self, service: str, now: float) -> list[Member]:
        """Find the members heard by this node, and those summaries name."""
        found = {
            known.node: Member(known.node, known.zone)
            for known in self.membership.live_members_of(service, now)
        }
        for summary in self.membership.zone_summaries(service, now):
            for node in summary.sample_nodes:
                if not self.is_known_to_be_gone(node):
                    found.setdefault(node, Member(node, summary.zone))
        own = self.membership.announcement_writer.own
        if own.service == service and own.state is MemberState.UP:
            found.setdefault(own.node, Member(own.node, own.zone))
        return list(found.values())

    def is_known_to_be_gone(self, node: str) -> bool:
        """Tell whether newer news of a node contradicts a summary.

        A summary is up to 5 s old; a node that was heard itself is judged by
        that, and one that announced to leave gets nothing new.
        """
        member = self.membership.table.members.get(node)
        if member is None:
            return False
        heard = member.heartbeat is not None and not member.is_live
        return heard or member.state is not MemberState.UP


class MembershipComponent:
    """Membership, and who is told of changes."""

    def __init__(
        self,
        membership: Membership,
        directory: MemberDirectory,
    ) -> None:
        """Serve one node."""
        self.membership = membership
        self.directory = directory
        self.last_live_members: tuple[SlotMember, ...] = ()

    def update_configuration(self, view: ConfigurationView) -> None:
        """Follow the services that the routes in force lead to."""
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
        """Apply announcements from the log."""
        for _, record in records:
            if isinstance(record, Announcement):
                self.membership.apply_announcement(record)
        if at_end:
            self.membership.log_reached_end(now)
        return ()

    def handle_message(
        self, message: MemberMessage, now: float
    ) -> list[Effect]:
        """Take a message of another node's membership."""
        return self.membership.handle_message(message, now)

    def handle_link_change(self, node: str, *, reachable: bool) -> None:
        """Note that the link to a node was lost or works again."""
        self.membership.handle_link_change(node, reachable=reachable)

    def handle_append_result(
        self, append_result: AppendResult, now: float
    ) -> None:
        """Take the result of the append of the own announcement."""
        self.membership.handle_append_result(append_result, now)

    def start_draining(self, now: float) -> list[Effect]:
        """Announce that this node takes no new work."""
        self.directory.invalidate()
        return self.membership.change_state(MemberState.DRAINING, now)

    def pop_changed_live_members(
        self, now: float
    ) -> tuple[SlotMember, ...] | None:
        """Return the live members once after they changed."""
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
        """Send heartbeats and digests; ``load`` is that of the own gate."""
        self.membership.load = TargetLoad(
            load.queued,
            load.running,
            load.admission_level,
        )
        effects = self.membership.tick(now)
        self.directory.invalidate()
        return effects

    def address_of(self, node: str) -> tuple[str, int] | None:
        """Where a node listens for its peers, if that is known."""
        address = self.membership.address_of(node)
        return split_address(address) if address else None
