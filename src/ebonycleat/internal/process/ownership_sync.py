"""Brings a node up to the present state of the ownership stream.

The log forgets old records, and it may be down when a node starts. Without
the claims before its first record a node would take owned slots for free
ones, so it applies nothing until a snapshot has filled the gap. Peers give
one at any time; the stream holds one for the case that all nodes restart.
"""

import dataclasses
import random
from collections.abc import Sequence

from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.process.config_relay import rank_nodes
from ebonycleat.internal.process.effects import (
    AppendToLog,
    Effect,
    PageRead,
    ReadResult,
    SendToPeer,
    StreamExpired,
)
from ebonycleat.internal.process.ownership import OwnershipSnapshot
from ebonycleat.internal.process.ownership_engine import OwnershipEngine
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.stream_cursor import StreamCursor

ASK_INTERVAL_S = 1.0
SNAPSHOT_EVERY_RECORDS = 2000
# Well within any retention of a day, and one record per hour of the fleet.
SNAPSHOT_EVERY_S = 3600.0
SNAPSHOT_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipFetch:
    """Peer message: asks for the state of the ownership stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipGiven:
    """Peer message: the state as the sender knows it."""

    snapshot: OwnershipSnapshot


OWNERSHIP_SYNC_MESSAGES = (OwnershipFetch, OwnershipGiven)


class OwnershipSync:
    """Decides when a snapshot is needed, and when one is written."""

    def __init__(
        self,
        engine: OwnershipEngine,
        cursor: StreamCursor,
        rng: random.Random,
        now: float,
    ) -> None:
        """Follow the stream for ``engine`` with ``cursor``."""
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
        """Whether records are gone that this node has not applied."""
        return self.engine.fold.offset + 1 < self.first_offset

    def update_members(self, live: Sequence[Member]) -> None:
        """Take note of the live nodes."""
        self.live_nodes = tuple(member.node for member in live)

    def handle_read_result(self, read_result: ReadResult) -> None:
        """Learn from a read whether records are missing."""
        self.is_log_failing = not isinstance(read_result, PageRead)
        if isinstance(read_result, StreamExpired):
            self.first_offset = read_result.first_offset
            self.is_log_failing = False
        elif isinstance(read_result, PageRead):
            self.first_offset = read_result.page.first_offset

    def prepare_page(
        self,
        records: Sequence[tuple[int, object]],
        now: float,
    ) -> bool:
        """Note snapshots in a page, and load one that fills the gap.

        Returns true if the records of the page may be applied.
        """
        for offset, record in records:
            if isinstance(record, OwnershipSnapshot):
                self.snapshot_offset = offset
                self.snapshot_at = now
                if self.is_missing_records:
                    self.load_snapshot(record)
        return not self.is_missing_records

    def load_snapshot(self, snapshot: OwnershipSnapshot) -> None:
        """Take a later state; reading goes on behind it."""
        usable = snapshot.through_offset + 1 >= self.first_offset
        if usable and self.engine.load_snapshot(snapshot):
            self.cursor.next_offset = snapshot.through_offset + 1

    def handle_message(self, sender: str, message: object) -> list[Effect]:
        """Give a peer the state, or take it from one."""
        offset = self.engine.fold.offset
        if isinstance(message, OwnershipGiven):
            if self.is_missing_records or not self.engine.has_read_whole_log:
                self.load_snapshot(message.snapshot)
        elif offset and not self.is_missing_records:
            given = OwnershipGiven(self.engine.fold.snapshot())
            return [SendToPeer(sender, given)]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Ask a peer when the log cannot tell; write a snapshot when due."""
        return [*self.ask_peer(now), *self.write_snapshot(now)]

    def ask_peer(self, now: float) -> list[Effect]:
        """Ask one live peer while records are missing."""
        is_new = not self.engine.has_read_whole_log and self.is_log_failing
        peers = [
            node for node in self.live_nodes if node != self.engine.settings.node
        ]
        if not (self.is_missing_records or is_new) or not peers or now < self.next_ask_at:
            return []
        self.next_ask_at = now + ASK_INTERVAL_S
        return [SendToPeer(self.rng.choice(peers), OwnershipFetch())]

    def write_snapshot(self, now: float) -> list[Effect]:
        """Append the state if this node is the one to do so."""
        node = self.engine.settings.node
        offset = self.engine.fold.offset
        is_old = now - self.snapshot_at >= SNAPSHOT_EVERY_S
        is_far = offset - self.snapshot_offset >= SNAPSHOT_EVERY_RECORDS
        if self.is_missing_records or not (is_old or is_far) or not self.live_nodes:
            return []
        if rank_nodes('ownership-snapshot', self.live_nodes)[0] != node:
            return []
        # Seeing the record in the stream confirms it; until then it is due
        # again after a while.
        self.snapshot_at = now - SNAPSHOT_EVERY_S + SNAPSHOT_RETRY_S
        self.snapshot_offset = offset
        snapshot = self.engine.fold.snapshot()
        operation_id = f'ownership-snapshot-{node}-{offset}'
        return [AppendToLog(Stream.OWNERSHIP, snapshot, operation_id)]
