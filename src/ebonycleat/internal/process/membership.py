"""Which nodes serve what, which of them live, and how others learn of us."""

import math
from typing import TypeAlias

from ebonycleat.internal.process.effects import AppendResult, Effect
from ebonycleat.internal.process.announcements import (
    AnnouncementWriter,
    GossipMessage,
    AnnouncementGossip,
    SeedNode,
)
from ebonycleat.internal.process.heartbeat_hubs import HubAssignment
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    MemberHeartbeat,
    HubDigest,
    MemberChange,
    MemberState,
    Subscribe,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import MemberTable
from ebonycleat.internal.process.heartbeat_distribution import (
    HeartbeatDistribution,
    TargetLoad,
)

HEARTBEAT_INTERVAL_S = 0.3

# A heartbeat is at most 0.9 s old at a subscriber, under half of the 2 s
# after which a silent member gets no new work.
DIGEST_INTERVAL_S = 0.6

SUMMARY_INTERVAL_S = 1.2

SUBSCRIBE_INTERVAL_S = 5

ASK_INTERVAL_S = 1

MemberMessage: TypeAlias = (
    MemberHeartbeat | HubDigest | Subscribe | GossipMessage
)


class Membership:
    """The membership decisions of one node."""

    def __init__(
        self,
        own: Announcement,
        called_services: tuple[str, ...] = (),
        seeds: tuple[SeedNode, ...] = (),
    ) -> None:
        """Know only oneself; ``calls`` are the services that are called."""
        self.announcement_writer = AnnouncementWriter(own)
        self.seeds = seeds
        self.table = MemberTable()
        plan = HubAssignment(self.table)
        self.heartbeats = HeartbeatDistribution(
            own, called_services, self.table, plan
        )
        self.gossip = AnnouncementGossip(own, seeds, self.table, plan)
        self.load = TargetLoad()
        self.has_read_log = False
        self.due_at: dict[str, float] = {}
        self.subscribed_version = -1
        self.digest_version = -1
        self.table.apply_announcement(own)

    def change_state(self, state: MemberState, now: float) -> list[Effect]:
        """Drain or leave: tell the hubs at once, and the log."""
        self.announcement_writer.change_state(state)
        self.table.apply_announcement(self.announcement_writer.own)
        self.due_at.clear()
        return self.tick(now)

    def apply_announcement(self, record: Announcement) -> None:
        """Take a record of the ``members`` stream."""
        if record.node != self.announcement_writer.own.node:
            self.table.apply_announcement(record)

    def log_reached_end(self, now: float) -> None:
        """Note that the ``members`` stream was read to its end."""
        self.has_read_log = True
        self.table.log_reached_end(now)

    def handle_append_result(self, append: AppendResult, now: float) -> None:
        """Take the result of an append of the own announcement."""
        self.announcement_writer.handle_append_result(append, now)

    def handle_message(
        self, message: MemberMessage, now: float
    ) -> list[Effect]:
        """Take a peer message; return what it makes this node send."""
        if isinstance(message, MemberHeartbeat):
            self.table.apply_heartbeat(message, now)
        elif isinstance(message, HubDigest):
            self.heartbeats.apply_digest(message, now)
        elif isinstance(message, Subscribe):
            self.heartbeats.hub.add_subscription(message, now)
        else:
            return self.gossip.handle_message(message)
        return []

    def handle_link_change(self, node: str, *, reachable: bool) -> None:
        """Note that the link to a node was lost or works again."""
        self.table.set_reachable(node, reachable=reachable)

    def tick(self, now: float) -> list[Effect]:
        """Advance time; call it at least every 100 ms."""
        self.table.tick(now)
        effects = self.announcement_writer.tick(now)
        own = self.announcement_writer.own
        if self._is_due('beat', HEARTBEAT_INTERVAL_S, now):
            effects.extend(self.heartbeats.send_heartbeat(own, self.load, now))
        # A node that drains or leaves is news that does not wait.
        if self.digest_version != self.table.version:
            self.due_at.pop('digest', None)
        if self._is_due('digest', DIGEST_INTERVAL_S, now):
            self.digest_version = self.table.version
            with_summaries = self._is_due('summary', SUMMARY_INTERVAL_S, now)
            effects.extend(
                self.heartbeats.send_digests(
                    now, with_summaries=with_summaries
                ),
            )
        if self.subscribed_version != self.table.version:
            self.due_at.pop('subscribe', None)
        if self._is_due('subscribe', SUBSCRIBE_INTERVAL_S, now):
            self.subscribed_version = self.table.version
            effects.extend(self.heartbeats.send_subscriptions())
        if not self.has_read_log and self._is_due('ask', ASK_INTERVAL_S, now):
            effects.extend(self.gossip.query_seeds(own))
        return effects

    def pop_changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        changes = self.table.changes
        self.table.changes = []
        return changes

    def live_members_of(self, service: str, now: float) -> list[Announcement]:
        """Return the members of a service that may get new work."""
        return [
            member.announcement
            for member in self.table.list_live(now)
            if member.announcement.service == service
        ]

    def live_members_in(self, zone: str, now: float) -> list[Announcement]:
        """Return the members of a zone that are heard and not draining."""
        return [
            member.announcement
            for member in self.table.list_live(now)
            if member.announcement.zone == zone
        ]

    def registered_members(self) -> list[Announcement]:
        """Return all members that have not left, heard or not."""
        return [
            member.announcement
            for _, member in sorted(self.table.members.items())
            if member.state is not MemberState.LEFT
        ]

    def zone_summaries(self, service: str, now: float) -> list[ZoneSummary]:
        """Return the fresh summaries of a service, one for each zone."""
        return self.heartbeats.zone_summaries(service, now)

    def find_heartbeat(self, node: str) -> MemberHeartbeat | None:
        """Return the latest heartbeat of a node."""
        member = self.table.members.get(node)
        return None if member is None else member.heartbeat

    def address_of(self, node: str) -> str:
        """Return the peer address of a node, empty if it is not known."""
        member = self.table.members.get(node)
        if member is not None:
            return member.announcement.peer_address
        for seed in self.seeds:
            if seed.node == node:
                return seed.address
        return ''

    def _is_due(self, duty: str, interval_s: float, now: float) -> bool:
        if now < self.due_at.get(duty, -math.inf):
            return False
        self.due_at[duty] = now + interval_s
        return True
