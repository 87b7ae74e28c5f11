"""Writes this node's own member record to the platform's key-value store."""

import asyncio
from collections.abc import Callable

import msgspec

from ebonycleat.internal.connection.errors import (
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.platform_interfaces import (
    BEFORE_FIRST_READ,
    KeyValueStore,
    StorePosition,
    StoreTopic,
)
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    decode_member,
    encode_member,
)
from ebonycleat.internal.process.retry_backoff import RetryBackoff


class MemberRecordWriter:
    """Rewrites the record whenever the store holds something else.

    Another process may overwrite or remove the record: the leader of the zone
    deregisters nodes that it cannot reach, and an address may be reused. The
    store itself loses confirmed records when it is restored from an older
    copy. ``written_at`` is the position of the last confirmed write, and
    ``revision`` the highest one that any record of this node had.
    """

    def __init__(
        self,
        store: KeyValueStore,
        log: EventLog,
        unix_time_ms: Callable[[], int],
    ) -> None:
        """Start with no record to write; ``log`` gets failed writes."""
        self.store = store
        self.log = log
        self.unix_time_ms = unix_time_ms
        self.desired_record: MemberRecord | None = None
        self.stored_record: MemberRecord | None = None
        self.revision = 0
        self.written_at = BEFORE_FIRST_READ
        self.check_requested = asyncio.Event()
        self.store_calls = 0

    def schedule_write(self, record: MemberRecord) -> None:
        """Set the record that the store must hold, and wake the writer."""
        self.desired_record = record
        self.check_requested.set()

    def adopt_stored_record(
        self, encoded: bytes, listed_to: StorePosition
    ) -> None:
        """Note the record that the store holds under this node's address.

        It may have been written by this node before a restart. Empty bytes
        mean that the store holds none. ``listed_to`` is the position up to
        which the store was read; a list from before the last write is ignored.
        """
        if listed_to <= self.written_at:
            return
        self.note_stored_record(decode_member(encoded))
        self.check_requested.set()

    def note_stored_record(self, stored: MemberRecord | None) -> None:
        """Note what the store holds, whatever its revision is."""
        if stored is None:
            self.stored_record = None
            return
        self.revision = max(self.revision, stored.revision)
        self.stored_record = msgspec.structs.replace(stored, revision=0)

    async def write_until_cancelled(self) -> None:
        """Write when the desired record differs from the stored one.

        Failed writes are retried with growing pauses.
        """
        retry = RetryBackoff()
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            record = self.desired_record
            if record is None:
                continue
            if record == self.stored_record:
                continue
            if await self.write(record):
                retry.reset()
            else:
                self.check_requested.set()
                await retry.wait()

    async def write(self, record: MemberRecord) -> bool:
        """Try one write and tell whether the store confirmed it.

        A write whose confirmation is lost is repeated. That is harmless,
        because the same state is written to the same key.
        """
        self.store_calls += 1
        revision = max(self.revision + 1, self.unix_time_ms())
        revised = msgspec.structs.replace(record, revision=revision)
        try:
            self.written_at = await self.store.write(
                StoreTopic.MEMBERS, record.address, encode_member(revised)
            )
        except (StorageUnavailable, WriteOutcomeUnknown) as error:
            self.log.write_limited(
                'member record write failed', detail=str(error)
            )
            return False
        self.note_stored_record(revised)
        return True
