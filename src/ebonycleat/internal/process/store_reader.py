"""Chooses the node of a zone that reads the platform's store for the others.

It is the zone's leader unless that has lost the store. As for the leader,
there is no election: each node applies the same rule to what it knows, and a
second reader only reads the store once more.
"""

from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

STORE_LOST_S = 3.0
"""How long a node that has lost the store is not chosen again, in seconds."""


class StoreReaderChoice:
    """Chooses the first reachable member that is not known to lack the store.

    ``lost_store_at`` has the time at which each node was last known to have
    lost the store.
    """

    def __init__(self, leader: ZoneLeaderChoice) -> None:
        """Choose among the members and in the order of ``leader``."""
        self.leader = leader
        self.node = leader.node
        self.lost_store_at: dict[str, float] = {}

    def choose(self, now: float) -> str:
        """Return the address of the zone's reader, maybe this node."""
        leader = self.leader
        for address in leader.members.list_addresses(leader.zone):
            if self.has_lost_store(address, now):
                continue
            if address == self.node or not leader.is_avoided(address, now):
                return address
        return self.node

    def is_own_node(self, now: float) -> bool:
        """Tell whether this node reads the store for its zone."""
        return self.choose(now) == self.node

    def has_lost_store(self, address: str, now: float) -> bool:
        """Tell whether a node lost the store within ``STORE_LOST_S``."""
        lost_at = self.lost_store_at.get(address)
        return lost_at is not None and now - lost_at < STORE_LOST_S

    def record_store_lost(self, address: str, now: float) -> None:
        """Note that a node has lost the store, so that it is not chosen."""
        self.lost_store_at[address] = now

    def record_store_reached(self, address: str) -> None:
        """Note that a node reaches the store."""
        self.lost_store_at.pop(address, None)
