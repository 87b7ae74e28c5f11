"""A fake of the platform's log with all streams, outages and retention."""

import bisect
import random
from typing import TYPE_CHECKING

from bench.simulated_clock import SimulatedClock
from ebonycleat.internal.connection.log_service import (
    LogPage,
    LogRecord,
    LogStream,
)
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendResult,
    AppendToLog,
    LogPageRead,
    LogReadFailed,
    LogReadResult,
    ReadLog,
    StreamExpired,
)

if TYPE_CHECKING:
    from bench.node_simulation import SimulatedNode

LATENCY_S = 0.003


class SimulatedLog:
    """Streams in memory; ``first_offsets`` increase when records expire.

    ``era`` rises with each restore. Nodes whose settings name another era get
    no answers, as with the client of the log service.
    """

    def __init__(self, clock: SimulatedClock, rng: random.Random) -> None:
        """Start empty and available."""
        self.clock = clock
        self.rng = rng
        self.records: dict[LogStream, list[bytes]] = {
            stream: [] for stream in LogStream
        }
        self.first_offsets = dict.fromkeys(LogStream, 1)
        self.down = False
        self.cut_off: set[str] = set()
        self.latency_s = LATENCY_S
        self.lose_next_answers = 0
        self.era = 0

    def copy(self) -> dict[LogStream, list[bytes]]:
        """Return a copy of all streams for a later ``restore``."""
        return {
            stream: list(records) for stream, records in self.records.items()
        }

    def restore(self, copied: dict[LogStream, list[bytes]]) -> None:
        """Come back from a copy; records since then are lost."""
        self.era += 1
        self.records = copied

    def is_available(self, node: 'SimulatedNode') -> bool:
        """Tell whether a node can use the log now."""
        is_reachable = not self.down and node.name not in self.cut_off
        return is_reachable and node.log_era == self.era

    def expire(self, stream: LogStream) -> None:
        """Expire all records that a stream contains now."""
        self.first_offsets[stream] = len(self.records[stream]) + 1

    def append(
        self,
        node: 'SimulatedNode',
        effect: AppendToLog,
        encoded: bytes,
    ) -> None:
        """Append a record and report the result; fail if it is unreachable."""
        operation_id = effect.operation_id
        if not self.is_available(node):
            failed = AppendFailed(operation_id, may_have_taken_effect=False)
            node.later(self.latency_s, self.report_append, node, failed)
            return
        stream = self.records[effect.stream]
        stream.append(encoded)
        result: AppendResult = AppendConfirmed(operation_id, len(stream))
        if self.lose_next_answers:
            self.lose_next_answers -= 1
            result = AppendFailed(operation_id, may_have_taken_effect=True)
        node.later(self.latency_s, self.report_append, node, result)

    def read(self, node: 'SimulatedNode', read: ReadLog) -> None:
        """Read a page, waiting for a record at the end of the stream."""
        started_at = self.clock.now
        node.later(
            self.latency_s,
            self.serve,
            node,
            read,
            started_at,
            started_at + read.wait_s,
        )

    def serve(
        self,
        node: 'SimulatedNode',
        read: ReadLog,
        started_at: float,
        wait_until: float,
    ) -> None:
        """Answer a read, or retry it later while it may wait for a record."""
        read_result = self.find_records(node, read, started_at)
        is_empty = isinstance(read_result, LogPageRead) and (
            not read_result.page.records
        )
        if is_empty and self.clock.now < wait_until:
            node.later(
                self.latency_s * 2,
                self.serve,
                node,
                read,
                started_at,
                wait_until,
            )
            return
        now = self.clock.now
        node.perform(node.core.handle_read_result(read_result, now))

    def find_records(
        self,
        node: 'SimulatedNode',
        read: ReadLog,
        started_at: float,
    ) -> LogReadResult:
        """Return the result of a read at this time."""
        if not self.is_available(node):
            return LogReadFailed(read)
        first = self.first_offsets[read.stream]
        if read.offset < first:
            return StreamExpired(read, first)
        records = self.records[read.stream]
        offsets = range(1, len(records) + 1)
        start = bisect.bisect_left(offsets, read.offset)
        found = tuple(
            LogRecord(offset, records[offset - 1])
            for offset in offsets[start : start + read.limit]
        )
        next_offset = found[-1].offset + 1 if found else read.offset
        page = LogPage(found, next_offset, first, next_offset > len(records))
        return LogPageRead(read, started_at, page)

    def report_append(
        self, node: 'SimulatedNode', result: AppendResult
    ) -> None:
        """Pass the result of an append to the node."""
        now = self.clock.now
        node.perform(node.core.handle_append_result(result, now))
