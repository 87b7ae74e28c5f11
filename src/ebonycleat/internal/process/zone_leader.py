"""Picks one node of each zone for work that need not be done by all.

Nothing depends on everybody's picking the same node: a second leader reads
the store once more, and pools that are divided lend what each of them has.
"""

from ebonycleat.internal.connection.mesh_link import LinkPool
from ebonycleat.internal.process.mesh_members import MeshMembers

AVOIDED_S = 3.0
"""How long a node that did not answer is passed over."""


class ZoneLeaderChoice:
    """The leader of the own zone as this node sees it."""

    def __init__(
        self,
        node: str,
        zone: str,
        members: MeshMembers,
        links: LinkPool,
    ) -> None:
        """Choose among the members of ``zone``."""
        self.node = node
        self.zone = zone
        self.members = members
        self.links = links
        self.avoided_at: dict[str, float] = {}

    def choose_leader(self, now: float) -> str:
        """Return the first node of the zone that answers, maybe this one."""
        return self.first_answering_in(self.zone, now) or self.node

    def first_answering_in(self, zone: str, now: float) -> str:
        """Return the first node of a zone that answers, or nothing."""
        for address in self.members.list_addresses(zone):
            if address == self.node or not self.is_avoided(address, now):
                return address
        return ''

    def choose_leaders_elsewhere(self, now: float) -> list[str]:
        """Leaders of the other zones, as far as they answer."""
        leaders = [
            self.first_answering_in(zone, now)
            for zone in self.members.zones
            if zone != self.zone
        ]
        return [leader for leader in leaders if leader]

    def is_own_node(self, now: float) -> bool:
        """Whether this node does the work of its zone."""
        return self.choose_leader(now) == self.node

    def is_avoided(self, address: str, now: float) -> bool:
        """Whether a node failed to answer lately."""
        avoided_at = self.avoided_at.get(address)
        return avoided_at is not None and now - avoided_at < AVOIDED_S

    def record_no_answer(self, address: str, now: float) -> None:
        """Pass over a node that did not answer."""
        self.avoided_at[address] = now
