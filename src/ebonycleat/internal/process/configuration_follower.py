"""Keeps a node's configuration in force, and decides what to read next.

Pages come from the log or from the readers of the zone. They are applied
only in sequence, so the view never goes back and never skips a record.
"""

import dataclasses
import random
from typing import Any, Final, TypeAlias

from ebonycleat.internal.connection.log_service import LogPage, LogStream
from ebonycleat.internal.process.configuration_pacing import (
    ReadPacer,
    SnapshotOffers,
    SnapshotPacer,
)
from ebonycleat.internal.process.configuration_relay import (
    MAX_HOPS,
    ConfigurationPage,
    SnapshotFetch,
    SnapshotGiven,
    SnapshotOffer,
    SnapshotQuery,
    assign_role,
)
from ebonycleat.internal.process.configuration_stream import (
    ConfigurationStream,
    is_snapshot_record,
)
from ebonycleat.internal.process.effects import (
    AppendResult,
    AppendToLog,
    SendToPeer,
)
from ebonycleat.internal.version.snapshot import (
    SnapshotBuilder,
    take_snapshot,
)
from ebonycleat.internal.version.configuration_view import ConfigurationView

READER_SILENCE_S: Final = 1.5
# Two empty pages must reach the zone within the silence limit.
READ_WAIT_S: Final = 0.5
# A page of single changes folds in about 4 ms, which delays calls no longer.
MAX_RECORDS_PER_READ: Final = 64
READER_RETRY_MAX_S: Final = 2.0
OTHERS_RETRY_MAX_S: Final = 8.0
# Written between two ticks, so that a snapshot holds up calls by about 1 ms.
SNAPSHOT_KEYS_PER_TICK: Final = 1000
# First part of the operation ids of snapshots.
SNAPSHOT_OPERATION_PREFIX: Final = 'snapshot'


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read the configuration stream; report with the same offset."""

    offset: int
    limit: int
    wait_s: float


FollowerEffect: TypeAlias = ReadConfiguration | SendToPeer | AppendToLog
Effects: TypeAlias = list[FollowerEffect]


class ConfigurationFollower:
    """Decides for one node; the driver carries its effects out."""

    def __init__(self, node: str, rng: random.Random, now: float) -> None:
        """Start with nothing; the first tick reads the log."""
        self.node = node
        self.rng = rng
        self.stream = ConfigurationStream()
        self.live_nodes: tuple[str, ...] = (node,)
        self.role = assign_role(node, self.live_nodes)
        self.heard_reader_at = now - READER_SILENCE_S
        self.read_pacer = ReadPacer(now)
        self.snapshot_offers = SnapshotOffers()
        self.snapshot_pacer = SnapshotPacer(rng, now)
        self.snapshot_builder: SnapshotBuilder | None = None
        self.behind_reader = False
        self.forwarded_pages: dict[int, tuple[int, float]] = {}

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.stream.fold.view

    @property
    def ready(self) -> bool:
        """Whether the view was complete once, so that it may be served."""
        return self.stream.ready

    def update_members(self, live: tuple[str, ...]) -> None:
        """Take over which nodes of the zone are live, this one included."""
        members = tuple(sorted({*live, self.node}))
        if members != self.live_nodes:
            self.live_nodes = members
            self.role = assign_role(self.node, members)

    def tick(self, now: float) -> Effects:
        """Decide what time alone makes due; call it each 0.1 s or so."""
        return [
            *self._read_if_due(now),
            *self._ask_peers_if_due(now),
            *self._snapshot_if_due(now),
        ]

    def handle_page(self, offset: int, page: LogPage, now: float) -> Effects:
        """Take the answer to ``ReadConfiguration(offset, ...)``."""
        self.read_pacer.record_success()
        self.snapshot_pacer.set_log_start(page.first_offset)
        for record in page.records:
            if is_snapshot_record(record):
                self.snapshot_pacer.record_snapshot(record.offset, now)
        was_ready = self.ready
        if self.stream.apply_log_page(offset, page):
            self.behind_reader = self.behind_reader and not page.at_end
        sent = self._send_page(offset, page, now) if was_ready else []
        return [*sent, *self._read_if_due(now)]

    def handle_expired_offset(self, first_offset: int, now: float) -> Effects:
        """Take ``OffsetExpired``: only a snapshot leads on from here."""
        self.read_pacer.record_success()
        self.stream.search_snapshot_from(first_offset)
        return self.tick(now)

    def handle_read_failure(self, now: float) -> Effects:
        """Take ``StorageUnavailable``: keep what is in force and try later."""
        limit = OTHERS_RETRY_MAX_S
        if self.role.is_reader:
            limit = READER_RETRY_MAX_S
        self.read_pacer.record_failure(now, limit, self.rng)
        return self._ask_peers_if_due(now)

    def handle_message(self, sender: str, message: Any, now: float) -> Effects:
        """Take one of ``CONFIGURATION_MESSAGES`` from a peer."""
        match message:
            case ConfigurationPage():
                return self._take_page(message, now)
            case SnapshotQuery() if self.ready:
                return [SendToPeer(sender, SnapshotOffer(self.view.offset))]
            case SnapshotOffer():
                self.snapshot_offers.add(sender, message.offset)
            case SnapshotFetch() if self.ready:
                given = SnapshotGiven(take_snapshot(self.view))
                return [SendToPeer(sender, given)]
            case SnapshotGiven():
                self.stream.load_snapshot(message.snapshot)
                return self._read_if_due(now)
        return []

    def handle_append_result(self, result: AppendResult, now: float) -> None:
        """Take the end of a snapshot's append; others are passed over."""
        if result.operation_id.startswith(f'{SNAPSHOT_OPERATION_PREFIX}-'):
            self.snapshot_pacer.record_end(now)

    def _take_page(self, page: ConfigurationPage, now: float) -> Effects:
        self.heard_reader_at = now
        self.snapshot_pacer.record_snapshot(page.snapshot_at, now)
        if self.stream.apply_relayed_page(page):
            self.behind_reader = False
        elif page.next_offset > self.stream.next_offset:
            self.behind_reader = True
        return [*self._forward(page, now), *self._read_if_due(now)]

    def _send_page(self, offset: int, page: LogPage, now: float) -> Effects:
        if self.stream.snapshot_search_offset or not self.role.is_reader:
            return []
        relayed = ConfigurationPage(
            self.role.own_tree,
            MAX_HOPS + 1,
            offset,
            page.next_offset,
            self.snapshot_pacer.newest_offset,
            tuple(
                record
                for record in page.records
                if not is_snapshot_record(record)
            ),
        )
        return self._forward(relayed, now)

    def _forward(self, page: ConfigurationPage, now: float) -> Effects:
        upto, sent_at = self.forwarded_pages.get(page.tree, (0, 0))
        is_news = page.next_offset > upto or now - sent_at >= READ_WAIT_S / 2
        if not is_news or page.hops_left <= 1:
            return []
        self.forwarded_pages[page.tree] = (max(upto, page.next_offset), now)
        onward = dataclasses.replace(page, hops_left=page.hops_left - 1)
        if page.tree >= len(self.role.children):
            return []
        return [
            SendToPeer(child, onward) for child in self.role.children[page.tree]
        ]

    def _read_if_due(self, now: float) -> Effects:
        is_silent = now - self.heard_reader_at >= READER_SILENCE_S
        wanted = (
            self.behind_reader
            or self.stream.snapshot_search_offset
            or is_silent
        )
        wanted = wanted or self.role.is_reader
        if not wanted or not self.read_pacer.may_start(now):
            return []
        self.read_pacer.record_start(now)
        offset = self.stream.snapshot_search_offset or self.stream.next_offset
        return [ReadConfiguration(offset, MAX_RECORDS_PER_READ, READ_WAIT_S)]

    def _ask_peers_if_due(self, now: float) -> Effects:
        best = self.snapshot_offers.choose_if_due(now, self.stream.next_offset)
        if best:
            return [SendToPeer(best, SnapshotFetch())]
        is_stale = self.behind_reader or not self.ready
        is_stuck = self.stream.snapshot_search_offset or (
            is_stale and self.read_pacer.consecutive_failures
        )
        if not is_stuck or not self.snapshot_offers.may_query(now):
            return []
        self.snapshot_offers.record_query(now)
        return [
            SendToPeer(peer, SnapshotQuery())
            for peer in self.live_nodes
            if peer != self.node
        ]

    def _snapshot_if_due(self, now: float) -> Effects:
        if self.snapshot_builder is None:
            self._start_snapshot_if_due(now)
        builder = self.snapshot_builder
        snapshot = (
            None
            if builder is None
            else builder.add_keys(SNAPSHOT_KEYS_PER_TICK)
        )
        if snapshot is None:
            return []
        self.snapshot_builder = None
        operation_id = (
            f'{SNAPSHOT_OPERATION_PREFIX}-{self.node}-{snapshot.offset}'
        )
        return [AppendToLog(LogStream.CONFIGURATION, snapshot, operation_id)]

    def _start_snapshot_if_due(self, now: float) -> None:
        if self.stream.snapshot_search_offset or not self.ready:
            return
        rank = self.role.snapshot_rank
        if self.snapshot_pacer.may_start(now, self.view.offset, rank):
            self.snapshot_pacer.record_start()
            self.snapshot_builder = SnapshotBuilder(self.view)
