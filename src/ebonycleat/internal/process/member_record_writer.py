"""Keeps this node's own record in the store as it should be."""

import asyncio

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
    MemberRecord,
    encode_member,
)
from ebonycleat.internal.process.retry_backoff import RetryBackoff


class MemberRecordWriter:
    """Keeps this node's own record in the store as it should be."""

    def __init__(
        self,
        store: KeyValueStore,
        log: EventLog,
    ) -> None:
        """Write to ``store``."""
        self.store = store
        self.log = log
        self.desired_record: MemberRecord | None = None
        self.stored_record = b''
        self.check_requested = asyncio.Event()
        self.store_calls = 0

    def schedule_write(self, record: MemberRecord) -> None:
        """State what the store should say of this node."""
        self.desired_record = record
        self.check_requested.set()

    def adopt_stored_record(self, encoded: bytes) -> None:
        """Learn what the store says, maybe from before a restart."""
        self.stored_record = encoded

    async def write_until_cancelled(self) -> None:
        """Write whenever the store says something else."""
        retry = RetryBackoff()
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            record = self.desired_record
            if record is None:
                continue
            encoded = encode_member(record)
            if encoded == self.stored_record:
                continue
            if await self.write(record.address, encoded):
                retry.reset()
            else:
                self.check_requested.set()
                await retry.wait()

    async def write(self, address: str, encoded: bytes) -> bool:
        """Write once; a lost answer is written again, which is harmless."""
        self.store_calls += 1
        try:
            await self.store.write(StoreTopic.MEMBERS, address, encoded)
        except (StorageUnavailable, WriteOutcomeUnknown) as error:
            self.log.write_limited(
                'member record write failed', detail=str(error)
            )
            return False
        self.stored_record = encoded
        return True
