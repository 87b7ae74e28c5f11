"""Chooses one node of each zone for work that not every node needs to do.

Nodes may disagree on the leader without harm. A second leader only reads the
store once more. The zone's token pool may then be split between the two
leaders; each of them gives out the tokens that it has.
"""

from ebonycleat.internal.connection.mesh_link import LinkPool
from ebonycleat.internal.process.mesh_members import MeshMembers

AVOIDED_S = 3.0
"""How long a node that did not answer is not chosen as leader, in seconds."""


class ZoneLeaderChoice:
    """Chooses the first reachable member of a zone, as this node sees it.

    There is no election: every node applies the same rule to its own member
    list and skips nodes that recently failed to answer it.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        members: MeshMembers,
        links: LinkPool,
    ) -> None:
        """Choose for ``node``, an address in ``zone``."""
        self.node = node
        self.zone = zone
        self.members = members
        self.links = links
        self.avoided_at: dict[str, float] = {}

    def choose_leader(self, now: float) -> str:
        """Return the address of the own zone's leader, maybe this node."""
        return self.find_available_node(self.zone, now) or self.node

    def find_available_node(
        self, zone: str, now: float, *, skips_own: bool = False
    ) -> str:
        """Return the first node of a zone that is not avoided, else ''.

        This node itself is never avoided; ``skips_own`` leaves it out.
        """
        for address in self.members.list_addresses(zone):
            if address == self.node:
                if not skips_own:
                    return address
            elif not self.is_avoided(address, now):
                return address
        return ''

    def choose_leaders_of_other_zones(self, now: float) -> list[str]:
        """Return the leaders of the other zones that have a usable one."""
        leaders = [
            self.find_available_node(zone, now)
            for zone in self.members.zones
            if zone != self.zone
        ]
        return [leader for leader in leaders if leader]

    def is_own_node(self, now: float) -> bool:
        """Tell whether this node is the leader of its zone."""
        return self.choose_leader(now) == self.node

    def is_avoided(self, address: str, now: float) -> bool:
        """Tell whether a node failed to answer within ``AVOIDED_S``."""
        avoided_at = self.avoided_at.get(address)
        return avoided_at is not None and now - avoided_at < AVOIDED_S

    def record_no_answer(self, address: str, now: float) -> None:
        """Note that a node did not answer, so that it is avoided."""
        self.avoided_at[address] = now
