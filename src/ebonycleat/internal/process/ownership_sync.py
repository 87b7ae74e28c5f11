"""Brings a node up to date with the ownership stream.

The log deletes old records, and it may be unavailable when a node starts. A
node that has not seen the oldest claims would treat owned slots as free.
Therefore it applies no record until a snapshot has replaced the missing ones.
Peers send a snapshot on request; the stream itself also contains snapshots,
for the case that all nodes restart at once.
"""

import dataclasses
import random
from collections.abc import Sequence

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.configuration_relay import rank_nodes
from ebonycleat.internal.process.effects import (
    AppendToLog,
    Effect,
    LogPageRead,
    LogReadResult,
    SendToPeer,
    StreamExpired,
)
from ebonycleat.internal.process.ownership import OwnershipSnapshot
from ebonycleat.internal.process.ownership_engine import OwnershipEngine
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.stream_cursor import StreamCursor

ASK_INTERVAL_S = 1.0
SNAPSHOT_EVERY_RECORDS = 2000
# One snapshot per hour is written by all nodes together, far more often than
# needed if the log keeps records for a day.
SNAPSHOT_EVERY_S = 3600.0
SNAPSHOT_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipFetch:
    """Peer message: requests the ownership state that the receiver knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipGiven:
    """Peer message: the ownership state as the sender knows it."""

    snapshot: OwnershipSnapshot


OWNERSHIP_SYNC_MESSAGES = (OwnershipFetch, OwnershipGiven)


class OwnershipSync:
    """Decides when this node needs a snapshot and when it must write one."""

    def __init__(
        self,
        engine: OwnershipEngine,
        cursor: StreamCursor,
        rng: random.Random,
        now: float,
    ) -> None:
        """Follow the stream for ``engine`` with the read position ``cursor``."""
        self.engine = engine
        self.cursor = cursor
        self.rng = rng
        self.first_offset = 1
        self.is_log_failing = False
        self.next_ask_at = now
        self.snapshot_offset = 0
        self.snapshot_at = now
        self.live_nodes: tuple[str, ...] = ()

    @property
    def is_missing_records(self) -> bool:
        """Whether the log deleted records that this node has not applied."""
        return self.engine.fold.applied_offset + 1 < self.first_offset

    def update_members(self, members: Sequence[Member]) -> None:
        """Replace the set of live nodes."""
        self.live_nodes = tuple(member.node for member in members)

    def handle_read_result(self, read_result: LogReadResult) -> None:
        """Update the first offset of the stream and whether the log fails."""
        self.is_log_failing = not isinstance(read_result, LogPageRead)
        if isinstance(read_result, StreamExpired):
            self.first_offset = read_result.first_offset
            self.is_log_failing = False
        elif isinstance(read_result, LogPageRead):
            self.first_offset = read_result.page.first_offset

    def prepare_page(
        self,
        records: Sequence[tuple[int, object]],
        now: float,
    ) -> bool:
        """Record the snapshots in a page, and load one if records are missing.

        Returns True if the records of the page may be applied.
        """
        for offset, record in records:
            if isinstance(record, OwnershipSnapshot):
                self.snapshot_offset = offset
                self.snapshot_at = now
                if self.is_missing_records:
                    self.load_snapshot(record)
        return not self.is_missing_records

    def load_snapshot(self, snapshot: OwnershipSnapshot) -> None:
        """Load a later state and continue to read the stream after it."""
        is_usable = snapshot.through_offset + 1 >= self.first_offset
        if is_usable and self.engine.load_snapshot(snapshot):
            self.cursor.next_offset = snapshot.through_offset + 1

    def handle_message(self, sender: str, message: object) -> list[Effect]:
        """Answer a peer that asks for the state, or load the state it sent."""
        offset = self.engine.fold.applied_offset
        if isinstance(message, OwnershipGiven):
            if self.is_missing_records or not self.engine.has_read_whole_log:
                self.load_snapshot(message.snapshot)
        elif offset and not self.is_missing_records:
            answer = OwnershipGiven(self.engine.fold.snapshot())
            return [SendToPeer(sender, answer)]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Request a snapshot from a peer, or append one to the log, when due."""
        return [*self.ask_peer(now), *self.write_snapshot(now)]

    def ask_peer(self, now: float) -> list[Effect]:
        """Request the state from a random live peer while it is needed.

        It is needed while records are missing, and on a node that has never
        read the stream to its end and cannot read the log.
        """
        has_no_state = (
            not self.engine.has_read_whole_log and self.is_log_failing
        )
        peers = [
            node
            for node in self.live_nodes
            if node != self.engine.settings.node
        ]
        if (
            not (self.is_missing_records or has_no_state)
            or not peers
            or now < self.next_ask_at
        ):
            return []
        self.next_ask_at = now + ASK_INTERVAL_S
        return [SendToPeer(self.rng.choice(peers), OwnershipFetch())]

    def write_snapshot(self, now: float) -> list[Effect]:
        """Append a snapshot if one is due and this node is chosen to write it."""
        own_node = self.engine.settings.node
        offset = self.engine.fold.applied_offset
        is_due_by_age = now - self.snapshot_at >= SNAPSHOT_EVERY_S
        is_due_by_count = (
            offset - self.snapshot_offset >= SNAPSHOT_EVERY_RECORDS
        )
        if (
            self.is_missing_records
            or not (is_due_by_age or is_due_by_count)
            or not self.live_nodes
        ):
            return []
        if rank_nodes('ownership-snapshot', self.live_nodes)[0] != own_node:
            return []
        # The write is confirmed when the record is read back from the stream.
        # Until then the snapshot becomes due again after the retry time.
        self.snapshot_at = now - SNAPSHOT_EVERY_S + SNAPSHOT_RETRY_S
        self.snapshot_offset = offset
        snapshot = self.engine.fold.snapshot()
        operation_id = f'ownership-snapshot-{own_node}-{offset}'
        return [AppendToLog(LogStream.OWNERSHIP, snapshot, operation_id)]
