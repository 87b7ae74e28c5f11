"""Keeps this node's own record in the store as it should be."""

import asyncio

from ebonycleat.internal.connection.errors import (
    AppendUnknown,
    LogUnavailable,
)
from ebonycleat.internal.connection.mesh_ports import KeyedStore, StoreTopic
from ebonycleat.internal.process.decision_log import DecisionLog
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    encode_member,
)
from ebonycleat.internal.process.retry_backoff import RetryBackoff


class MemberWriter:
    """Keeps this node's own record in the store as it should be."""

    def __init__(
        self,
        store: KeyedStore,
        log: DecisionLog,
    ) -> None:
        """Write to ``store``."""
        self.store = store
        self.log = log
        self.wanted: MemberRecord | None = None
        self.written = b''
        self.changed = asyncio.Event()
        self.calls = 0

    def want(self, record: MemberRecord) -> None:
        """State what the store should say of this node."""
        self.wanted = record
        self.changed.set()

    def recall(self, encoded: bytes) -> None:
        """Learn what the store says, maybe from before a restart."""
        self.written = encoded

    async def write_until_cancelled(self) -> None:
        """Write whenever the store says something else."""
        retry = RetryBackoff()
        while True:
            await self.changed.wait()
            self.changed.clear()
            record = self.wanted
            if record is None:
                continue
            encoded = encode_member(record)
            if encoded == self.written:
                continue
            if await self.write(record.address, encoded):
                retry.reset()
            else:
                self.changed.set()
                await retry.wait()

    async def write(self, address: str, encoded: bytes) -> bool:
        """Write once; a lost answer is written again, which is harmless."""
        self.calls += 1
        try:
            await self.store.write(StoreTopic.MEMBERS, address, encoded)
        except (LogUnavailable, AppendUnknown) as error:
            self.log.note('member record not written', detail=str(error))
            return False
        self.written = encoded
        return True
