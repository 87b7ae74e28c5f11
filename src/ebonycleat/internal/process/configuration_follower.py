"""Keeps the configuration of one node up to date.

Pages of the configuration stream come from the log or, relayed by peers, from
the nodes of the zone that read the log. They are applied in sequence only, so
the view never goes back and never skips a record.
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
from ebonycleat.internal.version.configuration_view import ConfigurationView
from ebonycleat.internal.version.snapshot import (
    SnapshotBuilder,
    take_snapshot,
)

# Without a relayed page for this long, a node reads the log itself.
READER_SILENCE_S: Final = 1.5
# Long poll of a read. At least two pages, which may be empty, must reach all
# nodes of the zone within ``READER_SILENCE_S``.
READ_WAIT_S: Final = 0.5
# Applying a page of this many changes takes about 4 ms, and calls have to
# wait for it.
MAX_RECORDS_PER_READ: Final = 64
# Longest pause after failed reads, for the zone's readers and for others.
READER_MAX_BACKOFF_S: Final = 2.0
NON_READER_MAX_BACKOFF_S: Final = 8.0
# A snapshot is built in portions, one for each tick, so that it delays calls
# by only about 1 ms at a time.
SNAPSHOT_KEYS_PER_TICK: Final = 1000
# Operation ids of snapshots begin with this and a dash.
SNAPSHOT_OPERATION_PREFIX: Final = 'snapshot'


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Effect: read the configuration stream from ``offset`` on.

    The result must be reported with the same offset.
    """

    offset: int
    limit: int
    wait_s: float


FollowerEffect: TypeAlias = ReadConfiguration | SendToPeer | AppendToLog
Effects: TypeAlias = list[FollowerEffect]


