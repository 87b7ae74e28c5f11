"""Chooses the node that holds the pooled tokens of each group of teams.

There is no election. Every node takes the first reachable node of the first
zone in an order that is the same everywhere. Nodes that disagree, for example
in a partition, split the parts of a group among several holders, but no part
ever has two.
"""

import dataclasses
from collections.abc import Sequence

from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import TokenExchangeReply
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.team_groups import GROUP_COUNT, order_zones
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

HOLDER_TIMEOUT_S = 0.5
"""A holder that has not replied for this long is avoided: two intervals of the
exchange, and hundreds of round trips."""


@dataclasses.dataclass(slots=True)
class HolderContact:
    """What a node knows about a holder from one link to it.

    ``holder_time_s`` is the holder's clock in its latest reply, and
    ``unanswered_since`` the time of the oldest message without a reply.
    """

    holder_time_s: float | None = None
    unanswered_since: float | None = None


class TokenHolders:
    """The holders of all groups, as this node sees them."""

    def __init__(
        self,
        quotas: NodeQuotas,
        leader: ZoneLeaderChoice,
        links: LinkPool,
    ) -> None:
        """Choose holders for the parts of ``quotas``."""
        self.quotas = quotas
        self.leader = leader
        self.links = links
        self.node = leader.node
        self.contacts: dict[MeshLink, HolderContact] = {}
        self.checked_at: float = 0
        self.is_leaving = False

    def find_holder(self, group: int, now: float) -> str:
        """Return the node to draw a group's tokens from.

        It is the node that holds this node's own parts, if that can be
        reached, so that nodes which change the holder together find tokens
        there until the old leases have ended.
        """
        loan = self.quotas.find_loan(group, now)
        if loan is not None and self.is_reachable(loan.holder, now):
            return loan.holder
        return self.choose_holder(group, now)

    def choose_holder(self, group: int, now: float) -> str:
        """Return the node that should hold a group's parts.

        Links to candidates that are not connected are opened meanwhile.
        """
        for zone in order_zones(group, self.leader.members.zones):
            node = self.leader.find_available_node(
                zone, now, skips_own=self.is_leaving
            )
            if node == self.node or self.links.find_open_link(node):
                return node
            if node:
                self.connect(node)
        return self.node

    def choose_lent_groups(self, now: float) -> dict[str, list[int]]:
        """Return the groups to lend or to go on lending, by their holder.

        A loan is not renewed if another holder should be used. The parts are
        lent to that one when the lease has ended.
        """
        groups_by_holder: dict[str, list[int]] = {}
        for group in range(GROUP_COUNT):
            holder = self.choose_holder(group, now)
            loan = self.quotas.find_loan(group, now)
            if loan is not None and loan.holder != holder:
                if loan.holder != self.node:
                    continue
                levels = self.quotas.pool.release(group, self.node, now)
                self.quotas.take_back(group, levels, now)
            groups_by_holder.setdefault(holder, []).append(group)
        return groups_by_holder

    def lend(
        self, link: MeshLink, groups: Sequence[int], now: float
    ) -> tuple[tuple[int, ...], dict[str, float]]:
        """Lend groups over a link; return those lent and their tokens.

        Nothing is lent before the holder has replied once on this link.
        """
        lent_groups: list[int] = []
        levels: dict[str, float] = {}
        if self.holder_time_s(link) is not None:
            for group in groups:
                group_levels = self.quotas.lend(group, link.node, now)
                if group_levels is not None:
                    lent_groups.append(group)
                    levels.update(group_levels)
        return tuple(lent_groups), levels

    def holder_time_s(self, link: MeshLink) -> float | None:
        """Return the holder's clock in its latest reply on a link."""
        contact = self.contacts.get(link)
        return None if contact is None else contact.holder_time_s

    def record_sent(self, link: MeshLink, now: float) -> None:
        """Record a message that the holder has to reply to."""
        contact = self.contacts.setdefault(link, HolderContact())
        if contact.unanswered_since is None:
            contact.unanswered_since = now

    def record_reply(
        self, link: MeshLink, reply: TokenExchangeReply, now: float
    ) -> None:
        """Record a reply; a holder that is leaving is not used any more."""
        if reply.is_leaving:
            self.quotas.take_back_from(link.node, now)
            self.leader.record_no_answer(link.node, now)
            self.contacts.pop(link, None)
            return
        contact = self.contacts.setdefault(link, HolderContact())
        contact.unanswered_since = None
        contact.holder_time_s = reply.holder_time_s

    def record_closed(self, link: MeshLink, now: float) -> None:
        """Record that a link closed before the holder replied."""
        self.contacts.pop(link, None)
        self.leader.record_no_answer(link.node, now)

    def avoid_silent_holders(self, now: float) -> None:
        """Avoid holders that did not reply in time; forget closed links.

        After a pause of this process the replies may still wait to be read.
        """
        was_paused = now - self.checked_at > HOLDER_TIMEOUT_S
        self.checked_at = now
        for link, contact in tuple(self.contacts.items()):
            since = contact.unanswered_since
            if link.transport is None:
                self.contacts.pop(link)
            elif was_paused:
                contact.unanswered_since = None
            elif since is not None and now - since > HOLDER_TIMEOUT_S:
                contact.unanswered_since = None
                self.leader.record_no_answer(link.node, now)

    def is_reachable(self, node: str, now: float) -> bool:
        """Tell whether a node is expected to answer."""
        if node == self.node:
            return True
        if self.leader.is_avoided(node, now):
            return False
        return self.links.find_open_link(node) is not None

    def connect(self, node: str) -> None:
        """Open a link to a candidate; avoid one that accepts none."""
        self.links.request_link(
            node,
            lambda link: (
                self.leader.record_no_answer(node, self.links.clock())
                if link is None
                else None
            ),
        )
