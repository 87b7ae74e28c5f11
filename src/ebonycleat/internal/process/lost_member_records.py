"""Writes member records again that the store has lost.

A store that was restored from an older copy lacks the latest records. A node
writes its own record again, but it may have ended meanwhile, or have been
restarted and know of its target only what the store still holds. The other
nodes therefore write what they know of it.
"""

import asyncio
from collections.abc import Callable

from ebonycleat.internal.connection.errors import (
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.platform_interfaces import (
    KeyValueStore,
    StoreTopic,
)
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.mesh_members import (
    is_of_member,
    read_zone,
)
from ebonycleat.internal.process.retry_backoff import RetryBackoff
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

WRITE_DELAY_S = 0.5
"""How long the first node of a zone waits, so that nodes write their own
records before. Each further node waits this much longer than the one before,
so that usually only the first one writes."""

OTHER_ZONE_DELAY_S = 3.0
"""How much longer records of another zone are left to the nodes there."""


class LostMemberRecords:
    """Writes the lost changes of the member list, the own zone's first.

    ``written_changes`` are those that the store has confirmed in its present
    era; they stay lost for the member list until they are read back.
    """

    def __init__(
        self,
        store: KeyValueStore,
        leader: ZoneLeaderChoice,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Write for the zone of ``leader``; ``clock`` returns seconds."""
        self.store = store
        self.leader = leader
        self.members = leader.members
        self.log = log
        self.clock = clock
        self.check_requested = asyncio.Event()
        self.written_changes: dict[str, bytes] = {}
        self.written_in_era = self.members.position.era

    def members_changed(self) -> None:
        """Wake the writer if the store has lost a change."""
        if self.members.lost_changes:
            self.check_requested.set()

    async def write_until_cancelled(self) -> None:
        """Write lost changes some time after they were noticed.

        Failed writes are retried with growing pauses.
        """
        retry = RetryBackoff()
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            await asyncio.sleep(self.write_delay_s())
            if await self.write_all():
                retry.reset()
            else:
                self.check_requested.set()
                await retry.wait()

    async def write_all(self) -> bool:
        """Write the own zone's changes and, later, those that are left.

        Returns false after a failed write.
        """
        if not await self.write_lost_changes(is_own_zone_only=True):
            return False
        if not self.list_unwritten(is_own_zone_only=False):
            return True
        await asyncio.sleep(OTHER_ZONE_DELAY_S)
        return await self.write_lost_changes(is_own_zone_only=False)

    def write_delay_s(self) -> float:
        """Return how long to leave the writing to nodes before this one."""
        zone = self.leader.zone
        earlier_nodes = [
            address
            for address in self.members.list_addresses(zone)
            if address < self.leader.node
            and not self.leader.is_avoided(address, self.clock())
        ]
        return WRITE_DELAY_S * (1 + len(earlier_nodes))

    def list_unwritten(
        self, *, is_own_zone_only: bool
    ) -> list[tuple[str, bytes]]:
        """Return the lost changes that this node has to write.

        A removal belongs to no zone. The own record has its own writer, and
        an odd one of another writer stays lost.
        """
        if self.written_in_era != self.members.position.era:
            self.written_in_era = self.members.position.era
            self.written_changes = {}
        own_zones = {self.leader.zone, ''}
        return [
            (address, encoded)
            for address, encoded in self.members.lost_changes.items()
            if address != self.leader.node
            and is_of_member(address, encoded)
            and self.written_changes.get(address) != encoded
            and not (is_own_zone_only and read_zone(encoded) not in own_zones)
        ]

    async def write_lost_changes(self, *, is_own_zone_only: bool) -> bool:
        """Write the changes one by one; return false after a failed write."""
        while unwritten := self.list_unwritten(
            is_own_zone_only=is_own_zone_only
        ):
            if not await self.write_change(*unwritten[0]):
                return False
        return True

    async def write_change(self, address: str, encoded: bytes) -> bool:
        """Write one change; return whether the store confirmed it."""
        try:
            await self.store.write(StoreTopic.MEMBERS, address, encoded)
        except (StorageUnavailable, WriteOutcomeUnknown) as error:
            self.log.write_limited(
                'lost member record could not be written',
                address=address,
                detail=str(error),
            )
            return False
        self.written_changes[address] = encoded
        self.log.write_always(
            'lost member record written again',
            address=address,
            is_removal=not encoded,
            era=self.written_in_era,
        )
        return True
