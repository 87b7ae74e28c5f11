"""How a node makes itself known: through the log, and around it."""

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

# Two nodes of each other zone pass news on within their zone.
NEWS_RELAYS = 2

NEWS_HOPS = 2

# 30 KB of CBOR, so that one message does not block a link for long.
ANNOUNCEMENTS_PER_MESSAGE = 256

GossipMessage: TypeAlias = MembersAsk | MembersTold | MemberNews


@dataclasses.dataclass(frozen=True, slots=True)
class SeedNode:
    """A peer from the settings, asked when the log is down at start."""

    node: str
    address: str


class AnnouncementWriter:
    """Decides when this node appends its announcement."""

    def __init__(self, own: Announcement) -> None:
        """Announce at the first chance."""
        self.own = own
        self.due_at = -math.inf
        self.pending_operation_id = ''
        self.appends = 0

    def change_state(self, state: MemberState) -> None:
        """Announce the new state at the next tick."""
        self.own = dataclasses.replace(self.own, state=state)
        self.pending_operation_id = ''
        self.due_at = -math.inf

    def tick(self, now: float) -> list[Effect]:
        """Return the append that is due."""
        if now < self.due_at or self.pending_operation_id:
            return []
        self.appends += 1
        own = self.own
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
        """Plan the next announcement; one that failed is repeated.

        A repeated record does no harm, so a lost answer needs no reading.
        """
        if append.operation_id != self.pending_operation_id:
            return
        self.pending_operation_id = ''
        pause_s: float = APPEND_RETRY_S
        if isinstance(append, AppendConfirmed):
            pause_s = ANNOUNCE_INTERVAL_S
        self.due_at = now + pause_s


class AnnouncementGossip:
    """Passes announcements from node to node while the log is down."""

    def __init__(
        self,
        own: Announcement,
        seeds: tuple[SeedNode, ...],
        table: MemberTable,
        plan: HubAssignment,
    ) -> None:
        """Exchange what the table knows."""
        self.own = own
        self.seeds = seeds
        self.table = table
        self.plan = plan

    def query_seeds(self, own: Announcement) -> list[Effect]:
        """Ask the seed peers for members, and tell them of this node."""
        effects: list[Effect] = []
        for seed in self.seeds:
            if seed.node != own.node:
                effects.extend((
                    SendToPeer(seed.node, MembersAsk(own.node)),
                    SendToPeer(seed.node, MemberNews(own, NEWS_HOPS)),
                ))
        return effects

    def handle_message(self, message: GossipMessage) -> list[Effect]:
        """Answer a starting node, learn from a peer, or pass news on."""
        if isinstance(message, MembersAsk):
            return self._tell(message.node)
        if isinstance(message, MembersTold):
            for record in message.announcements:
                self.table.apply_announcement(record)
            return []
        # Only news is passed on, which ends every loop.
        if not self.table.apply_announcement(message.announcement):
            return []
        hops_left = message.hops_left - 1
        onward = MemberNews(message.announcement, hops_left)
        return [
            SendToPeer(node, onward)
            for node in self._relays(hops_left)
            if node not in {self.own.node, message.announcement.node}
        ]

    def _tell(self, node: str) -> list[Effect]:
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

    def _relays(self, hops_left: int) -> list[str]:
        relays: list[str] = []
        for zone in self.plan.zones():
            nodes = self.plan.hub_nodes_by_zone[zone]
            if zone == self.own.zone and hops_left >= 0:
                relays.extend(nodes)
            elif hops_left > 0:
                relays.extend(nodes[:NEWS_RELAYS])
        return relays
