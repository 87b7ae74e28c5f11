"""Drops the records of nodes that vanished without a word.

A record that stays keeps its node's part of every team's rate. The leader of a
zone drops it once the node has accepted no connection for long; a node that
lives after all finds its record gone and writes it again.
"""

import asyncio
from collections.abc import Callable

from ebonycleat.internal.connection.errors import (
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.mesh_link import LinkPool
from ebonycleat.internal.connection.platform_interfaces import (
    KeyValueStore,
    StoreTopic,
)
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

CHECK_INTERVAL_S = 5.0
"""How often the leader looks; a lost node is dropped this much later."""

DEREGISTER_AFTER_S = 30.0
"""Longer than a restart, a planned stop or a cut that heals by itself."""


class UnreachableMemberSweep:
    """The duty of the leader of a zone."""

    def __init__(
        self,
        store: KeyValueStore,
        leader: ZoneLeaderChoice,
        links: LinkPool,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Sweep the members of the leader's zone; ``clock`` in seconds."""
        self.store = store
        self.leader = leader
        self.links = links
        self.log = log
        self.clock = clock
        self.unreached_since: dict[str, float] = {}

    async def run_until_cancelled(self) -> None:
        """Sweep at the interval, while this node leads its zone."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.leader.is_own_node(self.clock()):
                await self.deregister_unreachable()
            else:
                self.unreached_since.clear()

    async def deregister_unreachable(self) -> None:
        """Try to reach all members of the zone; drop those long gone."""
        now = self.clock()
        addresses = self.leader.members.list_addresses(self.leader.zone)
        others = [one for one in addresses if one != self.leader.node]
        for address in others:
            self.links.request_link(
                address, self.create_reachability_callback(address)
            )
        gone = [
            one
            for one in others
            if now - self.unreached_since.get(one, now) > DEREGISTER_AFTER_S
        ]
        # Without the others this node may be the one that is cut off.
        if gone and len(gone) < len(others):
            await self.deregister(gone[0])

    def create_reachability_callback(
        self, address: str
    ) -> Callable[[object], None]:
        """Return what notes whether a node was reached."""
        return lambda link: self.record_reachability(
            address, is_reached=link is not None
        )

    def record_reachability(self, address: str, *, is_reached: bool) -> None:
        """Note whether a node accepted a connection."""
        if is_reached:
            self.unreached_since.pop(address, None)
        else:
            self.unreached_since.setdefault(address, self.clock())

    async def deregister(self, address: str) -> None:
        """Drop one record; a failed write is tried with the next sweep."""
        self.log.write_always(
            'unreachable member deregistered', address=address
        )
        try:
            await self.store.write(StoreTopic.MEMBERS, address, b'')
        except (StorageUnavailable, WriteOutcomeUnknown) as error:
            self.log.write_always(
                'member deregistration failed', detail=str(error)
            )
