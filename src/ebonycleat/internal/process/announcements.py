"""How a node announces itself: by records in the log and by gossip."""

import dataclasses
import math
from typing import TypeAlias

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
    Effect,
    SendToPeer,
)
from ebonycleat.internal.process.heartbeat_hubs import HubAssignment
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    MemberNews,
    MembersAsk,
    MemberState,
    MembersTold,
)
from ebonycleat.internal.process.membership_table import (
    ANNOUNCE_INTERVAL_S,
    MemberTable,
)

APPEND_RETRY_S = 1

# An announcement is sent to this many nodes of each other zone, which pass it
# on to all nodes of theirs.
RELAYS_PER_ZONE = 2

MAX_GOSSIP_HOPS = 2

# About 30 KB of CBOR, so that one message does not block a link for long.
ANNOUNCEMENTS_PER_MESSAGE = 256

GossipMessage: TypeAlias = MembersAsk | MembersTold | MemberNews


@dataclasses.dataclass(frozen=True, slots=True)
class SeedNode:
    """A peer from the settings that a node asks when it cannot read the log.

    The settings name only addresses; the address then also serves as node id.
    """

    node: str
    address: str


class AnnouncementWriter:
    """Decides when this node appends its announcement to the log.

    ``pending_operation_id`` is that of the append in flight, or empty.
    """

    def __init__(self, own_announcement: Announcement) -> None:
        """Append ``own_announcement`` at the first tick."""
        self.own_announcement = own_announcement
        self.due_at = -math.inf
        self.pending_operation_id = ''
        self.appends = 0

    def change_state(self, state: MemberState) -> None:
        """Set the announced state and announce it at the next tick."""
        self.own_announcement = dataclasses.replace(
            self.own_announcement, state=state
        )
        self.pending_operation_id = ''
        self.due_at = -math.inf

    def tick(self, now: float) -> list[Effect]:
        """Return the append that is due."""
        if now < self.due_at or self.pending_operation_id:
            return []
        self.appends += 1
        own = self.own_announcement
        self.pending_operation_id = (
            f'{own.node}/{own.incarnation}/member/{self.appends}'
        )
        record = dataclasses.replace(
            own, operation_id=self.pending_operation_id
        )
        return [
            AppendToLog(LogStream.MEMBERS, record, self.pending_operation_id)
        ]

    def handle_append_result(self, append: AppendResult, now: float) -> None:
        """Schedule the next announcement, soon if the append failed.

        An append whose answer was lost is repeated as well. A second copy of
        the record does no harm, so the log is not searched for the first.
        """
        if append.operation_id != self.pending_operation_id:
            return
        self.pending_operation_id = ''
        pause_s: float = APPEND_RETRY_S
        if isinstance(append, AppendConfirmed):
            pause_s = ANNOUNCE_INTERVAL_S
        self.due_at = now + pause_s


class AnnouncementGossip:
    """Passes announcements between nodes while the log is unavailable."""

    def __init__(
        self,
        own_announcement: Announcement,
        seeds: tuple[SeedNode, ...],
        table: MemberTable,
        hub_assignment: HubAssignment,
    ) -> None:
        """Exchange the announcements of ``table``.

        Announcements are passed on to nodes that ``hub_assignment`` lists.
        """
        self.own_announcement = own_announcement
        self.seeds = seeds
        self.table = table
        self.hub_assignment = hub_assignment

    def query_seeds(self, own_announcement: Announcement) -> list[Effect]:
        """Ask the seeds for their members and send them the announcement."""
        effects: list[Effect] = []
        for seed in self.seeds:
            if seed.node != own_announcement.node:
                effects.extend((
                    SendToPeer(seed.node, MembersAsk(own_announcement.node)),
                    SendToPeer(
                        seed.node, MemberNews(own_announcement, MAX_GOSSIP_HOPS)
                    ),
                ))
        return effects

    def handle_message(self, message: GossipMessage) -> list[Effect]:
        """Answer a query, apply its answer, or pass an announcement on."""
        if isinstance(message, MembersAsk):
            return self._send_known_members(message.node)
        if isinstance(message, MembersTold):
            for record in message.announcements:
                self.table.apply_announcement(record)
            return []
        # An announcement that changes nothing is not passed on. Otherwise it
        # would circulate without end.
        if not self.table.apply_announcement(message.announcement):
            return []
        hops_left = message.hops_left - 1
        forwarded = MemberNews(message.announcement, hops_left)
        return [
            SendToPeer(node, forwarded)
            for node in self._choose_recipients(hops_left)
            if node
            not in {self.own_announcement.node, message.announcement.node}
        ]

    def _send_known_members(self, node: str) -> list[Effect]:
        known = tuple(
            member.announcement for member in self.table.members.values()
        )
        return [
            SendToPeer(
                node,
                MembersTold(known[start : start + ANNOUNCEMENTS_PER_MESSAGE]),
            )
            for start in range(0, len(known), ANNOUNCEMENTS_PER_MESSAGE)
        ]

    def _choose_recipients(self, hops_left: int) -> list[str]:
        recipients: list[str] = []
        for zone in self.hub_assignment.zones():
            nodes = self.hub_assignment.hub_candidates_by_zone[zone]
            if zone == self.own_announcement.zone and hops_left >= 0:
                recipients.extend(nodes)
            elif hops_left > 0:
                recipients.extend(nodes[:RELAYS_PER_ZONE])
        return recipients
