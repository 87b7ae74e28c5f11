"""Deregisters nodes that ended without removing their own member record.

Every recorded node counts for the division of team rates, so a stale record
leaves part of each rate unused. The leader of a zone removes the record of a
node that has accepted no connection for ``DEREGISTER_AFTER_S``. A node that
is still alive finds its record missing and writes it again.
"""

import asyncio
from collections.abc import Callable, Sequence

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
"""Interval of the leader's checks. It adds at most this time to the
deregistration of a lost node."""

DEREGISTER_AFTER_S = 30.0
"""Longer than a restart, a graceful stop or a short network partition."""

PROBE_TIMEOUT_S = 1.0
"""Twice the time-out for opening a link."""


class UnreachableMemberSweep:
    """Probes the members of a zone while this node is the zone's leader."""

    def __init__(
        self,
        store: KeyValueStore,
        leader: ZoneLeaderChoice,
        links: LinkPool,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Check the members of the leader's zone; ``clock`` is in seconds."""
        self.store = store
        self.leader = leader
        self.links = links
        self.log = log
        self.clock = clock
        self.unreached_since: dict[str, float] = {}

    async def run_until_cancelled(self) -> None:
        """Check the zone at every interval while this node is its leader.

        A node that is no longer the leader stops probing and discards the
        times since which members were unreachable.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.leader.is_own_node(self.clock()):
                await self.deregister_unreachable()
            else:
                self.unreached_since.clear()

    async def deregister_unreachable(self) -> None:
        """Probe all members of the zone and deregister an unreachable one.

        At most one record is removed for each check, and none while every
        other node is unreachable.
        """
        addresses = self.leader.members.list_addresses(self.leader.zone)
        others = [node for node in addresses if node != self.leader.node]
        for gone in set(self.unreached_since).difference(others):
            self.unreached_since.pop(gone)
        await self.probe(others)
        now = self.clock()
        expired = [
            node
            for node in others
            if now - self.unreached_since.get(node, now) > DEREGISTER_AFTER_S
        ]
        # If no other node can be reached, this node is probably the one that
        # is partitioned from the rest.
        if expired and len(expired) < len(others):
            await self.deregister(expired[0])

    async def probe(self, addresses: Sequence[str]) -> None:
        """Wait until all links have opened or failed, and record the results.

        Deciding before that would judge a node by its last probe, although it
        may have returned since. Links that take too long are left as they are
        until the next check.
        """
        probes = [
            asyncio.ensure_future(self.probe_one(address))
            for address in addresses
        ]
        if not probes:
            return
        _, unfinished = await asyncio.wait(probes, timeout=PROBE_TIMEOUT_S)
        for probe in unfinished:
            probe.cancel()

    async def probe_one(self, address: str) -> None:
        """Record whether a node accepts a connection."""
        reached_future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.links.request_link(
            address,
            lambda link: (
                None
                if reached_future.done()
                else reached_future.set_result(link is not None)
            ),
        )
        if await reached_future:
            self.unreached_since.pop(address, None)
        else:
            self.unreached_since.setdefault(address, self.clock())

    async def deregister(self, address: str) -> None:
        """Remove one record; a failed write is retried by the next check."""
        self.log.write_always(
            'unreachable member deregistered', address=address
        )
        try:
            await self.store.write(StoreTopic.MEMBERS, address, b'')
        except (StorageUnavailable, WriteOutcomeUnknown) as error:
            self.log.write_always(
                'member deregistration failed', detail=str(error)
            )
        else:
            self.unreached_since.pop(address, None)
