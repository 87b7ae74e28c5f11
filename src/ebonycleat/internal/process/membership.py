"""The membership of one node: known members, liveness and announcements."""

import math
from typing import TypeAlias

from ebonycleat.internal.process.announcements import (
    AnnouncementGossip,
    AnnouncementWriter,
    GossipMessage,
    SeedNode,
)
from ebonycleat.internal.process.effects import AppendResult, Effect
from ebonycleat.internal.process.heartbeat_distribution import (
    HeartbeatDistribution,
    TargetLoad,
)
from ebonycleat.internal.process.heartbeat_hubs import HubAssignment
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberChange,
    MemberHeartbeat,
    MemberState,
    Subscribe,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import MemberTable

HEARTBEAT_INTERVAL_S = 0.3

# A heartbeat is at most 0.9 s old when a subscriber gets it. This is less than
# half of the 2 s after which a member without heartbeats gets no new calls.
DIGEST_INTERVAL_S = 0.6

SUMMARY_INTERVAL_S = 1.2

SUBSCRIBE_INTERVAL_S = 5

SEED_QUERY_INTERVAL_S = 1

MemberMessage: TypeAlias = (
    MemberHeartbeat | HubDigest | Subscribe | GossipMessage
)


class Membership:
    """Decides what a node sends and which members it considers live.

    It performs no I/O: methods return effects. Times are in seconds on the
    node's clock.
    """

    def __init__(
        self,
        own_announcement: Announcement,
        called_services: tuple[str, ...] = (),
        seeds: tuple[SeedNode, ...] = (),
    ) -> None:
        """Start with this node as the only member.

        ``called_services`` are the services that the node sends calls to.
        ``seeds`` are queried until the log was read.
        """
        self.announcement_writer = AnnouncementWriter(own_announcement)
        self.seeds = seeds
        self.table = MemberTable()
        hub_assignment = HubAssignment(self.table)
        self.heartbeats = HeartbeatDistribution(
            own_announcement, called_services, self.table, hub_assignment
        )
        self.gossip = AnnouncementGossip(
            own_announcement, seeds, self.table, hub_assignment
        )
        self.load = TargetLoad()
        self.has_read_log = False
        self.due_at: dict[str, float] = {}
        self.subscribed_version = -1
        self.digest_version = -1
        self.table.apply_announcement(own_announcement)

    def change_state(self, state: MemberState, now: float) -> list[Effect]:
        """Change the own state and announce it immediately.

        A node calls this when it starts to drain and when it leaves.
        """
        self.announcement_writer.change_state(state)
        self.table.apply_announcement(self.announcement_writer.own_announcement)
        self.due_at.clear()
        return self.tick(now)

    def apply_announcement(self, record: Announcement) -> None:
        """Apply a record of the ``members`` stream.

        Records about this node are ignored, because it knows its own state.
        """
        if record.node != self.announcement_writer.own_announcement.node:
            self.table.apply_announcement(record)

    def log_reached_end(self, now: float) -> None:
        """Record that the ``members`` stream was read to its end."""
        self.has_read_log = True
        self.table.log_reached_end(now)

    def handle_append_result(self, append: AppendResult, now: float) -> None:
        """Handle the result of the append of the own announcement."""
        self.announcement_writer.handle_append_result(append, now)

    def handle_message(
        self, message: MemberMessage, now: float
    ) -> list[Effect]:
        """Handle a peer message and return the messages to send."""
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
        """Record that the link to a node was lost or works again."""
        self.table.set_reachable(node, reachable=reachable)

    def tick(self, now: float) -> list[Effect]:
        """Return what is due to be sent; call it at least every 100 ms."""
        self.table.tick(now)
        effects = self.announcement_writer.tick(now)
        own_announcement = self.announcement_writer.own_announcement
        if self._is_due('heartbeat', HEARTBEAT_INTERVAL_S, now):
            effects.extend(
                self.heartbeats.send_heartbeat(own_announcement, self.load, now)
            )
        # Changes of members, such as a node that drains, are sent without
        # waiting for the interval.
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
        if not self.has_read_log and self._is_due(
            'seed query', SEED_QUERY_INTERVAL_S, now
        ):
            effects.extend(self.gossip.query_seeds(own_announcement))
        return effects

    def pop_changes(self) -> list[MemberChange]:
        """Return and clear the changes of members since the last call."""
        changes = self.table.changes
        self.table.changes = []
        return changes

    def live_members_of(self, service: str, now: float) -> list[Announcement]:
        """Return the members of a service that may get new calls."""
        return [
            member.announcement
            for member in self.table.list_live(now)
            if member.announcement.service == service
        ]

    def live_members_in(self, zone: str, now: float) -> list[Announcement]:
        """Return the members of a zone that may get new calls."""
        return [
            member.announcement
            for member in self.table.list_live(now)
            if member.announcement.zone == zone
        ]

    def registered_members(self) -> list[Announcement]:
        """Return the members that have not left, whether live or not."""
        return [
            member.announcement
            for _, member in sorted(self.table.members.items())
            if member.state is not MemberState.LEFT
        ]

    def zone_summaries(self, service: str, now: float) -> list[ZoneSummary]:
        """Return the recent summaries of a service, one for each zone."""
        return self.heartbeats.zone_summaries(service, now)

    def find_heartbeat(self, node: str) -> MemberHeartbeat | None:
        """Return the latest heartbeat of a node, or None."""
        member = self.table.members.get(node)
        return None if member is None else member.heartbeat

    def address_of(self, node: str) -> str:
        """Return the peer address of a node, or '' if it is unknown."""
        member = self.table.members.get(node)
        if member is not None:
            return member.announcement.peer_address
        for seed in self.seeds:
            if seed.node == node:
                return seed.address
        return ''

    def _is_due(self, task: str, interval_s: float, now: float) -> bool:
        if now < self.due_at.get(task, -math.inf):
            return False
        self.due_at[task] = now + interval_s
        return True