class ConfigurationFollower:
    """Decides what one node reads, relays, requests and appends.

    It performs no I/O: its methods return effects for the node driver to
    carry out. All times are in seconds on the clock of the driver.
    """

    def __init__(self, node: str, rng: random.Random, now: float) -> None:
        """Start with an empty view; the first tick reads the log."""
        self.node = node
        self.rng = rng
        self.stream = ConfigurationStream()
        self.live_nodes: tuple[str, ...] = (node,)
        self.role = assign_role(node, self.live_nodes)
        self.page_received_at = now - READER_SILENCE_S
        self.read_pacer = ReadPacer(now)
        self.snapshot_offers = SnapshotOffers()
        self.snapshot_pacer = SnapshotPacer(rng, now)
        self.snapshot_builder: SnapshotBuilder | None = None
        self.is_behind_reader = False
        self.forwarded_pages: dict[int, tuple[int, float]] = {}

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.stream.fold.view

    @property
    def ready(self) -> bool:
        """Whether the view has once reached the end of the stream."""
        return self.stream.ready

    def update_members(self, live: tuple[str, ...]) -> None:
        """Recalculate this node's role from the live nodes of its zone.

        This node counts as live even if ``live`` does not contain it.
        """
        members = tuple(sorted({*live, self.node}))
        if members != self.live_nodes:
            self.live_nodes = members
            self.role = assign_role(self.node, members)

    def tick(self, now: float) -> Effects:
        """Return effects that are due by time; call it about every 0.1 s."""
        return [
            *self._read_if_due(now),
            *self._request_snapshot_if_due(now),
            *self._append_snapshot_if_due(now),
        ]

    def handle_page(self, offset: int, page: LogPage, now: float) -> Effects:
        """Apply a page of the log that was read from ``offset`` on.

        A reader of the zone also relays the page to its children.
        """
        self.read_pacer.record_success()
        self.snapshot_pacer.set_log_start(page.first_offset)
        for record in page.records:
            if is_snapshot_record(record):
                self.snapshot_pacer.record_snapshot(record.offset, now)
        was_ready = self.ready
        if self.stream.apply_log_page(offset, page):
            self.is_behind_reader = self.is_behind_reader and not page.at_end
        sent = self._relay_log_page(offset, page, now) if was_ready else []
        return [*sent, *self._read_if_due(now)]

    def handle_expired_offset(self, first_offset: int, now: float) -> Effects:
        """Search for a snapshot, because the log deleted wanted records.

        ``first_offset`` is the oldest offset that the log still has.
        """
        self.read_pacer.record_success()
        self.stream.search_snapshot_from(first_offset)
        return self.tick(now)

    def handle_read_failure(self, now: float) -> Effects:
        """Keep the view after a failed read and retry after a pause."""
        limit = NON_READER_MAX_BACKOFF_S
        if self.role.is_reader:
            limit = READER_MAX_BACKOFF_S
        self.read_pacer.record_failure(now, limit, self.rng)
        return self._request_snapshot_if_due(now)

    def handle_message(self, sender: str, message: Any, now: float) -> Effects:
        """Handle one of ``CONFIGURATION_MESSAGES`` from a peer.

        Queries are answered only by a node that has a complete view.
        """
        match message:
            case ConfigurationPage():
                return self._apply_relayed_page(message, now)
            case SnapshotQuery() if self.ready:
                return [SendToPeer(sender, SnapshotOffer(self.view.offset))]
            case SnapshotOffer():
                self.snapshot_offers.add(sender, message.offset)
            case SnapshotFetch() if self.ready:
                reply = SnapshotGiven(take_snapshot(self.view))
                return [SendToPeer(sender, reply)]
            case SnapshotGiven():
                self.stream.load_snapshot(message.snapshot)
                return self._read_if_due(now)
        return []

    def handle_append_result(self, result: AppendResult, now: float) -> None:
        """Record that the append of a snapshot ended; ignore others."""
        if result.operation_id.startswith(f'{SNAPSHOT_OPERATION_PREFIX}-'):
            self.snapshot_pacer.record_end(now)

    def _apply_relayed_page(
        self, page: ConfigurationPage, now: float
    ) -> Effects:
        self.page_received_at = now
        self.snapshot_pacer.record_snapshot(page.snapshot_at, now)
        if self.stream.apply_relayed_page(page):
            self.is_behind_reader = False
        elif page.next_offset > self.stream.next_offset:
            self.is_behind_reader = True
        return [*self._forward(page, now), *self._read_if_due(now)]

    def _relay_log_page(
        self, offset: int, page: LogPage, now: float
    ) -> Effects:
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
        forwarded_until, sent_at = self.forwarded_pages.get(page.tree, (0, 0))
        is_due = (
            page.next_offset > forwarded_until
            or now - sent_at >= READ_WAIT_S / 2
        )
        if not is_due or page.hops_left <= 1:
            return []
        self.forwarded_pages[page.tree] = (
            max(forwarded_until, page.next_offset),
            now,
        )
        forwarded = dataclasses.replace(page, hops_left=page.hops_left - 1)
        if page.tree >= len(self.role.children):
            return []
        return [
            SendToPeer(child, forwarded)
            for child in self.role.children[page.tree]
        ]

    def _read_if_due(self, now: float) -> Effects:
        is_silent = now - self.page_received_at >= READER_SILENCE_S
        must_read = (
            self.is_behind_reader
            or self.stream.snapshot_search_offset
            or is_silent
        )
        must_read = must_read or self.role.is_reader
        if not must_read or not self.read_pacer.may_start(now):
            return []
        self.read_pacer.record_start(now)
        offset = self.stream.snapshot_search_offset or self.stream.next_offset
        return [ReadConfiguration(offset, MAX_RECORDS_PER_READ, READ_WAIT_S)]

    def _request_snapshot_if_due(self, now: float) -> Effects:
        best = self.snapshot_offers.choose_if_due(now, self.stream.next_offset)
        if best:
            return [SendToPeer(best, SnapshotFetch())]
        # Peers are asked for a snapshot when the log has deleted records that
        # this node needs, or cannot be read while the view is not current.
        is_stale = self.is_behind_reader or not self.ready
        needs_snapshot = self.stream.snapshot_search_offset or (
            is_stale and self.read_pacer.consecutive_failures
        )
        if not needs_snapshot or not self.snapshot_offers.may_query(now):
            return []
        self.snapshot_offers.record_query(now)
        return [
            SendToPeer(peer, SnapshotQuery())
            for peer in self.live_nodes
            if peer != self.node
        ]

    def _append_snapshot_if_due(self, now: float) -> Effects:
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
